#include "daemon/forward-speed.h"

#include <stdlib.h>

#include <sodium.h>

#include "base/clock.h"
#include "base/random.h"

/* Time between two looks at the requests that wait for an answer, and between
 * two messages to the peers. Only flows seen within WAITING_AGE_MAX_US are
 * looked at, and at most WAITING_FLOWS_MAX of them. */
#define CHECK_INTERVAL_US (50 * USEC_PER_MSEC)
/* Time between two messages on targets that are not reduced: most long times
 * are of such targets, and show nothing. */
#define TELL_INTERVAL_US (500 * USEC_PER_MSEC)
#define WAITING_AGE_MAX_US (2 * USEC_PER_SEC)
#define WAITING_FLOWS_MAX 1024

/* Time between two messages on failures of targets that do not count as
 * failing. */
#define TELL_SOON_INTERVAL_US (100 * USEC_PER_MSEC)
/* Time in which the routers follow a change of the balancers. */
#define FLOWS_MOVE_US (2500 * USEC_PER_MSEC)

struct forward_speed {
    struct target_speed *targets;
    struct recent_flows *flows;
    const struct forward_view *view;
    struct own_delay *own_delay;
    struct forward_log *log;
    struct forward_speed_callbacks cb;
    uint64_t next_check; /* us */
    /* Requests forwarded before this may belong to flows that the routers have
     * handed to another balancer, us. */
    uint64_t flows_move_until;
    uint64_t next_tell;      /* of targets that are not reduced, us */
    uint64_t next_tell_soon; /* of failures of others, us */
    /* Tells the peers of records that came from other peers, should no packet
     * arrive. */
    struct event *relay;
};

static void
tell_some(struct forward_speed *fs, enum target_speed_reach reach,
          uint64_t now)
{
    struct slow_target_record records[SLOW_TARGET_RECORDS_MAX];
    size_t count = target_speed_export(fs->targets, records,
                                       SLOW_TARGET_RECORDS_MAX, reach, now);

    if (count > 0) {
        fs->cb.tell(fs->cb.ctx, records, count, reach == TARGET_SPEED_ALL);
    }
}

/* Tells the peers what they may lack. */
static void
tell_peers(struct forward_speed *fs, uint64_t now)
{
    if (!target_speed_has_news(fs->targets)) {
        return;
    }
    tell_some(fs, TARGET_SPEED_ALL, now);
    if (now >= fs->next_tell_soon) {
        fs->next_tell_soon = now + TELL_SOON_INTERVAL_US;
        tell_some(fs, TARGET_SPEED_DOMAIN_SOON, now);
    }
    if (now >= fs->next_tell) {
        fs->next_tell = now + TELL_INTERVAL_US;
        tell_some(fs, TARGET_SPEED_DOMAIN, now);
    }
}

static void
on_relay(evutil_socket_t fd, short what, void *arg)
{
    tell_peers(arg, clock_monotonic_us());
}

static bool
is_bad(const struct forward_speed *fs, uint32_t cookie, uint64_t now)
{
    return target_speed_factor(fs->targets, cookie, now) >=
               TARGET_SPEED_SLOW ||
           target_speed_is_failing(fs->targets, cookie, now);
}

/* Logs that a target has become slow, or failing. */
static void
log_changed(struct forward_speed *fs, const struct forward_target *target,
            uint64_t now)
{
    if (target_speed_is_failing(fs->targets, target->cookie, now)) {
        forward_log_failing(fs->log, target, fs->targets, now);
    }
    else {
        forward_log_slow(fs->log, target, fs->targets, now);
    }
}

struct forward_speed *
forward_speed_new(struct event_base *base, struct recent_flows *flows,
                  const struct forward_view *view, struct own_delay *own_delay,
                  struct forward_log *log,
                  const struct forward_speed_callbacks *cb)
{
    struct forward_speed *fs = calloc(1, sizeof(*fs));

    if (fs == NULL) {
        return NULL;
    }
    fs->targets = target_speed_new(randombytes_random());
    fs->flows = flows;
    fs->view = view;
    fs->own_delay = own_delay;
    fs->log = log;
    fs->cb = *cb;
    fs->relay = event_new(base, -1, 0, on_relay, fs);
    if (fs->targets == NULL || fs->relay == NULL) {
        forward_speed_destroy(fs);
        return NULL;
    }
    return fs;
}

void
forward_speed_destroy(struct forward_speed *fs)
{
    if (fs == NULL) {
        return;
    }
    if (fs->relay != NULL) {
        event_free(fs->relay);
    }
    target_speed_destroy(fs->targets);
    free(fs);
}

/* Returns a hash of the address of a flow's caller. */
static uint16_t
caller_hash(const struct recent_flow *flow)
{
    return (uint16_t)random_mix(flow->key.caller_addr, 0);
}

