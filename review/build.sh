#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, into build/review. They need a C++ compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for folder in review/[123]; do
  [ -e "$folder/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review/case-${folder#review/}" "$folder/case.cpp" review/rig.cpp
done
