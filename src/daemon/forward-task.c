#include "daemon/forward-task.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <xxhash.h>

#define LOG_MODULE "forward"
#include "base/clock.h"
#include "base/log-rate-limit.h"
#include "base/log.h"
#include "coordination/flow-identity.h"
#include "coordination/flow-placement.h"
#include "coordination/opened-flows.h"
#include "coordination/own-delay.h"
#include "coordination/passive-health.h"
#include "coordination/view-message.h"
#include "daemon/forward-log.h"
#include "daemon/forward-speed.h"
#include "daemon/target-reach.h"
#include "state/flow-times.h"
#include "state/recent-flows.h"

/* Maximum time after an unanswered opening packet (SYN) within which an
 * opening packet from another port of the same caller counts as its next
 * attempt. */
#define CALLER_RETRY_MAX_US (1 * USEC_PER_SEC)
/* Maximum number of flows for which retransmissions are detected. */
#define RECENT_FLOWS_MAX 16384
/* Time without packets after which the state of a flow is removed. Later
 * packets of the flow are still forwarded to its target, but count as first
 * packets. */
#define RECENT_FLOW_IDLE_US (20 * USEC_PER_SEC)
#define EXPIRE_INTERVAL_S 1
/* Maximum number of log lines per second on openings that begin or cease to be
 * refused. */
#define REFUSING_LINES_PER_SECOND 5
/* Maximum number of packets that wait for the first view, and maximum wait. A
 * view is normally received within tens of milliseconds after the start, from
 * a peer within 300 ms. If it takes longer, neither store nor peer can be
 * reached and the time of the first view is unknown, so opening packets are
 * reset at once from then on. */
#define EARLY_PACKETS_MAX 256
#define EARLY_WAIT_MAX_US (400 * USEC_PER_MSEC)

/* A packet that was received before the first view. */
struct early_packet {
    struct list link;
    uint64_t arrived; /* us */
    size_t size;
    uint8_t data[];
};

struct forward_task {
    const struct flow_packet_format *format;
    struct forward_view *view;
    struct own_delay *own_delay;         /* not owned */
    struct cold_claims *cold_claims;     /* not owned */
    struct domain_load *load;            /* not owned */
    struct opening_admission *admission; /* NULL: all are admitted */
    struct forward_callbacks cb;
    const char *domain;         /* this failure domain, interned */
    uint64_t host_hash;         /* id_hash() of this host */
    uint64_t flow_max_us;       /* maximum lifetime of a flow */
    bool flows_stay;            /* see struct forward_settings */
    uint64_t trial_interval_us; /* see passive_health_trial_interval() */
    uint64_t started;           /* start of the task, us */
    uint16_t return_port;       /* port at which callers receive resets */
    struct udp_socket *socket;
    struct event *expire; /* once a second: removes idle flows */
    /* Confirms the silence of the targets in "doubted". */
    struct event *confirm;
    GArray *doubted; /* cookies of targets whose silence is due, uint32_t */
    struct target_reach_table *reach;
    struct recent_flows *flows;
    struct opened_flows *opened;
    struct flow_times *times;
    struct forward_speed *speed;
    struct list early; /* struct early_packet, oldest first */
    size_t early_count;
    struct event *early_timeout; /* ends the wait for the first view */
    bool early_wait_over;        /* early_timeout has fired */
    struct random random;
    struct forward_counters counters;
    struct forward_log log;
    struct log_rate_limit refusing_log;
};

/* A packet being handled. */
struct inbound_packet {
    struct flow_packet packet;
    const struct forward_route *route; /* set for packets of open flows only */
    uint8_t *data;
    size_t size;
    uint64_t now;     /* start of handling, us */
    uint64_t arrived; /* when the kernel received it, us */
    bool two_targets; /* two targets have accepted its flow */
};

static const char *const drop_names[] = {
    [FORWARD_DROP_MALFORMED] = "malformed",
    [FORWARD_DROP_NO_ROUTE] = "no_route",
    [FORWARD_DROP_NO_VIEW] = "no_view",
    [FORWARD_DROP_UNKNOWN_TARGET] = "unknown_target",
    [FORWARD_DROP_UNKNOWN_FLOW] = "unknown_flow",
    [FORWARD_DROP_FORGED] = "forged",
    [FORWARD_DROP_REPEATED] = "repeated",
    [FORWARD_DROP_GIVEN_UP] = "given_up",
    [FORWARD_DROP_OPEN_ALREADY] = "open_already",
    [FORWARD_DROP_NOT_SENT] = "not_sent",
};

static const char *const reset_names[] = {
    [FORWARD_RESET_NO_ROUTE] = "no_route",
    [FORWARD_RESET_NO_TARGET] = "no_target",
    [FORWARD_RESET_NO_VIEW] = "no_view",
    [FORWARD_RESET_TARGET_SILENT] = "target_silent",
    [FORWARD_RESET_TARGET_REPLACED] = "target_replaced",
    [FORWARD_RESET_DOMAIN_EMPTIED] = "domain_emptied",
    [FORWARD_RESET_REGION] = "no_target_in_region",
    [FORWARD_RESET_COLD_LIMIT] = "cold_limit",
    [FORWARD_RESET_NO_ROOM] = "no_room",
};

const char *
forward_drop_name(enum forward_drop drop)
{
    return drop_names[drop];
}

const char *
forward_reset_name(enum forward_reset reset)
{
    return reset_names[reset];
}

static struct forward_view_info
get_view_info(const struct forward_task *task)
{
    return (struct forward_view_info){
        .position = forward_view_position(task->view),
        .age_us = task->cb.view_age_us(task->cb.ctx)};
}

static void
drop(struct forward_task *task, const struct inbound_packet *in,
     enum forward_drop why)
{
    const struct forward_view_info view_info = get_view_info(task);

    task->counters.drops[why]++;
    forward_log_dropped(&task->log, &in->packet, drop_names[why], &view_info,
                        in->now);
}

/* Sends a reset to the sender of a packet, which ends the packet's flow. */
static void
send_reset(struct forward_task *task, const struct flow_packet *packet,
           enum forward_reset why)
{
    const struct endpoint caller = {packet->src_addr, task->return_port};
    uint8_t out[FLOW_PACKET_SIZE_MAX];
    size_t size = task->format->make_reset(packet, out);

