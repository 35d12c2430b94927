#include "coordination/view-sync.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "coordination/peer-clocks.h"
#include "coordination/watch-order.h"

/* Maximum number of other members in a small fleet. In a small fleet each
 * balancer sends to all others directly, without relaying. */
#define DIRECT_MEMBERS_MAX 16
/* Maximum number of peers that one message is sent to: twice the neighbors of
 * a balancer, and some that join. */
#define PEERS_MAX 32
/* Minimum interval between two announcements to the pruned peers. A peer that
 * loses the link over which it gets deltas is late by this interval and a
 * pull, which is small compared with the time within which a change has to be
 * in effect. */
#define ANNOUNCE_MIN_INTERVAL_US (200 * USEC_PER_MSEC)
/* A member from which a message has arrived within this time counts as
 * connected to this balancer. */
#define CONNECTED_TIMEOUT_US (2500 * USEC_PER_MSEC)
/* Time to wait for the answer to a pull before another peer is asked. */
#define PULL_TIMEOUT_US (100 * USEC_PER_MSEC)
/* Maximum number of records in a delta that is pushed. A larger delta is only
 * announced: a peer that lacks it pulls it once, instead of getting it from
 * each of its peers. */
#define PUSH_RECORDS_MAX 32
/* A delta without changes is relayed only when its confirmation is later than
 * the previous one by more than this. */
#define CONFIRM_RELAY_STEP_US (50 * USEC_PER_MSEC)
struct view_sync {
    struct forward_view *view;
    struct membership *members;
    struct freshness *freshness;
    struct target_lapse *lapse;
    struct random *random;
    struct view_sync_callbacks cb;

    /* Position of the balancer that got the last confirmation, and the time of
     * the answer by its clock */
    double position;
    struct clock_time answered;
    struct peer_clocks clocks;
    bool announcing; /* an announcement to the pruned peers is pending */
    bool newcomers;  /* there are members that may have missed changes */
    uint64_t next_announce; /* earliest next announcement, us */
    uint64_t next_pull;     /* earliest next pull, us */
    /* The last received delta could not be applied, because changes before it
     * are missing. */
    bool behind;
    uint64_t dropped_deltas; /* of an earlier era */
    uint64_t empty_answers;  /* of peers without a view */
};

struct view_sync *
view_sync_new(struct forward_view *view, struct membership *members,
              struct freshness *freshness, struct target_lapse *lapse,
              struct random *random, const struct view_sync_callbacks *cb)
{
    struct view_sync *vs = calloc(1, sizeof(*vs));

    if (vs == NULL) {
        return NULL;
    }
    vs->view = view;
    vs->members = members;
    vs->freshness = freshness;
    vs->lapse = lapse;
    vs->random = random;
    vs->cb = *cb;

    vs->position = 1.0;
    peer_clocks_init(&vs->clocks, membership_self(members));
    return vs;
}

void
view_sync_destroy(struct view_sync *vs)
{
    if (vs == NULL) {
        return;
    }
    peer_clocks_clear(&vs->clocks);
    free(vs);
}

/* Positions up to which the view is complete, for finding later changes. */
struct view_positions {
    struct store_position view;
    struct store_position routes;
};

static struct view_positions
current_positions(const struct view_sync *vs)
{
    return (struct view_positions){forward_view_position(vs->view),
                                   forward_view_routes_position(vs->view)};
}

static void
message_init(const struct view_sync *vs, struct view_message *m,
             enum view_message_kind kind)
{
    const struct member_info *self = membership_self(vs->members);

    memset(m, 0, sizeof(*m));
    m->kind = kind;
    m->sender_addr = self->addr;
    m->sender_port = self->port;
    view_delta_init(&m->delta);
}

/* Messages have positions in whole steps; two are compared as such. */
static uint32_t
wire_position(double position)
{
    return (uint32_t)(position * VIEW_POSITION_END);
}

/* Fills in the age of the store's last known answer, and the position and time
 * of the balancer that got it. */
static void
message_confirm(const struct view_sync *vs, struct view_message *m,
                uint64_t now)
{
    uint64_t age = freshness_age(vs->freshness, now);

    m->confirmed = age != UINT64_MAX;
    m->age_us = m->confirmed ? age : 0;
    m->position = wire_position(vs->position);
    if (m->confirmed) {
        m->answered = vs->answered;
        m->sent = (struct clock_time){vs->clocks.own_id, now};
    }
}

