#include "coordination/membership.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "coordination/neighbors.h"

/* Interval between two heartbeats to a neighbor, and its jitter either way. */
#define PING_INTERVAL_US (1 * USEC_PER_SEC)
#define PING_JITTER_US (100 * USEC_PER_MSEC)
/* Time without an ACK after which other members are asked to ping. */
#define PING_TIMEOUT_US (500 * USEC_PER_MSEC)
/* Further time without an ACK after which the member becomes a suspect; also
 * the lifetime of a ping made for another member. */
#define PROBE_TIMEOUT_US (1000 * USEC_PER_MSEC)
/* Time after which a suspect is declared dead. */
#define SUSPECT_TIMEOUT_US (4 * USEC_PER_SEC)
/* Interval between two pings to dead members. Each goes to one dead member
 * drawn at random. */
#define RECONNECT_INTERVAL_US (3 * USEC_PER_SEC)
/* Interval between two JOIN messages while no peer has answered or this
 * balancer is isolated, before jitter. */
#define SEED_INTERVAL_US (1 * USEC_PER_SEC)
/* Maximum time after the start to wait for the first MEMBERS message. */
#define SETTLE_TIMEOUT_US (2 * USEC_PER_SEC)
/* Time without a message from a member in the table after which this balancer
 * counts as isolated. */
#define ISOLATED_TIMEOUT_US (5 * USEC_PER_SEC)
/* Time for which a member that left is remembered. It must exceed the lifetime
 * of old updates that still call the member alive. */
#define LEFT_RETENTION_US (600 * USEC_PER_SEC)
/* Minimum time between two ticks that counts as a pause of the process. */
#define PAUSE_MIN_US (1 * USEC_PER_SEC)
/* Interval between two full exchanges of members, jittered. It grows with the
 * number of members, so that the bytes per second stay the same. */
#define SYNC_INTERVAL_US (60 * USEC_PER_SEC)
#define SYNC_PER_MEMBER_US (500 * USEC_PER_MSEC)
/* First interval between full exchanges. It doubles with each exchange up to
 * the interval above. */
#define SYNC_FIRST_US (2 * USEC_PER_SEC)
/* Mean interval between two pings of a seed while peers are known. It lets a
 * group of balancers that is cut off from all others find them again. */
#define SEED_CHECK_INTERVAL_US (600 * USEC_PER_SEC)
/* Minimum interval between two choices of neighbors. Members become known one
 * by one, mostly when a fleet starts; choosing again for each of them would
 * open a connection each time. */
#define NEIGHBORS_INTERVAL_US (500 * USEC_PER_MSEC)
/* Maximum of this interval, which doubles with each choice after the start. */
#define NEIGHBORS_INTERVAL_MAX_US (2 * USEC_PER_SEC)
/* Maximum number of members asked to ping a silent one */
#define PROBE_HELPERS_MAX 3
/* Maximum number of updates piggybacked on a message */
#define RUMORS_PER_MESSAGE_MAX 6
/* Number of messages that carry an update, as a multiple of about log2 of the
 * number of members. */
#define RUMOR_FACTOR 3
/* Maximum number of members kept of each other domain */
#define REMOTE_PER_DOMAIN_MAX 8
/* Maximum number of pending pings for other members */
#define INDIRECT_PINGS_MAX 32
#define SEEDS_MAX 64 /* maximum number of addresses to join through */

struct seed {
    uint32_t addr;
    uint16_t port;
};

/* A ping sent at the request (GOSSIP_PROBE) of another member, the origin. */
struct indirect_ping {
    uint64_t nonce; /* nonce of the ping sent; 0: this entry is free */
    /* Nonce of the request, repeated in the forwarded ACK */
    uint64_t origin_nonce;
    uint32_t origin_addr;
    uint16_t origin_port;
    uint64_t expires; /* end of the wait for the ACK, us */
};

