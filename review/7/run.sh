#!/usr/bin/env bash
[ -n "${BASH_VERSION:-}" ] || exec bash "$0" "$@"
# FLOW: a change of the configuration shifts a twentieth of a route's new flows
# to new services, nine in its split. Open flows of the route stay where they
# are: their clients get no reset that their backends did not send.
source "$(dirname "$0")/../lib-2.sh"
begin
config() {
    put op/config "{\"version\":$1,\"routes\":[{\"name\":\"r-1\",\"host\":\"$ROUTE\",\"prefix\":\"/8080/\",\"kind\":\"unsafe\",\"timeoutMs\":600,\"targetLatencyMs\":120,\"priority\":1,$2,\"maxAttempts\":2},{\"name\":\"r-2\",\"host\":\"$ROUTE\",\"prefix\":\"/8443/\",\"kind\":\"safe\",\"timeoutMs\":500,\"targetLatencyMs\":100,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":2}],\"services\":[$SERVICES],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"
}
SERVICES=""
SPLIT=""
COUNT=${COUNT:-9}
for i in $(seq "$COUNT"); do
    name=desk
    weight=92
    [ "$i" -gt 1 ] && name=desk-trial-$((i - 1)) && weight=1
    SERVICES+="{\"name\":\"$name\",\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false},"
    SPLIT+="{\"service\":\"$name\",\"weight\":$weight},"
done
SERVICES=${SERVICES%,}
start_store
config 3 '"service":"desk"'
born=$(wall_ms)
for i in 1 2 3 4; do
    start_target "$i" "i-7f3a91c$i" desk
    register "$i" "i-7f3a91c$i" desk "zone-$([ "$i" -le 2 ] && echo a || echo b)" ready 0 "$born"
done
for i in $(seq 2 "$COUNT"); do
    start_target $((i + 3)) "i-7f3a91d$i" "desk-trial-$((i - 1))"
    register $((i + 3)) "i-7f3a91d$i" "desk-trial-$((i - 1))" zone-a ready 0 "$born"
done
start_balancer 1 zone-a
start_balancer 2 zone-a
start_balancer 3 zone-b
wait_ready 1 2 3
sleep 1
start_callers clients 1 8080 desk "1 2 3" --flows 20 --requests 100000 --gap-ms 150
sleep 6
lines=$(wc -l <"$WORK/clients.log")
before=$(grep -c " answered " "$WORK/clients.log")
if [ "$TROUBLE" != 0 ]; then
    config 7 "\"split\":[${SPLIT%,}]"
    note "the configuration of version 7 was accepted: the same route, $COUNT services in its split"
fi
sleep 6
late=$(wc -l <"$WORK/clients.log")
sleep 2
send_signal clients TERM
sleep 0.5
save_record clients
[ "$before" -ge 300 ] || cannot_run "only $before requests were answered"
own=$(grep -c -E " (refuse|unknown-flow) " "$JOURNAL")
resets=$(tail -n "+$((lines + 1))" "$WORK/clients.log" | grep -c " reset ")
refused=$(tail -n "+$((late + 1))" "$WORK/clients.log" | grep -c " refused ")
text="$before requests answered before; then $resets resets of the 20 open flows, of which their backends sent $own; $refused openings refused 6 s after the change and later"
[ "$resets" -le "$own" ]
verdict $? "$text"
