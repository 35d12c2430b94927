# Functions shared by the process tests. They start and stop processes by their
# ids, assign loopback addresses, and write settings files and the initial
# configuration.
#
# shellcheck shell=bash

set -uo pipefail

declare -A PIDS=()      # name -> process id
declare -a BALANCERS=() # ids of the deployment's balancers
declare -A BALANCER_ADDR=() BALANCER_DOMAIN=()
declare -A STORE_VIA=() # balancer -> address that it uses for the store
declare -a TARGETS=()
declare -A TARGET_ADDR=() TARGET_SERVICE=() TARGET_DOMAIN=()
declare -A SERVICE_PORT=() SERVICE_TENANT=() SERVICE_OPTIONS=()
declare -a SERVICES=() DOMAINS=()
FAILED=0

STORE_PORT=2379
TARGET_PORT=8080
RELAY_PORT=7401
GOSSIP_PORT=7402
API_PORT=7403
CONTROL_PORT=9000

# Reserves the first free one of the networks 127.NUMBER.1.0/24 to
# 127.NUMBER.250.0/24 and sets NET to its first three bytes. This shell keeps the network locked until it exits, so that tests of
# several checkouts can run at the same time. Usage: take_network NUMBER
take_network() {
    local i
    for i in $(seq 1 250); do
        exec {NET_LOCK}>"${TMPDIR:-/tmp}/pimentohaven-net-$1-$i.lock"
        if flock -n "$NET_LOCK"; then
            NET="127.$1.$i"
            return
        fi
        exec {NET_LOCK}>&-
    done
    echo "no free network" >&2
    exit 1
}

# Sets up a test. NUMBER selects the part of 127.0.0.0/8 that the test uses.
# Usage: e2e_init NUMBER BUILD-DIRECTORY
e2e_init() {
    BUILD=$(cd "$2" && pwd) || exit 1
    take_network "$1"
    STORE="$NET.200:$STORE_PORT"
    FABRIC_ADDR="$NET.210"
    WORK=$(mktemp -d)
    JOURNAL="$WORK/journal"
    : >"$JOURNAL"
    trap e2e_cleanup EXIT
    trap 'exit 1' INT TERM
}

