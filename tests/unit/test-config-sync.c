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
/* Maximum time until every balancer has applied a change, as the stated goal
 * requires. */
#define APPLY_MAX_US (4 * USEC_PER_SEC)
/* Time in which balancers that can reach each other apply all earlier
 * changes. */
#define SETTLE_US (10 * USEC_PER_SEC)
/* Maximum time until a failure domain whose watchers are paused has applied a
 * change: the paused watchers have to be detected and replaced first. */
#define REPLACE_WATCHERS_MAX_US (12 * USEC_PER_SEC)
/* Number of resources in the bulk transfer, and the time in which the first
 * balancers apply them from the store. */
#define BULK_RESOURCES 5000
#define BULK_APPLY_MAX_US (20 * USEC_PER_SEC)

static uint64_t
write_target(struct fake_net *net, const char *id, uint64_t version,
             bool deleted)
{
    struct resource r = make_target("live", id, version, 7, deleted);

    return fake_net_write(net, &r);
}

/* Starts a network and waits until every balancer has applied a service and
 * the target t1, which the store has accepted at the revisions 1 and 2. */
static struct fake_net *
start_network(size_t nodes, size_t domains, uint64_t seed)
{
    struct fake_net *net = fake_net_new(nodes, domains, seed);
    struct resource service = make_service("live", 1, "d0,d1");

    fake_net_write(net, &service);
    write_target(net, "t1", 1, false);
    fake_net_start_all(net);
    fake_net_run(net, SETTLE_US);
    assert_true(fake_net_has_applied(net, "", 2));
    return net;
}

static bool
all_have_version(const struct fake_net *net, const char *name,
                 uint64_t version)
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
    double lost_share;       /* share of messages that are lost */
    double duplicated_share; /* share of messages that arrive twice */
    uint64_t delay_max_us;
};

/* Every balancer applies an accepted change within APPLY_MAX_US, also on a
 * network that loses half of the messages, or that loses, duplicates and
 * reorders them. Without loss, only the watchers read from the store. */
static void
test_change_is_applied_everywhere(void **state)
{
    const struct network_case cases[] = {
        {"one balancer", 1, 1, 0, 0, 1500},
        {"two balancers in two domains", 2, 2, 0, 0, 1500},
        {"eight balancers in four domains", 8, 4, 0, 0, 1500},
        {"forty balancers in four domains", 40, 4, 0, 0, 1500},
        {"10% loss", 40, 4, 0.1, 0, 1500},
        {"loss, duplicates, reordering", 40, 4, 0.1, 0.2, 80000},
        {"50% loss", 8, 2, 0.5, 0, 1500},
    };

    for (size_t c = 0; c < sizeof(cases) / sizeof(*cases); c++) {
        struct fake_net *net =
            start_network(cases[c].nodes, cases[c].domains, SEED + c);
        uint64_t worst_us = 0;
        size_t watchers = 0;

        net->loss = cases[c].lost_share;
        net->duplication = cases[c].duplicated_share;
        net->delay_max_us = cases[c].delay_max_us;
        for (uint64_t v = 2; v < 12; v++) {
            uint64_t took_us = fake_net_run_until_applied(
                net, write_target(net, "t1", v, false), 60 * USEC_PER_SEC);

            worst_us = took_us > worst_us ? took_us : worst_us;
            assert_true(all_have_version(net, "target/live/t1", v));
        }
        for (size_t i = 0; i < net->node_count; i++) {
            watchers += net->nodes[i].watching;
        }
        print_message("%s: worst %llu ms\n", cases[c].name,
                      (unsigned long long)(worst_us / USEC_PER_MSEC));
        assert_true(worst_us <= APPLY_MAX_US);
        if (cases[c].lost_share == 0) {
            assert_true(watchers <=
                        cases[c].domains * CONFIG_SYNC_WATCHERS_MAX);
        }
        fake_net_destroy(net);
    }
}

/* Most balancers receive a change by push within 50 ms, well before any
 * comparison of checksums. */