struct membership {
    struct member_info self;
    uint64_t self_hash;
    struct membership_callbacks cb;
    struct random *random;
    struct member_table table;
    struct indirect_ping indirect_pings[INDIRECT_PINGS_MAX];
    struct seed seeds[SEEDS_MAX];
    size_t seed_count;
    /* Modulo seed_count: index of the seed to contact next */
    size_t next_seed;
    /* Modulo SEEDS_MAX: index of the seed to replace next when the list is
     * full */
    size_t replaced_seed;
    bool neighbors_stale; /* the members changed since the last choice */
    uint64_t next_neighbor_choice; /* earliest next choice of neighbors, us */
    uint64_t neighbor_interval;    /* between the next two choices, us */
    bool joined;                   /* a peer has sent its members */
    uint64_t started;              /* time of membership_new(), us */
    uint64_t last_tick;            /* time of the last tick, us */
    /* Time of the last message from a member in the table, or of the end of
     * the last pause, us */
    uint64_t last_heard;
    uint64_t next_reconnect;    /* earliest next ping of a dead member, us */
    uint64_t next_seed_contact; /* earliest next message to a seed, us */
    uint64_t next_sync;         /* earliest next full exchange, us */
    uint64_t sync_interval;     /* current mean interval of exchanges, us */
    struct gossip_message out;  /* reused for every message sent */
};

struct membership *
membership_new(const struct member_info *self,
               const struct membership_callbacks *cb, struct random *random,
               uint64_t now)
{
    struct membership *ms = calloc(1, sizeof(*ms));

    if (ms == NULL) {
        return NULL;
    }
    ms->self = *self;
    ms->self.state = MEMBER_ALIVE;
    ms->self_hash = id_hash(self->id);
    ms->cb = *cb;
    ms->random = random;
    ms->started = now;
    ms->last_tick = now;
    ms->last_heard = now;
    ms->next_neighbor_choice = now + NEIGHBORS_INTERVAL_US;
    ms->neighbor_interval = NEIGHBORS_INTERVAL_US;
    ms->sync_interval = SYNC_FIRST_US;
    ms->next_sync =
        now + SYNC_FIRST_US / 2 + random_below(random, SYNC_FIRST_US);
    member_table_init(&ms->table);
    return ms;
}

void
membership_destroy(struct membership *ms)
{
    if (ms == NULL) {
        return;
    }
    member_table_clear(&ms->table);
    free(ms);
}

void
membership_add_seed(struct membership *ms, uint32_t addr, uint16_t port)
{
    if (addr == ms->self.addr && port == ms->self.port) {
        return;
    }
    for (size_t i = 0; i < ms->seed_count; i++) {
        if (ms->seeds[i].addr == addr && ms->seeds[i].port == port) {
            return;
        }
    }
    if (ms->seed_count < SEEDS_MAX) {
        ms->seeds[ms->seed_count] = (struct seed){addr, port};
        ms->seed_count++;
        return;
    }
    ms->seeds[ms->replaced_seed % SEEDS_MAX] = (struct seed){addr, port};
    ms->replaced_seed++;
}

bool
membership_needs_seeds(const struct membership *ms, uint64_t now)
{
    return !ms->joined || membership_isolated(ms, now);
}

/* Number of messages that carry an update, enough for it to reach all members
 * with high probability. */
static unsigned
rumor_count(const struct membership *ms)
{
    unsigned log2 = 1;

    for (size_t n = ms->table.count; n > 1; n /= 2) {
        log2++;
    }
    return RUMOR_FACTOR * log2;
}

static uint64_t
nonce_new(struct membership *ms)
{
    return random_next(ms->random) | 1;
}

static struct gossip_message *
message_start(struct membership *ms, enum gossip_kind kind, uint64_t nonce)
{
    struct gossip_message *m = &ms->out;

    m->kind = kind;
    m->sender = ms->self;
    m->nonce = nonce;
    m->revision = 0;
    m->checksum = 0;
    m->member_count = 0;
    m->floor_count = 0;
    m->version_count = 0;
    m->resource_count = 0;
    if (ms->cb.summary != NULL) {
        ms->cb.summary(ms->cb.ctx, m);
    }
    return m;
}

static void
message_add_member(struct gossip_message *m, const struct member_info *info)
{
    if (m->member_count < GOSSIP_MEMBERS_MAX) {
        m->members[m->member_count] = *info;
        m->member_count++;
    }
}

/* Adds updates that still have to be sent, and moves their members to the end
 * of the table's list so that the other updates are sent next. */
