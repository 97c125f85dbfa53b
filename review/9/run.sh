#!/bin/sh
# Case 9: iax2-stop. Exit code: 1 the rule was broken, 0 it held, 2 it could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
for program in target/release/lockpoint target/review-2/case; do
  [ -x "$root/$program" ] || { echo "$program is missing: build first, also review/build-2.sh"; exit 2; }
done
ROOT=$root RECORD=$here/record.txt exec "$root/target/review-2/case" iax2-stop
