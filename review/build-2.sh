#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into
# target/review-2. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for Case in 6 7 8 9 10; do
  Source="review/$Case/case.cc"
  [ -f "$Source" ] || continue
  g++ -std=c++20 -O1 -pthread -o "target/review-2/case-$Case" "$Source"
done