static bool
connected(const struct member *m, uint64_t now)
{
    return m->neighbor || (m->last_message_at != 0 &&
                           now - m->last_message_at < CONNECTED_TIMEOUT_US);
}

/* Collects the live members that are connected to this balancer, or with "all"
 * all live members. */
static size_t
collect_peers(const struct view_sync *vs, bool all, uint64_t now,
              const struct member *peers[PEERS_MAX])
{
    size_t count = 0;

    list_for_each (it, &membership_table(vs->members)->all) {
        const struct member *m = container_of(it, struct member, link);

        if (m->info.state == MEMBER_ALIVE && (all || connected(m, now)) &&
            count < PEERS_MAX) {
            peers[count] = m;
            count++;
        }
    }
    return count;
}

static bool
fleet_is_small(const struct view_sync *vs)
{
    return membership_table(vs->members)->count <= DIRECT_MEMBERS_MAX;
}

static void
send_to(const struct view_sync *vs, const struct member *const *peers,
        size_t count, const struct view_message *m)
{
    const struct member_info *infos[PEERS_MAX];

    for (size_t i = 0; i < count; i++) {
        infos[i] = &peers[i]->info;
    }
    if (count > 0) {
        vs->cb.send(vs->cb.ctx, infos, count, m);
    }
}

static void
set_pruned(const struct view_sync *vs, uint32_t addr, uint16_t port,
           bool pruned)
{
    list_for_each (it, &membership_table(vs->members)->all) {
        struct member *m = container_of(it, struct member, link);

        if (m->info.addr == addr && m->info.port == port) {
            m->pruned = pruned;
        }
    }
}

/* Collects the live neighbors that this balancer sends deltas to in a larger
 * fleet or, with "pruned", those that only get announcements because they get
 * deltas sooner from another peer. The neighbors of all balancers form a
 * connected graph. */
static size_t
collect_receivers(const struct view_sync *vs, bool pruned,
                  const struct member *peers[PEERS_MAX])
{
    size_t count = 0;

    list_for_each (it, &membership_table(vs->members)->all) {
        const struct member *m = container_of(it, struct member, link);

        if (m->info.state == MEMBER_ALIVE && m->neighbor &&
            m->pruned == pruned && count < PEERS_MAX) {
            peers[count] = m;
            count++;
        }
    }
    return count;
}

static void
exclude_peer(const struct member *peers[PEERS_MAX], size_t *count,
             uint32_t addr)
{
    for (size_t i = 0; i < *count; i++) {
        if (peers[i]->info.addr == addr) {
            (*count)--;
            peers[i] = peers[*count];
            return;
        }
    }
}

/* Removes the records, so that the delta only has the newest positions. */
static void
strip_records(struct view_delta *delta)
{
    g_array_set_size(delta->routes, 0);
    g_array_set_size(delta->targets, 0);
    delta->routes_complete = false;
    delta->targets_complete = false;
    delta->from = delta->to;
    delta->routes_base = delta->routes_position;
}

/* Sends the changes since "before" to the peers, except to the one with the
 * address "exclude_addr", which sent them (0: none). A small fleet sends them
 * to all members. A larger fleet sends them along a spanning tree: receivers
 * prune the links over which deltas arrive too late, and the pruned links
 * carry announcements, which repair the tree (Leitao, Pereira and Rodrigues,
 * "Epidemic Broadcast Trees", 2007). */
static void
send_delta(struct view_sync *vs, struct view_message *m,
           const struct view_positions *before, uint32_t exclude_addr,
           uint64_t now)
{
    const struct member *peers[PEERS_MAX];
    bool direct = fleet_is_small(vs);
    size_t count = direct ? collect_peers(vs, true, now, peers)
                          : collect_receivers(vs, false, peers);

    forward_view_delta_since(vs->view, before->view, before->routes, now,
                             &m->delta);
    if (m->delta.routes->len + m->delta.targets->len > PUSH_RECORDS_MAX) {
        m->kind = VIEW_ANNOUNCE;
        strip_records(&m->delta);
    }
    m->relay_to_neighbors = !direct;
    vs->announcing = !direct;
    exclude_peer(peers, &count, exclude_addr);
    send_to(vs, peers, count, m);
}

