# Functions that run a fleet as processes on loopback; source this file.
#
#   fleet_start DIR ENTRIES AGENTS [SLOTS]   three failure domains
#   fleet_stop                               stops what fleet_start started
#   fleet_pid NAME                           the process id of store, e1, a1, b1
#
# Ports are offsets from FLEET_BASE, which fleet_take_ports chooses: the store
# has BASE, entry i BASE+100+i and HTTP BASE+200+i, agent i BASE+300+i and HTTP
# BASE+400+i, backend server i BASE+500+i.

. test/known-red.sh

FLEET_BIN=${FLEET_BIN:-build}
FLEET_TOKEN=operators-secret
FLEET_DOMAINS="kolding aarhus herning"

# Several fleets may run on one machine: each reserves 700 ports by a lock
# directory that holds the process id of the script.
FLEET_LOCK=
fleet_take_ports() {
    local base lock pid
    for base in $(seq 7000 700 27300 | shuf); do
        lock=${TMPDIR:-/tmp}/dunlinweir-ports-$base
        pid=$(cat "$lock/pid" 2>/dev/null)
        if [ -n "$pid" ] && ! kill -0 "$pid" 2>/dev/null; then
            rm -rf "$lock"
        fi
        mkdir "$lock" 2>/dev/null || continue
        echo "$BASHPID" > "$lock/pid"
        if fleet_ports_free "$base"; then
            FLEET_BASE=$base FLEET_LOCK=$lock
            return 0
        fi
        rm -rf "$lock"
    done
    echo "fleet: no free ports" >&2
    return 1
}

fleet_ports_free() {
    local p
    for p in 0 101 102 201 202 301 302 303 401 402 403 501 502 503; do
        if (exec 3<> "/dev/tcp/127.0.0.1/$(($1 + p))") 2>/dev/null; then
            return 1
        fi
    done
}

fleet_domain() {
    set -- $FLEET_DOMAINS "$1"
    eval "echo \$$(( ($4 - 1) % 3 + 1 ))"
}

# fleet_settings NAME ROLE INDEX
fleet_settings() {
    local name=$1 role=$2 i=$3 port http
    if [ "$role" = entry ]; then
        port=$((FLEET_BASE + 100 + i)) http=$((FLEET_BASE + 200 + i))
    else
        port=$((FLEET_BASE + 300 + i)) http=$((FLEET_BASE + 400 + i))
    fi
    cat > "$FLEET_DIR/$name.toml" <<EOF
[process]
role = "$role"
name = "$name"
domain = "$(fleet_domain "$i")"
rack = "rack$(( (i - 1) / 3 + 1 ))"
address = "127.0.0.1"
port = $port
http_port = $http

[store]
url = "http://127.0.0.1:$FLEET_BASE"

[operators]
token = "$FLEET_TOKEN"
audit_kept = ${FLEET_AUDIT:-2000}

[worker]
slots = ${FLEET_SLOTS:-8}

[log]
level = "${FLEET_LOG:-info}"
${FLEET_EXTRA:-}
EOF
}

fleet_run() {
    local name=$1
    shift
    "$@" 2>> "$FLEET_DIR/$name.log" >> "$FLEET_DIR/$name.log" &
    echo $! > "$FLEET_DIR/$name.pid"
}

fleet_pid() {
    cat "$FLEET_DIR/$1.pid"
}

fleet_daemon() {
    fleet_settings "$1" "$2" "$3"
    fleet_run "$1" "$FLEET_BIN/dunlinweird" -f "$FLEET_DIR/$1.toml"
}

fleet_backend() {
    fleet_run "b$1" "$FLEET_BIN/fake-backend" $((FLEET_BASE + 500 + $1)) \
        $((FLEET_BASE + 400 + $1)) "${FLEET_SLOTS:-8}"
}

# fleet_await URL: waits until a GET succeeds, for about ten seconds at most
fleet_await() {
    local n=0
    until curl -fs --noproxy '*' -o /dev/null "$1"; do
        n=$((n + 1))
        [ $n -lt 200 ] || { echo "fleet: $1 does not answer" >&2; return 1; }
        sleep 0.05
    done
}

fleet_start() {
    FLEET_DIR=$1 FLEET_ENTRIES=$2 FLEET_AGENTS=$3
    FLEET_SLOTS=${4:-8}
    mkdir -p "$FLEET_DIR"
    [ -n "$FLEET_LOCK" ] || fleet_take_ports || return 1
    fleet_run store "$FLEET_BIN/fake-store" "$FLEET_BASE"
    fleet_await "http://127.0.0.1:$FLEET_BASE/control" || return 1
    for i in $(seq "$FLEET_AGENTS"); do
        fleet_daemon "a$i" agent "$i"
        fleet_backend "$i"
    done
    for i in $(seq "$FLEET_ENTRIES"); do
        fleet_daemon "e$i" entry "$i"
    done
    for i in $(seq "$FLEET_ENTRIES"); do
        fleet_await "http://127.0.0.1:$((FLEET_BASE + 200 + i))/readyz" ||
            return 1
    done
    for i in $(seq "$FLEET_AGENTS"); do
        fleet_await "http://127.0.0.1:$((FLEET_BASE + 400 + i))/readyz" ||
            return 1
    done
}

# Standard error of wait is discarded: the shell reports each killed process.
fleet_stop() {
    local f
    for f in "$FLEET_DIR"/*.pid; do
        kill -CONT "$(cat "$f")" 2>/dev/null
        kill -KILL "$(cat "$f")" 2>/dev/null
    done
    rm -f "$FLEET_DIR"/*.pid
    { wait; } 2>/dev/null
    [ -z "$FLEET_LOCK" ] || rm -rf "$FLEET_LOCK"
    FLEET_LOCK=
}

# fleet_cli WORDS: the operators' command line against the first entry
fleet_cli() {
    "$FLEET_BIN/dunlinweir" -e "http://127.0.0.1:$((FLEET_BASE + 201))" \
        -t "$FLEET_TOKEN" "$@"
}

# Compares and counts in the caller's $passed and $failed.
expect() { # NAME WANTED GOT
    if [ "$2" = "$3" ]; then
        passed=$((passed + 1))
    elif known_red "$1"; then
        :
    else
        failed=$((failed + 1))
        echo "FAIL $1: wanted '$2', got '$3'"
    fi
}
