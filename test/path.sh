#!/usr/bin/env bash
# End to end, with one entry and three agents as separate processes.  A caller
# submits a job of three tasks and gets the complete answer; the same key again
# gets the stored answer and starts nothing; the same key with another body is
# refused; so are a wrong token and malformed requests; a cancel of an unknown
# key returns 404; a planned stop of the entry answers the pending job.
set -u
cd "$(dirname "$0")/.."
. test/fleet.sh
dir=$(mktemp -d)
trap 'fleet_stop 2>/dev/null; [ "$failed" -eq 0 ] || tail -n 5 "$dir"/*.log "$dir"/out; rm -rf "$dir"' EXIT
passed=0 failed=0



call() { # METHOD PATH KEY BODY [TOKEN]: prints status and body
    curl -s --noproxy '*' -X "$1" -H "Authorization: Bearer ${5:-token-one}" \
        ${3:+-H "Idempotency-Key: $3"} ${4:+--data-binary "$4"} \
        -w ' %{http_code}' "$E1$2"
}
status_of() { echo "${1##* }"; }
starts() {
    for i in 1 2 3; do
        curl -s --noproxy '*' "http://127.0.0.1:$((FLEET_BASE + 500 + i))/starts"
    done | awk '{n += $4} END {print n + 0}'
}

fleet_start "$dir" 1 3 || exit 1
E1="http://127.0.0.1:$((FLEET_BASE + 201))"
hash=$("$FLEET_BIN"/dunlinweir contract hash token-one)
echo "{\"customer\":\"one\",\"token_sha256\":\"$hash\"}" > "$dir/c.json"
fleet_cli --wait contract set one "$dir/c.json" > "$dir/out"
expect "contract in force" 1 "$(grep -c 'in_force=true' "$dir/out")"

job='{"tasks":[{"kind":"k","payload":"20"},{"kind":"k","payload":"30"},{"kind":"k","payload":"10"}]}'
answer=$(call POST /v1/jobs key-1 "$job")
expect "job of three tasks" 200 "$(status_of "$answer")"
expect "result of every task" 3 "$(echo "$answer" | grep -o '"state":"done"' | wc -l)"
expect "started once each" 3 "$(starts)"
again=$(call POST /v1/jobs key-1 "$job")
expect "stored answer" "$answer" "$again"
expect "nothing started again" 3 "$(starts)"
expect "same key with another body" 422 "$(status_of "$(call POST /v1/jobs key-1 '{"tasks":[{"kind":"k"}]}')")"
expect "get" 200 "$(status_of "$(call GET /v1/jobs/key-1 '' '')")"
expect "get unknown" 404 "$(status_of "$(call GET /v1/jobs/key-none '' '')")"
expect "cancel unknown" 404 "$(status_of "$(call DELETE /v1/jobs/key-none '' '')")"
expect "wrong token" 401 "$(status_of "$(call POST /v1/jobs key-2 "$job" wrong)")"
expect "no key" 400 "$(status_of "$(call POST /v1/jobs '' "$job")")"
expect "bad json" 400 "$(status_of "$(call POST /v1/jobs key-3 '{"tasks":[}')")"
expect "no tasks" 400 "$(status_of "$(call POST /v1/jobs key-3 '{"tasks":[]}')")"
failed_job=$(call POST /v1/jobs key-4 '{"tasks":[{"kind":"k","payload":"10 fail"}]}')
expect "failed task" 500 "$(status_of "$failed_job")"
many=$(printf '{"kind":"k"},%.0s' $(seq 450))
expect "451 tasks" 400 "$(status_of "$(call POST /v1/jobs key-5 "{\"tasks\":[$many{\"kind\":\"k\"}]}")")"
deep=$(printf '[%.0s' $(seq 40))$(printf ']%.0s' $(seq 40))
expect "too deep" 400 "$(status_of "$(call POST /v1/jobs key-5 "{\"tasks\":[{\"kind\":\"k\",\"payload\":$deep}]}")")"
named=$(call POST /v1/jobs key-5 '{"tasks":[{"kind":"k"},{"kind":"k","millicores":-1}]}')
expect "error names the field" 1 "$(echo "$named" | grep -c 'tasks\[1\].millicores')"
expect "bad method" 405 "$(status_of "$(call PUT /v1/jobs key-5 '{}')")"
expect "no such path" 404 "$(status_of "$(call GET /v1/nothing '' '')")"
# A caller that stops in the middle of its request does not delay others.
exec 5<>"/dev/tcp/127.0.0.1/$((FLEET_BASE + 201))"
printf 'POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{' >&5
expect "another caller is not delayed" 200 "$(status_of "$(call POST /v1/jobs key-slow '{"tasks":[{"kind":"k"}]}')")"
exec 5>&-
big=$(head -c 2000000 /dev/zero | tr '\0' 'x')
echo "$big" > "$dir/big"
expect "too large" 413 "$(status_of "$(call POST /v1/jobs key-5 "@$dir/big")")"
never='{"tasks":[{"kind":"k","millicores":64000,"memory_mb":131072},{"kind":"k","payload":"5"}]}'
expect "fits exactly" 200 "$(status_of "$(call POST /v1/jobs key-6 "$never")")"

call POST /v1/jobs key-7 '{"tasks":[{"kind":"k","payload":"700"}]}' > "$dir/slow" &
slow=$!
sleep 0.2
kill -TERM "$(fleet_pid e1)"
wait $slow
expect "planned stop of an entry answers its job" 200 "$(status_of "$(cat "$dir/slow")")"
n=0
while kill -0 "$(fleet_pid e1)" 2>/dev/null && [ $n -lt 100 ]; do
    sleep 0.1
    n=$((n + 1))
done
expect "entry exited" 1 "$([ $n -lt 100 ] && echo 1)"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
