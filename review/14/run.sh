#!/usr/bin/env bash
# Case 14. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-3 ] && [ -x target/rosemarylb ] || { echo "run review/build-3.sh first"; exit 2; }
CASE=14 PROGRAM=target/rosemarylb RECORD="$folder/record.txt" exec target/review-3
