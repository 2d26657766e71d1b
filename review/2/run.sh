#!/usr/bin/env bash
# Case 2; see claim.txt.  Exit status: 1 the rule was broken, 0 it held, 2 the
# case could not run.  With TROUBLE=0 without the disruption.
set -u
cd "$(dirname "$0")/../.."
for f in target/dunlinweird target/review/stage; do
    [ -x "$f" ] || { echo "$f is not built" >&2; exit 2; }
done
dir=$(mktemp -d) || exit 2
timeout -k 5 110 target/review/stage late-copy target/dunlinweird \
    review/2/record.txt "$dir"
code=$?
rm -rf "$dir"
[ "$code" -le 1 ] || code=2
exit "$code"