/* Sends the positions of this view. */
static void
send_positions(const struct view_sync *vs, const struct member *const *peers,
               size_t count, uint64_t now)
{
    struct view_message m;

    message_init(vs, &m, VIEW_ANNOUNCE);
    message_confirm(vs, &m, now);
    m.relay_to_neighbors = !fleet_is_small(vs);
    m.delta.to = forward_view_position(vs->view);
    m.delta.routes_position = forward_view_routes_position(vs->view);
    m.delta.routes_version = forward_view_routes_version(vs->view);
    strip_records(&m.delta);
    send_to(vs, peers, count, &m);
    view_delta_clear(&m.delta);
}

/* Announces the positions of this view to the pruned neighbors. */
static void
announce(struct view_sync *vs, uint64_t now)
{
    const struct member *peers[PEERS_MAX];
    size_t count = collect_receivers(vs, true, peers);

    vs->announcing = false;
    vs->next_announce = now + ANNOUNCE_MIN_INTERVAL_US;
    send_positions(vs, peers, count, now);
}

void
view_sync_on_member(struct view_sync *vs, const struct member *member)
{
    list_for_each (it, &membership_table(vs->members)->all) {
        struct member *m = container_of(it, struct member, link);

        if (m == member && m->info.state == MEMBER_ALIVE) {
            m->newcomer = true;
            vs->newcomers = true;
        }
    }
}

/* Announces the positions of this view to new members, which may have missed
 * changes that were sent before they were known. In a small fleet the balancer
 * that got the store's last answer does, in a larger one each neighbor. */
static void
announce_to_newcomers(struct view_sync *vs, uint64_t now)
{
    const struct member *peers[PEERS_MAX];
    bool watches = vs->answered.clock == vs->clocks.own_id;
    bool small = fleet_is_small(vs);
    size_t count = 0;

    vs->newcomers = false;
    list_for_each (it, &membership_table(vs->members)->all) {
        struct member *m = container_of(it, struct member, link);

        if (m->newcomer && (small ? watches : m->neighbor) &&
            count < PEERS_MAX) {
            peers[count] = m;
            count++;
        }
        m->newcomer = false;
    }
    if (!store_position_is_none(forward_view_position(vs->view))) {
        send_positions(vs, peers, count, now);
    }
}

/* Whether the view enters a new era of the store with this delta. */
static bool
begins_era(const struct view_sync *vs, const struct view_delta *delta)
{
    struct store_position position = forward_view_position(vs->view);

    return delta->targets_complete && !store_position_is_none(position) &&
           delta->to.era > position.era;
}

/* Applies a delta. With "confirms" set, the store confirmed the view, with
 * this delta, at "at". Returns false, and applies nothing, when changes
 * between the view and the delta may be missing. */
static bool
apply_delta(struct view_sync *vs, const struct view_delta *delta,
            bool confirms, uint64_t at, uint64_t now)
{
    uint64_t age = freshness_age(vs->freshness, now);

    if (confirms && at > vs->freshness->confirmed_at) {
        target_lapse_store_answered(vs->lapse, age, now);
    }
    if (begins_era(vs, delta)) {
        target_lapse_store_restored(vs->lapse, now);
    }
    if (!forward_view_apply(vs->view, delta, now)) {
        return false;
    }
    if (confirms) {
        freshness_confirm(vs->freshness, at);
    }
    vs->cb.changed(vs->cb.ctx);
    return true;
}

bool
view_sync_store_answered(struct view_sync *vs, const struct view_delta *delta,
                         bool confirms, uint64_t at, uint64_t now)
{
    struct view_positions before = current_positions(vs);
    uint64_t confirmed = vs->freshness->confirmed_at;
    struct view_message m;

    if (!apply_delta(vs, delta, confirms, at, now)) {
        return false;
    }
    if (!confirms) {
        return true;
    }
    if (at > confirmed) {
        vs->position = watch_order_position(vs->members, now);
        vs->answered = (struct clock_time){vs->clocks.own_id, at};
    }
    message_init(vs, &m, VIEW_DELTA);
    message_confirm(vs, &m, now);
    send_delta(vs, &m, &before, 0, now);
    view_delta_clear(&m.delta);
    return true;
}