static void
add_rumors(struct membership *ms, struct gossip_message *m)
{
    size_t added = 0;
    struct list used;

    list_init(&used);
    list_for_each_safe (it, &ms->table.all) {
        struct member *member = container_of(it, struct member, link);

        if (member->rumors == 0) {
            continue;
        }
        if (added == RUMORS_PER_MESSAGE_MAX) {
            break;
        }
        member->rumors--;
        added++;
        message_add_member(m, &member->info);
        list_remove(it);
        list_push_back(&used, it);
    }
    list_for_each_safe (it, &used) {
        list_remove(it);
        list_push_back(&ms->table.all, it);
    }
}

static void
send_to(struct membership *ms, uint32_t addr, uint16_t port,
        const struct gossip_message *m)
{
    ms->cb.send(ms->cb.ctx, addr, port, m);
}

/* Sends a heartbeat. If the receiver is not recorded as alive, the message
 * says so, which makes the receiver refute it. */
static void
send_ping(struct membership *ms, const struct member_info *to, uint64_t nonce)
{
    struct gossip_message *m = message_start(ms, GOSSIP_PING, nonce);

    if (to->state != MEMBER_ALIVE) {
        message_add_member(m, to);
    }
    add_rumors(ms, m);
    send_to(ms, to->addr, to->port, m);
}

/* Acknowledges a ping. If the sender of the ping is not recorded as alive, the
 * ACK says so, which makes that member refute it. */
static void
send_ack(struct membership *ms, const struct member_info *to, uint64_t nonce,
         const struct member *known)
{
    struct gossip_message *m = message_start(ms, GOSSIP_ACK, nonce);

    if (known != NULL && known->info.state != MEMBER_ALIVE) {
        message_add_member(m, &known->info);
    }
    add_rumors(ms, m);
    send_to(ms, to->addr, to->port, m);
}

static void
set_state(struct membership *ms, struct member *m, enum member_state state,
          uint64_t now)
{
    if (m->info.state == state) {
        return;
    }
    m->info.state = state;
    m->state_since = now;
    m->rumors = rumor_count(ms);
    m->ping_nonce = 0;
    ms->neighbors_stale = true;
    ms->cb.changed(ms->cb.ctx, m);
}

/* Whether "info" replaces the stored information on the same member. */
static bool
supersedes(const struct member_info *info, const struct member_info *current)
{
    if (info->incarnation != current->incarnation) {
        return info->incarnation > current->incarnation;
    }
    return info->state > current->state;
}

/* Raises this balancer's incarnation above that of a message that does not
 * call it alive, or above that of an earlier process of this host. */
static void
refute(struct membership *ms, const struct member_info *info)
{
    bool newer = info->incarnation > ms->self.incarnation;
    bool not_alive = info->incarnation == ms->self.incarnation &&
                     info->state != MEMBER_ALIVE;

    if (ms->self.state != MEMBER_LEFT && (newer || not_alive)) {
        ms->self.incarnation = info->incarnation + 1;
    }
}

/* Whether "a" is removed from the sample of another domain before "b": members
 * that are not alive first, then those with the last rendezvous rank. */
static bool
ranks_below(const struct membership *ms, const struct member *a,
            const struct member *b)
{
    bool a_live = a->info.state == MEMBER_ALIVE;
    bool b_live = b->info.state == MEMBER_ALIVE;

    if (a_live != b_live) {
        return !a_live;
    }
    return random_mix(ms->self_hash, a->hash) >
           random_mix(ms->self_hash, b->hash);
}

/* Removes the last-ranked member if the sample of the domain of "added" is too
 * large. Returns false when that was "added" itself, which is then freed. */
static bool
trim_sample(struct membership *ms, const struct member *added)
{
    struct member *worst = NULL;
    size_t count = 0;

    list_for_each (it, &ms->table.all) {
        struct member *m = container_of(it, struct member, link);

        if (m->local || strcmp(m->info.domain, added->info.domain) != 0) {
            continue;
        }
        count++;
        if (worst == NULL || ranks_below(ms, m, worst)) {
            worst = m;
        }
    }
    if (count <= REMOTE_PER_DOMAIN_MAX) {
        return true;
    }
    if (worst == added) {
        member_table_remove(&ms->table, worst);
        return false;
    }
    member_table_remove(&ms->table, worst);
    return true;
}