    task->counters.resets[why]++;
    udp_socket_send(task->socket, &caller, out, size);
}

/* Sends a reset in answer to an opening packet, which means that nothing was
 * run. */
static void
refuse(struct forward_task *task, const struct flow_packet *packet,
       enum forward_reset why)
{
    const struct forward_view_info view_info = get_view_info(task);

    send_reset(task, packet, why);
    forward_log_reset(&task->log, packet, reset_names[why], &view_info,
                      clock_monotonic_us());
}

static uint64_t
age_of(uint64_t at, uint64_t now)
{
    return at == 0 || at > now ? 0 : now - at;
}

/* Describes what is known of a target, for logs. "target" may be NULL. */
static struct forward_evidence
describe_evidence(const struct forward_task *task,
                  const struct forward_target *target, enum forward_reset why,
                  uint64_t now)
{
    struct forward_evidence evidence = {
        .cause = reset_names[why],
        .target = "unknown",
        .reach = target_reach_name(TARGET_REACH_UNKNOWN)};
    const struct target_observations *obs;

    if (target == NULL) {
        return evidence;
    }
    obs = &target->observations;
    evidence.target = target->record.id;
    evidence.reach =
        target_reach_name(target_reach_get(task->reach, target->cookie, now));
    evidence.alive_age_us = age_of(obs->alive_at, now);
    evidence.misses = obs->misses;
    evidence.verdict_age_us = age_of(obs->silent_at, now);
    return evidence;
}

/* Describes a flow for logs. "flow" is NULL when it is not known here. */
static struct forward_flow_state
describe_flow(const struct recent_flow *flow, bool first, uint64_t now)
{
    if (flow == NULL) {
        return (struct forward_flow_state){.first = true};
    }
    return (struct forward_flow_state){
        .first = first,
        .waiting = flow->waiting,
        .repeats = flow->repeats,
        .sent_age_us = age_of(flow->sent_at, now),
        .open_age_us = age_of(flow->opened_at, now)};
}

/* Sends a reset that ends an open flow. "target" is the flow's target, NULL
 * when it is not known; "state" is what is known of the flow. */
static void
end_flow(struct forward_task *task, const struct flow_packet *packet,
         const struct forward_target *target,
         const struct forward_flow_state *state, enum forward_reset why)
{
    uint64_t now = clock_monotonic_us();
    const struct forward_evidence evidence =
        describe_evidence(task, target, why, now);
    const struct forward_view_info view_info = get_view_info(task);

    task->counters.ended[why]++;
    send_reset(task, packet, why);
    forward_log_ended(&task->log, packet, &evidence, state, &view_info, now);
}

static void
send_to_target(struct forward_task *task, const struct inbound_packet *in,
               const struct forward_target *target)
{
    const struct endpoint to = {target->record.addr, target->record.port};

    udp_socket_queue(task->socket, &to, target->record.tag, TARGET_TAG_SIZE,
                     in->data, in->size);
    task->counters.packets_forwarded++;
    own_delay_on_transfer(task->own_delay, OWN_DELAY_SEND, in->size, in->now);
}

/* Sends an opening packet to a target. Its cookie differs from that of later
 * packets: two targets may accept a flow, and the caller returns the cookie
 * that it received last. */
static void
send_opening(struct forward_task *task, const struct inbound_packet *in,
             const struct forward_target *target)
{
    task->format->set_cookie(
        in->data, task->flows_stay ? forward_opening_cookie(target->cookie)
                                   : target->cookie);
    send_to_target(task, in, target);
}

/* Resets an open flow whose target does not answer, so that the caller can try
 * another target. */
static void
reset_flow(struct forward_task *task, struct recent_flow *flow,
           enum forward_reset why)
{
    const struct flow_packet packet = {
        .src_addr = flow->key.caller_addr,
        .src_port = flow->key.caller_port,
        .dst_addr = flow->key.route_addr,
        .dst_port = flow->key.route_port,
        .ack = flow->ack,
    };

    const uint64_t now = clock_monotonic_us();
    const struct forward_flow_state state = describe_flow(flow, false, now);

    flow->waiting = false;
    end_flow(task, &packet, forward_view_target(task->view, flow->cookie),
             &state, why);
}

/* Resets all open flows of a target that is known here. */
static void
reset_open_flows(struct forward_task *task,
                 const struct forward_target *target, enum forward_reset why)
{
    for (struct recent_flow *flow = recent_flows_first(task->flows);
         flow != NULL; flow = recent_flows_next(task->flows, flow)) {
        /* The record of a caller's last opening is no flow. */
        if (flow->cookie == target->cookie && flow->open &&
            flow->key.caller_port != 0 && (flow->waiting || !flow->closing)) {
            reset_flow(task, flow, why);
        }
    }
}

static enum forward_reset
silence_cause(const struct forward_target *target)
{
    return forward_target_is_replaced(target) ? FORWARD_RESET_TARGET_REPLACED
                                              : FORWARD_RESET_TARGET_SILENT;
}

/* Whether the silence of a target ends open flows. A host that answers at the
 * address of a target that was replaced does so for another one. */
static bool
may_end_flows(const struct forward_task *task,
              const struct forward_target *target, uint64_t now)
{
    return passive_health_may_end_flows(
        &target->observations,
        forward_target_is_replaced(target)
            ? TARGET_REACH_DOWN
            : target_reach_get(task->reach, target->cookie, now),
        now);
}

/* Whether all open flows of a target are ended. */
static bool
is_dead(const struct forward_task *task, const struct forward_target *target,
        uint64_t now)
{
    return (forward_target_is_replaced(target) ||
            passive_health_is_dead(&target->observations, now)) &&
           may_end_flows(task, target, now);
}

/* Whether a flow is ended because its target has not answered its request,
 * which the caller has already retransmitted. */
static bool
ends_unanswered(const struct forward_task *task,
                const struct recent_flow *flow,
                const struct forward_target *target, uint64_t now)
{
    const struct forward_route *route;

    if (!flow->waiting || flow->repeats == 0 ||
        !may_end_flows(task, target, now)) {
        return false;
    }
    route = forward_view_route(task->view, flow->key.route_addr,
                               flow->key.route_port);
    return passive_health_ends_request(
        &target->observations, route != NULL && route->record.repeatable, now);
}

/* Resets the open flows of a target that wait for an answer and whose callers
 * have already retransmitted, where their requests may be repeated, if its
 * silence is evidence enough. */
