#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "base/clock.h"
#include "config-fixture.h"
#include "fake-net.h"

#define SEED 20240612
#define IN_FORCE_US (4 * USEC_PER_SEC) /* the stated target */
#define SETTLE_US (10 * USEC_PER_SEC)
/* A frozen watcher has to be found first. */
#define REPLACE_US (12 * USEC_PER_SEC)
#define BULK 5000 /* resources */
#define BULK_US (20 * USEC_PER_SEC)

static uint64_t
write_target(struct fake_net *net, const char *id, uint64_t version,
             bool deleted)
{
    struct resource r = make_target("live", id, version, 7, deleted);

    return fake_net_write(net, &r);
}

static struct fake_net *
start(size_t nodes, size_t domains, uint64_t seed)
{
    struct fake_net *net = fake_net_new(nodes, domains, seed);
    struct resource service = make_service("live", 1, "d0,d1");

    fake_net_write(net, &service);
    write_target(net, "t1", 1, false);
    fake_net_start_all(net);
    fake_net_run(net, SETTLE_US);
    assert_true(fake_net_in_force(net, "", 2));
    return net;
}

static bool
all_have(const struct fake_net *net, const char *name, uint64_t version)
{
    for (size_t i = 0; i < net->node_count; i++) {
        if (net->nodes[i].running &&
            fake_node_version(&net->nodes[i], name) != version) {
            return false;
        }
    }
    return true;
}

struct network_case {
    const char *name;
    size_t nodes;
    size_t domains;
    double loss;
    double doubling;
    uint64_t delay_max_us;
};

/* An accepted change is in force everywhere in time on any network that gets
 * something through, and only the watchers talk to the store. */
static void
test_change_in_force(void **state)
{
    const struct network_case cases[] = {
        {"one", 1, 1, 0, 0, 1500},
        {"two", 2, 2, 0, 0, 1500},
        {"eight in four domains", 8, 4, 0, 0, 1500},
        {"forty in four domains", 40, 4, 0, 0, 1500},
        {"loss", 40, 4, 0.1, 0, 1500},
        {"lost, doubled, reordered", 40, 4, 0.1, 0.2, 80000},
        {"half is lost", 8, 2, 0.5, 0, 1500},
    };

    for (size_t c = 0; c < sizeof(cases) / sizeof(*cases); c++) {
        struct fake_net *net =
            start(cases[c].nodes, cases[c].domains, SEED + c);
        uint64_t worst = 0;
        size_t readers = 0;

        net->loss = cases[c].loss;
        net->doubling = cases[c].doubling;
        net->delay_max_us = cases[c].delay_max_us;
        for (uint64_t v = 2; v < 12; v++) {
            uint64_t took = fake_net_run_until_in_force(
                net, write_target(net, "t1", v, false), 60 * USEC_PER_SEC);

            worst = took > worst ? took : worst;
            assert_true(all_have(net, "target/live/t1", v));
        }
        for (size_t i = 0; i < net->node_count; i++) {
            readers += net->nodes[i].watching;
        }
        print_message("%s: worst %llu ms\n", cases[c].name,
                      (unsigned long long)(worst / USEC_PER_MSEC));
        assert_true(worst <= IN_FORCE_US);
        if (cases[c].loss == 0) {
            assert_true(readers <=
                        cases[c].domains * CONFIG_SYNC_WATCHERS_MAX);
        }
        fake_net_destroy(net);
    }
}

/* Most balancers get a change by push, well before any comparison. */
static void
test_push_comes_first(void **state)
{
    struct fake_net *net = start(40, 4, SEED);
    size_t have = 0;

    write_target(net, "t1", 2, false);
    fake_net_run(net, 50 * USEC_PER_MSEC);
    for (size_t i = 0; i < net->node_count; i++) {
        have += fake_node_version(&net->nodes[i], "target/live/t1") == 2;
    }
    assert_true(have > net->node_count * 3 / 4);
    fake_net_destroy(net);
}

struct capture {
    size_t count[GOSSIP_KIND_END];
    uint64_t pulled;
};

static void
on_capture(void *ctx, uint32_t addr, uint16_t port,
           const struct gossip_message *m)
{
    struct capture *c = ctx;

    c->count[m->kind]++;
    if (m->kind == GOSSIP_PULL) {
        assert_int_equal(m->version_count, 1);
        c->pulled = m->versions[0].name_hash;
    }
}

static void
on_applied(void *ctx, const struct resource *r, uint64_t revision)
{
}

static void
on_number(void *ctx, uint64_t revision)
{
}

static void
on_nothing(void *ctx)
{
}

/* A list of versions is answered by what the peer lacks, and by a pull of
 * what we lack; equal versions are left alone. */
