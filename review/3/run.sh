#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/lockpoint ] && [ -x target/review/standin ] || { echo "not built"; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# The stand-in ends after 115 s at the latest and with this script; the controller ends with the stand-in.
trap 'kill -KILL "$standin" 2>/dev/null; wait "$standin" 2>/dev/null; rm -rf "$TMPDIR"' EXIT
trap 'exit 2' TERM INT HUP
target/review/standin spoilt review/3/record.txt &
standin=$!
wait "$standin"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