static void
test_push_precedes_comparison(void **state)
{
    struct fake_net *net = start_network(40, 4, SEED);
    size_t updated = 0;

    write_target(net, "t1", 2, false);
    fake_net_run(net, 50 * USEC_PER_MSEC);
    for (size_t i = 0; i < net->node_count; i++) {
        updated += fake_node_version(&net->nodes[i], "target/live/t1") == 2;
    }
    assert_true(updated > net->node_count * 3 / 4);
    fake_net_destroy(net);
}

/* Messages sent by a balancer. */
struct sent_messages {
    size_t count[GOSSIP_KIND_END];
    uint64_t pulled_hash; /* hash of the name in the last PULL */
};

static void
on_sent_message(void *ctx, uint32_t addr, uint16_t port,
                const struct gossip_message *m)
{
    struct sent_messages *sent = ctx;

    sent->count[m->kind]++;
    if (m->kind == GOSSIP_PULL) {
        assert_int_equal(m->version_count, 1);
        sent->pulled_hash = m->versions[0].name_hash;
    }
}

static void
on_applied(void *ctx, const struct resource *r, uint64_t revision)
{
}

static void
on_completed(void *ctx, uint64_t revision)
{
}

static void
on_floors_raised(void *ctx)
{
}

/* A balancer that receives a list of versions sends the resources that the
 * peer lacks and pulls those that it lacks itself. It neither sends nor pulls
 * resources whose versions are equal. */
static void
test_version_list_is_answered(void **state)
{
    struct fake_net *net = start_network(1, 1, SEED);
    struct fake_node *node = &net->nodes[0];
    struct sent_messages sent = {{0}};
    const struct config_sync_callbacks cb = {
        on_sent_message, on_applied, on_completed, on_floors_raised, &sent};
    struct config_sync *sync =
        config_sync_new(node->config, node->members, &node->min_revisions, &cb,
                        &node->random, net->now);
    struct gossip_message *m = calloc(1, sizeof(*m));

    m->kind = GOSSIP_VERSIONS;
    m->floor_sum = domain_min_revisions_sum(&node->min_revisions);
    m->version_count = 2;
    m->versions[0] = (struct gossip_version){id_hash("service/live"), 1};
    m->versions[1] = (struct gossip_version){id_hash("target/live/t9"), 1};
    config_sync_receive(sync, m, net->now);
    assert_int_equal(sent.count[GOSSIP_DELTA], 1);
    assert_int_equal(sent.count[GOSSIP_PULL], 1);
    assert_int_equal(sent.pulled_hash, id_hash("target/live/t9"));
    free(m);
    config_sync_destroy(sync);
    fake_net_destroy(net);
}

/* All balancers of a failure domain restart while the store is down. They get
 * the newest versions, including tombstones, from the other domain. */
static void
test_domain_restarts_in_outage(void **state)
{
    struct fake_net *net = start_network(16, 2, SEED);

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
    assert_true(fake_net_configs_equal(net));
    assert_true(all_have_version(net, "target/live/t2", 4));
    assert_true(fake_net_has_applied(net, "", net->store_revision));
    fake_net_destroy(net);
}

/* The balancers of a failure domain that can reach their peers but not the
 * store apply a change within APPLY_MAX_US. */
static void
test_domain_without_store(void **state)
{
    struct fake_net *net = start_network(16, 4, SEED);
    uint64_t revision;

    for (size_t i = 0; i < net->node_count; i += 4) {
        net->nodes[i].store_unreachable = true;
    }
    fake_net_run(net, SETTLE_US);
    revision = write_target(net, "t1", 2, false);
    assert_true(fake_net_run_until_applied(net, revision, APPLY_MAX_US) <=
                APPLY_MAX_US);
    fake_net_destroy(net);
}

/* During a network partition the store accepts changes, one of them a
 * deletion, each of which reaches only one side. After the partition every
 * balancer has all of them. */
