#include "coordination/config-sync.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/* Maximum number of random peers that a push is sent to: this many in this
 * balancer's failure domain and, for some pushes, as many in all other domains
 * together. */
#define PUSH_PEERS_MAX 3
/* Minimum interval between two comparisons that are started because a peer's
 * checksum differs. SYNC_BULK_INTERVAL_US applies after a message with new
 * resources. */
#define SYNC_MIN_INTERVAL_US (300 * USEC_PER_MSEC)
#define SYNC_BULK_INTERVAL_US (30 * USEC_PER_MSEC)
/* Mean interval between two comparisons with a random peer. They take place
 * even if no checksum differs. */
#define DIGEST_INTERVAL_US (10 * USEC_PER_SEC)
/* Interval between two refresh requests to peers after a pause. */
#define REFRESH_INTERVAL_US (300 * USEC_PER_MSEC)
/* Minimum interval between two answers to peers that lack floors. */
#define FLOOR_REPLY_MIN_INTERVAL_US (200 * USEC_PER_MSEC)
/* Minimum interval between two pushes of floors. Floors that rise in between
 * are sent together. */
#define FLOOR_PUSH_MIN_INTERVAL_US (1 * USEC_PER_SEC)
#define SYNC_BUCKETS_MAX 8 /* buckets repaired in one exchange */
#define SYNC_LEAVES_MAX 16 /* parts of a bucket repaired in one exchange */
/* Maximum number of records of a bucket whose versions are listed at once,
 * without an exchange of leaf digests first. */
#define BUCKET_DIRECT_MAX 64
/* Maximum number of DELTA messages sent in answer to one message. */
#define PUSH_MESSAGES_MAX 32
/* Mixed with the hash of the failure domain into the salt of the ranks that
 * choose the watchers. */
#define WATCHER_SALT 0x77617463686572ULL

struct config_sync {
    struct config_store *cs;
    struct membership *ms;
    struct domain_min_revisions *floors;
    struct config_sync_callbacks cb;
    struct random *random;
    /* Store revision up to which the configuration is complete; 0: unknown */
    uint64_t revision;
    uint64_t watcher_salt;
    /* Earliest time of the next comparison because of a differing checksum,
     * us. */
    uint64_t next_sync;
    uint64_t next_digest;      /* next comparison with a random peer, us */
    uint64_t next_floor_push;  /* earliest next push of floors, us */
    uint64_t next_floor_reply; /* earliest next answer with floors, us */
    bool floors_changed;       /* floors have risen since the last push */
    /* Nonce of the pings sent after a pause; 0: no refresh is pending */
    uint64_t refresh_nonce;
    bool refresh_answered; /* a peer has answered one of these pings */
    uint64_t next_refresh; /* next pings, us */
    /* Resources to push with the next flush. */
    size_t pending_count;
    struct gossip_resource pending[GOSSIP_RESOURCES_MAX];
    bool pending_from_store;   /* some of them were read from the store */
    struct gossip_message out; /* reused for every message sent */
};

struct config_sync *
config_sync_new(struct config_store *cs, struct membership *ms,
                struct domain_min_revisions *floors,
                const struct config_sync_callbacks *cb, struct random *random,
                uint64_t now)
{
    struct config_sync *sync = calloc(1, sizeof(*sync));

    if (sync == NULL) {
        return NULL;
    }
    sync->cs = cs;
    sync->ms = ms;
    sync->floors = floors;
    sync->cb = *cb;
    sync->random = random;
    sync->watcher_salt =
        random_mix(WATCHER_SALT, id_hash(membership_self(ms)->domain));
    sync->next_digest = now + random_below(random, DIGEST_INTERVAL_US);
    return sync;
}

void
config_sync_destroy(struct config_sync *sync)
{
    free(sync);
}

void
config_sync_fill_summary(const struct config_sync *sync,
                         struct gossip_message *m)
{
    m->revision = sync->revision;
    m->checksum = config_store_checksum(sync->cs);
    m->floor_sum = domain_min_revisions_sum(sync->floors);
}

static struct gossip_message *
message_start(struct config_sync *sync, enum gossip_kind kind)
{
    struct gossip_message *m = &sync->out;

    m->kind = kind;
    m->sender = *membership_self(sync->ms);
    m->nonce = 0;
    m->member_count = 0;
    m->floor_count = 0;
    m->version_count = 0;
    m->resource_count = 0;
    config_sync_fill_summary(sync, m);
    return m;
}

