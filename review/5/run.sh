#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case-5 ] && [ -x target/mimosavalve-gate ] || exit 2
RECORD="$PWD/review/5/record.txt" timeout -k 1 110 review/bin/case-5
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
