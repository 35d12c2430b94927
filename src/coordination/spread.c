#include "coordination/spread.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define FANOUT 3                               /* peers per push */
#define SYNC_MIN_GAP_US (300 * USEC_PER_MSEC)  /* between two repairs */
#define SYNC_BULK_GAP_US (30 * USEC_PER_MSEC)  /* while they get through */
#define DIGEST_INTERVAL_US (10 * USEC_PER_SEC) /* even without difference */
#define REFRESH_INTERVAL_US (300 * USEC_PER_MSEC)
#define FLOOR_REPLY_GAP_US (200 * USEC_PER_MSEC)
#define FLOOR_PUSH_GAP_US (1 * USEC_PER_SEC) /* news of floors is bundled */
#define SYNC_BUCKETS 8   /* buckets repaired in one exchange */
#define SYNC_LEAVES 16   /* parts of a bucket repaired in one exchange */
#define BUCKET_DIRECT 64 /* records of a bucket listed without leaf digest */
#define PUSH_MESSAGES_MAX 32 /* messages of resources per answer */
#define WATCHER_SALT 0x77617463686572ULL

struct spread {
    struct config_store *cs;
    struct membership *ms;
    struct domain_floors *floors;
    struct spread_callbacks cb;
    struct random *random;
    uint64_t revision; /* complete up to this */
    uint64_t watcher_salt;
    uint64_t next_sync;
    uint64_t next_digest;
    uint64_t next_floor_push;
    uint64_t next_floor_reply;
    bool floors_news;
    /* After a pause: peers were asked with this nonce, 0 when all is well;
     * whether one has answered since; and when to ask again. */
    uint64_t refresh_nonce;
    bool refresh_answered;
    uint64_t next_refresh;
    /* Resources to push at the next flush. */
    size_t news_count;
    struct gossip_resource news[GOSSIP_RESOURCES_MAX];
    bool news_from_store;
    struct gossip_message out;
};

struct spread *
spread_new(struct config_store *cs, struct membership *ms,
           struct domain_floors *floors, const struct spread_callbacks *cb,
           struct random *random, uint64_t now)
{
    struct spread *sp = calloc(1, sizeof(*sp));

    if (sp == NULL) {
        return NULL;
    }
    sp->cs = cs;
    sp->ms = ms;
    sp->floors = floors;
    sp->cb = *cb;
    sp->random = random;
    sp->watcher_salt =
        random_mix(WATCHER_SALT, id_hash(membership_self(ms)->domain));
    sp->next_digest = now + random_below(random, DIGEST_INTERVAL_US);
    return sp;
}

void
spread_destroy(struct spread *sp)
{
    free(sp);
}

void
spread_summary(const struct spread *sp, struct gossip_message *m)
{
    m->revision = sp->revision;
    m->checksum = config_store_checksum(sp->cs);
    m->floor_sum = domain_floors_sum(sp->floors);
}

static struct gossip_message *
message_start(struct spread *sp, enum gossip_kind kind)
{
    struct gossip_message *m = &sp->out;

    m->kind = kind;
    m->sender = *membership_self(sp->ms);
    m->nonce = 0;
    m->member_count = 0;
    m->floor_count = 0;
    m->version_count = 0;
    m->resource_count = 0;
    spread_summary(sp, m);
    return m;
}

static void
add_floors(const struct spread *sp, struct gossip_message *m)
{
    m->floor_count = sp->floors->count;
    memcpy(m->floors, sp->floors->floors,
           sp->floors->count * sizeof(m->floors[0]));
}

static void
send_to_member(struct spread *sp, const struct member_info *to,
               const struct gossip_message *m)
{
    sp->cb.send(sp->cb.ctx, to->addr, to->port, m);
}

/* Sends one message to a few random members of the own failure domain and,
 * when "remote" is set, of the others: a domain cut off from the store learns
 * from those. */
static void
push(struct spread *sp, const struct gossip_message *m, bool remote)
{
    const struct member *peers[FANOUT];
    size_t count = membership_draw(sp->ms, true, peers, FANOUT);

    for (size_t i = 0; i < count; i++) {
        send_to_member(sp, &peers[i]->info, m);
    }
    if (!remote) {
        return;
    }
    count = membership_draw(sp->ms, false, peers, FANOUT);
    for (size_t i = 0; i < count; i++) {
        send_to_member(sp, &peers[i]->info, m);
    }
}

