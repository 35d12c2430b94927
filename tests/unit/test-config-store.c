#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "config-fixture.h"
#include "state/config-store.h"

#define RESOURCE_COUNT 30000
/* Maximum memory of a store with RESOURCE_COUNT resources, bytes */
#define STORE_SIZE_MAX (6 * 1024 * 1024)

struct step {
    uint64_t version;
    bool deleted;
    enum config_result result;
    uint64_t stored; /* version in the store afterwards */
};

/* A resource replaces the stored one only if its version is higher, also when
 * the stored one is a tombstone, and in whatever order the versions arrive. */
static void
test_only_higher_versions(void **state)
{
    const struct step steps[] = {
        {2, false, CONFIG_APPLIED, 2}, {2, false, CONFIG_SAME, 2},
        {1, false, CONFIG_OLDER, 2},   {4, true, CONFIG_APPLIED, 4},
        {3, false, CONFIG_OLDER, 4},   {4, false, CONFIG_DIFFERS, 4},
        {4, true, CONFIG_SAME, 4},     {5, false, CONFIG_APPLIED, 5},
    };
    struct config_store *cs = config_store_new();
    struct resource got;
    uint64_t revision = 0;

    assert_false(config_store_get(cs, "target/s/t", &got, NULL));
    for (size_t i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
        const struct step *s = &steps[i];
        struct resource r = make_target("s", "t", s->version, 7, s->deleted);

        assert_int_equal(config_store_apply(cs, &r, 100 + s->version),
                         s->result);
        assert_true(config_store_get(cs, "target/s/t", &got, &revision));
        assert_int_equal(got.version, s->stored);
        assert_int_equal(revision, 100 + s->stored);
        assert_int_equal(config_store_version(cs, id_hash("target/s/t")),
                         s->stored);
    }
    assert_int_equal(config_store_older_count(cs), 2);
    assert_int_equal(config_store_count(cs), 1);
    assert_int_equal(config_store_revision(cs), 105);
    config_store_destroy(cs);
}

/* The store packs resources. A resource that is read from it has the same
 * fields as the one that was stored; checked for every kind. */
static void
test_fields_are_preserved(void **state)
{
    struct resource rs[4] = {make_service("live", 3, "karen,westlands"),
                             make_target("live", "t1", 9, 0x7f000001, true)};
    struct config_store *cs = config_store_new();

    rs[0].service.tenant_in_path = true;
    rs[1].target.state = ADMIN_DRAINING;
    rs[2].kind = RESOURCE_HOST;
    rs[2].version = 1;
    snprintf(rs[2].id, sizeof(rs[2].id), "%s", "host-1");
    snprintf(rs[2].host.domain, sizeof(rs[2].host.domain), "%s", "karen");
    rs[2].host.addr = 0x7f000101;
    rs[2].host.state = ADMIN_DRAINING;
    rs[3].kind = RESOURCE_KEY_RING;
    rs[3].version = 2;
    snprintf(rs[3].id, sizeof(rs[3].id), "%s", "tokens");
    rs[3].key_ring.count = 2;
    rs[3].key_ring.keys[1].id = 200;
    memset(rs[3].key_ring.keys[1].secret, 0xa5, KEY_SECRET_SIZE);
    for (size_t i = 0; i < 4; i++) {
        char name[RESOURCE_NAME_SIZE];
        struct resource got;

        assert_int_equal(config_store_apply(cs, &rs[i], i + 1),
                         CONFIG_APPLIED);
        resource_name(&rs[i], name);
        assert_true(config_store_get(cs, name, &got, NULL));
        got.link = rs[i].link;
        assert_memory_equal(&got, &rs[i], sizeof(got));
    }
    config_store_destroy(cs);
}

static bool
count_resource(void *ctx, const struct resource *r, uint64_t revision)
{
    (*(size_t *)ctx)++;
    return true;
}

static void
count_version(void *ctx, uint64_t name_hash, uint64_t version)
{
    (*(size_t *)ctx)++;
}

/* Two stores with the same versions have the same digest, also when the
 * versions were stored in another order and one store had older versions
 * first. If one version differs, one bucket of the digests differs, and one
 * bucket of the leaf digests of that bucket. */
