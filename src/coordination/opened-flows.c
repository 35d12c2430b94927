#include "coordination/opened-flows.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/log-rate-limit.h"

/* Maximum number of flows that peers have told about, and of own ones per
 * second that the peers are told about. */
#define TOLD_FLOWS_MAX 4096
#define FLOWS_TOLD_PER_SECOND 100
/* Time after which what a peer has told about a flow is forgotten. */
#define TOLD_FLOW_LIFETIME_US (20 * USEC_PER_SEC)
/* Time within which records that contradict each other are of one flow, passed
 * on by different peers. After that a later flow has the same addresses. */
#define RELAY_MAX_US (2 * USEC_PER_SEC)

struct opened_flows {
    struct recent_flows *own;  /* not owned */
    struct forward_view *view; /* not owned */
    struct recent_flows *told; /* flows that peers have told about */
    struct log_rate_limit tell_limit;
    bool peers_changed; /* since the last call of opened_flows_expire() */
    opened_flows_tell_fn tell;
    void *ctx;
};

struct opened_flows *
opened_flows_new(struct recent_flows *own, struct forward_view *view,
                 opened_flows_tell_fn tell, void *ctx)
{
    struct opened_flows *of = calloc(1, sizeof(*of));

    if (of == NULL) {
        return NULL;
    }
    of->own = own;
    of->view = view;
    of->tell = tell;
    of->ctx = ctx;
    of->tell_limit.per_second = FLOWS_TOLD_PER_SECOND;
    of->told = recent_flows_new(TOLD_FLOWS_MAX);
    if (of->told == NULL) {
        opened_flows_destroy(of);
        return NULL;
    }
    return of;
}

void
opened_flows_destroy(struct opened_flows *of)
{
    if (of == NULL) {
        return;
    }
    recent_flows_destroy(of->told);
    free(of);
}

static struct open_flow_record
make_record(const struct recent_flow *flow)
{
    return (struct open_flow_record){.caller_addr = flow->key.caller_addr,
                                     .route_addr = flow->key.route_addr,
                                     .caller_port = flow->key.caller_port,
                                     .route_port = flow->key.route_port,
                                     .cookie = flow->cookie,
                                     .ack = flow->ack};
}

/* Tells the peers about all own flows that two targets may have accepted, as
 * far as the limit allows, most recently seen first. */
static void
tell_all(struct opened_flows *of, uint64_t now)
{
    struct open_flow_record records[OPEN_FLOW_RECORDS_MAX];
    size_t count = 0;

    for (const struct recent_flow *flow = recent_flows_last(of->own);
         flow != NULL; flow = recent_flows_previous(of->own, flow)) {
        if (!flow->open || flow->closing || !flow->copied) {
            continue;
        }
        if (!log_rate_limit_allow(&of->tell_limit, now)) {
            break;
        }
        records[count] = make_record(flow);
        count++;
        if (count == OPEN_FLOW_RECORDS_MAX) {
            of->tell(of->ctx, records, count);
            count = 0;
        }
    }
    if (count > 0) {
        of->tell(of->ctx, records, count);
    }
}

void
opened_flows_expire(struct opened_flows *of, uint64_t now)
{
    recent_flows_expire(of->told, now - TOLD_FLOW_LIFETIME_US);
    if (of->peers_changed) {
        tell_all(of, now);
        of->peers_changed = false;
    }
    (void)log_rate_limit_take_left_out(&of->tell_limit);
}

void
opened_flows_on_peers_changed(struct opened_flows *of)
{
    of->peers_changed = true;
}

bool
opened_flows_tell(struct opened_flows *of, const struct recent_flow *flow,
                  uint64_t now)
{
    const struct open_flow_record record = make_record(flow);

    if (!log_rate_limit_allow(&of->tell_limit, now)) {
        return false;
    }
    of->tell(of->ctx, &record, 1);
    return true;
}

/* Whether a record tells more than what is known from peers. Of two records of
 * a flow only the one with the higher number counts, else they would replace
 * each other at every host that passes them on. */