void
spread_flush(struct spread *sp)
{
    struct gossip_message *m;

    if (sp->news_count == 0) {
        return;
    }
    m = message_start(sp, GOSSIP_DELTA);
    m->resource_count = sp->news_count;
    memcpy(m->resources, sp->news, sp->news_count * sizeof(sp->news[0]));
    push(sp, m, sp->news_from_store);
    sp->news_count = 0;
    sp->news_from_store = false;
}

static enum config_result
take(struct spread *sp, const struct resource *r, uint64_t revision)
{
    enum config_result result = config_store_apply(sp->cs, r, revision);

    if (result != CONFIG_APPLIED) {
        return result;
    }
    if (sp->news_count == GOSSIP_RESOURCES_MAX) {
        spread_flush(sp);
    }
    sp->news[sp->news_count].resource = *r;
    sp->news[sp->news_count].revision = revision;
    sp->news_count++;
    sp->cb.applied(sp->cb.ctx, r, revision);
    return result;
}

enum config_result
spread_offer(struct spread *sp, const struct resource *r, uint64_t revision)
{
    enum config_result result = take(sp, r, revision);

    if (result == CONFIG_APPLIED) {
        sp->news_from_store = true;
    }
    return result;
}

static void
set_revision(struct spread *sp, uint64_t revision)
{
    if (revision > sp->revision) {
        sp->revision = revision;
        sp->cb.completed(sp->cb.ctx, revision);
    }
}

void
spread_complete(struct spread *sp)
{
    spread_flush(sp);
    set_revision(sp, config_store_revision(sp->cs));
}

void
spread_offer_floor(struct spread *sp, const char *domain, uint64_t revision)
{
    if (domain_floors_raise(sp->floors, domain, revision)) {
        sp->floors_news = true;
        sp->cb.floors_raised(sp->cb.ctx);
    }
}

/* Whether a message is part of a comparison that is under way. */
static bool
is_comparison(enum gossip_kind kind)
{
    return kind == GOSSIP_DIGEST || kind == GOSSIP_LEAF_DIGEST ||
           kind == GOSSIP_VERSIONS || kind == GOSSIP_PULL;
}

/* Takes what a message says of its sender's configuration. A peer that holds
 * the same and knows it to be complete makes ours complete. A peer that holds
 * something else is asked to compare, at most every SYNC_MIN_GAP_US. */
static void
compare_summary(struct spread *sp, const struct gossip_message *m,
                uint64_t now)
{
    if (m->checksum == config_store_checksum(sp->cs)) {
        if (sp->refresh_answered) {
            sp->refresh_nonce = 0;
        }
        set_revision(sp, m->revision);
        return;
    }
    if (is_comparison(m->kind) || now < sp->next_sync) {
        return;
    }
    sp->next_sync = now + SYNC_MIN_GAP_US;
    message_start(sp, GOSSIP_DIGEST);
    sp->out.digest = *config_store_digest(sp->cs);
    add_floors(sp, &sp->out);
    send_to_member(sp, &m->sender, &sp->out);
}

