#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rosemarylb ] && [ -x target/review-harness2 ] || { echo "not built"; exit 2; }
exec timeout -k 5 118 target/review-harness2 sync-replica "$PWD" "$PWD/review/9"
