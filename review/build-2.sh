#!/usr/bin/env bash
# Builds the stand-ins and the scenes of review/6 to review/10. Needs a C++20
# compiler and nlohmann-json, which the deploy file lists too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o build/review-2/scene \
  review/standins-2/scene.cpp -pthread