static void
add_floors(const struct config_sync *sync, struct gossip_message *m)
{
    m->floor_count = sync->floors->count;
    memcpy(m->floors, sync->floors->entries,
           sync->floors->count * sizeof(m->floors[0]));
}

static void
send_to_member(struct config_sync *sync, const struct member_info *to,
               const struct gossip_message *m)
{
    sync->cb.send(sync->cb.ctx, to->addr, to->port, m);
}

/* Sends one message to a few random members of this balancer's failure domain
 * and, with "remote" set, of the others, so that it also reaches domains that
 * are cut off from the store. */
static void
push_to_peers(struct config_sync *sync, const struct gossip_message *m,
              bool remote)
{
    const struct member *peers[PUSH_PEERS_MAX];
    size_t count = membership_sample(sync->ms, true, peers, PUSH_PEERS_MAX);

    for (size_t i = 0; i < count; i++) {
        send_to_member(sync, &peers[i]->info, m);
    }
    if (!remote) {
        return;
    }
    count = membership_sample(sync->ms, false, peers, PUSH_PEERS_MAX);
    for (size_t i = 0; i < count; i++) {
        send_to_member(sync, &peers[i]->info, m);
    }
}

void
config_sync_flush(struct config_sync *sync)
{
    struct gossip_message *m;

    if (sync->pending_count == 0) {
        return;
    }
    m = message_start(sync, GOSSIP_DELTA);
    m->resource_count = sync->pending_count;
    memcpy(m->resources, sync->pending,
           sync->pending_count * sizeof(sync->pending[0]));
    push_to_peers(sync, m, sync->pending_from_store);
    sync->pending_count = 0;
    sync->pending_from_store = false;
}

static enum config_result
store_resource(struct config_sync *sync, const struct resource *r,
               uint64_t revision)
{
    enum config_result result = config_store_apply(sync->cs, r, revision);

    if (result != CONFIG_APPLIED) {
        return result;
    }
    if (sync->pending_count == GOSSIP_RESOURCES_MAX) {
        config_sync_flush(sync);
    }
    sync->pending[sync->pending_count].resource = *r;
    sync->pending[sync->pending_count].revision = revision;
    sync->pending_count++;
    sync->cb.applied(sync->cb.ctx, r, revision);
    return result;
}

enum config_result
config_sync_offer(struct config_sync *sync, const struct resource *r,
                  uint64_t revision)
{
    enum config_result result = store_resource(sync, r, revision);

    if (result == CONFIG_APPLIED) {
        sync->pending_from_store = true;
    }
    return result;
}

static void
set_revision(struct config_sync *sync, uint64_t revision)
{
    if (revision > sync->revision) {
        sync->revision = revision;
        sync->cb.completed(sync->cb.ctx, revision);
    }
}

void
config_sync_mark_complete(struct config_sync *sync)
{
    config_sync_flush(sync);
    set_revision(sync, config_store_revision(sync->cs));
}

void
config_sync_raise_floor(struct config_sync *sync, const char *domain,
                        uint64_t revision)
{
    if (domain_min_revisions_raise(sync->floors, domain, revision)) {
        sync->floors_changed = true;
        sync->cb.floors_raised(sync->cb.ctx);
    }
}

/* Whether a message belongs to a comparison that has already started. */
static bool
is_comparison(enum gossip_kind kind)
{
    return kind == GOSSIP_DIGEST || kind == GOSSIP_LEAF_DIGEST ||
           kind == GOSSIP_VERSIONS || kind == GOSSIP_PULL;
}

/* Compares the configuration summary of a message with the configuration of
 * this balancer. If both are the same, this balancer's configuration is
 * complete up to the same revision as the sender's. If they differ, starts a
 * comparison with the sender, but not before "next_sync". */
