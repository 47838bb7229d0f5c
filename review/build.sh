#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o target/review/cases \
  review/standins/cases.cpp
