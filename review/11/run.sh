#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption.
set -u
cd "$(dirname "$0")"
number=$(basename "$PWD")
program=../../target/review-3/case_$number
[ -x "$program" ] && [ -x ../../target/mimosavalve-gate ] || exit 2
folder=$(mktemp -d) || exit 2
TMPDIR=$folder timeout -k 5 110 "$program" record.txt
result=$?
rm -rf "$folder"
case "$result" in
  0 | 1) exit "$result" ;;
  *) exit 2 ;;
esac
