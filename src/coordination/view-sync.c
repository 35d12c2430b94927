#include "coordination/view-sync.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/* Up to this many members are told directly, without passing on. */
#define DIRECT_MEMBERS_MAX 16
/* Told at a time: twice the neighbours of a balancer, and some that join. */
#define PEERS_MAX 32
/* Between two announcements to the peers that get no records. One that lost
 * its way to the news is late by this and a pull: small against the bound on
 * changes. */
#define ANNOUNCE_INTERVAL_US (200 * USEC_PER_MSEC)
/* A member heard within this time has a connection with us. */
#define HEARD_RECENTLY_US (2500 * USEC_PER_MSEC)
/* A neighbour heard within this time can tell us of an answer: it is heard
 * once a second at the least. */
#define HEARD_NOW_US (1200 * USEC_PER_MSEC)
/* An answer to a pull may take so long before another peer is asked. */
#define PULL_INTERVAL_US (100 * USEC_PER_MSEC)
/* News of more records are only announced: who lacks them pulls them once,
 * instead of getting them from each peer. */
#define PUSH_RECORDS_MAX 32
/* Confirmations closer to the last one are not passed on. */
#define PASS_ON_STEP_US (50 * USEC_PER_MSEC)
/* Salt of the rendezvous order of watchers. */
#define WATCHER_SALT 0x77617463686572ULL
/* Position of a balancer that does not know the others yet. */
#define POSITION_UNSETTLED 0.5

struct view_sync {
    struct forward_view *view;
    struct membership *members;
    struct freshness *freshness;
    struct target_absence *absence;
    struct random *random;
    struct view_sync_callbacks cb;

    double position; /* of the balancer that confirmed the view last */
    bool announcing; /* there is something to announce */
    uint64_t next_announce;
    uint64_t next_pull;
    bool behind; /* a peer knows more, as far as we have heard */
};

struct view_sync *
view_sync_new(struct forward_view *view, struct membership *members,
              struct freshness *freshness, struct target_absence *absence,
              struct random *random, const struct view_sync_callbacks *cb)
{
    struct view_sync *vs = calloc(1, sizeof(*vs));

    if (vs == NULL) {
        return NULL;
    }
    vs->view = view;
    vs->members = members;
    vs->freshness = freshness;
    vs->absence = absence;
    vs->random = random;
    vs->cb = *cb;

    vs->position = 1.0;
    return vs;
}

void
view_sync_destroy(struct view_sync *vs)
{
    free(vs);
}

/* Place of the own failure domain among those with a live member, by
 * rendezvous score; "count" gets the number of domains. The table lists
 * members, so a domain counts once, by the first of its members. */
static size_t
domain_rank(const struct view_sync *vs, size_t *count)
{
    const struct member_info *self = membership_self(vs->members);
    uint64_t own = random_mix(WATCHER_SALT, id_hash(self->domain));
    uint64_t seen[PEERS_MAX];
    size_t seen_count = 0;
    size_t rank = 0;

    list_for_each (it, &membership_table(vs->members)->all) {
        const struct member *m = container_of(it, struct member, link);
        uint64_t score = random_mix(WATCHER_SALT, id_hash(m->info.domain));
        bool known = m->local || m->info.state != MEMBER_ALIVE;

        for (size_t i = 0; i < seen_count && !known; i++) {
            known = seen[i] == score;
        }
        if (known || seen_count == PEERS_MAX) {
            continue;
        }
        seen[seen_count] = score;
        seen_count++;
        rank += score < own;
    }
    *count = seen_count + 1;
    return rank;
}

double
view_sync_position(const struct view_sync *vs, uint64_t now)
{
    size_t domains;
    size_t domain = domain_rank(vs, &domains);
    size_t rank = membership_rank(vs->members, WATCHER_SALT);
    size_t size = 1 + member_table_count(membership_table(vs->members),
                                         MEMBER_ALIVE, true);
    double position =
        ((double)domain + (double)rank / (double)size) / (double)domains;

    if (!membership_settled(vs->members, now) && position <= 0.0) {
        return POSITION_UNSETTLED;
    }
    return position;
}

double
view_sync_reach(const struct view_sync *vs, uint64_t now)
{
    size_t neighbors = 0;
    size_t heard = 0;
    size_t domains;
    size_t size = 1 + member_table_count(membership_table(vs->members),
                                         MEMBER_ALIVE, true);
    double share;

    list_for_each (it, &membership_table(vs->members)->all) {
        const struct member *m = container_of(it, struct member, link);

        if (m->neighbor) {
            neighbors++;
            heard += m->heard != 0 && now - m->heard < HEARD_NOW_US;
        }
    }
    if (neighbors == 0) {
        return 1.0;
    }
    domain_rank(vs, &domains);
    share = (double)heard / (double)neighbors;
    return 1.0 + (double)(size * domains) * share * share;
}

/* Up to where the view is complete, for telling what has changed since. */
struct known {
    uint64_t revision;
    uint64_t routes_revision;
};

static struct known
known(const struct view_sync *vs)
{
    return (struct known){forward_view_revision(vs->view),
                          forward_view_routes_revision(vs->view)};
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
    view_news_init(&m->news);
}

