#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
RECORD="$folder/record.txt" timeout -k 2 116 target/review/standin case uploads
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
