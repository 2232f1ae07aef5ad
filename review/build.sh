#!/usr/bin/env bash
# Builds the cases' stand-ins into target/review, with the deploy file's packages alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.cpp; do
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$number" "$source"
done