static void
compare_summary(struct config_sync *sync, const struct gossip_message *m,
                uint64_t now)
{
    if (m->checksum == config_store_checksum(sync->cs)) {
        if (sync->refresh_answered) {
            sync->refresh_nonce = 0;
        }
        set_revision(sync, m->revision);
        return;
    }
    if (is_comparison(m->kind) || now < sync->next_sync) {
        return;
    }
    sync->next_sync = now + SYNC_MIN_INTERVAL_US;
    message_start(sync, GOSSIP_DIGEST);
    sync->out.digest = *config_store_digest(sync->cs);
    add_floors(sync, &sync->out);
    send_to_member(sync, &m->sender, &sync->out);
}

static void
on_delta(struct config_sync *sync, const struct gossip_message *m,
         uint64_t now)
{
    bool applied = false;

    for (size_t i = 0; i < m->resource_count; i++) {
        const struct gossip_resource *gr = &m->resources[i];

        if (store_resource(sync, &gr->resource, gr->revision) ==
            CONFIG_APPLIED) {
            applied = true;
        }
    }
    if (applied) {
        /* As long as comparisons bring new resources, the next one may start
         * soon. */
        sync->next_sync = now + SYNC_BULK_INTERVAL_US;
    }
    if (sync->revision == 0) {
        /* This balancer is still fetching its first configuration, which the
         * others already have: nothing to push. */
        sync->pending_count = 0;
    }
    config_sync_flush(sync);
}

static void
add_version(void *ctx, uint64_t name_hash, uint64_t version)
{
    struct gossip_message *m = ctx;

    if (m->version_count < GOSSIP_VERSIONS_MAX) {
        m->versions[m->version_count] =
            (struct gossip_version){name_hash, version};
        m->version_count++;
    }
}

static void
count_version(void *ctx, uint64_t name_hash, uint64_t version)
{
    (*(size_t *)ctx)++;
}

static void
send_versions(struct config_sync *sync, const struct member_info *to,
              unsigned bits, uint32_t prefix)
{
    struct gossip_message *m = message_start(sync, GOSSIP_VERSIONS);

    m->prefix_bits = (uint8_t)bits;
    m->prefix = prefix;
    config_store_each_version(sync->cs, bits, prefix, add_version, m);
    send_to_member(sync, to, m);
}

static void
send_leaf_digest(struct config_sync *sync, const struct member_info *to,
                 uint32_t bucket)
{
    struct gossip_message *m = message_start(sync, GOSSIP_LEAF_DIGEST);

    m->prefix_bits = CONFIG_BUCKET_BITS;
    m->prefix = bucket;
    config_store_leaf_digest(sync->cs, bucket, &m->digest);
    send_to_member(sync, to, m);
}

static size_t
count_bucket(const struct config_sync *sync, uint32_t bucket)
{
    size_t count = 0;

    config_store_each_version(sync->cs, CONFIG_BUCKET_BITS, bucket,
                              count_version, &count);
    return count;
}

/* Answers a digest for up to SYNC_BUCKETS_MAX of the buckets that differ,
 * starting at a random one so that exchanges with several peers repair
 * different buckets. */
static void
on_digest(struct config_sync *sync, const struct gossip_message *m)
{
    const struct config_digest *own = config_store_digest(sync->cs);
    uint32_t first = random_below(sync->random, CONFIG_BUCKETS);
    unsigned answered = 0;

    for (uint32_t i = 0; i < CONFIG_BUCKETS && answered < SYNC_BUCKETS_MAX;
         i++) {
        uint32_t bucket = (first + i) % CONFIG_BUCKETS;

        if (own->buckets[bucket] == m->digest.buckets[bucket]) {
            continue;
        }
        answered++;
        if (count_bucket(sync, bucket) <= BUCKET_DIRECT_MAX) {
            send_versions(sync, &m->sender, CONFIG_BUCKET_BITS, bucket);
        }
        else {
            send_leaf_digest(sync, &m->sender, bucket);
        }
    }
}

/* Answers a leaf digest with the versions in up to SYNC_LEAVES_MAX of the
 * parts that differ. If more parts differ and the versions of the whole bucket
 * fit in one message, sends all of these instead. */
