# Functions shared by the process tests of flow forwarding. They start
# forwarders, the platform's store, targets and callers on loopback addresses.
#
# shellcheck shell=bash disable=SC2034
source ./lib.sh

FLOW_PORT=7172 # for callers' packets, both at forwarders and at callers
READY_PORT=7167
FLOW_GOSSIP_PORT=7720
FLOW_ROUTE=198.18.0.1
CHANGE_BOUND_MS=3000 # until every forwarder has applied a change
DRAIN_BOUND_MS=3000  # until a draining target gets no new flow
FLOW_MAX_S=60        # longest life of a flow
GRACE_S=6            # until a stopping forwarder has ended
ROUTERS_HASH=""      # as in the settings: how routers choose a forwarder
CONFIG_VERSION=0
TARGET_SEQUENCE=0 # of the last write of a target's entry
CONFIG_ROUTES=""
CONFIG_SERVICES="" # elements of the configuration's list of services
COLD_LEFT_MS=0     # of the targets that are registered from now on
FORWARDERS=()

# Usage: forward_init NUMBER BUILD-DIRECTORY
forward_init() {
    e2e_init "$1" "$2"
    FLOW_JOURNAL="$WORK/flows"
    : >"$FLOW_JOURNAL"
}

forwarder_addr() {
    echo "$NET.$((10 + $1))"
}

# Prints the store's address for one forwarder. Each forwarder uses a different
# one, so that a fault can be injected for a single forwarder. Number 0 is for
# the test itself.
# Usage: store_addr NUMBER
store_addr() {
    echo "$NET.$((200 + $1))"
}

start_platform() {
    local i args=()
    for i in 0 1 2 3 4 5 6 7; do
        args+=(--listen "$(store_addr "$i"):$STORE_PORT")
    done
    start platform "$BUILD/tests/standins/standin-platform" "${args[@]}" \
        ${STORE_OPTIONS:-}
    wait_until 5 curl -sf "http://$(store_addr 0):$STORE_PORT/control/stats"
}

# Sends a control command to the store. Usage: platform_order JSON
platform_order() {
    curl -sf -X POST -d "$1" "http://$(store_addr 0):$STORE_PORT/control/order" \
        >/dev/null || fail "the store did not accept the control command $1"
}

platform_stat() {
    curl -sf "http://$(store_addr 0):$STORE_PORT/control/stats" | jq -r ".$1"
}

# Usage: put KEY VALUE
put() {
    platform_order "$(jq -nc --arg k "$1" --arg v "$2" '{put: $k, value: $v}')"
}

# Usage: add_route PORT SERVICE [KIND]
add_route() {
    CONFIG_ROUTES+="{\"name\":\"r-$1\",\"host\":\"$FLOW_ROUTE\",\"prefix\":\"/$1/\",\"kind\":\"${3:-safe}\",\"timeoutMs\":500,\"targetLatencyMs\":100,\"priority\":1,\"service\":\"$2\"},"
}

# Prints the newest configuration.
config_text() {
    echo "{\"version\":$CONFIG_VERSION,\"routes\":[${CONFIG_ROUTES%,}],\"services\":[$CONFIG_SERVICES],\"limits\":{\"idleTimeoutMs\":15000}}"
}

write_config() {
    CONFIG_VERSION=$((CONFIG_VERSION + 1))
    put op/config "$(config_text)"
}

flow_target_addr() {
    echo "$NET.$((150 + $1)):$TARGET_PORT"
}

# Usage: register NUMBER ID SERVICE DOMAIN [STATE]
register() {
    TARGET_SEQUENCE=$((TARGET_SEQUENCE + 1))
    put "servers/$2" "{\"service\":\"$3\",\"address\":\"$(flow_target_addr "$1")\",\"zone\":\"$4\",\"version\":\"v1\",\"slots\":2,\"state\":\"${5:-ready}\",\"coldLeftMs\":$COLD_LEFT_MS,\"sequence\":$TARGET_SEQUENCE}"
}

unregister() {
    platform_order "{\"delete\":\"servers/$1\"}"
}

# Starts a target and registers it. Usage: start_flow_target NUMBER ID SERVICE
# DOMAIN [OPTION...]
start_flow_target() {
    start "$2" "$BUILD/tests/standins/standin-flow-target" \
        --listen "$(flow_target_addr "$1")" --id "$2" --service "$3" \
        --journal "$FLOW_JOURNAL" --caller-port "$FLOW_PORT" --work-ms 5 \
        "${@:5}"
    register "$1" "$2" "$3" "$4"
}