static void
reset_waiting_flows(struct forward_task *task,
                    const struct forward_target *target, uint64_t now)
{
    if (!may_end_flows(task, target, now)) {
        return;
    }
    for (struct recent_flow *flow = recent_flows_first(task->flows);
         flow != NULL; flow = recent_flows_next(task->flows, flow)) {
        if (flow->cookie == target->cookie && flow->open &&
            ends_unanswered(task, flow, target, now)) {
            reset_flow(task, flow, silence_cause(target));
        }
    }
}

static void
start_confirm_timer(struct forward_task *task)
{
    const struct timeval delay = {.tv_usec = PASSIVE_HEALTH_CONFIRM_US};

    if (task->doubted->len > 0 &&
        !event_pending(task->confirm, EV_TIMEOUT, NULL)) {
        event_add(task->confirm, &delay);
    }
}

static bool
has_open_flows(const struct forward_task *task, uint32_t cookie)
{
    for (const struct recent_flow *flow = recent_flows_first(task->flows);
         flow != NULL; flow = recent_flows_next(task->flows, flow)) {
        if (flow->open && flow->cookie == cookie) {
            return true;
        }
    }
    return false;
}

/* Has the host of a target that seems silent checked, where open flows depend
 * on the result. */
static void
check_reach(struct forward_task *task, const struct forward_target *target,
            uint64_t now)
{
    if (has_open_flows(task, target->cookie)) {
        target_reach_check(task->reach, target, now);
    }
}

/* Whether the misses of a silent target are recent. */
static bool
is_silent_now(const struct forward_target *target, uint64_t now)
{
    return target->observations.silent &&
           now <=
               target->observations.last_miss_at + PASSIVE_HEALTH_EVIDENCE_US;
}

/* Has a target whose silence is due checked at intervals until it is dead or
 * an answer was seen. */
static void
doubt_target(struct forward_task *task, struct forward_target *target)
{
    if (target->observations.silence_due_at == 0 ||
        target->observations.doubted) {
        return;
    }
    target->observations.doubted = true;
    check_reach(task, target, clock_monotonic_us());
    g_array_append_val(task->doubted, target->cookie);
    start_confirm_timer(task);
}

/* Resets the waiting flows of a target that has become silent, and all its
 * open flows when it counts as dead, once its host was checked. Returns
 * whether it has to be looked at again. */
static bool
check_doubted(struct forward_task *task, struct forward_target *target,
              uint64_t now)
{
    if (passive_health_confirm_silence(&target->observations, now)) {
        passive_health_spread_trials(&target->observations, now,
                                     task->trial_interval_us,
                                     random_unit(&task->random));
        log_fields(LOG_LEVEL_WARN, LOG_MODULE,
                   LOG_FIELDS({"target", target->record.id}), "target_silent");
    }
    if (is_silent_now(target, now)) {
        check_reach(task, target, now);
        reset_waiting_flows(task, target, now);
    }
    if (is_dead(task, target, now)) {
        const struct forward_evidence evidence =
            describe_evidence(task, target, silence_cause(target), now);

        forward_log_dead(&task->log, &evidence, now);
        reset_open_flows(task, target, silence_cause(target));
        return false;
    }
    return is_silent_now(target, now) ||
           target->observations.silence_due_at != 0;
}

/* The host of a target that seems silent was checked. */
static void
on_reach(void *ctx, uint32_t cookie)
{
    struct forward_task *task = ctx;
    const struct forward_target *target =
        forward_view_target(task->view, cookie);

    if (target != NULL) {
        reset_waiting_flows(task, target, clock_monotonic_us());
    }
}

static void
on_confirm(evutil_socket_t fd, short what, void *arg)
{
    struct forward_task *task = arg;
    uint64_t now = clock_monotonic_us();
    guint kept = 0;

    for (guint i = 0; i < task->doubted->len; i++) {
        uint32_t cookie = g_array_index(task->doubted, uint32_t, i);
        struct forward_target *target =
            forward_view_target(task->view, cookie);

        if (target == NULL) {
            continue;
        }
        if (check_doubted(task, target, now)) {
            g_array_index(task->doubted, uint32_t, kept) = cookie;
            kept++;
        }
        else {
            target->observations.doubted = false;
        }
    }
    g_array_set_size(task->doubted, kept);
    start_confirm_timer(task);
}

/* Has the peers notified of what was observed here and not reported yet. */
static void
report(struct forward_task *task, struct forward_target *target)
{
    if (target->observations.unreported_misses > 0 ||
        target->observations.unreported_silence ||
        target->observations.unreported_answer) {
        task->cb.target_observed(task->cb.ctx, target);
    }
}

/* Records that a packet received at "arrived" retransmits one that was
 * forwarded to the target at "sent_at", so the target has not answered. It
 * shows nothing when this host may have delayed the packet itself. */
static void
note_miss(struct forward_task *task, struct forward_target *target,
          uint64_t sent_at, uint64_t arrived)
{
    if (own_delay_covers(task->own_delay, sent_at, clock_monotonic_us())) {
        return;
    }
    if (passive_health_on_miss(&target->observations, sent_at, arrived,
                               clock_monotonic_us())) {
        report(task, target);
        doubt_target(task, target);
    }
}

/* Tells the peers of an answer that ends a claim on the target's address: they
 * send it new flows again, too. "was_replaced" is the state before the
 * answer. */
static void
note_refuted_claim(struct forward_task *task, struct forward_target *target,
                   bool was_replaced)
{
    if (!was_replaced || forward_target_is_replaced(target)) {
        return;
    }
    log_fields(LOG_LEVEL_INFO, LOG_MODULE,
               LOG_FIELDS({"target", target->record.id}),
               "address_claim_refuted");
    target->observations.unreported_answer = true;
    report(task, target);
}

void
forward_task_reported(struct forward_task *task, uint32_t cookie,
                      unsigned misses, uint64_t sent_at)
{
    struct forward_target *target = forward_view_target(task->view, cookie);
    uint64_t now = clock_monotonic_us();

    if (target == NULL) {
        return;
    }
    if (misses == 0) {
        bool replaced = forward_target_is_replaced(target);

        passive_health_on_peer_answer(&target->observations, sent_at);
        note_refuted_claim(task, target, replaced);
    }
    else if (misses >= OBSERVATION_SILENT) {
        passive_health_on_peer_silence(&target->observations, sent_at, now);
    }
    else {
        passive_health_on_peer_misses(&target->observations, misses, sent_at,
                                      now);
    }
    doubt_target(task, target);
    report(task, target);
}

