#!/bin/sh
# Builds the stand-ins and the tests of the second review into target/review-2. Run it after the
# build of the deploy file, from anywhere; it needs that build's packages and nothing else.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=c++20 -O1 -Ireview/stage-2 $(pkg-config --cflags libevent)"
g++ $flags -c review/stage-2/stage.cpp -o target/review-2/stage.o
for case in review/[4-8]/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ $flags "$case" target/review-2/stage.o -o "target/review-2/case-$number" $(pkg-config --libs libevent) &
done
wait
for case in review/[4-8]/case.cpp; do
  test -x "target/review-2/case-$(basename "$(dirname "$case")")"
done
