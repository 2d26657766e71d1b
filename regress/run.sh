#!/usr/bin/env bash
# Each NAME.toml must make `dunlinweird -c` print NAME.out.
set -u
cd "$(dirname "$0")/.."
bin=${FLEET_BIN:-build}
passed=0 failed=0
for f in regress/settings/*.toml; do
    if "$bin"/dunlinweird -c -f "$f" 2>&1 | diff - "${f%.toml}.out"; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
        echo "FAIL $f"
    fi
done
# A bad experiment is refused with file, line and key.
for f in regress/experiments/*.toml; do
    if "$bin"/dwsim "$f" 2>&1 | diff - "${f%.toml}.out"; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
        echo "FAIL $f"
    fi
done
# Lines of one job out of many logs, in the order of their times.
for f in regress/explain/*.log; do
    if "$bin"/dunlinweir explain 5c0e7a21d94b36f8 < "$f" 2>&1 |
        diff - "${f%.log}.out"; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
        echo "FAIL $f"
    fi
done
# Only what KNOWN-RED.txt names is passed over, and a crash never.
known_red_case() { # WANT [VARIABLE]
    local got=passes
    env KNOWN_RED=regress/known-red/list.txt ${2:+"$2=139"} bash test/shards.sh \
        regress/known-red/program > /dev/null || got=fails
    if [ "$got" = "$1" ]; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
        echo "FAIL known red ${2:-listed}: $got, want $1"
    fi
}
known_red_case passes
known_red_case fails NEW_RED
known_red_case fails CRASH
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