/* Fills in when the store last answered, and the position of the balancer that
 * it answered. */
static void
message_confirm(const struct view_sync *vs, struct view_message *m,
                uint64_t now)
{
    uint64_t age = freshness_age(vs->freshness, now);

    m->confirmed = age != UINT64_MAX;
    m->age_us = m->confirmed ? age : 0;
    m->position = (uint32_t)(vs->position * VIEW_POSITION_END);
}

static bool
connected(const struct member *m, uint64_t now)
{
    return m->neighbor ||
           (m->heard != 0 && now - m->heard < HEARD_RECENTLY_US);
}

/* Collects whom to tell: all live members of a small fleet, otherwise those
 * with whom heartbeats are exchanged. */
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

/* Collects the members whom this balancer passes news on to in a larger fleet:
 * its neighbours that do not get them sooner from another, or those that do.
 * The neighbours of all balancers form a connected graph. */
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
leave_out(const struct member *peers[PEERS_MAX], size_t *count, uint32_t addr)
{
    for (size_t i = 0; i < *count; i++) {
        if (peers[i]->info.addr == addr) {
            (*count)--;
            peers[i] = peers[*count];
            return;
        }
    }
}

/* Leaves out the records: the receiver only learns that there are some. */
static void
strip_records(struct view_news *news)
{
    g_array_set_size(news->routes, 0);
    g_array_set_size(news->targets, 0);
    news->routes_whole = false;
    news->targets_whole = false;
    news->from = news->to;
    news->routes_from = news->routes_revision;
}

/* Tells the peers what has changed since "before", but for the one that told
 * us. In a small fleet all are told; in a larger one the news go along a
 * tree, which the receivers form by pruning the links that bring them too
 * late, and the pruned links carry announcements that repair it (Leitao,
 * Pereira and Rodrigues, "Epidemic Broadcast Trees", 2007). */
static void
tell_news(struct view_sync *vs, struct view_message *m,
          const struct known *before, uint32_t from_addr, uint64_t now)
{
    const struct member *peers[PEERS_MAX];
    bool small = fleet_is_small(vs);
    size_t count = small ? collect_peers(vs, true, now, peers)
                         : collect_receivers(vs, false, peers);

    forward_view_since(vs->view, before->revision, before->routes_revision,
                       now, &m->news);
    if (m->news.routes->len + m->news.targets->len > PUSH_RECORDS_MAX) {
        m->kind = VIEW_ANNOUNCE;
        strip_records(&m->news);
    }
    m->pass_on = !small;
    vs->announcing = !small;
    leave_out(peers, &count, from_addr);
    send_to(vs, peers, count, m);
}

/* Tells the neighbours that get no records how far this balancer is. */
static void
announce(struct view_sync *vs, uint64_t now)
{
    const struct member *peers[PEERS_MAX];
    size_t count = collect_receivers(vs, true, peers);
    struct view_message m;

    vs->announcing = false;
    vs->next_announce = now + ANNOUNCE_INTERVAL_US;
    message_init(vs, &m, VIEW_ANNOUNCE);
    message_confirm(vs, &m, now);
    m.pass_on = true;
    m.news.to = forward_view_revision(vs->view);
    m.news.routes_revision = forward_view_routes_revision(vs->view);
    strip_records(&m.news);
    send_to(vs, peers, count, &m);
    view_news_clear(&m.news);
}

/* Takes news that the store gave "age_us" ago, and its confirmation. Returns
 * false when something may be missing in between. */
static bool
take(struct view_sync *vs, const struct view_news *news, bool confirms,
     uint64_t at, uint64_t now)
{
    uint64_t age = freshness_age(vs->freshness, at);

    if (confirms) {
        target_absence_answered(vs->absence, age, now);
    }
    if (!forward_view_apply(vs->view, news, now)) {
        return false;
    }
    if (confirms) {
        freshness_confirm(vs->freshness, at);
    }
    vs->cb.changed(vs->cb.ctx);
    return true;
}

bool
view_sync_store_answered(struct view_sync *vs, const struct view_news *news,
                         bool confirms, uint64_t at)
{
    struct known before = known(vs);
    struct view_message m;

    if (!take(vs, news, confirms, at, at)) {
        return false;
    }
    if (!confirms) {
        return true;
    }
    vs->position = view_sync_position(vs, at);
    message_init(vs, &m, VIEW_NEWS);
    message_confirm(vs, &m, at);
    tell_news(vs, &m, &before, 0, at);
    view_news_clear(&m.news);
    return true;
}

/* Sends a message without news to one peer. */
static void
send_short(struct view_sync *vs, enum view_message_kind kind, uint32_t addr,
           uint16_t port)
{
    const struct member_info peer = {.addr = addr, .port = port};
    const struct member_info *peers[] = {&peer};
    struct view_message m;

    message_init(vs, &m, kind);
    m.news.from = forward_view_revision(vs->view);
    m.news.routes_revision = forward_view_routes_revision(vs->view);
    vs->cb.send(vs->cb.ctx, peers, 1, &m);
    view_news_clear(&m.news);
}