static void
test_versions_are_pulled(void **state)
{
    struct fake_net *net = start(1, 1, SEED);
    struct fake_node *node = &net->nodes[0];
    struct capture c = {{0}};
    const struct config_sync_callbacks cb = {on_capture, on_applied, on_number,
                                             on_nothing, &c};
    struct config_sync *sp = config_sync_new(node->cs, node->ms, &node->floors,
                                             &cb, &node->random, net->now);
    struct gossip_message *m = calloc(1, sizeof(*m));

    m->kind = GOSSIP_VERSIONS;
    m->floor_sum = domain_min_revisions_sum(&node->floors);
    m->version_count = 2;
    m->versions[0] = (struct gossip_version){id_hash("service/live"), 1};
    m->versions[1] = (struct gossip_version){id_hash("target/live/t9"), 1};
    config_sync_receive(sp, m, net->now);
    assert_int_equal(c.count[GOSSIP_DELTA], 1);
    assert_int_equal(c.count[GOSSIP_PULL], 1);
    assert_int_equal(c.pulled, id_hash("target/live/t9"));
    free(m);
    config_sync_destroy(sp);
    fake_net_destroy(net);
}

/* While the store is down, all balancers of a domain restart: they take the
 * newest versions, tombstones included, from the other domain. */
static void
test_domain_restarts_in_outage(void **state)
{
    struct fake_net *net = start(16, 2, SEED);

    write_target(net, "t2", 4, true);
    fake_net_run(net, SETTLE_US);
    net->store_down = true;
    for (size_t i = 0; i < net->node_count; i += 2) {
        fake_net_kill(net, i);
    }
    fake_net_run(net, 60 * USEC_PER_SEC);
    for (size_t i = 0; i < net->node_count; i += 2) {
        fake_net_start(net, i);
    }
    fake_net_run(net, SETTLE_US);
    assert_true(fake_net_same(net));
    assert_true(all_have(net, "target/live/t2", 4));
    assert_true(fake_net_in_force(net, "", net->store_revision));
    fake_net_destroy(net);
}

/* A domain cut off from the store, but not from its peers, keeps up. */
static void
test_domain_cut_from_store(void **state)
{
    struct fake_net *net = start(16, 4, SEED);
    uint64_t revision;

    for (size_t i = 0; i < net->node_count; i += 4) {
        net->nodes[i].store_cut = true;
    }
    fake_net_run(net, SETTLE_US);
    revision = write_target(net, "t1", 2, false);
    assert_true(fake_net_run_until_in_force(net, revision, IN_FORCE_US) <=
                IN_FORCE_US);
    fake_net_destroy(net);
}

/* Changes on both sides of a cut, each accepted by the store but seen by one
 * side only, a deletion among them: afterwards all have all of them. */
static void
test_cut_with_changes(void **state)
{
    struct fake_net *net = start(12, 2, SEED);
    struct resource r = make_target("live", "t1", 2, 7, true);

    for (size_t i = 0; i < net->node_count; i++) {
        net->nodes[i].side = i % 2;
        net->nodes[i].store_cut = i % 2 == 1;
    }
    fake_net_run(net, 30 * USEC_PER_SEC);
    write_target(net, "t2", 1, false);
    /* The write was made through a balancer on the far side. */
    assert_int_equal(config_sync_offer(net->nodes[5].sp, &r, 4),
                     CONFIG_APPLIED);
    fake_net_run(net, SETTLE_US);
    assert_int_equal(fake_node_version(&net->nodes[0], "target/live/t1"), 1);
    assert_int_equal(fake_node_version(&net->nodes[1], "target/live/t1"), 2);
    assert_int_equal(fake_node_version(&net->nodes[1], "target/live/t2"), 0);
    /* What the far side lacks it does not claim to have in force. */
    assert_int_equal(net->nodes[1].applied, 2);
    for (size_t i = 0; i < net->node_count; i++) {
        net->nodes[i].side = 0;
    }
    fake_net_run(net, 20 * USEC_PER_SEC);
    assert_true(fake_net_same(net));
    assert_true(all_have(net, "target/live/t1", 2));
    assert_true(all_have(net, "target/live/t2", 1));
    fake_net_destroy(net);
}

/* One cut off from all goes on with what it has. */
static void
test_one_cut_from_all(void **state)
{
    struct fake_net *net = start(8, 2, SEED);
    struct fake_node *alone = &net->nodes[3];

    alone->side = 1;
    alone->store_cut = true;
    write_target(net, "t1", 2, false);
    fake_net_run(net, 30 * USEC_PER_SEC);
    assert_int_equal(fake_node_version(alone, "target/live/t1"), 1);
    assert_int_equal(alone->applied, 2);
    assert_true(membership_isolated(alone->ms, net->now));
    alone->side = 0;
    alone->store_cut = false;
    fake_net_run(net, SETTLE_US);
    assert_int_equal(fake_node_version(alone, "target/live/t1"), 2);
    assert_int_equal(alone->applied, 3);
    fake_net_destroy(net);
}

/* Both watchers of a domain stand still, the domain being cut off from the
 * other: others take their place. After the thaw they catch up, and nothing
 * of what they knew comes back. */
