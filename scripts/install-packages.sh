#!/usr/bin/env bash
# Installs the build's packages that are missing; needs no network otherwise.
set -euo pipefail
packages=(
  g++ cmake ninja-build make ccache clang-format clang-tidy
  # Headers of the sanitizers, which Abseil includes; clang-tidy reads them.
  libclang-rt-14-dev
  libwebsockets-dev libthrift-dev libboost-dev libtomlplusplus-dev
  libdocopt-dev liblog4cxx-dev libabsl-dev catch2 libtrompeloeil-cpp-dev
  nlohmann-json3-dev libxxhash-dev librapidcheck-dev spin libhttp-parser-dev
)
missing=()
for package in "${packages[@]}"; do
  state=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$state" = "install ok installed" ] || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update -q
  apt-get install -y --no-install-recommends "${missing[@]}"
fi
