#!/usr/bin/env bash
[ -n "${BASH_VERSION:-}" ] || exec bash "$0" "$@"
# Fault ("no request is served"): another writer's entries name a service that
# is not in the configuration, at the addresses of living backends.
source "$(dirname "$0")/../lib-2.sh"
begin
start_store
put op/config "{\"version\":3,\"routes\":[{\"name\":\"r-1\",\"host\":\"$ROUTE\",\"prefix\":\"/8080/\",\"kind\":\"safe\",\"timeoutMs\":500,\"targetLatencyMs\":100,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":2}],\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"
born=$(wall_ms)
zones=(zone-a zone-a zone-b zone-b)
for i in 1 2 3 4; do
    start_target "$i" "i-7f3a91c$i" desk
    register "$i" "i-7f3a91c$i" desk "${zones[i - 1]}" ready 0 "$born"
done
start_balancer 1 zone-a
start_balancer 2 zone-a
start_balancer 3 zone-b
wait_ready 1 2 3
sleep 1
if [ "$TROUBLE" != 0 ]; then
    note "another writer adds entries of the service \"inventory\", which no configuration names"
    for i in 1 2 3 4; do
        register "$i" "i-50c0de0$i" inventory "${zones[i - 1]}" ready 0 "$born"
    done
fi
sleep 4
note "traffic starts"
for n in 1 2; do
    start_callers "clients-$n" "$n" 8080 desk "1 2 3" --flows 10 \
        --requests 100000 --flow-requests 5 --gap-ms $((90 + 20 * n))
done
sleep 30
for n in 1 2; do
    send_signal "clients-$n" TERM
done
sleep 0.5
note "traffic ends; the backends still run:"
for i in 1 2 3 4; do
    kill -0 "${PID_OF[i-7f3a91c$i]}" || cannot_run "backend $i has ended"
done
save_record clients-1 clients-2
answered=$(cat "$WORK"/clients-*.log | grep -c " answered ")
refused=$(cat "$WORK"/clients-*.log | grep -c " refused ")
[ $((answered + refused)) -ge 500 ] || cannot_run "only $((answered + refused)) requests"
[ "$answered" -gt 0 ]
verdict $? "$answered requests were served, $refused refused by a reset"