static struct member *
add_member(struct membership *ms, const struct member_info *info, uint64_t now)
{
    bool local = strcmp(info->domain, ms->self.domain) == 0;
    struct member *m;

    /* The bounded sample of another domain takes only members that are likely
     * to answer. */
    if (!local && info->state != MEMBER_ALIVE) {
        return NULL;
    }
    m = member_table_add(&ms->table, info, local);
    if (m == NULL) {
        return NULL;
    }
    m->state_since = now;
    if (!local && !trim_sample(ms, m)) {
        return NULL;
    }
    m->rumors = rumor_count(ms);
    ms->neighbors_stale = true;
    ms->cb.changed(ms->cb.ctx, m);
    return m;
}

/* Merges received information on one member. Returns the member's entry, or
 * NULL when the member is this balancer or is not kept. */
static struct member *
merge_member(struct membership *ms, const struct member_info *info,
             uint64_t now)
{
    struct member *m;
    enum member_state old;

    if (strcmp(info->id, ms->self.id) == 0) {
        refute(ms, info);
        return NULL;
    }
    m = member_table_find(&ms->table, info->id);
    if (m == NULL) {
        return add_member(ms, info, now);
    }
    if (!supersedes(info, &m->info)) {
        return m;
    }
    old = m->info.state;
    if (info->incarnation - m->info.incarnation > MEMBER_REFUTATIONS_MAX) {
        /* The host runs a new process: the report of the earlier one no longer
         * applies. */
        m->reported = false;
    }
    m->info = *info;
    m->info.state = old;
    m->local = strcmp(info->domain, ms->self.domain) == 0;
    m->rumors = rumor_count(ms);
    set_state(ms, m, info->state, now);
    return m;
}

static void
send_members(struct membership *ms, uint32_t addr, uint16_t port)
{
    struct gossip_message *m = message_start(ms, GOSSIP_MEMBERS, 0);

    list_for_each (it, &ms->table.all) {
        message_add_member(m, &container_of(it, struct member, link)->info);
        if (m->member_count == GOSSIP_MEMBERS_MAX) {
            send_to(ms, addr, port, m);
            m = message_start(ms, GOSSIP_MEMBERS, 0);
        }
    }
    send_to(ms, addr, port, m);
}

static struct indirect_ping *
find_indirect_ping(struct membership *ms, uint64_t nonce, uint64_t now)
{
    for (size_t i = 0; i < INDIRECT_PINGS_MAX; i++) {
        struct indirect_ping *ping = &ms->indirect_pings[i];

        if (ping->expires <= now) {
            ping->nonce = 0;
        }
        if (ping->nonce == nonce) {
            return ping;
        }
    }
    return NULL;
}

static void
on_probe(struct membership *ms, const struct gossip_message *m, uint64_t now)
{
    struct indirect_ping *ping = find_indirect_ping(ms, 0, now);

    if (m->member_count == 0 || ping == NULL) {
        return;
    }
    ping->nonce = nonce_new(ms);
    ping->origin_nonce = m->nonce;
    ping->origin_addr = m->sender.addr;
    ping->origin_port = m->sender.port;
    ping->expires = now + PROBE_TIMEOUT_US;
    send_ping(ms, &m->members[0], ping->nonce);
}

static void
on_member_answered(struct membership *ms, struct member *m, uint64_t now)
{
    m->ping_nonce = 0;
    m->probed = false;
    if (m->info.state == MEMBER_SUSPECT) {
        /* The refutation itself comes with the member's new incarnation; until
         * then other members may continue to suspect it. */
        set_state(ms, m, MEMBER_ALIVE, now);
    }
}

/* Handles the ACK of a ping that this balancer sent for itself or for another
 * member, or that a helper sent for this balancer. */
static void
on_ack(struct membership *ms, const struct gossip_message *m,
       struct member *sender, uint64_t now)
{
    struct indirect_ping *ping;

    if (m->nonce == 0) {
        return;
    }
    if (sender != NULL && sender->ping_nonce == m->nonce) {
        on_member_answered(ms, sender, now);
        return;
    }
    ping = find_indirect_ping(ms, m->nonce, now);
    if (ping != NULL) {
        ping->nonce = 0;
        message_start(ms, GOSSIP_ACK, ping->origin_nonce);
        send_to(ms, ping->origin_addr, ping->origin_port, &ms->out);
        return;
    }
    list_for_each (it, &ms->table.all) {
        struct member *subject = container_of(it, struct member, link);

        if (subject->ping_nonce == m->nonce) {
            on_member_answered(ms, subject, now);
            return;
        }
    }
}