static void
test_changes_during_partition(void **state)
{
    struct fake_net *net = start_network(12, 2, SEED);
    struct resource r = make_target("live", "t1", 2, 7, true);

    for (size_t i = 0; i < net->node_count; i++) {
        net->nodes[i].partition = i % 2;
        net->nodes[i].store_unreachable = i % 2 == 1;
    }
    fake_net_run(net, 30 * USEC_PER_SEC);
    write_target(net, "t2", 1, false);
    /* This write was made through a balancer on the other side. */
    assert_int_equal(config_sync_offer(net->nodes[5].config_sync, &r, 4),
                     CONFIG_APPLIED);
    fake_net_run(net, SETTLE_US);
    assert_int_equal(fake_node_version(&net->nodes[0], "target/live/t1"), 1);
    assert_int_equal(fake_node_version(&net->nodes[1], "target/live/t1"), 2);
    assert_int_equal(fake_node_version(&net->nodes[1], "target/live/t2"), 0);
    /* The other side lacks a change, so it does not report the revision of a
     * later change as applied. */
    assert_int_equal(net->nodes[1].applied, 2);
    for (size_t i = 0; i < net->node_count; i++) {
        net->nodes[i].partition = 0;
    }
    fake_net_run(net, 20 * USEC_PER_SEC);
    assert_true(fake_net_configs_equal(net));
    assert_true(all_have_version(net, "target/live/t1", 2));
    assert_true(all_have_version(net, "target/live/t2", 1));
    fake_net_destroy(net);
}

/* A balancer without a connection to the store and to its peers keeps its
 * configuration, and catches up once it is connected again. */
static void
test_isolated_balancer(void **state)
{
    struct fake_net *net = start_network(8, 2, SEED);
    struct fake_node *isolated = &net->nodes[3];

    isolated->partition = 1;
    isolated->store_unreachable = true;
    write_target(net, "t1", 2, false);
    fake_net_run(net, 30 * USEC_PER_SEC);
    assert_int_equal(fake_node_version(isolated, "target/live/t1"), 1);
    assert_int_equal(isolated->applied, 2);
    assert_true(membership_isolated(isolated->members, net->now));
    isolated->partition = 0;
    isolated->store_unreachable = false;
    fake_net_run(net, SETTLE_US);
    assert_int_equal(fake_node_version(isolated, "target/live/t1"), 2);
    assert_int_equal(isolated->applied, 3);
    fake_net_destroy(net);
}

/* Both watchers of a failure domain are paused while the domain is cut off
 * from the other one. Other balancers of the domain replace them. When they
 * resume they catch up, and their old versions do not replace newer ones. */
static void
test_paused_watchers(void **state)
{
    struct fake_net *net = start_network(16, 2, SEED);
    uint64_t revision;
    uint64_t start_us;

    for (size_t i = 0; i < net->node_count; i++) {
        net->nodes[i].partition = i % 2;
        net->nodes[i].frozen = i % 2 == 0 && net->nodes[i].watching;
    }
    revision = write_target(net, "t1", 2, true);
    start_us = net->now;
    for (size_t i = 0; i < net->node_count; i += 2) {
        while (!net->nodes[i].frozen && net->nodes[i].applied < revision &&
               net->now - start_us < REPLACE_WATCHERS_MAX_US) {
            fake_net_run(net, 100 * USEC_PER_MSEC);
        }
        assert_true(net->nodes[i].frozen || net->nodes[i].applied >= revision);
    }
    for (size_t i = 0; i < net->node_count; i++) {
        net->nodes[i].partition = 0;
        net->nodes[i].frozen = false;
    }
    assert_true(fake_net_run_until_applied(net, revision, APPLY_MAX_US) <=
                APPLY_MAX_US);
    assert_true(all_have_version(net, "target/live/t1", 2));
    fake_net_destroy(net);
}

/* A message that was sent to a balancer before a change, and was in its socket
 * while it was paused, has the checksum of its old configuration. The
 * configuration must count as refreshed only after a peer has answered a
 * request that was sent after the pause. */