static void
on_leaf_digest(struct config_sync *sync, const struct gossip_message *m)
{
    struct config_digest own;
    uint32_t first = random_below(sync->random, CONFIG_BUCKETS);
    unsigned differing = 0;
    unsigned answered = 0;

    config_store_leaf_digest(sync->cs, m->prefix, &own);
    for (uint32_t i = 0; i < CONFIG_BUCKETS; i++) {
        differing += own.buckets[i] != m->digest.buckets[i];
    }
    if (differing > SYNC_LEAVES_MAX &&
        count_bucket(sync, m->prefix) <= GOSSIP_VERSIONS_MAX) {
        send_versions(sync, &m->sender, CONFIG_BUCKET_BITS, m->prefix);
        return;
    }
    for (uint32_t i = 0; i < CONFIG_BUCKETS && answered < SYNC_LEAVES_MAX;
         i++) {
        uint32_t part = (first + i) % CONFIG_BUCKETS;

        if (own.buckets[part] == m->digest.buckets[part]) {
            continue;
        }
        answered++;
        send_versions(sync, &m->sender, 2 * CONFIG_BUCKET_BITS,
                      part << CONFIG_BUCKET_BITS | m->prefix);
    }
}

/* A sequence of up to PUSH_MESSAGES_MAX DELTA messages to one peer. */
struct transfer {
    struct config_sync *sync;
    const struct member_info *to;
    const struct gossip_message *peer_versions; /* lists the peer's versions */
    unsigned sent;                              /* messages */
};

static void
transfer_flush(struct transfer *t)
{
    if (t->sync->out.resource_count > 0) {
        send_to_member(t->sync, t->to, &t->sync->out);
        t->sent++;
        message_start(t->sync, GOSSIP_DELTA);
    }
}

static void
transfer_add(struct transfer *t, uint64_t name_hash)
{
    struct gossip_message *m = &t->sync->out;
    struct gossip_resource *gr = &m->resources[m->resource_count];

    if (t->sent >= PUSH_MESSAGES_MAX ||
        !config_store_get_by_hash(t->sync->cs, name_hash, &gr->resource,
                                  &gr->revision)) {
        return;
    }
    m->resource_count++;
    if (m->resource_count == GOSSIP_RESOURCES_MAX) {
        transfer_flush(t);
    }
}

static uint64_t
peer_version(const struct gossip_message *m, uint64_t name_hash)
{
    for (size_t i = 0; i < m->version_count; i++) {
        if (m->versions[i].name_hash == name_hash) {
            return m->versions[i].version;
        }
    }
    return 0;
}

static void
transfer_if_newer(void *ctx, uint64_t name_hash, uint64_t version)
{
    struct transfer *t = ctx;

    if (version > peer_version(t->peer_versions, name_hash)) {
        transfer_add(t, name_hash);
    }
}

/* Answers the peer's versions of a part of the name space: sends the resources
 * for which the peer has an older version or none, and pulls those for which
 * this balancer has an older version or none. */
static void
on_versions(struct config_sync *sync, const struct gossip_message *m)
{
    struct transfer t = {.sync = sync, .to = &m->sender, .peer_versions = m};
    struct gossip_message *out;

    message_start(sync, GOSSIP_DELTA);
    config_store_each_version(sync->cs, m->prefix_bits, m->prefix,
                              transfer_if_newer, &t);
    transfer_flush(&t);

    out = message_start(sync, GOSSIP_PULL);
    for (size_t i = 0; i < m->version_count; i++) {
        const struct gossip_version *v = &m->versions[i];

        if (v->version > config_store_version(sync->cs, v->name_hash)) {
            add_version(out, v->name_hash, v->version);
        }
    }
    if (out->version_count > 0) {
        send_to_member(sync, &m->sender, out);
    }
}

static void
on_pull(struct config_sync *sync, const struct gossip_message *m)
{
    struct transfer t = {.sync = sync, .to = &m->sender};

    message_start(sync, GOSSIP_DELTA);
    for (size_t i = 0; i < m->version_count; i++) {
        transfer_add(&t, m->versions[i].name_hash);
    }
    transfer_flush(&t);
}

static void
merge_floors(struct config_sync *sync, const struct gossip_message *m)
{
    for (size_t i = 0; i < m->floor_count; i++) {
        config_sync_raise_floor(sync, m->floors[i].domain,
                                m->floors[i].revision);
    }
}

/* Sends this balancer's floors to a peer whose sum of floors is lower, which
 * therefore lacks some of them. */
