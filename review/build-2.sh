#!/usr/bin/env bash
# Builds the programs that the scripts of review/4 to review/8 start beside the platform's own.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
for case in twice unlimited limits hosts; do
  g++ -std=c++20 -O1 -pthread -Ireview review/desk.cpp "review/$case.cpp" -o "$out/$case"
done
