#!/usr/bin/env bash
# Operators' commands, with separate processes: a change and its audit entry, a
# conflict between two operators, a store that drops every reply after the
# write took effect, a store that is down, a contract whose guarantee does not
# fit, a failure domain withdrawn and back in service, a planned stop of an
# agent with tasks running.
set -u
cd "$(dirname "$0")/.."
. test/fleet.sh
FLEET_AUDIT=10
dir=$(mktemp -d)
passed=0 failed=0
trap 'fleet_stop 2>/dev/null; rm -rf "$dir"' EXIT

has() { # FILE PATTERN
    grep -c -- "$2" "$dir/$1" | sed 's/^[1-9][0-9]*$/1/'
}
store() {
    curl -s --noproxy '*' -X POST -d '' -o /dev/null \
        "http://127.0.0.1:$FLEET_BASE/control?$1"
}

fleet_start "$dir" 2 3 || exit 1
hash=$("$FLEET_BIN"/dunlinweir contract hash token-one)
echo "{\"customer\":\"one\",\"token_sha256\":\"$hash\",\"rate\":50}" > "$dir/c.json"
fleet_cli --who anna -m first -w contract set one "$dir/c.json" > "$dir/out" 2>&1
expect "in force" 1 "$(has out in_force=true)"
mod=$(fleet_cli contract get one | grep -o 'mod=[0-9]*' | cut -d= -f2)

sed 's/:50}/:60}/' "$dir/c.json" > "$dir/c2.json"
sed 's/:50}/:70}/' "$dir/c.json" > "$dir/c3.json"
fleet_cli --who bent -m more --if-revision "$mod" contract set one "$dir/c2.json" > "$dir/out" 2>&1
expect "first of two conflicting changes" 1 "$(has out accepted=true)"
fleet_cli --who carl --if-revision "$mod" contract set one "$dir/c3.json" > "$dir/out" 2>&1
expect "exit status of the second" 1 $?
expect "the second is shown the first change" 1 "$(has out bent)"
expect "the second changed nothing" 1 "$(fleet_cli contract get one | grep -c 'rate=60')"

store lose=1000
fleet_cli --who dora contract set one "$dir/c3.json" > "$dir/out" 2>&1
expect "outcome of a write with a lost reply is found" 1 "$(has out accepted=true)"
store lose=0
expect "written once" 1 "$(fleet_cli audit | grep -c 'who=dora')"
expect "audit entry has operator and reason" 1 "$(fleet_cli audit | grep 'who=anna' | grep -c 'why=first')"

store down=1
sleep 1.5
fleet_cli contract set one "$dir/c.json" > "$dir/out" 2>&1
expect "store down is reported" 1 "$(has out store_down)"
curl -s --noproxy '*' -H "Authorization: Bearer token-one" -H "Idempotency-Key: in-outage" \
    --data-binary '{"tasks":[{"kind":"k","payload":"10"}]}' \
    "http://127.0.0.1:$((FLEET_BASE + 201))/v1/jobs" > "$dir/out"
expect "jobs complete while the store is down" 1 "$(has out '"state":"complete"')"
sleep 5
curl -s --noproxy '*' -H "Authorization: Bearer token-one" -H "Idempotency-Key: in-outage-2" \
    --data-binary '{"tasks":[{"kind":"k","payload":"10"}]}' \
    "http://127.0.0.1:$((FLEET_BASE + 202))/v1/jobs" > "$dir/out"
expect "jobs complete past the freshness bound" 1 "$(has out '"state":"complete"')"
store down=0
sleep 2
expect "the refused change had no effect" 1 "$(fleet_cli contract get one | grep -c 'rate=70')"

sed 's/"rate":50/"rate":50,"running":24,"guaranteed":17/' "$dir/c.json" > "$dir/c4.json"
fleet_cli contract set one "$dir/c4.json" > "$dir/out" 2>&1
expect "contract that does not fit is refused" 1 "$(has out '16 of 24 slots')"
fleet_cli --override contract set one "$dir/c4.json" > "$dir/out" 2>&1
expect "override accepts it" 1 "$(has out accepted=true)"

fleet_cli -w domain out aarhus > "$dir/out" 2>&1
expect "withdrawal of a domain in force" 1 "$(has out in_force=true)"
before=$(curl -s --noproxy '*' "http://127.0.0.1:$((FLEET_BASE + 502))/control" | grep -o '"total":[0-9]*')
for i in 1 2 3 4 5 6; do
    curl -s --noproxy '*' -H "Authorization: Bearer token-one" -H "Idempotency-Key: out-$i" \
        --data-binary '{"tasks":[{"kind":"k","payload":"10"},{"kind":"k","payload":"10"}]}' \
        "http://127.0.0.1:$((FLEET_BASE + 201))/v1/jobs" >> "$dir/jobs"
    echo >> "$dir/jobs"
done
expect "jobs complete in other domains" 6 "$(grep -c '"state":"complete"' "$dir/jobs")"
expect "no starts in the withdrawn domain" "$before" "$(curl -s --noproxy '*' \
    "http://127.0.0.1:$((FLEET_BASE + 502))/control" | grep -o '"total":[0-9]*')"
fleet_cli -w domain in aarhus > "$dir/out" 2>&1
expect "domain back in service" 1 "$(has out in_force=true)"
fleet_cli domain out nowhere > "$dir/out" 2>&1
expect "unknown domain" 1 "$(has out no_such_domain)"
expect "explain" 1 "$(fleet_cli explain one out-1 | grep -c 'owner: admitted 2 tasks')"

for i in $(seq 24); do
    fleet_cli contract set one "$dir/c$((i % 2 + 2)).json" > /dev/null 2>&1
done
sleep 0.5
kept=$(fleet_cli -n 1000 audit | wc -l)
expect "audit trail is pruned" 1 "$([ "$kept" -ge 10 ] && [ "$kept" -le 26 ] && echo 1)"
expect "newest audit entries are kept" 1 "$(fleet_cli -n 1 audit | grep -c 'target=contract/one')"

curl -s --noproxy '*' -H "Authorization: Bearer token-one" -H "Idempotency-Key: stop-1" \
    --data-binary '{"tasks":[{"kind":"k","payload":"1500"},{"kind":"k","payload":"1500"},{"kind":"k","payload":"1500"}]}' \
    "http://127.0.0.1:$((FLEET_BASE + 201))/v1/jobs" > "$dir/slow" &
slow=$!
sleep 0.4
kill -TERM "$(fleet_pid a1)"
wait $slow
expect "job completes across a planned stop of an agent" 1 "$(has slow '"state":"complete"')"
n=0
while kill -0 "$(fleet_pid a1)" 2>/dev/null && [ $n -lt 150 ]; do
    sleep 0.1
    n=$((n + 1))
done
expect "the agent exited" 1 "$([ $n -lt 150 ] && echo 1)"
expect "no request was cut off" 0 "$(curl -s --noproxy '*' \
    "http://127.0.0.1:$((FLEET_BASE + 501))/control" | grep -o '"cut":[0-9]*' | cut -d: -f2)"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
