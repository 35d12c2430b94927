#include "state/config-store.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/list.h"

/* Initial number of hash chains; a power of two, at least CONFIG_BUCKETS. */
#define INITIAL_CHAIN_COUNT 256
/* Bytes of the largest packed resource. */
#define PACKED_SIZE_MAX 2048

/* A packed resource. "body" contains its strings, NUL-terminated, and its
 * numbers, in the order in which pack_body() writes them. */
struct record {
    struct list link;
    uint64_t name_hash;
    uint64_t version;
    uint64_t revision; /* revision of the platform's store at which it was
                        * written, or CONFIG_REVISION_UNKNOWN */
    uint16_t size;     /* bytes of "body" */
    uint8_t kind;      /* enum resource_kind */
    uint8_t deleted;   /* 1 for a tombstone */
    unsigned char body[];
};

struct config_store {
    struct list *chains;  /* hash chains of struct record */
    size_t chain_count;   /* a power of two */
    size_t count;         /* records in all chains */
    size_t bytes;         /* allocated for the store and its records */
    uint64_t revision;    /* highest known revision, 0: none */
    uint64_t older_count; /* updates refused with CONFIG_OLDER */
    struct config_digest digest;
};

/* Read or write position in a packed body. */
struct cursor {
    unsigned char *pos;
};

static void
put_bytes(struct cursor *c, const void *data, size_t size)
{
    memcpy(c->pos, data, size);
    c->pos += size;
}

static void
put_string(struct cursor *c, const char *text)
{
    put_bytes(c, text, strnlen(text, ID_SIZE - 1));
    *c->pos = '\0';
    c->pos++;
}

static void
get_bytes(struct cursor *c, void *data, size_t size)
{
    memcpy(data, c->pos, size);
    c->pos += size;
}

static void
get_string(struct cursor *c, char out[ID_SIZE])
{
    size_t size = strlen((const char *)c->pos) + 1;

    get_bytes(c, out, size);
}

static void
put_u8(struct cursor *c, unsigned value)
{
    *c->pos = (unsigned char)value;
    c->pos++;
}

static unsigned
get_u8(struct cursor *c)
{
    unsigned value = *c->pos;

    c->pos++;
    return value;
}

static void
pack_service(struct cursor *c, const struct service *s)
{
    put_string(c, s->tenant);
    put_bytes(c, &s->port, sizeof(s->port));
    put_bytes(c, &s->deadline_ms, sizeof(s->deadline_ms));
    put_bytes(c, &s->body_limit, sizeof(s->body_limit));
    put_u8(c, s->tenant_in_path);
    put_u8(c, (unsigned)s->domain_count);
    for (size_t i = 0; i < s->domain_count; i++) {
        put_string(c, s->domains[i]);
    }
}

static void
unpack_service(struct cursor *c, struct service *s)
{
    get_string(c, s->tenant);
    get_bytes(c, &s->port, sizeof(s->port));
    get_bytes(c, &s->deadline_ms, sizeof(s->deadline_ms));
    get_bytes(c, &s->body_limit, sizeof(s->body_limit));
    s->tenant_in_path = get_u8(c) != 0;
    s->domain_count = get_u8(c);
    for (size_t i = 0; i < s->domain_count; i++) {
        get_string(c, s->domains[i]);
    }
}

static void
pack_target(struct cursor *c, const struct target *t)
{
    put_string(c, t->service);
    put_string(c, t->domain);
    put_bytes(c, &t->addr, sizeof(t->addr));
    put_bytes(c, &t->port, sizeof(t->port));
    put_bytes(c, &t->slots, sizeof(t->slots));
    put_bytes(c, &t->connections, sizeof(t->connections));
    put_u8(c, t->state);
}

static void
unpack_target(struct cursor *c, struct target *t)
{
    get_string(c, t->service);
    get_string(c, t->domain);
    get_bytes(c, &t->addr, sizeof(t->addr));
    get_bytes(c, &t->port, sizeof(t->port));
    get_bytes(c, &t->slots, sizeof(t->slots));
    get_bytes(c, &t->connections, sizeof(t->connections));
    t->state = get_u8(c) == ADMIN_DRAINING ? ADMIN_DRAINING : ADMIN_ACTIVE;
}