/* Sends one peer a message with the positions of this view and without
 * records. */
static void
send_without_records(struct view_sync *vs, enum view_message_kind kind,
                     uint32_t addr, uint16_t port)
{
    const struct member_info peer = {.addr = addr, .port = port};
    const struct member_info *peers[] = {&peer};
    struct view_message m;

    message_init(vs, &m, kind);
    m.delta.from = forward_view_position(vs->view);
    m.delta.routes_position = forward_view_routes_position(vs->view);
    vs->cb.send(vs->cb.ctx, peers, 1, &m);
    view_delta_clear(&m.delta);
}

void
view_sync_pull_from(struct view_sync *vs, uint32_t addr, uint16_t port,
                    uint64_t now)
{
    vs->next_pull = now + PULL_TIMEOUT_US;
    send_without_records(vs, VIEW_PULL, addr, port);
}

/* Sends the requested changes, or that there is no view yet. The link to the
 * peer is no longer pruned, because other links did not bring these changes in
 * time. */
static void
answer_pull(struct view_sync *vs, const struct view_message *pull,
            uint64_t now)
{
    const struct member_info peer = {.addr = pull->sender_addr,
                                     .port = pull->sender_port};
    const struct member_info *peers[] = {&peer};
    struct view_message m;

    set_pruned(vs, pull->sender_addr, pull->sender_port, false);
    if (pull->delta.from.era > forward_view_position(vs->view).era) {
        /* The peer would drop the answer, and knows what is missing here. */
        vs->behind = true;
        return;
    }
    if (store_position_is_none(forward_view_position(vs->view))) {
        send_without_records(vs, VIEW_DELTA, pull->sender_addr,
                             pull->sender_port);
        return;
    }
    message_init(vs, &m, VIEW_DELTA);
    message_confirm(vs, &m, now);
    forward_view_delta_since(vs->view, pull->delta.from,
                             pull->delta.routes_position, now, &m.delta);
    vs->cb.send(vs->cb.ctx, peers, 1, &m);
    view_delta_clear(&m.delta);
}

static void
relay_delta(struct view_sync *vs, const struct view_message *m,
            const struct view_positions *before, uint64_t now)
{
    struct view_message relayed;

    if (!m->relay_to_neighbors && fleet_is_small(vs)) {
        return;
    }
    message_init(vs, &relayed, VIEW_DELTA);
    message_confirm(vs, &relayed, now);
    send_delta(vs, &relayed, before, m->sender_addr, now);
    view_delta_clear(&relayed.delta);
}

/* Returns when the store gave the answer that a message tells of, 0: unknown.
 * Where the message shows that others from the same clock were late, the time
 * of the last answer is corrected, too. */
static uint64_t
answer_time(struct view_sync *vs, const struct view_message *m, uint64_t now)
{
    uint64_t last = vs->freshness->confirmed_at;
    uint64_t sent = peer_clocks_convert(&vs->clocks, m->sent, now, now);
    uint64_t at;

    if (sent <= m->age_us) {
        return 0;
    }
    at = peer_clocks_convert(&vs->clocks, m->answered, sent - m->age_us, now);
    if (last != 0 && m->answered.clock == vs->answered.clock) {
        freshness_correct(
            vs->freshness,
            peer_clocks_convert(&vs->clocks, vs->answered, last, now));
    }
    return at;
}