static bool
is_news(const struct recent_flow *told, const struct open_flow_record *record,
        uint64_t now)
{
    if (told == NULL) {
        return true;
    }
    if (told->cookie == record->cookie &&
        (int32_t)(record->ack - told->ack) >= 0) {
        return record->ack != told->ack;
    }
    return now > told->seen_at + RELAY_MAX_US;
}

void
opened_flows_receive(struct opened_flows *of,
                     const struct open_flow_record *records, size_t count,
                     bool relay, uint64_t now)
{
    struct open_flow_record news[OPEN_FLOW_RECORDS_MAX];
    size_t news_count = 0;

    for (size_t i = 0; i < count; i++) {
        const struct open_flow_record *r = &records[i];
        const struct recent_flow_key key = {.caller_addr = r->caller_addr,
                                            .route_addr = r->route_addr,
                                            .caller_port = r->caller_port,
                                            .route_port = r->route_port};
        struct recent_flow *flow = recent_flows_find(of->told, &key);

        if (!is_news(flow, r, now)) {
            continue;
        }
        flow = recent_flows_touch(of->told, &key, now);
        flow->open = true;
        flow->opened_at = now;
        flow->cookie = r->cookie;
        flow->ack = r->ack;
        news[news_count] = *r;
        news_count++;
    }
    if (relay && news_count > 0) {
        of->tell(of->ctx, news, news_count);
    }
}

/* Whether the flow was offered here to the target with the cookie, as far as
 * is recorded. */
static bool
was_offered(const struct recent_flow *flow, uint32_t cookie)
{
    for (size_t i = 0; i < flow->tried_count; i++) {
        if (flow->tried[i] == cookie) {
            return true;
        }
    }
    return false;
}

/* Whether a cookie has the form of opening packets. "own" may be NULL. */
static bool
is_opening_cookie(const struct opened_flows *of, const struct recent_flow *own,
                  uint32_t cookie)
{
    uint32_t target = forward_opening_cookie(cookie);

    /* The form of one cookie may be another target's cookie. */
    return (own != NULL && was_offered(own, target)) ||
           (forward_view_target(of->view, cookie) == NULL &&
            forward_view_target(of->view, target) != NULL);
}

/* Returns the record of an open flow, the own one or that of a peer, whichever
 * is newer; NULL if there is none. "own" may be NULL. */
static const struct recent_flow *
find_open(const struct opened_flows *of, const struct recent_flow *own,
          const struct recent_flow_key *key)
{
    const struct recent_flow *told = recent_flows_find(of->told, key);

    if (own == NULL || !own->open) {
        return told;
    }
    return told != NULL && told->seen_at > own->seen_at ? told : own;
}

/* Whether a packet with an opening cookie belongs to the recorded flow. "own"
 * is the own record, NULL if there is none; it is another one where the caller
 * has opened a further flow here since. */
static bool
belongs_to(const struct recent_flow *flow, const struct recent_flow *own,
           const struct flow_packet *packet)
{
    if (own != NULL && own != flow && own->seen_at > flow->seen_at) {
        return flow_identity_continues(flow, packet);
    }
    return flow_identity_may_continue(flow, packet);
}

struct opened_flows_owner
opened_flows_find_owner(const struct opened_flows *of,
                        const struct flow_packet *packet)
{
    const struct recent_flow_key key = flow_identity_key(packet);
    const struct recent_flow *own = recent_flows_find(of->own, &key);
    const struct recent_flow *flow = find_open(of, own, &key);
    struct opened_flows_owner owner = {.cookie = packet->cookie,
                                       .named = packet->cookie,
                                       .known = true,
                                       .record = flow};

    if (!is_opening_cookie(of, own, packet->cookie)) {
        if (flow != NULL && flow_identity_continues(flow, packet)) {
            owner.cookie = flow->cookie;
        }
        return owner;
    }
    owner.named = forward_opening_cookie(packet->cookie);
    owner.cookie = owner.named;
    if (flow != NULL && belongs_to(flow, own, packet)) {
        owner.cookie = flow->cookie;
    }
    else if (flow == NULL || flow->cookie != owner.named) {
        owner.known = own != NULL && !own->open;
    }
    return owner;
}