/* Records a miss of the target that received the previous copy of a
 * retransmitted opening packet, as it did not answer in time. */
static void
note_opening_missed(struct forward_task *task, struct recent_flow *flow,
                    uint64_t arrived)
{
    struct forward_target *target;

    if (flow->tried_count == 0 || flow->open) {
        return;
    }
    target =
        forward_view_target(task->view, flow->tried[flow->tried_count - 1]);
    if (target != NULL) {
        note_miss(task, target, flow->sent_at, arrived);
    }
}

/* Returns the record of the last opening packet of a caller on a route, from
 * any of its ports. It is stored as a flow with caller port 0, which no real
 * flow has. */
static struct recent_flow *
touch_caller(struct forward_task *task, const struct flow_packet *packet,
             uint64_t now)
{
    struct recent_flow_key key = flow_identity_key(packet);

    key.caller_port = 0;
    return recent_flows_touch(task->flows, &key, now);
}

/* Excludes the target that did not accept the last opening packet of a caller:
 * a caller whose opening packet was refused tries again at once from another
 * port. */
static void
avoid_unanswered_target(struct forward_task *task, struct recent_flow *flow,
                        const struct inbound_packet *in)
{
    const struct recent_flow *caller =
        touch_caller(task, &in->packet, in->now);

    if (in->packet.ack == 0 && !caller->open && caller->cookie != 0 &&
        in->now - caller->sent_at < CALLER_RETRY_MAX_US) {
        flow->tried[0] = caller->cookie;
        flow->tried_count = 1;
    }
}

static void
note_tried(struct recent_flow *flow, uint32_t cookie, uint64_t now)
{
    if (flow->tried_count < RECENT_TRIED_MAX) {
        flow->tried[flow->tried_count] = cookie;
        flow->tried_count++;
    }
    flow->offered = cookie;
    flow->sent_at = now;
}

/* Records the target of a caller's opening packet for
 * avoid_unanswered_target(). */
static void
note_caller(struct forward_task *task, const struct inbound_packet *in,
            uint32_t cookie)
{
    struct recent_flow *caller = touch_caller(task, &in->packet, in->now);

    caller->open = false;
    caller->cookie = cookie;
    caller->sent_at = in->now;
}

/* Begins the record of a new flow, as the caller may have reused the port. */
static void
begin_flow(struct recent_flow *flow, const struct flow_packet *packet)
{
    flow->open = false;
    flow->closing = false;
    flow->copied = false;
    flow->cookie = 0;
    flow->offered = 0;
    flow->tried_count = 0;
    flow->repeats = 0;
    flow->waiting = false;
    flow->wait_noted = 0;
    flow->seq_end = packet->seq + 1;
    flow->ack = 0;
}

/* Updates the flow of an opening packet. A copy may count as a miss of the
 * target of the previous one. */
static struct recent_flow *
touch_opening(struct forward_task *task, const struct inbound_packet *in,
              enum opening_kind *kind)
{
    struct recent_flow_key key = flow_identity_key(&in->packet);
    struct recent_flow *flow = recent_flows_touch(task->flows, &key, in->now);

    *kind = flow_identity_opening(flow, &in->packet, in->arrived);
    if (in->packet.ack == 0) {
        task->counters.openings += *kind == OPENING_NEW;
    }
    else {
        task->counters.opening_copies[in->packet.ack == 1 ? 0 : 1]++;
    }
    if (*kind == OPENING_NEW) {
        begin_flow(flow, &in->packet);
    }
    else if (*kind == OPENING_COPY) {
        note_opening_missed(task, flow, in->arrived);
    }
    flow->copied = flow->copied || in->packet.ack != 0;
    return flow;
}

/* Sends an opening packet that shows nothing about the target of the last one
 * to the same target: two targets that accept a flow confuse its caller.
 * Returns false when that target takes no flows any more. */
static bool
repeat_opening(struct forward_task *task, const struct inbound_packet *in,
               const struct recent_flow *flow,
               const struct placement_request *request)
{
    const struct forward_target *target =
        forward_view_target(task->view, flow->offered);

    if (target == NULL || !placement_accepts(request, target)) {
        return false;
    }
    task->counters.opening_repeats++;
    send_opening(task, in, target);
    return true;
}

/* Drops an opening packet that waited here until its caller sent the next copy
 * or timed out. Another balancer may have handled the copy; this packet would
 * offer the flow to a second target. */
static bool
drop_late_opening(struct forward_task *task, const struct inbound_packet *in)
{
    switch (flow_identity_wait(in->packet.ack, in->now - in->arrived)) {
    case OPENING_REPLACED:
        drop(task, in, FORWARD_DROP_REPEATED);
        return true;
    case OPENING_GIVEN_UP:
        drop(task, in, FORWARD_DROP_GIVEN_UP);
        return true;
    default:
        return false;
    }
}

/* Counts an opening that an emptied failure domain would have got: its callers
 * are nearest to it, or no other domain has a target. */
static void
count_kept_away(const struct forward_task *task,
                const struct placement_request *request,
                const struct inbound_packet *in,
                const struct forward_target *target)
{
    struct forward_domain *emptied;

    if (in->packet.ack != 0 || !forward_view_has_emptied(task->view)) {
        return;
    }
    emptied = placement_find_emptied(request);
    if (emptied != NULL &&
        (target == NULL || emptied->name == request->domain)) {
        emptied->kept_away++;
    }
}

/* Refuses a new flow for which there is no target. */
static void
refuse_opening(struct forward_task *task, const struct inbound_packet *in,
               const struct placement_request *request)
{
    static const enum forward_reset causes[] = {
        [PLACEMENT_NO_TARGET] = FORWARD_RESET_NO_TARGET,
        [PLACEMENT_NO_TARGET_IN_REGION] = FORWARD_RESET_REGION,
        [PLACEMENT_DOMAIN_EMPTIED] = FORWARD_RESET_DOMAIN_EMPTIED,
        [PLACEMENT_COLD_LIMIT] = FORWARD_RESET_COLD_LIMIT,
    };

    refuse(task, &in->packet, causes[placement_refusal(request)]);
}

