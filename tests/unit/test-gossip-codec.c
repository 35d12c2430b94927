#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "base/random.h"
#include "config-fixture.h"
#include "protocol/gossip-codec.h"

#define SEED 20240614
#define CORRUPTED_MESSAGES 20000

static void
fill_member(struct member_info *info, unsigned i)
{
    memset(info, 0, sizeof(*info));
    snprintf(info->id, sizeof(info->id), "host-%u", i);
    snprintf(info->domain, sizeof(info->domain), "karen");
    info->addr = 0x7f000001 + i;
    info->port = (uint16_t)(7402 + i);
    info->incarnation = 1700000000000000ULL + i;
    info->state = (enum member_state)(i % 4);
}

static void
fill_resources(struct gossip_message *m)
{
    struct resource ring = {.kind = RESOURCE_KEY_RING, .version = 3};
    struct resource host = {.kind = RESOURCE_HOST, .version = 4};

    snprintf(ring.id, sizeof(ring.id), "tokens");
    ring.key_ring.count = 1;
    ring.key_ring.keys[0].id = 9;
    memset(ring.key_ring.keys[0].secret, 0x5a, KEY_SECRET_SIZE);
    snprintf(host.id, sizeof(host.id), "host-1");
    snprintf(host.host.domain, sizeof(host.host.domain), "karen");
    host.host.state = ADMIN_DRAINING;
    m->resource_count = 4;
    m->resources[0].resource = make_service("live", 7, "karen,westlands");
    m->resources[1].resource = make_target("live", "t1", 8, 77, true);
    m->resources[2].resource = ring;
    m->resources[3].resource = host;
    for (size_t i = 0; i < m->resource_count; i++) {
        m->resources[i].revision = CONFIG_REVISION_UNKNOWN - i;
        list_init(&m->resources[i].resource.link);
    }
}

/* Fills a message so that no field that its kind carries is empty. */
static void
fill_message(struct gossip_message *m, enum gossip_kind kind)
{
    memset(m, 0, sizeof(*m));
    m->kind = kind;
    fill_member(&m->sender, 0);
    m->nonce = UINT64_MAX;
    m->revision = 12345;
    m->checksum = 0xdeadbeefcafef00dULL;
    m->floor_sum = 4242;
    m->member_count = 3;
    for (unsigned i = 0; i < 3; i++) {
        fill_member(&m->members[i], i + 1);
    }
    m->floor_count = 1;
    snprintf(m->floors[0].domain, ID_SIZE, "westlands");
    m->floors[0].revision = 99;
    if (kind == GOSSIP_DIGEST || kind == GOSSIP_LEAF_DIGEST) {
        m->prefix_bits = 6;
        m->prefix = 63;
        for (size_t i = 0; i < CONFIG_BUCKETS; i++) {
            m->digest.buckets[i] = i * 0x0123456789abcdefULL;
        }
    }
    if (kind == GOSSIP_VERSIONS || kind == GOSSIP_PULL) {
        m->prefix_bits = 12;
        m->prefix = 4095;
        m->version_count = GOSSIP_VERSIONS_MAX;
        for (size_t i = 0; i < GOSSIP_VERSIONS_MAX; i++) {
            m->versions[i].name_hash = i * 0x9e3779b97f4a7c15ULL;
            m->versions[i].version = i + 1;
        }
    }
    if (kind == GOSSIP_DELTA) {
        fill_resources(m);
    }
    if (kind == GOSSIP_REPORT) {
        m->applied = 777;
    }
}

static void
assert_resource_equal(const struct gossip_resource *a,
                      struct gossip_resource *b)
{
    b->resource.link = a->resource.link;
    assert_memory_equal(&b->resource, &a->resource, sizeof(a->resource));
    assert_int_equal(b->revision, a->revision);
}

static void
assert_message_equal(const struct gossip_message *a, struct gossip_message *b)
{
    assert_int_equal(b->kind, a->kind);
    assert_memory_equal(&b->digest, &a->digest, sizeof(a->digest));
    assert_int_equal(b->nonce, a->nonce);
    assert_int_equal(b->revision, a->revision);
    assert_int_equal(b->checksum, a->checksum);
    assert_int_equal(b->floor_sum, a->floor_sum);
    assert_int_equal(b->applied, a->applied);
    assert_int_equal(b->member_count, a->member_count);
    assert_int_equal(b->prefix_bits, a->prefix_bits);
    assert_int_equal(b->prefix, a->prefix);
    assert_string_equal(b->sender.id, a->sender.id);
    for (size_t i = 0; i < a->member_count; i++) {
        assert_string_equal(b->members[i].id, a->members[i].id);
        assert_string_equal(b->members[i].domain, a->members[i].domain);
        assert_int_equal(b->members[i].addr, a->members[i].addr);
        assert_int_equal(b->members[i].port, a->members[i].port);
        assert_int_equal(b->members[i].incarnation, a->members[i].incarnation);
        assert_int_equal(b->members[i].state, a->members[i].state);
    }
    assert_int_equal(b->floor_count, a->floor_count);
    assert_string_equal(b->floors[0].domain, a->floors[0].domain);
    assert_int_equal(b->floors[0].revision, a->floors[0].revision);
    assert_int_equal(b->version_count, a->version_count);
    assert_memory_equal(b->versions, a->versions, sizeof(a->versions));
    assert_int_equal(b->resource_count, a->resource_count);
    for (size_t i = 0; i < a->resource_count; i++) {
        assert_resource_equal(&a->resources[i], &b->resources[i]);
    }
}

