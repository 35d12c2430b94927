#!/usr/bin/env bash
[ -n "${BASH_VERSION:-}" ] || exec bash "$0" "$@"
# FLOW: flows that two backends accepted move to another balancer when theirs is
# stopped as planned. Their clients get no reset that their backends didn't
# send.
source "$(dirname "$0")/../lib-2.sh"
begin
start_store
put op/config "{\"version\":3,\"routes\":[{\"name\":\"r-1\",\"host\":\"$ROUTE\",\"prefix\":\"/8080/\",\"kind\":\"safe\",\"timeoutMs\":500,\"targetLatencyMs\":100,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":2}],\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"
born=$(wall_ms)
backends=()
for i in 1 2 3 4; do
    register "$i" "i-7f3a91c$i" desk "zone-$([ "$i" -le 2 ] && echo a || echo b)" ready 0 "$born"
    backends+=("i-7f3a91c$i=$NET.$((100 + i))")
done
start_balancer 1 zone-a
start_balancer 2 zone-a
start_balancer 3 zone-b
wait_ready 1 2 3
sleep 1
start users "$BIN/users" "$NET.51" "$FLOW_PORT" "$ROUTE" 8080 "${FLOWS:-1500}" \
    "${ANSWER:-16000}" 900 1300 "${LENGTH:-12}" "${SEED:-$RANDOM}" "$TARGET_PORT" 15 \
    "${backends[@]}" -- "$NET.11" "$NET.12" "$NET.13"
sleep "${MOVE_S:-7.6}"
if [ "$TROUBLE" != 0 ]; then
    note "balancer 1 gets SIGTERM"
    send_signal balancer-1 TERM
    sleep 0.9
    note "the routers take it out of rotation after two misses"
    send_signal users USR1
fi
wait_end users 20 || cannot_run "the clients did not end"
log=$WORK/users.log
{
    echo "== monotonic ms, client or backend, event, flow, count"
    cat "$log"
} >>"$RECORD"
answered=$(grep -c " client answered " "$log")
[ "$answered" -ge 1000 ] || cannot_run "only $answered requests were answered"
# Resets of flows that a backend held open, and that it has not sent itself.
awk '$3 == "opens" {open[$4] = $2}
     $3 == "sends-reset" {from[$4] = $2}
     $2 == "client" && $3 == "reset" && ($4 in open) {
         who = ($4 in from) ? from[$4] : "a balancer"
         if (who != open[$4]) print "flow " $4 " is open at " open[$4] ", its client got a reset from " who
     }' "$log" >"$WORK/broken"
cat "$WORK/broken" >>"$RECORD"
count=$(wc -l <"$WORK/broken")
[ "$count" = 0 ]
verdict $? "$answered requests answered, $(grep -c synack-lost "$log") SYN+ACKs lost, $count flows reset by others than their backends"