/* Whether a new flow fits the room of the targets. Copies of its opening
 * packet are not refused. */
static bool
has_room(struct forward_task *task, const struct inbound_packet *in,
         const struct forward_route *route,
         const struct forward_target *target)
{
    const char *service = target->record.service;
    struct domain_load_state state;

    if (task->admission == NULL || in->packet.ack != 0) {
        return true;
    }
    if (opening_admission_is_due(task->admission, service, in->now)) {
        bool known = domain_load_state(task->load, service, in->now, &state);

        opening_admission_update(task->admission, service,
                                 known ? &state : NULL, in->now);
    }
    return opening_admission_admits(task->admission, service, &route->record,
                                    &task->random, in->now);
}

static void
refuse_for_room(struct forward_task *task, const struct inbound_packet *in,
                const struct forward_route *route, struct recent_flow *flow,
                const struct forward_target *target)
{
    flow->tried_count = 0;
    task->counters.refused[opening_class(&route->record)]++;
    domain_load_on_refused(task->load, target->record.service, in->now);
    refuse(task, &in->packet, FORWARD_RESET_NO_ROOM);
}

static void
count_away(struct forward_task *task, const struct inbound_packet *in,
           const struct forward_target *target)
{
    if (target->record.domain == task->domain) {
        return;
    }
    if (in->packet.ack == 0) {
        task->counters.openings_away++;
    }
    else {
        task->counters.copies_away++;
    }
}

static void
handle_opening(struct forward_task *task, struct inbound_packet *in)
{
    const struct forward_route *route = forward_view_route(
        task->view, in->packet.dst_addr, in->packet.dst_port);
    struct placement_request request = {.domain = task->domain,
                                        .host_hash = task->host_hash,
                                        .now = in->now,
                                        .trial_interval_us =
                                            task->trial_interval_us};
    struct recent_flow *flow;
    struct forward_target *target;
    struct forward_view_info view_info;
    enum opening_kind kind;
    const char *service;

    if (drop_late_opening(task, in)) {
        return;
    }
    if (route == NULL) {
        refuse(task, &in->packet, FORWARD_RESET_NO_ROUTE);
        return;
    }
    flow = touch_opening(task, in, &kind);
    if (kind == OPENING_LATE) {
        drop(task, in, FORWARD_DROP_OPEN_ALREADY);
        return;
    }
    if (kind == OPENING_NEW) {
        avoid_unanswered_target(task, flow, in);
    }
    service = placement_choose_service(
        &route->record, XXH64(&flow->key, sizeof(flow->key), 0));
    request.service =
        service == NULL ? NULL : forward_view_service(task->view, service);
    request.regions = route->record.regions;
    request.cold_claims = task->cold_claims;
    request.tried = flow->tried;
    request.tried_count = flow->tried_count;
    request.copy = in->packet.ack != 0;
    if (request.service != NULL) {
        request.shares = domain_load_shares(task->load, request.service,
                                            &request.share_count);
    }
    request.speed = forward_speed_targets(task->speed);
    request.repeatable = route->record.repeatable;
    if (kind == OPENING_REPEAT && repeat_opening(task, in, flow, &request)) {
        return;
    }
    target = placement_choose_target(&request, &task->random);
    count_kept_away(task, &request, in, target);
    if (target == NULL) {
        refuse_opening(task, in, &request);
        return;
    }
    if (!has_room(task, in, route, target)) {
        refuse_for_room(task, in, route, flow, target);
        return;
    }
    if (placement_is_trial(target)) {
        passive_health_on_trial(&target->observations, in->now);
    }
    forward_speed_on_placed(task->speed, target, in->now);
    view_info = get_view_info(task);
    forward_log_placed(&task->log, &in->packet, target,
                       passive_health_load(&target->observations, in->now),
                       &view_info, in->now);
    passive_health_on_forward(&target->observations, in->now);
    passive_health_on_opening(&target->observations, in->now);
    cold_claims_on_open(task->cold_claims, target, in->now);
    if (in->packet.ack == 0) {
        domain_load_on_forward(task->load, target, true, in->now);
    }
    note_tried(flow, target->cookie, in->now);
    note_caller(task, in, target->cookie);
    count_away(task, in, target);
    send_opening(task, in, target);
}

static void
record_time(struct forward_task *task, const struct inbound_packet *in,
            const struct forward_target *target, enum flow_phase phase,
            uint64_t since)
{
    flow_times_record(task->times, target->record.service,
                      in->route->record.priority, phase, in->now - since);
}

/* Returns the latest time at which the target is known to have been alive when
 * a caller shows that it has received something on a flow. A caller that sends
 * no data does so at once. One that sends data may have received the answer to
 * its last packet long before. */
static uint64_t
alive_time(const struct recent_flow *flow, const struct inbound_packet *in)
{
    bool at_once =
        in->packet.length == 0 && (in->packet.flags & FLOW_FIN) == 0;

    return at_once ? in->arrived : flow->sent_at;
}

/* Records the time that a request took, unless it may contain a wait of the
 * caller, who acknowledges at once only what it does not answer, or of this
 * host. */
static void
note_answer_time(struct forward_task *task, const struct recent_flow *flow,
                 const struct forward_target *target,
                 const struct inbound_packet *in)
{
    if (in->packet.length == 0 && flow->repeats == 0 &&
        !own_delay_covers(task->own_delay, flow->sent_at, in->now)) {
        domain_load_on_answer(task->load, target, in->now - flow->sent_at,
                              in->now);
    }
}

/* Updates a flow whose caller has received something from the target. */
static void
note_progress(struct forward_task *task, struct recent_flow *flow,
              const struct forward_target *target,
              const struct inbound_packet *in)
{
    if (flow->waiting) {
        record_time(task, in, target, FLOW_PHASE_ANSWER, flow->sent_at);
        note_answer_time(task, flow, target, in);
        forward_speed_on_answer(task->speed, flow, target, &in->route->record,
                                &in->packet, in->arrived, alive_time(flow, in),
                                in->now);
    }
    flow->ack = in->packet.ack;
    flow->repeats = 0;
    flow->waiting = false;
}

static void
note_answer(struct forward_task *task, struct recent_flow *flow,
            struct forward_target *target, const struct inbound_packet *in)
{
    note_progress(task, flow, target, in);
    passive_health_on_answer(&target->observations, alive_time(flow, in));
    report(task, target);
}

