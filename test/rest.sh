#!/usr/bin/env bash
# Measures processor, network, memory and store use of idle daemons on loopback,
# for several fleet sizes.
# usage: test/rest.sh [AGENTS ...]
set -u
cd "$(dirname "$0")/.."
. test/fleet.sh
sum() { # NAME: sum of a metric over all daemons
    for p in $ports; do curl -s --noproxy '*' "http://127.0.0.1:$p/metrics"; done |
        awk -v n="dunlinweir_$1" '$1 == n {s += $2} END {printf "%.0f", s}'
}
echo "| agents | core a daemon | KB/s sent a daemon | MB a daemon | store calls/s |"
echo "|---|---|---|---|---|"
for n in "${@:-10}"; do
    dir=$(mktemp -d)
    fleet_start "$dir" 2 "$n" 2>/dev/null
    ports=""
    for i in $(seq "$n"); do ports="$ports $((FLEET_BASE + 400 + i))"; done
    for i in 1 2; do ports="$ports $((FLEET_BASE + 200 + i))"; done
    sleep 8
    cpu=$(sum cpu_us_total) bytes=$(sum bytes_sent_total)
    calls=$(( $(sum store_reads_total) + $(sum store_txns_total) ))
    sleep 20
    awk -v n=$((n + 2)) -v a="$n" -v c="$(($(sum cpu_us_total) - cpu))" \
        -v b="$(($(sum bytes_sent_total) - bytes))" -v k="$(sum resident_kb)" \
        -v s="$(($(sum store_reads_total) + $(sum store_txns_total) - calls))" \
        'BEGIN {printf "| %d | %.2f %% | %.2f | %.1f | %.1f |\n", a,
            c / 20 / 1e4 / n, b / 20 / 1e3 / n, k / 1e3 / n, s / 20}'
    fleet_stop 2>/dev/null
    rm -rf "$dir"
done