static void
on_delta(struct view_sync *vs, const struct view_message *m, uint64_t now)
{
    struct view_positions before = current_positions(vs);
    uint32_t own_position =
        wire_position(watch_order_position(vs->members, now));
    uint64_t confirmed;
    uint64_t at = 0;
    bool relay;

    if (store_position_is_none(m->delta.to)) {
        vs->empty_answers++;
        return;
    }
    if (m->delta.to.era < before.view.era) {
        vs->dropped_deltas++;
        forward_view_merge_earlier(vs->view, &m->delta, now);
        return;
    }
    if (m->confirmed) {
        at = answer_time(vs, m, now);
    }
    confirmed = vs->freshness->confirmed_at;
    if (!apply_delta(vs, &m->delta, m->confirmed, at, now)) {
        vs->behind = true;
        if (now >= vs->next_pull) {
            view_sync_pull_from(vs, m->sender_addr, m->sender_port, now);
        }
        return;
    }
    vs->behind = false;
    if (m->confirmed && at > confirmed) {
        vs->position = (double)m->position / VIEW_POSITION_END;
        vs->answered = m->answered;
    }
    if (m->confirmed && m->position < own_position) {
        freshness_confirm_better_rank(vs->freshness, at);
    }
    relay = store_position_is_after(forward_view_position(vs->view),
                                    before.view) ||
            (m->confirmed && at > confirmed + CONFIRM_RELAY_STEP_US);
    if (relay) {
        relay_delta(vs, m, &before, now);
    }
    else if (m->kind == VIEW_DELTA && m->relay_to_neighbors) {
        send_without_records(vs, VIEW_PRUNE, m->sender_addr, m->sender_port);
    }
}

/* Observations of a peer are not relayed here: each balancer sends its own to
 * all of its peers, among them that it now regards a target as silent. */
static void
on_observations(struct view_sync *vs, const struct view_message *m,
                uint64_t now)
{
    for (size_t i = 0; i < m->observation_count; i++) {
        const struct observation_record *observation = &m->observations[i];

        if (observation->sent_age_us < now) {
            vs->cb.reported(vs->cb.ctx, observation->cookie,
                            observation->misses,
                            now - observation->sent_age_us);
        }
    }
}

void
view_sync_send_observations(struct view_sync *vs,
                            const struct observation_record *observations,
                            size_t count, uint64_t now)
{
    const struct member *peers[PEERS_MAX];
    size_t peer_count = collect_peers(vs, fleet_is_small(vs), now, peers);
    struct view_message m;

    message_init(vs, &m, VIEW_OBSERVATIONS);
    for (size_t i = 0; i < count; i += VIEW_OBSERVATIONS_MAX) {
        size_t left = count - i;

        m.observation_count =
            left < VIEW_OBSERVATIONS_MAX ? left : VIEW_OBSERVATIONS_MAX;
        memcpy(m.observations, &observations[i],
               m.observation_count * sizeof(*observations));
        send_to(vs, peers, peer_count, &m);
    }
    view_delta_clear(&m.delta);
}

/* Draws up to "max" of the live neighbors, in this failure domain or in
 * others. Returns the number stored in "out". */
static size_t
draw_neighbors(struct view_sync *vs, bool local, const struct member **out,
               size_t max)
{
    const struct member *found[PEERS_MAX];
    size_t count = 0;
    size_t drawn = 0;

    list_for_each (it, &membership_table(vs->members)->all) {
        const struct member *m = container_of(it, struct member, link);

        if (m->info.state == MEMBER_ALIVE && m->neighbor &&
            m->local == local && count < PEERS_MAX) {
            found[count] = m;
            count++;
        }
    }
    while (drawn < max && count > 0) {
        uint32_t i = random_below(vs->random, (uint32_t)count);

        out[drawn] = found[i];
        drawn++;
        count--;
        found[i] = found[count];
    }
    return drawn;
}

void
view_sync_send_load(struct view_sync *vs,
                    const struct domain_load_record *records, size_t count)
{
    const struct member *peers[DOMAIN_LOAD_PEERS];
    size_t peer_count = draw_neighbors(vs, false, peers, 1);
    struct view_message m;

    peer_count += draw_neighbors(vs, true, peers + peer_count,
                                 DOMAIN_LOAD_PEERS - peer_count);
    message_init(vs, &m, VIEW_LOAD);
    m.load_count = count;
    memcpy(m.load, records, count * sizeof(*records));
    send_to(vs, peers, peer_count, &m);
    view_delta_clear(&m.delta);
}

/* The receiver of the records decides what is new to it. In a larger fleet it
 * has that sent on by view_sync_send_slow_targets(). */
static void
on_slow_targets(const struct view_sync *vs, const struct view_message *m)
{
    if (vs->cb.slow_targets != NULL) {
        vs->cb.slow_targets(vs->cb.ctx, m->slow_targets, m->slow_target_count,
                            m->relay_to_neighbors);
    }
}