static void
test_digest(void **state)
{
    struct config_store *a = config_store_new();
    struct config_store *b = config_store_new();
    struct resource r;
    size_t differing = 0;
    size_t visited = 0;
    char id[ID_SIZE];
    struct config_digest leaf_a;
    struct config_digest leaf_b;
    unsigned bucket;
    unsigned leaf_bucket;

    assert_int_equal(config_store_checksum(a), 0);
    for (int i = 0; i < 1000; i++) {
        snprintf(id, sizeof(id), "t%d", i);
        r = make_target("s", id, 2, 1, false);
        config_store_apply(a, &r, 1);
        snprintf(id, sizeof(id), "t%d", 999 - i);
        r = make_target("s", id, 1, 1, false);
        config_store_apply(b, &r, 1);
        r = make_target("s", id, 2, 1, false);
        config_store_apply(b, &r, 1);
    }
    assert_int_equal(config_store_checksum(a), config_store_checksum(b));
    r = make_target("s", "t500", 3, 1, true);
    config_store_apply(b, &r, 2);
    assert_int_not_equal(config_store_checksum(a), config_store_checksum(b));
    for (unsigned i = 0; i < CONFIG_BUCKETS; i++) {
        differing += config_store_digest(a)->buckets[i] !=
                     config_store_digest(b)->buckets[i];
        config_store_each_version(a, CONFIG_BUCKET_BITS, i, count_version,
                                  &visited);
    }
    assert_int_equal(differing, 1);
    assert_int_equal(visited, 1000);
    visited = 0;
    for (unsigned i = 0; i < CONFIG_BUCKETS * CONFIG_BUCKETS; i++) {
        config_store_each_version(a, 2 * CONFIG_BUCKET_BITS, i, count_version,
                                  &visited);
    }
    assert_int_equal(visited, 1000);
    bucket = id_hash("target/s/t500") % CONFIG_BUCKETS;
    leaf_bucket = id_hash("target/s/t500") / CONFIG_BUCKETS % CONFIG_BUCKETS;
    config_store_leaf_digest(a, bucket, &leaf_a);
    config_store_leaf_digest(b, bucket, &leaf_b);
    for (unsigned i = 0; i < CONFIG_BUCKETS; i++) {
        assert_int_equal(leaf_a.buckets[i] != leaf_b.buckets[i],
                         i == leaf_bucket);
    }
    config_store_destroy(a);
    config_store_destroy(b);
}

/* The same version with other contents is refused as CONFIG_DIFFERS. The same
 * version with the same contents is CONFIG_SAME, and its revision replaces an
 * unknown one. */
static void
test_same_version(void **state)
{
    struct config_store *cs = config_store_new();
    struct resource r = make_target("s", "t", 3, 7, false);
    struct resource other = make_target("s", "t", 3, 8, false);
    uint64_t revision;

    config_store_apply(cs, &r, CONFIG_REVISION_UNKNOWN);
    assert_int_equal(config_store_revision(cs), 0);
    assert_int_equal(config_store_apply(cs, &other, 5), CONFIG_DIFFERS);
    assert_int_equal(config_store_apply(cs, &r, 6), CONFIG_SAME);
    assert_int_equal(config_store_apply(cs, &r, 9), CONFIG_SAME);
    assert_true(config_store_get(cs, "target/s/t", &other, &revision));
    assert_int_equal(revision, 6);
    assert_int_equal(other.target.addr, 7);
    config_store_destroy(cs);
}

/* 30,000 targets take at most 6 MiB of memory. */
static void
test_memory_limit(void **state)
{
    struct config_store *cs = config_store_new();
    size_t visited = 0;

    for (int i = 0; i < RESOURCE_COUNT; i++) {
        char id[ID_SIZE];
        struct resource r;

        snprintf(id, sizeof(id), "target-%05d", i);
        r = make_target("jibu-live", id, 1, (uint32_t)i, false);
        config_store_apply(cs, &r, (uint64_t)i);
    }
    config_store_each_of_kind(cs, RESOURCE_TARGET, count_resource, &visited);
    assert_int_equal(visited, RESOURCE_COUNT);
    print_message("%zu bytes per resource\n",
                  config_store_bytes(cs) / RESOURCE_COUNT);
    assert_true(config_store_bytes(cs) <= STORE_SIZE_MAX);
    config_store_destroy(cs);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_only_higher_versions),
        cmocka_unit_test(test_fields_are_preserved),
        cmocka_unit_test(test_digest),
        cmocka_unit_test(test_same_version),
        cmocka_unit_test(test_memory_limit),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