/* Handles the first packet after the opening packets of a flow, which shows
 * that the target answered them. Flows opened through another balancer are
 * handled too, but show nothing about the target: they may have been open for
 * long. */
static void
note_opened(struct forward_task *task, struct recent_flow *flow,
            struct forward_target *target, const struct inbound_packet *in)
{
    bool opened_here = flow->tried_count > 0 && !flow->open;

    flow->open = true;
    flow->opened_at = in->now;
    flow->cookie = target->cookie;
    flow->seq_end = in->packet.seq;
    note_progress(task, flow, target, in);
    if (opened_here) {
        record_time(task, in, target, FLOW_PHASE_OPEN, flow->sent_at);
        passive_health_on_opening_answer(
            &target->observations, in->now - flow->sent_at, flow->sent_at);
        report(task, target);
        touch_caller(task, &in->packet, in->now)->open = true;
        if (flow->copied) {
            task->counters.flows_told +=
                opened_flows_tell(task->opened, flow, in->now);
        }
    }
}

static void
note_request(struct forward_task *task, struct recent_flow *flow,
             struct forward_target *target, uint32_t seq_end, uint64_t now)
{
    task->counters.requests++;
    if (!flow->waiting) {
        /* Else it continues a request of several packets. */
        domain_load_on_forward(task->load, target, false, now);
    }
    flow->seq_end = seq_end;
    flow->sent_at = now;
    flow->waiting = true;
    flow->repeats = 0;
    flow->wait_noted = 0;
    passive_health_on_forward(&target->observations, now);
}

/* Handles a packet that repeats data. However often a request is repeated, it
 * counts as one miss at most. */
static void
note_repeat(struct forward_task *task, struct recent_flow *flow,
            struct forward_target *target, uint64_t arrived)
{
    task->counters.repeats++;
    if (!flow->waiting) {
        return;
    }
    if (flow->repeats < UINT8_MAX) {
        flow->repeats++;
    }
    if (flow->repeats == 1) {
        note_miss(task, target, flow->sent_at, arrived);
    }
}

/* Updates the state of a flow and the health of its target from a packet of an
 * open flow. The first packet of the caller shows that the target answered the
 * opening packet; a higher acknowledgement shows that it has answered since;
 * repeated data shows that it has not. Stores in "first" whether this is the
 * first packet of the open flow that this balancer sees. */
static struct recent_flow *
track_packet(struct forward_task *task, const struct inbound_packet *in,
             struct forward_target *target, bool *first)
{
    struct recent_flow_key key = flow_identity_key(&in->packet);
    struct recent_flow *flow = recent_flows_touch(task->flows, &key, in->now);
    const struct flow_packet *packet = &in->packet;
    uint32_t seq_end = packet->seq + packet->length;

    *first = !flow->open || flow->cookie != target->cookie;
    if (*first) {
        note_opened(task, flow, target, in);
    }
    else if ((int32_t)(packet->ack - flow->ack) > 0) {
        note_answer(task, flow, target, in);
    }
    if ((packet->flags & FLOW_FIN) != 0) {
        flow->closing = true;
    }
    if (packet->length == 0) {
        return flow;
    }
    if ((int32_t)(seq_end - flow->seq_end) > 0) {
        note_request(task, flow, target, seq_end, in->now);
    }
    else {
        note_repeat(task, flow, target, in->arrived);
    }
    return flow;
}

/* Whether a packet names a target whose service was not on the route at any
 * time within the maximum lifetime of a flow. The history of a route is only
 * known since the start of this task, so no packet counts as forged until the
 * maximum lifetime has passed since then. */
static bool
is_forged(const struct forward_task *task, const struct forward_route *route,
          const struct forward_target *target, uint64_t now)
{
    uint64_t since = now > task->flow_max_us ? now - task->flow_max_us : 0;

    if (since < task->started) {
        return false;
    }
    return !forward_route_had_service(route, target->record.service, since);
}

/* Ends the flow of a packet whose target is dead: no answer would come.
 * Returns false when the target may be alive. Another balancer may just have
 * opened the flow as a trial of a dead target, so it is not ended by a packet
 * that this balancer has seen "first". */
static bool
ends_at_gone_target(struct forward_task *task, const struct inbound_packet *in,
                    const struct recent_flow *flow,
                    const struct forward_target *target, bool first)
{
    if (first || !is_dead(task, target, in->now)) {
        return false;
    }
    if ((in->packet.flags & FLOW_RST) == 0) {
        const struct forward_flow_state state =
            describe_flow(flow, first, in->now);

        end_flow(task, &in->packet, target, &state, silence_cause(target));
    }
    return true;
}

/* Handles a packet of an open flow for which the view has no route. The route
 * was dropped if the flow was open here before; else the view may lack a newer
 * one, however recently it was confirmed. */
static void
handle_without_route(struct forward_task *task,
                     const struct inbound_packet *in)
{
    const struct recent_flow_key key = flow_identity_key(&in->packet);
    const struct recent_flow *flow = recent_flows_find(task->flows, &key);
    struct forward_flow_state state;

    if (flow == NULL || !flow->open || (in->packet.flags & FLOW_RST) != 0) {
        drop(task, in, FORWARD_DROP_NO_ROUTE);
        return;
    }
    state = describe_flow(flow, false, in->now);
    end_flow(task, &in->packet, forward_view_target(task->view, flow->cookie),
             &state, FORWARD_RESET_NO_ROUTE);
}

static void
note_changed_cookie(struct forward_task *task, const struct inbound_packet *in,
                    const struct opened_flows_owner *owner)
{
    const struct forward_target *target =
        forward_view_target(task->view, owner->cookie);
    const struct forward_flow_state state =
        describe_flow(owner->record, false, in->now);

    task->counters.cookie_changes++;
    forward_log_cookie_changed(&task->log, &in->packet,
                               target == NULL ? "unknown" : target->record.id,
                               &state, in->now);
}

/* Has a packet name the target that its flow is open at, where its caller has
 * received the cookie of another one that accepted the opening too. The target
 * returns the cookie to the caller with its next packet. Where routers hash, a
 * packet of an unknown flow is dropped and false returned, as the target that
 * it names may not hold the flow and would reset it; the caller sends it
 * again. */