/* Records the time of a message and the sender's configuration summary. */
static void
record_sender(struct membership *ms, const struct gossip_message *m,
              uint64_t now)
{
    struct member *sender = merge_member(ms, &m->sender, now);

    if (sender == NULL) {
        return;
    }
    ms->last_heard = now;
    sender->last_message_at = now;
    sender->revision = m->revision;
    sender->checksum = m->checksum;
}

struct member *
membership_receive(struct membership *ms, const struct gossip_message *m,
                   uint64_t now)
{
    struct member *sender;

    record_sender(ms, m, now);
    for (size_t i = 0; i < m->member_count && m->kind != GOSSIP_PROBE; i++) {
        bool known = member_table_find(&ms->table, m->members[i].id) != NULL;
        struct member *member = merge_member(ms, &m->members[i], now);

        /* Most members already know what a complete table lists. Relaying all
         * of it would delay new updates. */
        if (member != NULL && !known && m->kind == GOSSIP_MEMBERS) {
            member->rumors = 0;
        }
    }
    /* Merging the members may have removed the sender from the sample. */
    sender = member_table_find(&ms->table, m->sender.id);
    switch (m->kind) {
    case GOSSIP_PING:
        send_ack(ms, &m->sender, m->nonce, sender);
        break;
    case GOSSIP_ACK:
        on_ack(ms, m, sender, now);
        break;
    case GOSSIP_PROBE:
        on_probe(ms, m, now);
        break;
    case GOSSIP_JOIN:
        send_members(ms, m->sender.addr, m->sender.port);
        break;
    case GOSSIP_MEMBERS:
        ms->joined = true;
        break;
    default:
        break;
    }
    return sender;
}

/* Asks a few other members to ping one that did not answer, and has the
 * connection to it reset. */
static void
request_indirect_pings(struct membership *ms, struct member *m)
{
    const struct member *helpers[PROBE_HELPERS_MAX + 1];
    size_t count =
        membership_sample(ms, m->local, helpers, PROBE_HELPERS_MAX + 1);
    size_t asked = 0;

    m->probed = true;
    ms->cb.reconnect(ms->cb.ctx, m->info.addr, m->info.port);
    for (size_t i = 0; i < count && asked < PROBE_HELPERS_MAX; i++) {
        if (helpers[i] == m) {
            continue;
        }
        asked++;
        message_start(ms, GOSSIP_PROBE, m->ping_nonce);
        message_add_member(&ms->out, &m->info);
        send_to(ms, helpers[i]->info.addr, helpers[i]->info.port, &ms->out);
    }
}

static void
ping_neighbor(struct membership *ms, struct member *m, uint64_t now)
{
    m->ping_nonce = nonce_new(ms);
    m->ping_sent = now;
    m->probed = false;
    m->next_ping = now + PING_INTERVAL_US - PING_JITTER_US +
                   random_below(ms->random, 2 * PING_JITTER_US);
    send_ping(ms, &m->info, m->ping_nonce);
}

static void
tick_neighbor(struct membership *ms, struct member *m, uint64_t now)
{
    uint64_t waited = now - m->ping_sent;

    if (m->ping_nonce != 0 && !m->probed && waited >= PING_TIMEOUT_US) {
        request_indirect_pings(ms, m);
    }
    if (m->ping_nonce != 0 && waited >= PING_TIMEOUT_US + PROBE_TIMEOUT_US) {
        m->ping_nonce = 0;
        if (m->info.state == MEMBER_ALIVE) {
            set_state(ms, m, MEMBER_SUSPECT, now);
        }
    }
    if (m->ping_nonce == 0 && now >= m->next_ping) {
        ping_neighbor(ms, m, now);
    }
}

/* Declares suspects dead after SUSPECT_TIMEOUT_US and removes members that
 * left more than LEFT_RETENTION_US ago. */
static void
tick_states(struct membership *ms, uint64_t now)
{
    list_for_each_safe (it, &ms->table.all) {
        struct member *m = container_of(it, struct member, link);

        if (m->info.state == MEMBER_SUSPECT &&
            now - m->state_since >= SUSPECT_TIMEOUT_US) {
            set_state(ms, m, MEMBER_DEAD, now);
        }
        if (m->info.state == MEMBER_LEFT &&
            now - m->state_since >= LEFT_RETENTION_US) {
            member_table_remove(&ms->table, m);
        }
    }
}