static void
test_refresh_needs_new_answer(void **state)
{
    struct fake_net *net = start_network(8, 2, SEED);
    struct fake_node *node = &net->nodes[4];
    struct gossip_message *stale = calloc(1, sizeof(*stale));

    stale->kind = GOSSIP_PING;
    stale->sender = net->nodes[2].self;
    config_sync_fill_summary(node->config_sync, stale);
    net->loss = 1;
    write_target(net, "t1", 2, false);
    config_sync_request_refresh(node->config_sync, net->now);
    config_sync_receive(node->config_sync, stale, net->now);
    assert_false(config_sync_is_refreshed(node->config_sync));
    fake_net_run(net, USEC_PER_SEC);
    assert_false(config_sync_is_refreshed(node->config_sync));
    net->loss = 0;
    for (int i = 0; i < 100 && !config_sync_is_refreshed(node->config_sync);
         i++) {
        fake_net_run(net, 10 * USEC_PER_MSEC);
    }
    assert_true(config_sync_is_refreshed(node->config_sync));
    assert_int_equal(fake_node_version(node, "target/live/t1"), 2);
    free(stale);
    fake_net_destroy(net);
}

/* A store that returns with older versions replaces no version of any
 * balancer, and a resource read from it does not make the configuration
 * complete up to a higher revision. */
static void
test_store_with_older_versions(void **state)
{
    struct fake_net *net = start_network(8, 2, SEED);
    struct resource old = make_target("live", "t1", 1, 7, false);
    struct resource added = make_target("live", "t3", 1, 9, false);

    write_target(net, "t1", 3, false);
    fake_net_run(net, SETTLE_US);
    net->store_down = true;
    for (size_t i = 0; i < net->node_count; i++) {
        assert_int_equal(config_sync_offer(net->nodes[i].config_sync, &old, 2),
                         CONFIG_OLDER);
    }
    /* A resource that is only in the returned store is stored, but it does not
     * raise the revision up to which the configuration is complete. */
    config_sync_offer(net->nodes[0].config_sync, &added,
                      CONFIG_REVISION_UNKNOWN);
    fake_net_run(net, SETTLE_US);
    assert_true(all_have_version(net, "target/live/t1", 3));
    assert_true(all_have_version(net, "target/live/t3", 1));
    for (size_t i = 0; i < net->node_count; i++) {
        assert_int_equal(config_sync_revision(net->nodes[i].config_sync), 3);
        assert_int_equal(config_store_revision(net->nodes[i].config), 3);
    }
    fake_net_destroy(net);
}

/* A balancer that starts while the store is down gets BULK_RESOURCES resources
 * from its peers, in messages of bounded size. */
static void
test_bulk_from_peers(void **state)
{
    struct fake_net *net = fake_net_new(4, 1, SEED);
    uint64_t revision = 0;

    for (int i = 0; i < BULK_RESOURCES; i++) {
        char id[ID_SIZE];

        snprintf(id, sizeof(id), "t%d", i);
        revision = write_target(net, id, 1, false);
    }
    for (size_t i = 0; i < 3; i++) {
        fake_net_start(net, i);
    }
    fake_net_run(net, BULK_APPLY_MAX_US);
    assert_true(fake_net_has_applied(net, "", revision));
    net->store_down = true;
    fake_net_start(net, 3);
    assert_true(fake_net_run_until_applied(net, revision, BULK_APPLY_MAX_US) <=
                APPLY_MAX_US);
    assert_int_equal(config_store_count(net->nodes[3].config), BULK_RESOURCES);
    /* It pulls the resources, but does not push them back to its peers. */
    assert_true(net->nodes[3].bytes_out < net->nodes[3].bytes_in / 4);
    fake_net_destroy(net);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_change_is_applied_everywhere),
        cmocka_unit_test(test_push_precedes_comparison),
        cmocka_unit_test(test_version_list_is_answered),
        cmocka_unit_test(test_domain_restarts_in_outage),
        cmocka_unit_test(test_domain_without_store),
        cmocka_unit_test(test_changes_during_partition),
        cmocka_unit_test(test_isolated_balancer),
        cmocka_unit_test(test_paused_watchers),
        cmocka_unit_test(test_refresh_needs_new_answer),
        cmocka_unit_test(test_store_with_older_versions),
        cmocka_unit_test(test_bulk_from_peers),
    };

    print_message("seed %d\n", SEED);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