static void
on_delta(struct spread *sp, const struct gossip_message *m, uint64_t now)
{
    bool news = false;

    for (size_t i = 0; i < m->resource_count; i++) {
        const struct gossip_resource *gr = &m->resources[i];

        if (take(sp, &gr->resource, gr->revision) == CONFIG_APPLIED) {
            news = true;
        }
    }
    if (news) {
        /* Repair goes on at once while it brings something. */
        sp->next_sync = now + SYNC_BULK_GAP_US;
    }
    if (sp->revision == 0) {
        /* Still taking what the others have: it is no news to them. */
        sp->news_count = 0;
    }
    spread_flush(sp);
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
send_versions(struct spread *sp, const struct member_info *to, unsigned bits,
              uint32_t prefix)
{
    struct gossip_message *m = message_start(sp, GOSSIP_VERSIONS);

    m->prefix_bits = (uint8_t)bits;
    m->prefix = prefix;
    config_store_each_version(sp->cs, bits, prefix, add_version, m);
    send_to_member(sp, to, m);
}

static void
send_leaf_digest(struct spread *sp, const struct member_info *to,
                 uint32_t bucket)
{
    struct gossip_message *m = message_start(sp, GOSSIP_LEAF_DIGEST);

    m->prefix_bits = CONFIG_BUCKET_BITS;
    m->prefix = bucket;
    config_store_leaf_digest(sp->cs, bucket, &m->digest);
    send_to_member(sp, to, m);
}

static size_t
count_bucket(const struct spread *sp, uint32_t bucket)
{
    size_t count = 0;

    config_store_each_version(sp->cs, CONFIG_BUCKET_BITS, bucket,
                              count_version, &count);
    return count;
}

/* Answers the peer's digest for some of the buckets that differ, starting at
 * a random one so that several peers do not all repair the same. */
static void
on_digest(struct spread *sp, const struct gossip_message *m)
{
    const struct config_digest *own = config_store_digest(sp->cs);
    uint32_t first = random_below(sp->random, CONFIG_BUCKETS);
    unsigned answered = 0;

    for (uint32_t i = 0; i < CONFIG_BUCKETS && answered < SYNC_BUCKETS; i++) {
        uint32_t bucket = (first + i) % CONFIG_BUCKETS;

        if (own->buckets[bucket] == m->digest.buckets[bucket]) {
            continue;
        }
        answered++;
        if (count_bucket(sp, bucket) <= BUCKET_DIRECT) {
            send_versions(sp, &m->sender, CONFIG_BUCKET_BITS, bucket);
        }
        else {
            send_leaf_digest(sp, &m->sender, bucket);
        }
    }
}

/* Lists the versions of the parts that differ, or at once those of the whole
 * bucket when we have so little of it that most has to come anyway. */
static void
on_leaf_digest(struct spread *sp, const struct gossip_message *m)
{
    struct config_digest own;
    uint32_t first = random_below(sp->random, CONFIG_BUCKETS);
    unsigned differing = 0;
    unsigned answered = 0;

    config_store_leaf_digest(sp->cs, m->prefix, &own);
    for (uint32_t i = 0; i < CONFIG_BUCKETS; i++) {
        differing += own.buckets[i] != m->digest.buckets[i];
    }
    if (differing > SYNC_LEAVES &&
        count_bucket(sp, m->prefix) <= GOSSIP_VERSIONS_MAX) {
        send_versions(sp, &m->sender, CONFIG_BUCKET_BITS, m->prefix);
        return;
    }
    for (uint32_t i = 0; i < CONFIG_BUCKETS && answered < SYNC_LEAVES; i++) {
        uint32_t part = (first + i) % CONFIG_BUCKETS;

        if (own.buckets[part] == m->digest.buckets[part]) {
            continue;
        }
        answered++;
        send_versions(sp, &m->sender, 2 * CONFIG_BUCKET_BITS,
                      part << CONFIG_BUCKET_BITS | m->prefix);
    }
}

/* A run of DELTA messages to one peer, bounded in number. */
struct transfer {
    struct spread *sp;
    const struct member_info *to;
    const struct gossip_message *theirs;
    unsigned sent;
};

static void
transfer_flush(struct transfer *t)
{
    if (t->sp->out.resource_count > 0) {
        send_to_member(t->sp, t->to, &t->sp->out);
        t->sent++;
        message_start(t->sp, GOSSIP_DELTA);
    }
}

static void
transfer_add(struct transfer *t, uint64_t name_hash)
{
    struct gossip_message *m = &t->sp->out;
    struct gossip_resource *gr = &m->resources[m->resource_count];

    if (t->sent >= PUSH_MESSAGES_MAX ||
        !config_store_get_by_hash(t->sp->cs, name_hash, &gr->resource,
                                  &gr->revision)) {
        return;
    }
    m->resource_count++;
    if (m->resource_count == GOSSIP_RESOURCES_MAX) {
        transfer_flush(t);
    }
}

static uint64_t
listed_version(const struct gossip_message *m, uint64_t name_hash)
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

    if (version > listed_version(t->theirs, name_hash)) {
        transfer_add(t, name_hash);
    }
}

/* Sends what the peer lacks of a part of the name space and asks for what we
 * lack. */
static void
on_versions(struct spread *sp, const struct gossip_message *m)
{
    struct transfer t = {.sp = sp, .to = &m->sender, .theirs = m};
    struct gossip_message *out;

    message_start(sp, GOSSIP_DELTA);
    config_store_each_version(sp->cs, m->prefix_bits, m->prefix,
                              transfer_if_newer, &t);
    transfer_flush(&t);

    out = message_start(sp, GOSSIP_PULL);
    for (size_t i = 0; i < m->version_count; i++) {
        const struct gossip_version *v = &m->versions[i];

        if (v->version > config_store_version(sp->cs, v->name_hash)) {
            add_version(out, v->name_hash, v->version);
        }
    }
    if (out->version_count > 0) {
        send_to_member(sp, &m->sender, out);
    }
}

static void
on_pull(struct spread *sp, const struct gossip_message *m)
{
    struct transfer t = {.sp = sp, .to = &m->sender};

    message_start(sp, GOSSIP_DELTA);
    for (size_t i = 0; i < m->version_count; i++) {
        transfer_add(&t, m->versions[i].name_hash);
    }
    transfer_flush(&t);
}