/* Pings a random dead member at intervals, so that the two sides of a healed
 * network partition find each other again. */
static void
ping_dead_member(struct membership *ms, uint64_t now)
{
    struct member *chosen = NULL;
    uint32_t seen = 0;

    if (now < ms->next_reconnect) {
        return;
    }
    ms->next_reconnect = now + RECONNECT_INTERVAL_US;
    list_for_each (it, &ms->table.all) {
        struct member *m = container_of(it, struct member, link);

        if (m->info.state != MEMBER_DEAD || m->info.addr == 0) {
            continue;
        }
        seen++;
        if (random_below(ms->random, seen) == 0) {
            chosen = m;
        }
    }
    if (chosen != NULL) {
        send_ping(ms, &chosen->info, nonce_new(ms));
    }
}

static void
send_join(struct membership *ms, uint32_t addr, uint16_t port)
{
    message_start(ms, GOSSIP_JOIN, 0);
    send_to(ms, addr, port, &ms->out);
}

/* Asks one seed after the other for its members until one has answered. After
 * that a seed only gets rare heartbeats, because many balancers have the same
 * seeds. */
static void
contact_seed(struct membership *ms, uint64_t now)
{
    const struct seed *seed;
    struct member_info info = {.state = MEMBER_ALIVE};
    bool urgent = membership_needs_seeds(ms, now);

    if (urgent && ms->next_seed_contact > now + 2 * SEED_INTERVAL_US) {
        ms->next_seed_contact = now;
    }
    if (ms->seed_count == 0 || now < ms->next_seed_contact) {
        return;
    }
    seed = &ms->seeds[ms->next_seed % ms->seed_count];
    ms->next_seed++;
    if (urgent) {
        ms->next_seed_contact =
            now + SEED_INTERVAL_US + random_below(ms->random, PING_JITTER_US);
        send_join(ms, seed->addr, seed->port);
        return;
    }
    ms->next_seed_contact = now + SEED_CHECK_INTERVAL_US / 2 +
                            random_below(ms->random, SEED_CHECK_INTERVAL_US);
    info.addr = seed->addr;
    info.port = seed->port;
    send_ping(ms, &info, nonce_new(ms));
}

/* Asks a random member for all its members at intervals, which repairs gaps
 * left by lost updates. */
static void
sync_members(struct membership *ms, uint64_t now)
{
    const struct member *peer;
    uint64_t max_interval =
        SYNC_INTERVAL_US + ms->table.count * SYNC_PER_MEMBER_US;

    if (now < ms->next_sync) {
        return;
    }
    ms->sync_interval = ms->sync_interval * 2 < max_interval
                            ? ms->sync_interval * 2
                            : max_interval;
    ms->next_sync = now + ms->sync_interval / 2 +
                    random_below(ms->random, (uint32_t)ms->sync_interval);
    if (membership_sample(ms, true, &peer, 1) == 1) {
        send_join(ms, peer->info.addr, peer->info.port);
    }
}

/* Detects that the process was suspended. All timers are then out of date: no
 * member may be suspected because nothing arrived during the pause, and this
 * balancer has to refute any suspicion of itself. */
static void
check_pause(struct membership *ms, uint64_t now)
{
    uint64_t gap = now - ms->last_tick;

    ms->last_tick = now;
    if (gap < PAUSE_MIN_US) {
        return;
    }
    list_for_each (it, &ms->table.all) {
        struct member *m = container_of(it, struct member, link);

        m->ping_nonce = 0;
        m->next_ping = now;
        if (m->info.state == MEMBER_SUSPECT) {
            m->state_since = now;
        }
    }
    ms->last_heard = now;
    ms->self.incarnation++;
    ms->cb.paused(ms->cb.ctx, gap);
}

/* Copies the neighbors into an array, because sending a message reorders the
 * table's list. */
static size_t
collect_neighbors(const struct membership *ms,
                  struct member *out[NEIGHBORS_MAX])
{
    size_t count = 0;

    list_for_each (it, &ms->table.all) {
        struct member *m = container_of(it, struct member, link);

        if (m->neighbor) {
            assert(count < NEIGHBORS_MAX);
            out[count] = m;
            count++;
        }
    }
    return count;
}