static void
send_missing_floors(struct config_sync *sync, const struct gossip_message *m,
                    uint64_t now)
{
    if (m->floor_sum >= domain_min_revisions_sum(sync->floors) ||
        now < sync->next_floor_reply) {
        return;
    }
    sync->next_floor_reply = now + FLOOR_REPLY_MIN_INTERVAL_US;
    message_start(sync, GOSSIP_DELTA);
    add_floors(sync, &sync->out);
    send_to_member(sync, &m->sender, &sync->out);
}

void
config_sync_receive(struct config_sync *sync, const struct gossip_message *m,
                    uint64_t now)
{
    merge_floors(sync, m);
    send_missing_floors(sync, m, now);
    if (m->kind == GOSSIP_ACK && sync->refresh_nonce != 0 &&
        m->nonce == sync->refresh_nonce) {
        sync->refresh_answered = true;
    }
    switch (m->kind) {
    case GOSSIP_DELTA:
        on_delta(sync, m, now);
        break;
    case GOSSIP_DIGEST:
        on_digest(sync, m);
        break;
    case GOSSIP_LEAF_DIGEST:
        on_leaf_digest(sync, m);
        break;
    case GOSSIP_VERSIONS:
        on_versions(sync, m);
        break;
    case GOSSIP_PULL:
        on_pull(sync, m);
        break;
    default:
        break;
    }
    compare_summary(sync, m, now);
}

static void
push_floors(struct config_sync *sync, uint64_t now)
{
    if (!sync->floors_changed || now < sync->next_floor_push) {
        return;
    }
    sync->floors_changed = false;
    sync->next_floor_push = now + FLOOR_PUSH_MIN_INTERVAL_US;
    message_start(sync, GOSSIP_DELTA);
    add_floors(sync, &sync->out);
    push_to_peers(sync, &sync->out, config_sync_is_watcher(sync, now));
}

/* Starts a comparison with a random peer at intervals, even if no difference
 * is known, and sends the floors along. */
static void
compare_with_random_peer(struct config_sync *sync, uint64_t now)
{
    const struct member *peer;
    bool local = random_below(sync->random, 2) == 0;

    if (now < sync->next_digest) {
        return;
    }
    sync->next_digest = now + DIGEST_INTERVAL_US / 2 +
                        random_below(sync->random, DIGEST_INTERVAL_US);
    if (membership_sample(sync->ms, local, &peer, 1) == 0 &&
        membership_sample(sync->ms, !local, &peer, 1) == 0) {
        return;
    }
    message_start(sync, GOSSIP_DIGEST);
    sync->out.digest = *config_store_digest(sync->cs);
    add_floors(sync, &sync->out);
    send_to_member(sync, &peer->info, &sync->out);
}

/* Pings a few peers for the summary of their configuration. An ACK with the
 * nonce of these pings was sent after the pause; other messages may have
 * waited in a socket buffer since before the pause. */
static void
send_refresh_pings(struct config_sync *sync, uint64_t now)
{
    sync->next_refresh = now + REFRESH_INTERVAL_US;
    message_start(sync, GOSSIP_PING);
    sync->out.nonce = sync->refresh_nonce;
    push_to_peers(sync, &sync->out, true);
}

void
config_sync_tick(struct config_sync *sync, uint64_t now)
{
    if (sync->refresh_nonce != 0 && now >= sync->next_refresh) {
        send_refresh_pings(sync, now);
    }
    config_sync_flush(sync);
    push_floors(sync, now);
    compare_with_random_peer(sync, now);
}

uint64_t
config_sync_revision(const struct config_sync *sync)
{
    return sync->revision;
}

bool
config_sync_is_watcher(const struct config_sync *sync, uint64_t now)
{
    return membership_settled(sync->ms, now) &&
           membership_rank(sync->ms, sync->watcher_salt) <
               CONFIG_SYNC_WATCHERS_MAX;
}

uint64_t
config_sync_watcher_salt(const struct config_sync *sync)
{
    return sync->watcher_salt;
}

void
config_sync_request_refresh(struct config_sync *sync, uint64_t now)
{
    sync->refresh_nonce = random_next(sync->random) | 1;
    sync->refresh_answered = false;
    sync->next_sync = now;
    send_refresh_pings(sync, now);
}

bool
config_sync_is_refreshed(const struct config_sync *sync)
{
    return sync->refresh_nonce == 0;
}
