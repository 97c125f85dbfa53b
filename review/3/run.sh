#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/lockpoint ] && [ -x target/review/standin ] || { echo "not built"; exit 2; }
timeout -k 2 115 target/review/standin spoilt review/3/record.txt
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