# Keeps the whole logs of a failed test in the build directory and prints their
# ends.
keep_logs() {
    local kept="$BUILD/failed-tests/${0##*/}"
    rm -rf "$kept"
    mkdir -p "$kept"
    cp "$WORK"/*.log "$kept" 2>/dev/null
    echo "logs of the processes, whole in $kept:"
    tail -n 15 "$WORK"/*.log 2>/dev/null
}

e2e_cleanup() {
    local status=$?
    local name
    for name in "${!PIDS[@]}"; do
        kill -KILL "${PIDS[$name]}" 2>/dev/null
        wait "${PIDS[$name]}" 2>/dev/null
    done
    if [ "$status" -ne 0 ] || [ "$FAILED" -ne 0 ]; then
        keep_logs
    fi
    if [ -z "${KEEP:-}" ]; then
        rm -rf "$WORK"
    fi
}

# Starts a command in the background and registers its process id under a name.
# Its output is appended to NAME.log. Usage: start NAME COMMAND...
start() {
    local name=$1
    shift
    "$@" >>"$WORK/$name.log" 2>&1 &
    PIDS[$name]=$!
}

is_running() {
    [ -n "${PIDS[$1]:-}" ] && kill -0 "${PIDS[$1]}" 2>/dev/null
}

# Waits until a process has ended. Usage: wait_gone NAME SECONDS
wait_gone() {
    local tries=$(($2 * 20))
    while is_running "$1"; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || return 1
        sleep 0.05
    done
}

# Ends a process, waits for it and removes its name. Returns its exit status.
# Usage: stop NAME [SIGNAL]
stop() {
    local pid=${PIDS[$1]:-}
    [ -n "$pid" ] || return 0
    kill "-${2:-TERM}" "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
    local status=$?
    unset "PIDS[$1]"
    return "$status"
}

# Usage: send_signal NAME SIGNAL
send_signal() {
    kill "-$2" "${PIDS[$1]}"
}

# Repeats a command until it succeeds; fails after SECONDS.
# Usage: wait_until SECONDS COMMAND...
wait_until() {
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$deadline" ] || return 1
        sleep 0.1
    done
}

# Reports a failed check. The test continues, and e2e_finish makes it fail.
fail() {
    echo "FAILED: $*"
    FAILED=$((FAILED + 1))
}

# Reports a failure and ends the test at once.
die() {
    echo "FAILED: $*"
    exit 1
}

# Usage: expect WHAT EXPECTED ACTUAL
expect() {
    if [ "$2" = "$3" ]; then
        echo "ok: $1"
    else
        fail "$1: expected '$2', got '$3'"
    fi
}

# Usage: expect_at_most WHAT LIMIT ACTUAL
expect_at_most() {
    if [ "$3" -le "$2" ]; then
        echo "ok: $1 ($3, at most $2)"
    else
        fail "$1: $3 is more than $2"
    fi
}

# Usage: expect_at_least WHAT LIMIT ACTUAL
expect_at_least() {
    if [ "$3" -ge "$2" ]; then
        echo "ok: $1 ($3, at least $2)"
    else
        fail "$1: $3 is less than $2"
    fi
}

e2e_finish() {
    if [ "$FAILED" -ne 0 ]; then
        echo "$FAILED checks failed"
        exit 1
    fi
    echo "all checks passed"
    exit 0
}

# --- control endpoints -----------------------------------------------------

# Sends a control command to a stand-in. Usage: order ADDRESS:PORT JSON
order() {
    curl -sf -m 5 -X POST "http://$1/control" -d "$2" >/dev/null ||
        die "$1 did not accept the control command $2"
}
store_order() { order "$STORE" "$1"; }
fabric_order() { order "$FABRIC_ADDR:$CONTROL_PORT" "$1"; }
target_order() { order "${TARGET_ADDR[$1]}:$TARGET_PORT" "$2"; }

# Usage: target_stat TARGET MEMBER
target_stat() {
    curl -sf -m 5 "http://${TARGET_ADDR[$1]}:$TARGET_PORT/control/stats" |
        jq -r ".$2"
}

store_stat() {
    curl -sf -m 5 "http://$STORE/control/stats" | jq -r ".$1"
}

# --- deployments -----------------------------------------------------------

# Sets the domains, services (NAME:PORT:TENANT:TARGETS) and balancers of a
# deployment. Targets and balancers are assigned to the domains in turn.
# Usage: deployment jibu|jibu_small|szakito|szakito_small
deployment() {
    local services balancers
    case $1 in
    jibu)
        DOMAINS=(upper-hill westlands industrial-area karen)
        services="jibu-live:5801:jibu:14 jibu-export:5802:jibu:4"
        balancers=8
        CLIENT_DELAY_MS=3
        ;;
    jibu_small)
        DOMAINS=(westlands karen)
        services="jibu-live:5801:jibu:3 jibu-export:5802:jibu:2"
        balancers=3
        CLIENT_DELAY_MS=0
        ;;
    szakito)
        DOMAINS=(hall-a hall-b hall-c)
        services="rigctl:5811:szakito:14 certdesk:5812:szakito:4"
        balancers=7
        CLIENT_DELAY_MS=1
        ;;
    szakito_small)
        DOMAINS=(hall-a hall-b)
        services="rigctl:5811:szakito:3 certdesk:5812:szakito:2"
        balancers=3
        CLIENT_DELAY_MS=0
        ;;
    *) die "unknown deployment $1" ;;
    esac
    local i
    for ((i = 1; i <= balancers; i++)); do
        BALANCERS+=("host-$i")
        BALANCER_ADDR[host-$i]="$NET.$i"
        BALANCER_DOMAIN[host-$i]=${DOMAINS[$(((i - 1) % ${#DOMAINS[@]}))]}
    done
    deployment_services "$services"
}

deployment_services() {
    local spec name port tenant count i next=20
    for spec in $1; do
        IFS=: read -r name port tenant count <<<"$spec"
        SERVICES+=("$name")
        SERVICE_PORT[$name]=$port
        SERVICE_TENANT[$name]=$tenant
        for ((i = 1; i <= count; i++)); do
            TARGETS+=("$name-$i")
            TARGET_ADDR[$name-$i]="$NET.$next"
            TARGET_SERVICE[$name-$i]=$name
            TARGET_DOMAIN[$name-$i]=${DOMAINS[$(((i - 1) % ${#DOMAINS[@]}))]}
            next=$((next + 1))
        done
    done
}

# Prints the store's key and first version of a resource as a JSON object.
# Usage: resource KIND/ID FIELDS-AS-JSON
resource() {
    jq -nc --arg key "pimentohaven/v1/$1" --argjson fields "$2" \
        '{($key): ({version: 1, writes: [], deleted: false} + $fields)}'
}

target_fields() {
    jq -nc --arg service "${TARGET_SERVICE[$1]}" \
        --arg domain "${TARGET_DOMAIN[$1]}" --arg address "${TARGET_ADDR[$1]}" \
        --argjson port "$TARGET_PORT" --arg state "${2:-active}" \
        --argjson slots "${TARGET_SLOTS:-2}" \
        '{service: $service, domain: $domain, address: $address, port: $port,
          slots: $slots, connections: 2000, state: $state}'
}

service_fields() {
    jq -nc --arg tenant "${SERVICE_TENANT[$1]}" \
        --argjson port "${SERVICE_PORT[$1]}" \
        --argjson domains "$(printf '%s\n' "${DOMAINS[@]}" | jq -R . | jq -sc .)" \
        '{tenant: $tenant, port: $port, domains: $domains, deadline_ms: 5000,
          body_limit: 65536, tenant_in_path: false}'
}

host_fields() {
    jq -nc --arg domain "${BALANCER_DOMAIN[$1]}" \
        --arg address "${BALANCER_ADDR[$1]}" \
        '{domain: $domain, address: $address, state: "active"}'
}

# Writes the initial configuration: every resource of the deployment under its
# key in the store.
write_first_keys() {
    local id secret
    secret=$(printf '%032d' 7 | base64 -w0)
    {
        for id in "${SERVICES[@]}"; do
            resource "service/$id" "$(service_fields "$id")"
        done
        for id in "${TARGETS[@]}"; do
            resource "target/${TARGET_SERVICE[$id]}/$id" "$(target_fields "$id")"
        done
        for id in "${BALANCERS[@]}"; do
            resource "host/$id" "$(host_fields "$id")"
        done
        resource key_ring/tokens \
            "{\"keys\": [{\"id\": 1, \"secret\": \"$secret\"}]}"
    } | jq -s add >"$WORK/keys.json"
}

write_host_list() {
    local id
    for id in "${BALANCERS[@]}"; do
        jq -nc --arg id "$id" --arg address "${BALANCER_ADDR[$id]}" \
            --arg domain "${BALANCER_DOMAIN[$id]}" \
            --argjson gossip "$GOSSIP_PORT" \
            '{id: $id, address: $address, domain: $domain, state: "live",
              gossip: $gossip}'
    done | jq -s '{hosts: .}' >"$WORK/hosts.json"
}

# Usage: write_settings BALANCER
write_settings() {
    local id=$1 seed
    {
        echo "host:"
        echo "  id: $id"
        echo "  domain: ${BALANCER_DOMAIN[$id]}"
        echo "  address: ${BALANCER_ADDR[$id]}"
        echo "ports:"
        echo "  relay: $RELAY_PORT"
        echo "  gossip: $GOSSIP_PORT"
        echo "  api: $API_PORT"
        echo "platform:"
        echo "  endpoints:"
        echo "    - address: ${STORE_VIA[$id]:-${STORE%:*}}"
        echo "      port: $STORE_PORT"
        [ ${#BALANCERS[@]} -gt 1 ] && echo "seeds:"
        for seed in "${BALANCERS[@]}"; do
            if [ "$seed" != "$id" ]; then
                echo "  - address: ${BALANCER_ADDR[$seed]}"
                echo "    port: $GOSSIP_PORT"
            fi
        done
        echo "log:"
        echo "  level: ${LOG_LEVEL:-info}"
        echo "limits:"
        echo "  flows: ${FLOWS:-20000}"
        echo "  drain_timeout_ms: ${DRAIN_TIMEOUT_MS:-20000}"
    } >"$WORK/$id.yaml"
}

start_store() {
    start store "$BUILD/tests/standins/standin-store" --listen "$STORE" \
        --load "$WORK/keys.json" --hosts "$WORK/hosts.json"
    wait_until 10 curl -sf "http://$STORE/control/stats" ||
        die "the store did not start"
}

# Usage: start_target TARGET [OPTION...]
start_target() {
    local id=$1
    shift
    # shellcheck disable=SC2086
    start "$id" "$BUILD/tests/standins/standin-target" \
        --listen "${TARGET_ADDR[$id]}:$TARGET_PORT" --id "$id" \
        --service "${TARGET_SERVICE[$id]}" --journal "$JOURNAL" \
        --seed "$(printf '%s' "$id" | cksum | cut -d' ' -f1)" \
        ${TARGET_OPTIONS:-} ${SERVICE_OPTIONS[${TARGET_SERVICE[$id]}]:-} "$@"
}

start_targets() {
    local id
    for id in "${TARGETS[@]}"; do
        start_target "$id"
    done
    for id in "${TARGETS[@]}"; do
        wait_until 10 curl -sf "http://${TARGET_ADDR[$id]}:$TARGET_PORT/health" ||
            die "target $id did not start"
    done
}

start_balancer() {
    write_settings "$1"
    start "$1" "$BUILD/src/pimentohaven" serve --config "$WORK/$1.yaml"
}

# Usage: start_fabric [OPTION...]
start_fabric() {
    local args=() id
    for id in "${SERVICES[@]}"; do
        args+=(--listen "$FABRIC_ADDR:${SERVICE_PORT[$id]}")
    done
    for id in "${BALANCERS[@]}"; do
        args+=(--entry "${BALANCER_ADDR[$id]}")
    done
    start fabric "$BUILD/tests/standins/standin-fabric" "${args[@]}" \
        --control "$FABRIC_ADDR:$CONTROL_PORT" --seed "${SEED:-1}" \
        --delay-ms "$CLIENT_DELAY_MS" "$@"
    wait_until 10 curl -sf "http://$FABRIC_ADDR:$CONTROL_PORT/control/stats" ||
        die "the fabric did not start"
}

# True when a balancer answers a GET for each service.
balancer_is_ready() {
    local service
    is_running "$1" || return 1
    for service in "${SERVICES[@]}"; do
        coap_get "${BALANCER_ADDR[$1]}" "$service" /echo/ready |
            grep -q "\"service\":\"$service\"" || return 1
    done
}

# Starts the store, targets, balancers and fabric, waits until every balancer
# answers, and empties the journal.
start_all() {
    local id
    write_first_keys
    write_host_list
    start_store
    start_targets
    for id in "${BALANCERS[@]}"; do
        start_balancer "$id"
    done
    start_fabric
    for id in "${BALANCERS[@]}"; do
        wait_until 20 balancer_is_ready "$id" ||
            die "balancer $id did not become ready"
    done
    : >"$JOURNAL"
}

# Writes a target's state to the store as an operator would.
# Usage: set_target_state TARGET active|draining
declare -A VERSION=() # target -> last version written
set_target_state() {
    VERSION[$1]=$((${VERSION[$1]:-1} + 1))
    store_order "$(jq -nc --argjson fields "$(target_fields "$1" "$2")" \
        --argjson version "${VERSION[$1]}" \
        --arg key "pimentohaven/v1/target/${TARGET_SERVICE[$1]}/$1" \
        '{put: {($key): ({version: $version, writes: [], deleted: false}
                         + $fields)}}')"
}

# --- callers ---------------------------------------------------------------

COAP=coap-client-notls

# Usage: coap_get ADDRESS SERVICE PATH [OPTION...]
coap_get() {
    local address=$1 service=$2 path=$3
    shift 3
    timeout "${COAP_TIMEOUT:-10}" $COAP -B "${COAP_WAIT:-8}" -m get "$@" \
        "coap://$address:${SERVICE_PORT[$service]}$path" 2>&1
}

# Usage: coap_post ADDRESS SERVICE PATH BODY [OPTION...]
coap_post() {
    local address=$1 service=$2 path=$3 body=$4
    shift 4
    timeout "${COAP_TIMEOUT:-10}" $COAP -B "${COAP_WAIT:-8}" -m post \
        -e "$body" "$@" "coap://$address:${SERVICE_PORT[$service]}$path" 2>&1
}

# Usage: call VERB SERVICE PATH [OPTION...]
call() {
    local verb=$1 service=$2 path=$3
    shift 3
    timeout "${CALL_TIMEOUT:-30}" "$BUILD/src/pimentohaven" call "$verb" \
        --via "$FABRIC_ADDR:${SERVICE_PORT[$service]}" "$@" "$path"
}

# --- load ------------------------------------------------------------------

# Starts the load tool in the background on the services of the deployment.
# Usage: start_load OPTION...
start_load() {
    local args=() id
    for id in "${SERVICES[@]}"; do
        args+=(--via "$id=$FABRIC_ADDR:${SERVICE_PORT[$id]}")
    done
    for id in "${TARGETS[@]}"; do
        args+=(--target "${TARGET_ADDR[$id]}:$TARGET_PORT")
    done
    start load "$BUILD/tools/load/pimentohaven-load" "${args[@]}" \
        --journal "$JOURNAL" --json "$WORK/load.json" --seed "${SEED:-1}" "$@"
}

# Waits for the load tool and prints its report.
finish_load() {
    wait "${PIDS[load]}" || fail "the load tool failed"
    unset "PIDS[load]"
    cat "$WORK/load.log"
    rm -f "$WORK/load.log"
}

# Usage: report JQ-EXPRESSION
report() {
    jq -r "$1" "$WORK/load.json"
}

# Prints a result summed over all traffic of a kind.
# Usage: report_sum KIND RESULT
report_sum() {
    report "[.traffic[] | select(.kind == \"$1\") | .$2] | add // 0"
}

# Checks the guarantees for commands, which hold under every failure.
check_commands() {
    expect_at_least "commands were sent" 1 "$(report .commands.sent)"
    expect "no command ran twice" 0 "$(report .commands.doubled)"
    expect "no answered command was lost" 0 "$(report .commands.lost)"
    expect "no command ran that was reported as not run" 0 \
        "$(report .commands.not_run_false)"
    expect "no command ran that was not sent" 0 "$(report .commands.foreign)"
    expect "no misdirected request" 0 "$(report .commands.misdirected)"
    expect "no wrong answer" 0 "$(report '[.traffic[].wrong] | add')"
}

# --- journals --------------------------------------------------------------

# Prints how often the journal contains an event, for one path if given.
# Usage: journal_count EVENT [PATH]
journal_count() {
    awk -v event="$1" -v path="${2:-}" \
        '$2 == event && (path == "" || $5 == path) { n++ } END { print n + 0 }' \
        "$JOURNAL"
}

# Prints the paths of commands that began more than once.
journal_doubled() {
    awk '$2 == "begin" { n[$5]++ } END { for (p in n) if (n[p] > 1) print p }' \
        "$JOURNAL"
}

# Checks what holds in every test: no command ran twice, and no request reached
# a target of another service.
check_journal() {
    expect "no command ran twice" "" "$(journal_doubled)"
    expect "no misdirected request" 0 "$(journal_count misdirected)"
}