/* Removes the peers of other failure domains. */
static size_t
keep_own_domain(const struct member **peers, size_t count)
{
    size_t kept = 0;

    for (size_t i = 0; i < count; i++) {
        if (peers[i]->local) {
            peers[kept] = peers[i];
            kept++;
        }
    }
    return kept;
}

void
view_sync_send_slow_targets(struct view_sync *vs,
                            const struct slow_target_record *records,
                            size_t count, bool wide, uint64_t now)
{
    const struct member *peers[PEERS_MAX];
    bool direct = fleet_is_small(vs);
    size_t peer_count = collect_peers(vs, direct, now, peers);
    struct view_message m;

    assert(count <= SLOW_TARGET_RECORDS_MAX);
    if (!wide && !direct) {
        peer_count = keep_own_domain(peers, peer_count);
    }
    message_init(vs, &m, VIEW_SLOW_TARGETS);
    m.relay_to_neighbors = !direct;
    m.slow_target_count = count;
    memcpy(m.slow_targets, records, count * sizeof(*records));
    send_to(vs, peers, peer_count, &m);
    view_delta_clear(&m.delta);
}

void
view_sync_send_open_flows(struct view_sync *vs,
                          const struct open_flow_record *records, size_t count,
                          uint64_t now)
{
    const struct member *peers[PEERS_MAX];
    bool direct = fleet_is_small(vs);
    size_t peer_count = collect_peers(vs, direct, now, peers);
    struct view_message m;

    assert(count <= OPEN_FLOW_RECORDS_MAX);
    if (!direct) {
        peer_count = keep_own_domain(peers, peer_count);
    }
    message_init(vs, &m, VIEW_OPEN_FLOWS);
    m.relay_to_neighbors = !direct;
    m.open_flow_count = count;
    memcpy(m.open_flows, records, count * sizeof(*records));
    send_to(vs, peers, peer_count, &m);
    view_delta_clear(&m.delta);
}

void
view_sync_receive(struct view_sync *vs, const struct view_message *m,
                  uint64_t now)
{
    switch (m->kind) {
    case VIEW_DELTA:
    case VIEW_ANNOUNCE:
        on_delta(vs, m, now);
        break;
    case VIEW_PRUNE:
        set_pruned(vs, m->sender_addr, m->sender_port, true);
        break;
    case VIEW_PULL:
        answer_pull(vs, m, now);
        break;
    case VIEW_OBSERVATIONS:
        on_observations(vs, m, now);
        break;
    case VIEW_LOAD:
        if (vs->cb.load_told != NULL) {
            vs->cb.load_told(vs->cb.ctx, m->load, m->load_count, now);
        }
        break;
    case VIEW_SLOW_TARGETS:
        on_slow_targets(vs, m);
        break;
    case VIEW_OPEN_FLOWS:
        if (vs->cb.open_flows != NULL) {
            vs->cb.open_flows(vs->cb.ctx, m->open_flows, m->open_flow_count,
                              m->relay_to_neighbors);
        }
        break;
    default:
        break;
    }
}

uint64_t
view_sync_dropped_deltas(const struct view_sync *vs)
{
    return vs->dropped_deltas;
}

uint64_t
view_sync_empty_answers(const struct view_sync *vs)
{
    return vs->empty_answers;
}

/* Pulls from a member that is connected to this balancer, if there is any. */
void
view_sync_pull(struct view_sync *vs, uint64_t now)
{
    const struct member *peers[PEERS_MAX];
    size_t count = collect_peers(vs, false, now, peers);
    uint32_t drawn;

    if (count == 0) {
        count = collect_peers(vs, true, now, peers);
    }
    if (count == 0) {
        return;
    }
    drawn = random_below(vs->random, (uint32_t)count);
    view_sync_pull_from(vs, peers[drawn]->info.addr, peers[drawn]->info.port,
                        now);
}

void
view_sync_tick(struct view_sync *vs, uint64_t now)
{
    if (vs->announcing && now >= vs->next_announce) {
        announce(vs, now);
    }
    if (vs->newcomers) {
        announce_to_newcomers(vs, now);
    }
    if (now >= vs->next_pull &&
        (vs->behind || freshness_should_pull(vs->freshness, now))) {
        view_sync_pull(vs, now);
    }
}