static void
pack_key_ring(struct cursor *c, const struct key_ring *ring)
{
    put_u8(c, (unsigned)ring->count);
    for (size_t i = 0; i < ring->count; i++) {
        put_u8(c, ring->keys[i].id);
        put_bytes(c, ring->keys[i].secret, KEY_SECRET_SIZE);
    }
}

static void
unpack_key_ring(struct cursor *c, struct key_ring *ring)
{
    ring->count = get_u8(c);
    for (size_t i = 0; i < ring->count; i++) {
        ring->keys[i].id = (uint8_t)get_u8(c);
        get_bytes(c, ring->keys[i].secret, KEY_SECRET_SIZE);
    }
}

/* Writes the id and the fields of the resource's kind and returns the size in
 * bytes. A tombstone keeps its fields: the address of a deleted target is
 * needed for as long as some balancer may still use it. */
static size_t
pack_body(const struct resource *r, unsigned char body[PACKED_SIZE_MAX])
{
    struct cursor c = {.pos = body};

    put_string(&c, r->id);
    switch (r->kind) {
    case RESOURCE_SERVICE:
        pack_service(&c, &r->service);
        break;
    case RESOURCE_TARGET:
        pack_target(&c, &r->target);
        break;
    case RESOURCE_HOST:
        put_string(&c, r->host.domain);
        put_bytes(&c, &r->host.addr, sizeof(r->host.addr));
        put_u8(&c, r->host.state);
        break;
    case RESOURCE_KEY_RING:
        pack_key_ring(&c, &r->key_ring);
        break;
    case RESOURCE_KIND_COUNT:
        assert(false);
    }
    return (size_t)(c.pos - body);
}

/* Sets all fields that the record's kind has. "r" has to be zeroed before its
 * first use; later calls may overwrite the previous resource in it without
 * zeroing it again, which would take most of the time of an iteration. */
static void
unpack(const struct record *rec, struct resource *r)
{
    struct cursor c = {.pos = (unsigned char *)rec->body};

    r->kind = (enum resource_kind)rec->kind;
    r->version = rec->version;
    r->deleted = rec->deleted != 0;
    get_string(&c, r->id);
    switch (r->kind) {
    case RESOURCE_SERVICE:
        unpack_service(&c, &r->service);
        break;
    case RESOURCE_TARGET:
        unpack_target(&c, &r->target);
        break;
    case RESOURCE_HOST:
        get_string(&c, r->host.domain);
        get_bytes(&c, &r->host.addr, sizeof(r->host.addr));
        r->host.state =
            get_u8(&c) == ADMIN_DRAINING ? ADMIN_DRAINING : ADMIN_ACTIVE;
        break;
    case RESOURCE_KEY_RING:
        unpack_key_ring(&c, &r->key_ring);
        break;
    case RESOURCE_KIND_COUNT:
        assert(false);
    }
}

static struct list *
chains_new(size_t count)
{
    struct list *chains = calloc(count, sizeof(*chains));

    if (chains == NULL) {
        return NULL;
    }
    for (size_t i = 0; i < count; i++) {
        list_init(&chains[i]);
    }
    return chains;
}

struct config_store *
config_store_new(void)
{
    struct config_store *cs = calloc(1, sizeof(*cs));

    if (cs == NULL) {
        return NULL;
    }
    cs->chains = chains_new(INITIAL_CHAIN_COUNT);
    if (cs->chains == NULL) {
        free(cs);
        return NULL;
    }
    cs->chain_count = INITIAL_CHAIN_COUNT;
    cs->bytes = sizeof(*cs) + INITIAL_CHAIN_COUNT * sizeof(*cs->chains);
    return cs;
}

void
config_store_destroy(struct config_store *cs)
{
    if (cs == NULL) {
        return;
    }
    for (size_t i = 0; i < cs->chain_count; i++) {
        list_for_each_safe (it, &cs->chains[i]) {
            free(container_of(it, struct record, link));
        }
    }
    free(cs->chains);
    free(cs);
}

static struct list *
find_chain(const struct config_store *cs, uint64_t name_hash)
{
    struct list *chain = &cs->chains[name_hash & (cs->chain_count - 1)];

    assert(chain->prev != NULL && chain->next != NULL);
    return chain;
}

