#!/usr/bin/env bash
# Builds what the scripts of this review start: the project's stand-in of the
# platform and the drivers. Needs only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-3
cmake -S . -B "$out" -G Ninja >/dev/null
cmake --build "$out" --target standin_platform
for source in review/standins-3/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "$out/bin/$(basename "$source" .cpp)" \
    "$source" -pthread
done