static bool
resolve_cookie(struct forward_task *task, struct inbound_packet *in)
{
    const struct opened_flows_owner owner =
        opened_flows_find_owner(task->opened, &in->packet);

    if (!owner.known && task->flows_stay) {
        drop(task, in, FORWARD_DROP_UNKNOWN_FLOW);
        return false;
    }
    in->two_targets = owner.cookie != owner.named;
    if (in->two_targets) {
        note_changed_cookie(task, in, &owner);
    }
    if (owner.cookie != in->packet.cookie) {
        in->packet.cookie = owner.cookie;
        task->format->set_cookie(in->data, owner.cookie);
    }
    return true;
}

static void
handle_open_flow(struct forward_task *task, struct inbound_packet *in)
{
    const struct flow_packet *packet = &in->packet;
    const struct forward_route *route =
        forward_view_route(task->view, packet->dst_addr, packet->dst_port);
    struct forward_target *target;
    struct recent_flow *flow;
    bool replaced;
    bool first;

    if (route == NULL) {
        handle_without_route(task, in);
        return;
    }
    if (!resolve_cookie(task, in)) {
        return;
    }
    target = packet->cookie == 0
                 ? NULL
                 : forward_view_target(task->view, packet->cookie);
    if (target == NULL) {
        drop(task, in, FORWARD_DROP_UNKNOWN_TARGET);
        task->cb.unknown_target(task->cb.ctx);
        return;
    }
    if (is_forged(task, route, target, in->now)) {
        drop(task, in, FORWARD_DROP_FORGED);
        return;
    }
    in->route = route;
    /* First what the packet shows: the caller's answer to a handshake that was
     * tried with a silent target shows that it lives. */
    replaced = forward_target_is_replaced(target);
    flow = track_packet(task, in, target, &first);
    flow->copied = flow->copied || in->two_targets;
    note_refuted_claim(task, target, replaced);
    if (target->observations.silent) {
        target_reach_check(task->reach, target, in->now);
    }
    if (ends_at_gone_target(task, in, flow, target, first)) {
        return;
    }
    if (ends_unanswered(task, flow, target, in->now)) {
        reset_flow(task, flow, silence_cause(target));
        return;
    }
    send_to_target(task, in, target);
}

/* Handles a packet when there is a usable view. "data" must remain valid until
 * the queue of the socket is flushed. */
static void
handle_packet(struct forward_task *task, uint8_t *data, size_t size,
              uint64_t arrived, uint64_t now)
{
    struct inbound_packet in = {
        .data = data, .size = size, .now = now, .arrived = arrived};

    if (size > FLOW_PACKET_SIZE_MAX ||
        !task->format->parse(data, size, &in.packet)) {
        task->counters.drops[FORWARD_DROP_MALFORMED]++;
    }
    else if ((in.packet.flags & FLOW_SYN) != 0) {
        handle_opening(task, &in);
    }
    else {
        handle_open_flow(task, &in);
    }
}

/* Handles a packet without a view. An opening packet is reset, as nothing was
 * run; the state of an open flow is unknown, so its packet is dropped. */
static void
refuse_without_view(struct forward_task *task, const uint8_t *data,
                    size_t size)
{
    struct flow_packet packet;

    if (task->format->parse(data, size, &packet) &&
        (packet.flags & FLOW_SYN) != 0) {
        refuse(task, &packet, FORWARD_RESET_NO_VIEW);
        return;
    }
    task->counters.drops[FORWARD_DROP_NO_VIEW]++;
}

/* Queues a packet until the first view arrives, or refuses it when the wait is
 * over or the queue is full. */
static void
queue_early_packet(struct forward_task *task, const uint8_t *data, size_t size)
{
    struct early_packet *early;

    if (task->early_wait_over || task->early_count == EARLY_PACKETS_MAX ||
        size > FLOW_PACKET_SIZE_MAX) {
        refuse_without_view(task, data, size);
        return;
    }
    early = g_malloc(sizeof(*early) + size);
    early->arrived = clock_monotonic_us();
    early->size = size;
    memcpy(early->data, data, size);
    list_push_back(&task->early, &early->link);
    task->early_count++;
}

/* Empties the queue of early packets: handles them if there is a view, else
 * refuses them. */
static void
flush_early_packets(struct forward_task *task, bool has_view)
{
    uint64_t now = clock_monotonic_us();

    list_for_each_safe (it, &task->early) {
        struct early_packet *early =
            container_of(it, struct early_packet, link);

        list_remove(&early->link);
        task->early_count--;
        if (has_view) {
            handle_packet(task, early->data, early->size, early->arrived, now);
            udp_socket_flush(task->socket);
        }
        else {
            refuse_without_view(task, early->data, early->size);
        }
        g_free(early);
    }
}

static void
on_early_timeout(evutil_socket_t fd, short what, void *arg)
{
    struct forward_task *task = arg;

    task->early_wait_over = true;
    flush_early_packets(task, false);
}

void
forward_task_view_ready(struct forward_task *task)
{
    flush_early_packets(task, true);
}

static void
on_datagram(void *ctx, const struct endpoint *from, uint8_t *data, size_t size,
            uint64_t queued_us)
{
    struct forward_task *task = ctx;
    uint64_t now = clock_monotonic_us();

    task->counters.received++;
    own_delay_on_transfer(task->own_delay, OWN_DELAY_RECEIVE, size, now);
    if (forward_view_usable(task->view)) {
        handle_packet(task, data, size, now - queued_us, now);
        forward_speed_check(task->speed, now);
    }
    else {
        queue_early_packet(task, data, size);
    }
}

static void
update_trial_interval(struct forward_task *task)
{
    task->trial_interval_us =
        passive_health_trial_interval(task->cb.forwarder_count(task->cb.ctx));
    if (task->speed != NULL) {
        forward_speed_set_trial_interval(task->speed, task->trial_interval_us);
    }
}

static void
on_expire(evutil_socket_t fd, short what, void *arg)
{
    struct forward_task *task = arg;
    uint64_t now = clock_monotonic_us();

    update_trial_interval(task);
    recent_flows_expire(task->flows, now - RECENT_FLOW_IDLE_US);
    opened_flows_expire(task->opened, now);
    target_reach_expire(task->reach, now);
    forward_log_tick(&task->log);
}

void
forward_task_slow_targets(struct forward_task *task,
                          const struct slow_target_record *records,
                          size_t count, bool relay)
{
    forward_speed_receive(task->speed, records, count, relay);
}

