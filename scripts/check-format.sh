#!/usr/bin/env bash
# Fails if a hand-written source file differs from its formatted form.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard -- '*.cc' '*.h' | grep -v '/gen/' |
  xargs clang-format --dry-run --Werror
