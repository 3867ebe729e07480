#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=build/review-2/hosts
[ -x "$program" ] && [ -x target/woadridge-proxy ] || exit 2
RECORD=review/7/record.txt timeout -k 2 115 "$program"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