void
forward_task_open_flows_told(struct forward_task *task,
                             const struct open_flow_record *records,
                             size_t count, bool relay)
{
    opened_flows_receive(task->opened, records, count, relay,
                         clock_monotonic_us());
}

void
forward_task_routers_changed(struct forward_task *task)
{
    forward_speed_on_routers_changed(task->speed, clock_monotonic_us());
    opened_flows_on_peers_changed(task->opened);
}

static void
on_tell_speed(void *ctx, const struct slow_target_record *records,
              size_t count, bool wide)
{
    struct forward_task *task = ctx;

    task->cb.slow_targets(task->cb.ctx, records, count, wide);
}

static void
on_refusing_changed(void *ctx, const char *service, bool refusing,
                    double utilization)
{
    struct forward_task *task = ctx;
    char text[24];

    if (!log_rate_limit_allow(&task->refusing_log, clock_monotonic_us())) {
        return;
    }
    snprintf(text, sizeof(text), "%.2f", utilization);
    log_fields(LOG_LEVEL_WARN, LOG_MODULE,
               LOG_FIELDS({"service", service},
                          {"openings", refusing ? "refused" : "admitted"},
                          {"utilization", text}),
               "refusing_changed");
}

static bool
open_task(struct forward_task *task, struct event_base *base,
          const struct forward_settings *settings, struct status *st)
{
    const struct timeval interval = {.tv_sec = EXPIRE_INTERVAL_S};
    const struct timeval early = {.tv_usec = EARLY_WAIT_MAX_US};
    const struct forward_speed_callbacks speed_cb = {.tell = on_tell_speed,
                                                     .ctx = task};

    if (settings->refuse_excess) {
        task->admission = opening_admission_new();
        if (task->admission == NULL) {
            status_set(st, ERR_NO_MEMORY, "forward: out of memory");
            return false;
        }
        opening_admission_on_change(task->admission, on_refusing_changed,
                                    task);
    }
    task->flows = recent_flows_new(RECENT_FLOWS_MAX);
    task->opened = task->flows == NULL
                       ? NULL
                       : opened_flows_new(task->flows, task->view,
                                          task->cb.open_flows, task->cb.ctx);
    task->times = flow_times_new();
    task->speed =
        task->flows == NULL
            ? NULL
            : forward_speed_new(base, task->flows, task->view, task->own_delay,
                                &task->log, &speed_cb);
    task->expire = event_new(base, -1, EV_PERSIST, on_expire, task);
    task->early_timeout = event_new(base, -1, 0, on_early_timeout, task);
    task->confirm = event_new(base, -1, 0, on_confirm, task);
    task->reach = target_reach_new(base, on_reach, task);
    task->doubted = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    if (task->flows == NULL || task->opened == NULL || task->times == NULL ||
        task->speed == NULL || task->expire == NULL ||
        task->early_timeout == NULL || task->confirm == NULL ||
        task->reach == NULL) {
        status_set(st, ERR_NO_MEMORY, "forward: out of memory");
        return false;
    }
    event_add(task->expire, &interval);
    event_add(task->early_timeout, &early);
    task->socket =
        udp_socket_new(base, NULL, &settings->packets, on_datagram, task, st);
    return task->socket != NULL;
}

struct forward_task *
forward_task_new(struct event_base *base,
                 const struct forward_settings *settings,
                 const struct flow_packet_format *format,
                 const struct forward_parts *parts,
                 const struct forward_callbacks *cb, struct status *st)
{
    struct forward_task *task = calloc(1, sizeof(*task));

    if (task == NULL) {
        status_set(st, ERR_NO_MEMORY, "forward: out of memory");
        return NULL;
    }
    task->format = format;
    task->view = parts->view;
    task->cb = *cb;
    task->own_delay = parts->own_delay;
    task->cold_claims = parts->cold_claims;
    task->load = parts->load;
    task->domain = g_intern_string(settings->domain);
    task->host_hash = id_hash(settings->host);
    task->flow_max_us = settings->flow_max_us;
    task->flows_stay = settings->flows_stay;
    forward_log_init(&task->log);
    task->refusing_log.per_second = REFUSING_LINES_PER_SECOND;
    list_init(&task->early);
    update_trial_interval(task);
    task->started = clock_monotonic_us();
    task->return_port = settings->packets.port;
    random_seed(&task->random, randombytes_random());
    if (!open_task(task, base, settings, st)) {
        forward_task_destroy(task);
        return NULL;
    }
    return task;
}

void
forward_task_destroy(struct forward_task *task)
{
    if (task == NULL) {
        return;
    }
    if (task->socket != NULL) {
        flush_early_packets(task, false);
    }
    if (task->early_timeout != NULL) {
        event_free(task->early_timeout);
    }
    udp_socket_destroy(task->socket);
    if (task->expire != NULL) {
        event_free(task->expire);
    }
    if (task->confirm != NULL) {
        event_free(task->confirm);
    }
    if (task->doubted != NULL) {
        g_array_free(task->doubted, TRUE);
    }
    target_reach_destroy(task->reach);
    forward_speed_destroy(task->speed);
    opened_flows_destroy(task->opened);
    recent_flows_destroy(task->flows);
    flow_times_destroy(task->times);
    opening_admission_destroy(task->admission);
    free(task);
}

size_t
forward_task_open_flows(const struct forward_task *task,
                        const struct forward_domain *domain)
{
    size_t count = 0;

    for (const struct recent_flow *flow = recent_flows_first(task->flows);
         flow != NULL; flow = recent_flows_next(task->flows, flow)) {
        const struct forward_target *target =
            flow->open && !flow->closing
                ? forward_view_target(task->view, flow->cookie)
                : NULL;

        /* The record of a caller's last opening is no flow. */
        count += target != NULL && flow->key.caller_port != 0 &&
                 target->domain == domain;
    }
    return count;
}

const struct flow_times *
forward_task_times(const struct forward_task *task)
{
    return task->times;
}

const struct target_speed *
forward_task_speed(const struct forward_task *task)
{
    return forward_speed_targets(task->speed);
}

const struct forward_counters *
forward_task_counters(struct forward_task *task)
{
    task->counters.drops[FORWARD_DROP_NOT_SENT] =
        udp_socket_unsent_count(task->socket);
    task->counters.reach_checks = target_reach_checks(task->reach);
    return &task->counters;
}