struct fixture {
    struct gossip_message in;  /* before encoding */
    struct gossip_message out; /* after decoding */
    uint8_t data[GOSSIP_MESSAGE_SIZE_MAX];
};

/* A message of every kind is unchanged after encoding and decoding. Decoding
 * fails when the message is truncated at any byte, and encoding when the
 * buffer is one byte too small. */
static void
test_round_trip(void **state)
{
    struct fixture *f = calloc(1, sizeof(*f));

    for (int kind = GOSSIP_PING; kind < GOSSIP_KIND_END; kind++) {
        size_t size;

        fill_message(&f->in, (enum gossip_kind)kind);
        memset(&f->out, 0, sizeof(f->out));
        size = gossip_encode(&f->in, f->data, sizeof(f->data));
        assert_true(size > 0);
        assert_true(gossip_decode(&f->out, f->data, size));
        assert_message_equal(&f->in, &f->out);
        for (size_t len = 0; len < size; len++) {
            assert_false(gossip_decode(&f->out, f->data, len));
        }
        assert_int_equal(gossip_encode(&f->in, f->data, size - 1), 0);
    }
    free(f);
}

/* A message with the maximum number of services, whose texts all have their
 * maximum length, can be encoded. */
static void
test_largest_delta(void **state)
{
    struct fixture *f = calloc(1, sizeof(*f));
    struct resource r = make_service("", 1, "");

    memset(r.id, 'x', ID_SIZE - 1);
    memset(r.service.tenant, 'x', ID_SIZE - 1);
    r.service.domain_count = SERVICE_DOMAINS_MAX;
    for (size_t i = 0; i < SERVICE_DOMAINS_MAX; i++) {
        memset(r.service.domains[i], 'x', ID_SIZE - 1);
    }
    fill_message(&f->in, GOSSIP_DELTA);
    f->in.resource_count = GOSSIP_RESOURCES_MAX;
    for (size_t i = 0; i < GOSSIP_RESOURCES_MAX; i++) {
        f->in.resources[i].resource = r;
    }
    assert_true(gossip_encode(&f->in, f->data, sizeof(f->data)) > 0);
    free(f);
}

/* A message with randomly corrupted bytes is either refused or decoded to
 * values within their limits. */
static void
test_corrupted(void **state)
{
    struct fixture *f = calloc(1, sizeof(*f));
    struct random random;
    size_t decoded = 0;

    random_seed(&random, SEED);
    for (int i = 0; i < CORRUPTED_MESSAGES; i++) {
        enum gossip_kind kind = (enum gossip_kind)(
            GOSSIP_PING + random_below(&random, GOSSIP_KIND_END - 1));
        size_t size;
        uint32_t changed_bytes = 1 + random_below(&random, 4);

        fill_message(&f->in, kind);
        size = gossip_encode(&f->in, f->data, sizeof(f->data));
        for (uint32_t k = 0; k < changed_bytes; k++) {
            f->data[random_below(&random, (uint32_t)size)] =
                (uint8_t)random_next(&random);
        }
        if (!gossip_decode(&f->out, f->data, size)) {
            continue;
        }
        decoded++;
        assert_true(f->out.member_count <= GOSSIP_MEMBERS_MAX);
        assert_true(f->out.version_count <= GOSSIP_VERSIONS_MAX);
        assert_true(f->out.resource_count <= GOSSIP_RESOURCES_MAX);
        assert_true(f->out.floor_count <= DOMAIN_MIN_REVISIONS_MAX);
        for (size_t k = 0; k < f->out.resource_count; k++) {
            assert_true(f->out.resources[k].resource.version > 0);
            assert_true(strlen(f->out.resources[k].resource.id) < ID_SIZE);
        }
    }
    /* Some changes only alter a value, so some messages are decoded. */
    assert_true(decoded > 0 && decoded < CORRUPTED_MESSAGES);
    free(f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_round_trip),
        cmocka_unit_test(test_largest_delta),
        cmocka_unit_test(test_corrupted),
    };

    print_message("seed %d\n", SEED);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