static void
test_frozen_watchers(void **state)
{
    struct fake_net *net = start(16, 2, SEED);
    uint64_t revision;
    uint64_t start_us;

    for (size_t i = 0; i < net->node_count; i++) {
        net->nodes[i].side = i % 2;
        net->nodes[i].frozen = i % 2 == 0 && net->nodes[i].watching;
    }
    revision = write_target(net, "t1", 2, true);
    start_us = net->now;
    for (size_t i = 0; i < net->node_count; i += 2) {
        while (!net->nodes[i].frozen && net->nodes[i].applied < revision &&
               net->now - start_us < REPLACE_US) {
            fake_net_run(net, 100 * USEC_PER_MSEC);
        }
        assert_true(net->nodes[i].frozen || net->nodes[i].applied >= revision);
    }
    for (size_t i = 0; i < net->node_count; i++) {
        net->nodes[i].side = 0;
        net->nodes[i].frozen = false;
    }
    assert_true(fake_net_run_until_in_force(net, revision, IN_FORCE_US) <=
                IN_FORCE_US);
    assert_true(all_have(net, "target/live/t1", 2));
    fake_net_destroy(net);
}

/* What was sent to a paused balancer before a change waits in its socket, and
 * shows the configuration that it still has: its view counts as fresh only
 * after an answer to a question asked since. */
static void
test_refresh_needs_an_answer(void **state)
{
    struct fake_net *net = start(8, 2, SEED);
    struct fake_node *node = &net->nodes[4];
    struct gossip_message *stale = calloc(1, sizeof(*stale));

    stale->kind = GOSSIP_PING;
    stale->sender = net->nodes[2].self;
    config_sync_fill_summary(node->sp, stale);
    net->loss = 1;
    write_target(net, "t1", 2, false);
    config_sync_request_refresh(node->sp, net->now);
    config_sync_receive(node->sp, stale, net->now);
    assert_false(config_sync_is_refreshed(node->sp));
    fake_net_run(net, USEC_PER_SEC);
    assert_false(config_sync_is_refreshed(node->sp));
    net->loss = 0;
    for (int i = 0; i < 100 && !config_sync_is_refreshed(node->sp); i++) {
        fake_net_run(net, 10 * USEC_PER_MSEC);
    }
    assert_true(config_sync_is_refreshed(node->sp));
    assert_int_equal(fake_node_version(node, "target/live/t1"), 2);
    free(stale);
    fake_net_destroy(net);
}

/* A store that comes back with older versions changes nothing anywhere, and
 * nothing learnt from it counts as complete. */
static void
test_older_store(void **state)
{
    struct fake_net *net = start(8, 2, SEED);
    struct resource old = make_target("live", "t1", 1, 7, false);
    struct resource news = make_target("live", "t3", 1, 9, false);

    write_target(net, "t1", 3, false);
    fake_net_run(net, SETTLE_US);
    net->store_down = true;
    for (size_t i = 0; i < net->node_count; i++) {
        assert_int_equal(config_sync_offer(net->nodes[i].sp, &old, 2),
                         CONFIG_OLDER);
    }
    /* The one resource that is new there is taken, but proves nothing. */
    config_sync_offer(net->nodes[0].sp, &news, CONFIG_REVISION_UNKNOWN);
    fake_net_run(net, SETTLE_US);
    assert_true(all_have(net, "target/live/t1", 3));
    assert_true(all_have(net, "target/live/t3", 1));
    for (size_t i = 0; i < net->node_count; i++) {
        assert_int_equal(config_sync_revision(net->nodes[i].sp), 3);
        assert_int_equal(config_store_revision(net->nodes[i].cs), 3);
    }
    fake_net_destroy(net);
}

/* A balancer that starts while the store is down takes thousands of
 * resources from its peers, in messages of bounded size. */
static void
test_bulk_from_peers(void **state)
{
    struct fake_net *net = fake_net_new(4, 1, SEED);
    uint64_t revision = 0;

    for (int i = 0; i < BULK; i++) {
        char id[ID_SIZE];

        snprintf(id, sizeof(id), "t%d", i);
        revision = write_target(net, id, 1, false);
    }
    for (size_t i = 0; i < 3; i++) {
        fake_net_start(net, i);
    }
    fake_net_run(net, BULK_US);
    assert_true(fake_net_in_force(net, "", revision));
    net->store_down = true;
    fake_net_start(net, 3);
    assert_true(fake_net_run_until_in_force(net, revision, BULK_US) <=
                IN_FORCE_US);
    assert_int_equal(config_store_count(net->nodes[3].cs), BULK);
    /* It asks, but does not tell the others what they have told it. */
    assert_true(net->nodes[3].bytes_out < net->nodes[3].bytes_in / 4);
    fake_net_destroy(net);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_change_in_force),
        cmocka_unit_test(test_push_comes_first),
        cmocka_unit_test(test_versions_are_pulled),
        cmocka_unit_test(test_domain_restarts_in_outage),
        cmocka_unit_test(test_domain_cut_from_store),
        cmocka_unit_test(test_cut_with_changes),
        cmocka_unit_test(test_one_cut_from_all),
        cmocka_unit_test(test_frozen_watchers),
        cmocka_unit_test(test_refresh_needs_an_answer),
        cmocka_unit_test(test_older_store),
        cmocka_unit_test(test_bulk_from_peers),
    };

    print_message("seed %d\n", SEED);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