/* A time in which this host may have delayed packets itself, or in which the
 * request was repeated, shows nothing. Neither does what arrives after the
 * caller has begun to close the flow: it may have given up. */
void
forward_speed_on_answer(struct forward_speed *fs,
                        const struct recent_flow *flow,
                        const struct forward_target *target,
                        const struct route_record *route,
                        const struct flow_packet *packet, uint64_t arrived,
                        uint64_t alive_at, uint64_t now)
{
    struct seen_answer answer = {.alive_at = alive_at,
                                 .bytes = packet->ack - flow->ack,
                                 .caller = caller_hash(flow),
                                 .noted = flow->wait_noted,
                                 .at_once = packet->length == 0};

    if (flow->repeats > 0 || flow->closing || arrived < flow->sent_at ||
        own_delay_covers(fs->own_delay, flow->sent_at, now)) {
        return;
    }
    answer.took_us = arrived - flow->sent_at;
    if (target_speed_on_answer(fs->targets, target->cookie, route,
                               target->record.service, &answer, now)) {
        log_changed(fs, target, now);
    }
}

void
forward_speed_on_placed(struct forward_speed *fs,
                        const struct forward_target *target, uint64_t now)
{
    if (target_speed_is_failing(fs->targets, target->cookie, now)) {
        target_speed_on_trial(fs->targets, target->cookie, now);
    }
}

void
forward_speed_set_trial_interval(struct forward_speed *fs,
                                 uint64_t interval_us)
{
    target_speed_set_trial_interval(fs->targets, interval_us);
}

void
forward_speed_receive(struct forward_speed *fs,
                      const struct slow_target_record *records, size_t count,
                      bool relay)
{
    const struct timeval delay = {.tv_usec = CHECK_INTERVAL_US};
    uint64_t now = clock_monotonic_us();

    for (size_t i = 0; i < count; i++) {
        uint32_t cookie = records[i].cookie;
        const struct forward_target *target =
            forward_view_target(fs->view, cookie);
        bool was_bad;

        if (target == NULL) {
            continue;
        }
        was_bad = is_bad(fs, cookie, now);
        target_speed_receive(fs->targets, &records[i], 1, relay, now);
        if (!was_bad && is_bad(fs, cookie, now)) {
            log_changed(fs, target, now);
        }
    }
    if (target_speed_has_news(fs->targets) &&
        !event_pending(fs->relay, EV_TIMEOUT, NULL)) {
        event_add(fs->relay, &delay);
    }
}

void
forward_speed_on_routers_changed(struct forward_speed *fs, uint64_t now)
{
    fs->flows_move_until = now + FLOWS_MOVE_US;
}

/* Counts a request that waits for its answer. */
static void
check_waiting(struct forward_speed *fs, struct recent_flow *flow, uint64_t now)
{
    const struct forward_route *route = forward_view_route(
        fs->view, flow->key.route_addr, flow->key.route_port);
    const struct forward_target *target =
        forward_view_target(fs->view, flow->cookie);
    const struct seen_wait wait = {.waited_us = now - flow->sent_at,
                                   .caller = caller_hash(flow),
                                   .may_have_moved =
                                       flow->sent_at < fs->flows_move_until};

    if (route == NULL || target == NULL ||
        own_delay_covers(fs->own_delay, flow->sent_at, now)) {
        return;
    }
    if (target_speed_on_waiting(fs->targets, flow->cookie, &route->record,
                                target->record.service, &wait,
                                &flow->wait_noted, now)) {
        log_changed(fs, target, now);
    }
}

/* Looks at a flow whose request waits for its answer. */
static void
check_flow(struct forward_speed *fs, struct recent_flow *flow, uint64_t now)
{
    if ((flow->wait_noted & WAIT_NOTED_LONG) == 0 ||
        ((flow->wait_noted & WAIT_NOTED_FAILURE) == 0 &&
         flow->sent_at >= fs->flows_move_until)) {
        check_waiting(fs, flow, now);
    }
}

void
forward_speed_check(struct forward_speed *fs, uint64_t now)
{
    size_t looked_at = 0;

    if (now < fs->next_check) {
        return;
    }
    fs->next_check = now + CHECK_INTERVAL_US;
    for (struct recent_flow *flow = recent_flows_last(fs->flows);
         flow != NULL && looked_at < WAITING_FLOWS_MAX &&
         now - flow->seen_at < WAITING_AGE_MAX_US;
         flow = recent_flows_previous(fs->flows, flow)) {
        looked_at++;
        if (flow->open && flow->waiting && !flow->closing &&
            flow->repeats == 0) {
            check_flow(fs, flow, now);
        }
    }
    tell_peers(fs, now);
    target_speed_expire(fs->targets, now);
}

const struct target_speed *
forward_speed_targets(const struct forward_speed *fs)
{
    return fs->targets;
}
