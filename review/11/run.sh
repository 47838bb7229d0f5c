#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-3/bin/recurring ] || { echo "not built"; exit 2; }
timeout 110 build/review-3/bin/recurring review/11/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