static void
take_floors(struct spread *sp, const struct gossip_message *m)
{
    for (size_t i = 0; i < m->floor_count; i++) {
        spread_offer_floor(sp, m->floors[i].domain, m->floors[i].revision);
    }
}

/* Sends our floors to a peer that lacks some of them. */
static void
compare_floors(struct spread *sp, const struct gossip_message *m, uint64_t now)
{
    if (m->floor_sum >= domain_floors_sum(sp->floors) ||
        now < sp->next_floor_reply) {
        return;
    }
    sp->next_floor_reply = now + FLOOR_REPLY_GAP_US;
    message_start(sp, GOSSIP_DELTA);
    add_floors(sp, &sp->out);
    send_to_member(sp, &m->sender, &sp->out);
}

void
spread_receive(struct spread *sp, const struct gossip_message *m, uint64_t now)
{
    take_floors(sp, m);
    compare_floors(sp, m, now);
    if (m->kind == GOSSIP_ACK && sp->refresh_nonce != 0 &&
        m->nonce == sp->refresh_nonce) {
        sp->refresh_answered = true;
    }
    switch (m->kind) {
    case GOSSIP_DELTA:
        on_delta(sp, m, now);
        break;
    case GOSSIP_DIGEST:
        on_digest(sp, m);
        break;
    case GOSSIP_LEAF_DIGEST:
        on_leaf_digest(sp, m);
        break;
    case GOSSIP_VERSIONS:
        on_versions(sp, m);
        break;
    case GOSSIP_PULL:
        on_pull(sp, m);
        break;
    default:
        break;
    }
    compare_summary(sp, m, now);
}

static void
push_floors(struct spread *sp, uint64_t now)
{
    if (!sp->floors_news || now < sp->next_floor_push) {
        return;
    }
    sp->floors_news = false;
    sp->next_floor_push = now + FLOOR_PUSH_GAP_US;
    message_start(sp, GOSSIP_DELTA);
    add_floors(sp, &sp->out);
    push(sp, &sp->out, spread_is_watcher(sp, now));
}

/* Compares with a random peer now and then, even when nothing seems to be
 * amiss, and passes the floors on with it. */
static void
compare_with_random_peer(struct spread *sp, uint64_t now)
{
    const struct member *peer;
    bool local = random_below(sp->random, 2) == 0;

    if (now < sp->next_digest) {
        return;
    }
    sp->next_digest = now + DIGEST_INTERVAL_US / 2 +
                      random_below(sp->random, DIGEST_INTERVAL_US);
    if (membership_draw(sp->ms, local, &peer, 1) == 0 &&
        membership_draw(sp->ms, !local, &peer, 1) == 0) {
        return;
    }
    message_start(sp, GOSSIP_DIGEST);
    sp->out.digest = *config_store_digest(sp->cs);
    add_floors(sp, &sp->out);
    send_to_member(sp, &peer->info, &sp->out);
}

/* Asks a few peers for what they hold. An answer proves that it was given
 * after the pause; anything else may have waited in a socket. */
static void
ask_peers(struct spread *sp, uint64_t now)
{
    sp->next_refresh = now + REFRESH_INTERVAL_US;
    message_start(sp, GOSSIP_PING);
    sp->out.nonce = sp->refresh_nonce;
    push(sp, &sp->out, true);
}

void
spread_tick(struct spread *sp, uint64_t now)
{
    if (sp->refresh_nonce != 0 && now >= sp->next_refresh) {
        ask_peers(sp, now);
    }
    spread_flush(sp);
    push_floors(sp, now);
    compare_with_random_peer(sp, now);
}

uint64_t
spread_revision(const struct spread *sp)
{
    return sp->revision;
}

bool
spread_is_watcher(const struct spread *sp, uint64_t now)
{
    return membership_settled(sp->ms, now) &&
           membership_rank(sp->ms, sp->watcher_salt) < SPREAD_WATCHERS;
}

uint64_t
spread_watcher_salt(const struct spread *sp)
{
    return sp->watcher_salt;
}

void
spread_ask_refresh(struct spread *sp, uint64_t now)
{
    sp->refresh_nonce = random_next(sp->random) | 1;
    sp->refresh_answered = false;
    sp->next_sync = now;
    ask_peers(sp, now);
}

bool
spread_is_refreshed(const struct spread *sp)
{
    return sp->refresh_nonce == 0;
}
