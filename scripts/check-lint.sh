#!/usr/bin/env bash
# Runs clang-tidy over all hand-written sources of the build in $1, $2 at once
# (default: one for each core); a file whose content, headers and settings were
# clean before is not read again.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
jobs=${2:-$(nproc)}
stamps=$build/lint
mkdir -p "$stamps"
common=$( { cat .clang-tidy; git ls-files -co --exclude-standard -- '*.h' |
  sort | xargs cat; } | sha256sum | cut -d' ' -f1)
export build stamps common
lint_one() {
  key=$( { echo "$common $1"; cat "$1"; } | sha256sum | cut -d' ' -f1)
  [ -e "$stamps/$key" ] && return 0
  if clang-tidy --quiet -p "$build" "$1" >"$stamps/$key.log" 2>&1; then
    touch "$stamps/$key"
    rm -f "$stamps/$key.log"
  else
    grep -E 'error|warning:' "$stamps/$key.log" | head -20
    rm -f "$stamps/$key.log"
    return 1
  fi
}
export -f lint_one
git ls-files -co --exclude-standard -- '*.cc' | grep -v '/gen/' |
  xargs -P "$jobs" -I{} bash -c 'lint_one {}'
