# Functions shared by the scripts of the second review. They start the program
# with the command of the deploy file, and the project's stand-ins for the
# platform's store, backends and clients, on loopback addresses. Nothing else
# is needed but bash, awk and the usual small tools.
#
# shellcheck shell=bash disable=SC2034

set -u
HERE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$HERE/../.." && pwd)
BIN=$ROOT/review/bin-2
PROGRAM=${PROGRAM:-$ROOT/target/src/pimentohaven}
TROUBLE=${TROUBLE:-1}
RECORD=$HERE/record.txt
FLOW_PORT=8172
READY_PORT=8167
GOSSIP_PORT=7720
STORE_PORT=8169
TARGET_PORT=8080
ROUTE="" # set by begin()
SEQUENCE=0
PIDS=()
declare -A PID_OF=()

cannot_run() {
    echo "cannot run: $*" | tee -a "$RECORD"
    exit 2
}

cleanup() {
    local status=$? pid
    for pid in "${PIDS[@]}"; do
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    [ -n "${KEEP:-}" ] && cp -r "$WORK" "$KEEP"
    rm -rf "$WORK"
    exit "$status"
}

# Takes a free network 127.A.B.0/24, which a lock keeps for this run.
begin() {
    local i
    : >"$RECORD"
    [ -x "$PROGRAM" ] || cannot_run "no $PROGRAM: run the build of deploy/system.toml"
    [ -x "$BIN/standin-platform" ] || cannot_run "run review/build-2.sh"
    for i in $(seq 1 200); do
        exec {LOCK}>"${TMPDIR:-/tmp}/review-2-net-$i.lock"
        if flock -n "$LOCK"; then
            NET=127.211.$i
            break
        fi
        exec {LOCK}>&-
    done
    [ -n "${NET:-}" ] || cannot_run "no free network"
    ROUTE=$NET.250
    WORK=$(mktemp -d)
    JOURNAL=$WORK/journal
    : >"$JOURNAL"
    trap cleanup EXIT
    trap 'exit 2' INT TERM
    T0=$(now_ms)
    note "trouble $TROUBLE"
}

# Milliseconds on the clock of the backends' journal.
now_ms() {
    awk '{printf "%d\n", $1 * 1000}' /proc/uptime
}

note() {
    echo "$(($(now_ms) - ${T0:-0})) ms: $*" >>"$RECORD"
}

# Usage: start NAME COMMAND...
start() {
    local name=$1
    shift
    "$@" >>"$WORK/$name.log" 2>&1 {LOCK}>&- &
    PID_OF[$name]=$!
    PIDS+=("$!")
}

# Usage: send_signal NAME SIGNAL
send_signal() {
    kill "-$2" "${PID_OF[$1]}"
    if [ "$2" = KILL ]; then
        wait "${PID_OF[$1]}" 2>/dev/null
    fi
}

# Prints the status of the answer to an HTTP request. Usage: http ADDRESS PORT
# METHOD PATH [BODY]
http() {
    local line=none body=${5:-}
    {
        printf '%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
            "$3" "$4" "${#body}" "$body" >&9
        IFS= read -r -t 2 line <&9
    } 9<>"/dev/tcp/$1/$2" 2>/dev/null
    echo "$line" | cut -d ' ' -f 2
}

order() {
    [ "$(http "$NET.200" "$STORE_PORT" POST /control/order "$1")" = 200 ] ||
        cannot_run "the store did not take the order $1"
}

