#!/usr/bin/env bash
# One entry, three agents in three failure domains, stand-ins for the store
# and the backend servers; a contract; a job of three tasks by the command
# line and again by curl.
set -eu
cd "$(dirname "$0")"
. test/fleet.sh
dir=$(mktemp -d)
trap 'fleet_stop; rm -rf "$dir"' EXIT
fleet_start "$dir" 1 3

token=pallet-token-1
hash=$(build/dunlinweir contract hash "$token")
cat > "$dir/contract.json" <<EOF
{"customer": "depotkald", "token_sha256": "$hash",
 "rate": 200, "burst": 500, "running": 24, "queued": 1000, "guaranteed": 8}
EOF
cat > "$dir/job.json" <<'EOF'
{"deadline_ms": 5000, "tasks": [
  {"kind": "grade", "payload": "60 pallet 1"},
  {"kind": "grade", "payload": "80 pallet 2"},
  {"kind": "quote", "payload": "100 pallet 3"}]}
EOF

echo "== the operators write a contract"
fleet_cli --why "first customer" --wait contract set depotkald \
    "$dir/contract.json"
echo "== a caller submits a job of three tasks"
build/dunlinweir -e "http://127.0.0.1:$((FLEET_BASE + 201))" -t "$token" \
    --key yard-7-0001 submit "$dir/job.json"
echo "== the same job again, by curl: the kept answer, nothing runs twice"
curl -sS --noproxy '*' -H "Authorization: Bearer $token" \
    -H "Idempotency-Key: yard-7-0001" --data-binary @"$dir/job.json" \
    "http://127.0.0.1:$((FLEET_BASE + 201))/v1/jobs"
echo
echo "== what happened to it"
fleet_cli explain depotkald yard-7-0001
