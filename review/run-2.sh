#!/usr/bin/env bash
# Plays the case in the folder DIR: target/case-N, built by build-2.sh.
# usage: review/run-2.sh DIR; exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.  TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/.."
program=target/case-$(basename "$1")
if [ ! -x "$program" ] || [ ! -x target/dunlinweird ]; then
    echo "could not run: $program or target/dunlinweird is not built"
    exit 2
fi
dir=$(mktemp -d)
RIG_DIR=$dir RIG_RECORD=$1/record.txt timeout -k 1 110 "$program"
status=$?
rm -rf "$dir"
[ "$status" -le 1 ] || status=2
exit "$status"