void
membership_tick(struct membership *ms, uint64_t now)
{
    struct member *neighbors[NEIGHBORS_MAX];
    size_t count;

    check_pause(ms, now);
    tick_states(ms, now);
    if (ms->neighbors_stale && now >= ms->next_neighbor_choice) {
        ms->neighbors_stale = false;
        ms->next_neighbor_choice = now + ms->neighbor_interval;
        ms->neighbor_interval =
            2 * ms->neighbor_interval < NEIGHBORS_INTERVAL_MAX_US
                ? 2 * ms->neighbor_interval
                : NEIGHBORS_INTERVAL_MAX_US;
        neighbors_choose(&ms->table, ms->self_hash);
    }
    count = collect_neighbors(ms, neighbors);
    for (size_t i = 0; i < count; i++) {
        tick_neighbor(ms, neighbors[i], now);
    }
    ping_dead_member(ms, now);
    contact_seed(ms, now);
    sync_members(ms, now);
}

void
membership_leave(struct membership *ms, uint64_t now)
{
    struct member *neighbors[NEIGHBORS_MAX];
    size_t count = collect_neighbors(ms, neighbors);

    ms->self.state = MEMBER_LEFT;
    for (size_t i = 0; i < count; i++) {
        send_ping(ms, &neighbors[i]->info, nonce_new(ms));
    }
}

void
membership_declare_removed(struct membership *ms, const char *id, uint64_t now)
{
    struct member *m = member_table_find(&ms->table, id);

    /* A member that answers is running even if it was declared removed. */
    if (m != NULL && m->info.state == MEMBER_DEAD) {
        set_state(ms, m, MEMBER_LEFT, now);
    }
}

void
membership_expect(struct membership *ms, const char *id, uint64_t now)
{
    struct member_info info = {.state = MEMBER_DEAD};
    struct member *m;

    if (strcmp(id, ms->self.id) == 0 ||
        member_table_find(&ms->table, id) != NULL) {
        return;
    }
    strncpy(info.id, id, sizeof(info.id) - 1);
    memcpy(info.domain, ms->self.domain, sizeof(info.domain));
    m = add_member(ms, &info, now);
    if (m != NULL) {
        /* Not relayed: every balancer knows it from the configuration. */
        m->rumors = 0;
    }
}

bool
membership_settled(const struct membership *ms, uint64_t now)
{
    return ms->joined || now - ms->started >= SETTLE_TIMEOUT_US;
}

bool
membership_isolated(const struct membership *ms, uint64_t now)
{
    bool peers = ms->table.count > 0 || ms->seed_count > 0;

    return peers && now - ms->last_heard >= ISOLATED_TIMEOUT_US;
}

const struct member_info *
membership_self(const struct membership *ms)
{
    return &ms->self;
}

const struct member_table *
membership_table(const struct membership *ms)
{
    return &ms->table;
}

size_t
membership_rank(const struct membership *ms, uint64_t salt)
{
    uint64_t own = random_mix(salt, ms->self_hash);
    size_t rank = 0;

    list_for_each (it, &ms->table.all) {
        const struct member *m = container_of(it, struct member, link);

        rank += m->local && m->info.state == MEMBER_ALIVE &&
                random_mix(salt, m->hash) < own;
    }
    return rank;
}

const struct member *
membership_first_ranked(const struct membership *ms, uint64_t salt)
{
    uint64_t lowest = random_mix(salt, ms->self_hash);
    const struct member *first = NULL;

    list_for_each (it, &ms->table.all) {
        const struct member *m = container_of(it, struct member, link);
        uint64_t score = random_mix(salt, m->hash);

        if (m->local && m->info.state == MEMBER_ALIVE && score < lowest) {
            lowest = score;
            first = m;
        }
    }
    return first;
}

/* Reservoir sampling over the live members. */
size_t
membership_sample(struct membership *ms, bool local, const struct member **out,
                  size_t max)
{
    size_t seen = 0;

    list_for_each (it, &ms->table.all) {
        const struct member *m = container_of(it, struct member, link);
        size_t pos = seen;

        if (m->local != local || m->info.state != MEMBER_ALIVE) {
            continue;
        }
        seen++;
        if (pos >= max) {
            pos = random_below(ms->random, (uint32_t)seen);
        }
        if (pos < max) {
            out[pos] = m;
        }
    }
    return seen < max ? seen : max;
}