static struct record *
find(const struct config_store *cs, uint64_t name_hash)
{
    list_for_each (it, find_chain(cs, name_hash)) {
        struct record *rec = container_of(it, struct record, link);

        if (rec->name_hash == name_hash) {
            return rec;
        }
    }
    return NULL;
}

/* Doubles the number of chains when there is at least one record per chain on
 * average. If the allocation fails, the chains get longer instead. */
static void
grow_chains(struct config_store *cs)
{
    size_t count = cs->chain_count * 2;
    struct list *chains;
    struct list *old = cs->chains;
    size_t old_count = cs->chain_count;

    if (cs->count < cs->chain_count) {
        return;
    }
    chains = chains_new(count);
    if (chains == NULL) {
        return;
    }
    cs->chains = chains;
    cs->chain_count = count;
    cs->bytes += (count - old_count) * sizeof(*chains);
    for (size_t i = 0; i < old_count; i++) {
        list_for_each_safe (it, &old[i]) {
            struct record *rec = container_of(it, struct record, link);

            list_remove(it);
            list_push_back(find_chain(cs, rec->name_hash), it);
        }
    }
    free(old);
}

static unsigned
bucket_of(uint64_t name_hash)
{
    return name_hash & (CONFIG_BUCKETS - 1);
}

static uint64_t
version_hash(uint64_t name_hash, uint64_t version)
{
    uint64_t pair[2] = {name_hash, version};

    return XXH64(pair, sizeof(pair), 0);
}

/* Adds a record to the digest or, when called again, removes it. */
static void
digest_toggle(struct config_store *cs, const struct record *rec)
{
    cs->digest.buckets[bucket_of(rec->name_hash)] ^=
        version_hash(rec->name_hash, rec->version);
}

static void
record_remove(struct config_store *cs, struct record *rec)
{
    digest_toggle(cs, rec);
    list_remove(&rec->link);
    cs->bytes -= sizeof(*rec) + rec->size;
    cs->count--;
    free(rec);
}

static struct record *
record_new(const struct resource *r, uint64_t name_hash, uint64_t revision)
{
    unsigned char body[PACKED_SIZE_MAX];
    size_t size = pack_body(r, body);
    struct record *rec = malloc(sizeof(*rec) + size);

    if (rec == NULL) {
        return NULL;
    }
    rec->name_hash = name_hash;
    rec->version = r->version;
    rec->revision = revision;
    rec->size = (uint16_t)size;
    rec->kind = (uint8_t)r->kind;
    rec->deleted = r->deleted;
    memcpy(rec->body, body, size);
    return rec;
}

static void
raise_revision(struct config_store *cs, uint64_t revision)
{
    if (revision != CONFIG_REVISION_UNKNOWN && revision > cs->revision) {
        cs->revision = revision;
    }
}

/* Compares a received record with the stored one of the same version. If the
 * contents are the same, a known revision replaces an unknown one. */
static enum config_result
compare_contents(struct config_store *cs, struct record *old,
                 const struct record *rec)
{
    if (old->deleted != rec->deleted || old->size != rec->size ||
        memcmp(old->body, rec->body, rec->size) != 0) {
        return CONFIG_DIFFERS;
    }
    if (old->revision == CONFIG_REVISION_UNKNOWN) {
        old->revision = rec->revision;
        raise_revision(cs, rec->revision);
    }
    return CONFIG_SAME;
}

static void
record_insert(struct config_store *cs, struct record *rec)
{
    list_push_back(find_chain(cs, rec->name_hash), &rec->link);
    cs->count++;
    cs->bytes += sizeof(*rec) + rec->size;
    digest_toggle(cs, rec);
    raise_revision(cs, rec->revision);
    grow_chains(cs);
}

enum config_result
config_store_apply(struct config_store *cs, const struct resource *r,
                   uint64_t revision)
{
    uint64_t name_hash = resource_name_hash(r);
    struct record *old = find(cs, name_hash);
    enum config_result result;
    struct record *rec;

    if (old != NULL && old->version > r->version) {
        cs->older_count++;
        return CONFIG_OLDER;
    }
    rec = record_new(r, name_hash, revision);
    if (rec == NULL) {
        return CONFIG_NO_MEMORY;
    }
    if (old != NULL && old->version == r->version) {
        result = compare_contents(cs, old, rec);
        free(rec);
        return result;
    }
    if (old != NULL) {
        record_remove(cs, old);
    }
    record_insert(cs, rec);
    return CONFIG_APPLIED;
}

