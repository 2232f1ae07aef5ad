#!/usr/bin/env bash
# Builds the cases' stand-ins into target/review, with the deploy file's packages alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.cpp; do
  program="target/review/case-$(basename "$(dirname "$source")")"
  # In one step, so that builds side by side don't get into each other's way.
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$program.$$" "$source"
  mv "$program.$$" "$program"
done