# Writes a key of the store. Usage: put KEY JSON
put() {
    local value=${2//\\/\\\\}
    order "{\"put\":\"$1\",\"value\":\"${value//\"/\\\"}\"}"
}

start_store() {
    local i
    start store "$BIN/standin-platform" --listen "$NET.200:$STORE_PORT" \
        --listen "$NET.201:$STORE_PORT"
    for i in $(seq 50); do
        [ "$(http "$NET.200" "$STORE_PORT" GET /control/stats)" = 200 ] && return
        sleep 0.1
    done
    cannot_run "the store does not answer"
}

target_addr() {
    echo "$NET.$((100 + $1)):$TARGET_PORT"
}

# Writes the entry of a backend. Usage: register NUMBER ID SERVICE ZONE STATE
# COLD-MS BORN
register() {
    SEQUENCE=$((SEQUENCE + 1))
    put "servers/$2" "{\"service\":\"$3\",\"address\":\"$(target_addr "$1")\",\"zone\":\"$4\",\"version\":\"v1\",\"slots\":2,\"state\":\"$5\",\"coldLeftMs\":$6,\"sequence\":$SEQUENCE,\"born\":$7}"
}

# Usage: start_target NUMBER ID SERVICE
start_target() {
    start "$2" "$BIN/standin-flow-target" --listen "$(target_addr "$1")" \
        --id "$2" --service "$3" --journal "$JOURNAL" \
        --caller-port "$FLOW_PORT" --work-ms "${WORK_MS:-5}"
}

wall_ms() {
    date +%s%3N
}

# Starts a balancer; SEEDS and STORE set other addresses than the usual ones.
# Usage: start_balancer NUMBER ZONE
start_balancer() {
    local ip=$NET.$((10 + $1)) seed seeds=""
    for seed in ${SEEDS:-$NET.11 $NET.12 $NET.13}; do
        seeds+="${seeds:+, }\"$seed:8166\""
    done
    cat >"$WORK/boot-$1.json" <<BOOT
{"nodeName": "front-$2-$1", "role": "balancer", "machineClass": "front",
 "serves": ["front", "control"], "ip": "$ip", "zone": "$2", "region": "r-1",
 "zones": {"zone-a": "r-1", "zone-b": "r-1"},
 "listen": {"datagramAddr": "$ip:$FLOW_PORT", "ready": "$ip:$READY_PORT",
            "control": "$ip:8166"},
 "internalPorts": [$GOSSIP_PORT, 7735],
 "seeds": [$seeds],
 "bootstrap": true, "countsAsLoss": false,
 "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
            "linkMbps": 1000.0, "diskMb": 0},
 "dataDir": null, "discovery": "platform", "entryMode": "announce",
 "heartbeatMs": 1200,
 "contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
 "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
 "bounds": {"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": ${STABLE_MS:-4000},
            "ackMs": 8000, "catchUpS": 6, "drainMs": ${DRAIN_MS:-3000}, "graceS": 6,
            "lossSlackMs": 200, "configApplyMs": ${CONFIG_MS:-3000}, "downgradeSlackMs": 250,
            "maxStretchMs": 15000, "coldOverage": 1.5, "coldSlack": 5,
            "evacuateMs": ${EVACUATE_MS:-5000}, "recoveryS": 15, "reorderMs": 2000,
            "maxFlowS": 60},
 "hash": "steady", "forwardingMode": "echo",
 "platform": {"address": "${STORE:-$NET.200}:$STORE_PORT", "forwardingMode": "kv",
              "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
              "valueBytes": 1048576, "minTtlMs": 1000}}
BOOT
    (cd "$ROOT" && PIMENTOHAVEN_BOOT="$WORK/boot-$1.json" \
        exec "$PROGRAM" forward) >>"$WORK/balancer-$1.log" 2>&1 {LOCK}>&- &
    PID_OF[balancer-$1]=$!
    PIDS+=("$!")
}

# Usage: wait_ready NUMBER...
wait_ready() {
    local n i
    for n in "$@"; do
        for i in $(seq 100); do
            [ "$(http "$NET.$((10 + n))" "$READY_PORT" GET /api/readiness)" = 200 ] &&
                continue 2
            sleep 0.1
        done
        cannot_run "balancer $n is not ready"
    done
}

# Starts clients. Usage: start_callers NAME NUMBER PORT SERVICE BALANCERS
# OPTION...
start_callers() {
    local name=$1 number=$2 port=$3 service=$4 balancers=$5 b via=()
    shift 5
    for b in $balancers; do
        via+=(--via "$NET.$((10 + b)):$FLOW_PORT")
    done
    start "$name" "$BIN/standin-flow-caller" --bind "$NET.$((50 + number)):$FLOW_PORT" \
        --route "$ROUTE:$port" --service "$service" --label "$name" --steady \
        --events --seed "${SEED:-$RANDOM}" "${via[@]}" "$@"
}

# Waits until a process has ended. Usage: wait_end NAME SECONDS
wait_end() {
    local i
    for i in $(seq $(($2 * 10))); do
        kill -0 "${PID_OF[$1]}" 2>/dev/null || return 0
        sleep 0.1
    done
    return 1
}

# Appends what clients and backends have noted to the record.
save_record() {
    local f
    {
        echo "== journal of the backends: monotonic ms, event, service, backend, request, flow"
        cat "$JOURNAL"
        for f in "$@"; do
            echo "== clients $f: each request that was sent, and what became of it"
            cat "$WORK/$f.log"
        done
    } >>"$RECORD"
}

# Ends the script: prints the verdict. Usage: verdict BROKEN TEXT
verdict() {
    note "$2"
    echo "$2"
    exit "$1"
}