# Usage: write_boot NUMBER DOMAIN
write_boot() {
    local addr
    addr=$(forwarder_addr "$1")
    cat >"$WORK/boot-$1.json" <<BOOT
{"nodeName": "host-$1", "zone": "$2",
 "listen": {"datagramAddr": "$addr:$FLOW_PORT", "ready": "$addr:$READY_PORT",
            "control": "$addr:7166"},
 "internalPorts": [$FLOW_GOSSIP_PORT, 7735],
 "seeds": ["$(forwarder_addr 1):7166", "$(forwarder_addr 2):7166"],
 "bounds": {"configApplyMs": $CHANGE_BOUND_MS, "drainMs": $DRAIN_BOUND_MS,
            "graceS": $GRACE_S, "maxFlowS": $FLOW_MAX_S${BOOT_BOUNDS:-}},
 "hash": "$ROUTERS_HASH",
 "platform": {"address": "$(store_addr "$1"):$STORE_PORT"}}
BOOT
}

# Usage: start_forwarder NUMBER [DOMAIN]
start_forwarder() {
    [ -n "${2:-}" ] && write_boot "$1" "$2"
    PIMENTOHAVEN_BOOT="$WORK/boot-$1.json" \
        start "host-$1" "$BUILD/src/pimentohaven" forward
}

# Usage: ready_status NUMBER
ready_status() {
    curl -s -o /dev/null -w '%{http_code}' -m 2 \
        "http://$(forwarder_addr "$1"):$READY_PORT/api/readiness"
}

is_ready() {
    [ "$(ready_status "$1")" = 200 ]
}

# Usage: metric NUMBER NAME
metric() {
    curl -s -m 2 "http://$(forwarder_addr "$1"):$READY_PORT/metrics" |
        awk -v name="pimentohaven_$2" '$1 == name {print $2}'
}

# Starts the store, three forwarders in two failure domains and two services of
# three targets each.
start_forwarding() {
    local i
    start_platform
    add_route 80 live
    add_route 81 export
    write_config
    for i in 1 2 3; do
        start_flow_target "$i" "i-000000000$i" live "zone-$((i % 2))"
        start_flow_target "$((i + 3))" "i-000000000$((i + 3))" export \
            "zone-$((i % 2))"
    done
    for i in 1 2 3; do
        start_forwarder "$i" "zone-$((i % 2))"
        FORWARDERS+=("$i")
    done
    for i in 1 2 3; do
        wait_until 10 is_ready "$i" || fail "host-$i is not ready"
    done
}

# Starts callers under a name. Their results are written to NAME.log. With an
# empty SERVICE they take answers of any service.
# Usage: start_callers NAME NUMBER PORT SERVICE [OPTION...]
start_callers() {
    local name=$1 number=$2 port=$3 i args=()
    [ -n "$4" ] && args+=(--service "$4")
    shift 4
    for i in "${FORWARDERS[@]}"; do
        args+=(--via "$(forwarder_addr "$i"):$FLOW_PORT")
    done
    start "$name" "$BUILD/tests/standins/standin-flow-caller" \
        --bind "$NET.$((100 + number)):$FLOW_PORT" \
        --route "$FLOW_ROUTE:$port" --label "$name" \
        --seed "$SEED" "${args[@]}" "$@"
}

# Waits for callers to end. Usage: wait_callers NAME SECONDS
wait_callers() {
    wait_gone "$1" "$2" || fail "the callers $1 did not end"
}

# Prints one number of the callers' results. Usage: result NAME FIELD
result() {
    awk -v field="$2" '$1 == field {print $2}' "$WORK/$1.log"
}

# Prints how often an event is in the targets' journal, for one service and one
# target if given. Usage: flow_journal_count EVENT [SERVICE [ID]]
flow_journal_count() {
    awk -v event="$1" -v service="${2:-}" -v id="${3:-}" \
        '$2 == event && (service == "" || $3 == service) &&
         (id == "" || $4 == id)' "$FLOW_JOURNAL" | wc -l
}

# Prints the name of each request that ran more than once.
ran_twice() {
    awk '$2 == "run" {print $5}' "$FLOW_JOURNAL" | sort | uniq -d
}
