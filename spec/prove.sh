#!/usr/bin/env bash
# Verifies the Promela models with fixed bounds: each model must hold with all
# its guards, and must fail once any single guard is removed (-DNO_...).
# Usage: prove.sh [model...]; without arguments all models in the list.
set -euo pipefail
cd "$(dirname "$0")"
models=("$@")
[ ${#models[@]} -gt 0 ] || models=(ownership configuration delivery delegation takeover lives)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# Bounds of every run: search depth, seconds and MB of memory. All runs are
# exhaustive; none uses bitstate hashing.
depth=200000
seconds=120
memory=2048
failed=0
echo "bounds: depth $depth, $seconds s, $memory MB"

# Builds and runs a verifier. $1: name of the run; $2: preprocessor options of
# the model; $3: options of the compiler; the rest: options of the verifier.
verify() {
  local name=$1 model_options=$2 compiler_options=$3
  shift 3
  local folder=$work/$name
  mkdir -p "$folder"
  # shellcheck disable=SC2086
  (cd "$folder" &&
    spin $model_options -a "$OLDPWD/$model.pml" >spin.log 2>&1 &&
    cc -O2 -w -DMEMLIM=$memory $compiler_options -o pan pan.c &&
    timeout $seconds ./pan -m$depth "$@" >pan.log 2>&1) || true
}

# @return 0 if the run was complete and found no error.
holds() {
  grep -q 'errors: 0' "$work/$1/pan.log" &&
    ! grep -qE 'aborted|truncated|max search depth too small|out of memory|not completed' \
      "$work/$1/pan.log"
}

summary() {
  awk '/errors:/ {sub(/.*errors:/, "errors:"); e=$0}
       /states, stored/ {s=$1} /elapsed time/ {t=$4}
       /total actual memory/ {m=$1}
       END {printf "%s, %s states, %s s, %s MB", e, s, t, m}' \
    "$work/$1/pan.log"
}

# $1: name; $2, $3: options as for verify; the rest: verifier options.
expect_holds() {
  local name=$model-$1
  verify "$name" "$2" "$3" "${@:4}"
  if holds "$name"; then
    echo "holds: $model $2 ($1): $(summary "$name")"
  else
    echo "FAILED: $model $2 ($1): $(summary "$name")"
    tail -n 5 "$work/$name/"*.log
    failed=1
  fi
}

# $1: guard; $2: options of the model that bound the search.
expect_counterexample() {
  local name=$model-$1
  local claim=()
  if grep -q "^ltl " "$model.pml"; then claim=(-noclaim); fi
  verify "$name" "-D$1 $2" "-DSAFETY -DCOLLAPSE" "${claim[@]}"
  if grep -qE '^pan:.*(assertion violated|invalid end state)' \
    "$work/$name/pan.log"; then
    echo "needed: $model $1: $(grep -m1 -oE '(assertion violated|invalid end state).{0,60}' "$work/$name/pan.log")"
  else
    echo "FAILED: $model holds without its guard $1: $(summary "$name")"
    failed=1
  fi
}

# Each model <model>.pml has a file <model>.runs of calls to the functions above;
# to add a model, write both and name it in the list.
for model in "${models[@]}"; do
  # shellcheck disable=SC1090
  . "./$model.runs"
done
exit $failed