static void
send_pull(struct view_sync *vs, uint32_t addr, uint16_t port, uint64_t now)
{
    vs->next_pull = now + PULL_INTERVAL_US;
    send_short(vs, VIEW_PULL, addr, port);
}

static void
answer_pull(struct view_sync *vs, const struct view_message *pull,
            uint64_t now)
{
    const struct member_info peer = {.addr = pull->sender_addr,
                                     .port = pull->sender_port};
    const struct member_info *peers[] = {&peer};
    struct view_message m;

    set_pruned(vs, pull->sender_addr, pull->sender_port, false);
    if (forward_view_revision(vs->view) == 0) {
        return;
    }
    message_init(vs, &m, VIEW_NEWS);
    message_confirm(vs, &m, now);
    forward_view_since(vs->view, pull->news.from, pull->news.routes_revision,
                       now, &m.news);
    vs->cb.send(vs->cb.ctx, peers, 1, &m);
    view_news_clear(&m.news);
}

static void
pass_on(struct view_sync *vs, const struct view_message *m,
        const struct known *before, uint64_t now)
{
    struct view_message on;

    if (m->confirmed) {
        vs->position = (double)m->position / VIEW_POSITION_END;
    }
    if (!m->pass_on && fleet_is_small(vs)) {
        return;
    }
    message_init(vs, &on, VIEW_NEWS);
    message_confirm(vs, &on, now);
    tell_news(vs, &on, before, m->sender_addr, now);
    view_news_clear(&on.news);
}

static void
on_news(struct view_sync *vs, const struct view_message *m, uint64_t now)
{
    uint64_t at = now - m->age_us;
    struct known before = known(vs);
    uint64_t confirmed = vs->freshness->confirmed_at;
    double own = view_sync_position(vs, now) * VIEW_POSITION_END;
    bool newer;

    if (m->confirmed && m->age_us >= now) {
        return;
    }
    if (!take(vs, &m->news, m->confirmed, at, now)) {
        vs->behind = true;
        if (now >= vs->next_pull) {
            send_pull(vs, m->sender_addr, m->sender_port, now);
        }
        return;
    }
    vs->behind = false;
    if (m->confirmed && (double)m->position < own) {
        freshness_heard(vs->freshness, at);
    }
    newer = forward_view_revision(vs->view) > before.revision ||
            (m->confirmed && at > confirmed + PASS_ON_STEP_US);
    if (newer) {
        pass_on(vs, m, &before, now);
    }
    else if (m->kind == VIEW_NEWS && m->pass_on) {
        send_short(vs, VIEW_PRUNE, m->sender_addr, m->sender_port);
    }
}

/* What a peer has noticed is not passed on: each tells of its own misses. */
static void
on_signs(struct view_sync *vs, const struct view_message *m, uint64_t now)
{
    for (size_t i = 0; i < m->sign_count; i++) {
        const struct sign_record *sign = &m->signs[i];

        if (sign->sent_age_us < now) {
            vs->cb.reported(vs->cb.ctx, sign->cookie, sign->misses,
                            now - sign->sent_age_us);
        }
    }
}

void
view_sync_report(struct view_sync *vs, const struct sign_record *signs,
                 size_t count, uint64_t now)
{
    const struct member *peers[PEERS_MAX];
    size_t peer_count = collect_peers(vs, fleet_is_small(vs), now, peers);
    struct view_message m;

    message_init(vs, &m, VIEW_SIGNS);
    for (size_t i = 0; i < count; i += VIEW_SIGNS_MAX) {
        size_t left = count - i;

        m.sign_count = left < VIEW_SIGNS_MAX ? left : VIEW_SIGNS_MAX;
        memcpy(m.signs, &signs[i], m.sign_count * sizeof(*signs));
        send_to(vs, peers, peer_count, &m);
    }
    view_news_clear(&m.news);
}

void
view_sync_receive(struct view_sync *vs, const struct view_message *m,
                  uint64_t now)
{
    switch (m->kind) {
    case VIEW_NEWS:
    case VIEW_ANNOUNCE:
        on_news(vs, m, now);
        break;
    case VIEW_PRUNE:
        set_pruned(vs, m->sender_addr, m->sender_port, true);
        break;
    case VIEW_PULL:
        answer_pull(vs, m, now);
        break;
    case VIEW_SIGNS:
        on_signs(vs, m, now);
        break;
    default:
        break;
    }
}

/* Asks a live member for what it knows: one with whom there is a connection,
 * if there are any. */
void
view_sync_ask(struct view_sync *vs, uint64_t now)
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
    send_pull(vs, peers[drawn]->info.addr, peers[drawn]->info.port, now);
}

/* Announces what was not pushed, and asks when the news are late. */
void
view_sync_tick(struct view_sync *vs, uint64_t now)
{
    if (vs->announcing && now >= vs->next_announce) {
        announce(vs, now);
    }
    if (now >= vs->next_pull &&
        (vs->behind || freshness_should_pull(vs->freshness, now))) {
        view_sync_ask(vs, now);
    }
}