bool
config_store_get_by_hash(const struct config_store *cs, uint64_t name_hash,
                         struct resource *out, uint64_t *revision)
{
    const struct record *rec = find(cs, name_hash);

    if (rec == NULL) {
        return false;
    }
    memset(out, 0, sizeof(*out));
    list_init(&out->link);
    unpack(rec, out);
    if (revision != NULL) {
        *revision = rec->revision;
    }
    return true;
}

bool
config_store_get(const struct config_store *cs, const char *name,
                 struct resource *out, uint64_t *revision)
{
    return config_store_get_by_hash(cs, id_hash(name), out, revision);
}

uint64_t
config_store_version(const struct config_store *cs, uint64_t name_hash)
{
    const struct record *rec = find(cs, name_hash);

    return rec == NULL ? 0 : rec->version;
}

/* Iterates over the resources of one kind; RESOURCE_KIND_COUNT stands for all
 * kinds. */
static void
for_each_record(const struct config_store *cs, enum resource_kind kind,
                config_store_cb cb, void *ctx)
{
    struct resource r = {.version = 0};

    list_init(&r.link);
    for (size_t i = 0; i < cs->chain_count; i++) {
        list_for_each (it, &cs->chains[i]) {
            const struct record *rec = container_of(it, struct record, link);

            if (kind != RESOURCE_KIND_COUNT && rec->kind != kind) {
                continue;
            }
            unpack(rec, &r);
            if (!cb(ctx, &r, rec->revision)) {
                return;
            }
        }
    }
}

void
config_store_each(const struct config_store *cs, config_store_cb cb, void *ctx)
{
    for_each_record(cs, RESOURCE_KIND_COUNT, cb, ctx);
}

void
config_store_each_of_kind(const struct config_store *cs,
                          enum resource_kind kind, config_store_cb cb,
                          void *ctx)
{
    for_each_record(cs, kind, cb, ctx);
}

/* Both the chain and the prefix are taken from the low bits of the hash, so
 * only one chain in 1 << bits can contain matching records. */
void
config_store_each_version(const struct config_store *cs, unsigned bits,
                          uint32_t prefix, config_version_cb cb, void *ctx)
{
    uint64_t mask = (1ULL << bits) - 1;
    size_t step = mask + 1 < cs->chain_count ? mask + 1 : cs->chain_count;

    for (size_t i = prefix & (step - 1); i < cs->chain_count; i += step) {
        list_for_each (it, &cs->chains[i]) {
            const struct record *rec = container_of(it, struct record, link);

            if ((rec->name_hash & mask) == prefix) {
                cb(ctx, rec->name_hash, rec->version);
            }
        }
    }
}

static void
leaf_toggle(void *ctx, uint64_t name_hash, uint64_t version)
{
    struct config_digest *digest = ctx;

    digest->buckets[bucket_of(name_hash >> CONFIG_BUCKET_BITS)] ^=
        version_hash(name_hash, version);
}

void
config_store_leaf_digest(const struct config_store *cs, uint32_t bucket,
                         struct config_digest *out)
{
    memset(out, 0, sizeof(*out));
    config_store_each_version(cs, CONFIG_BUCKET_BITS, bucket, leaf_toggle,
                              out);
}

const struct config_digest *
config_store_digest(const struct config_store *cs)
{
    return &cs->digest;
}

uint64_t
config_store_checksum(const struct config_store *cs)
{
    if (cs->count == 0) {
        return 0;
    }
    return XXH64(&cs->digest, sizeof(cs->digest), 0);
}

size_t
config_store_count(const struct config_store *cs)
{
    return cs->count;
}

uint64_t
config_store_revision(const struct config_store *cs)
{
    return cs->revision;
}

uint64_t
config_store_older_count(const struct config_store *cs)
{
    return cs->older_count;
}

size_t
config_store_bytes(const struct config_store *cs)
{
    return cs->bytes;
}

bool
config_store_host_is_draining(const struct config_store *cs, const char *id)
{
    char name[RESOURCE_NAME_SIZE];
    struct resource r;

    snprintf(name, sizeof(name), "host/%s", id);
    return config_store_get(cs, name, &r, NULL) && !r.deleted &&
           r.host.state == ADMIN_DRAINING;
}
