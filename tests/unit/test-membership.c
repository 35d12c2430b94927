#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "coordination/neighbors.h"
#include "fake-net.h"

#define SEED 20240611
/* Detection by ping, probe and suspicion, and the news of it. */
#define DETECT_US (12 * USEC_PER_SEC)

static enum member_state
state_at(const struct fake_net *net, size_t observer, size_t subject)
{
    const struct member *m =
        member_table_find(membership_table(net->nodes[observer].ms),
                          net->nodes[subject].self.id);

    assert_non_null(m);
    return m->info.state;
}

/* Asserts what all other running nodes of its domain hold of a node. */
static void
assert_all_hold(const struct fake_net *net, size_t subject,
                enum member_state state)
{
    for (size_t i = 0; i < net->node_count; i++) {
        const struct fake_node *node = &net->nodes[i];

        if (i != subject && node->running &&
            strcmp(node->self.domain, net->nodes[subject].self.domain) == 0) {
            assert_int_equal(state_at(net, i, subject), state);
        }
    }
}

/* The members reached from one by heartbeats, over all nodes. */
static size_t
count_reached(const struct fake_net *net)
{
    bool reached[FAKE_NODES_MAX] = {true};
    size_t count = 1;
    bool grown = true;

    while (grown) {
        grown = false;
        for (size_t i = 0; i < net->node_count; i++) {
            list_for_each (it, &membership_table(net->nodes[i].ms)->all) {
                const struct member *m = container_of(it, struct member, link);
                size_t k = m->info.addr - net->nodes[0].self.addr;

                if (m->neighbor && reached[i] != reached[k]) {
                    reached[i] = true;
                    reached[k] = true;
                    count++;
                    grown = true;
                }
            }
        }
    }
    return count;
}

struct size_case {
    size_t nodes;
    size_t domains;
};

/* Everybody finds everybody of its domain through the seeds, the heartbeats
 * join all nodes, and neither neighbours nor samples grow with the fleet. */
static void
test_join(void **state)
{
    const struct size_case cases[] = {
        {2, 1}, {8, 4}, {7, 3}, {60, 4}, {120, 2}};

    for (size_t c = 0; c < sizeof(cases) / sizeof(*cases); c++) {
        struct fake_net *net =
            fake_net_new(cases[c].nodes, cases[c].domains, SEED + c);

        fake_net_start_all(net);
        fake_net_run(net, 10 * USEC_PER_SEC);
        for (size_t i = 0; i < net->node_count; i++) {
            const struct member_table *table =
                membership_table(net->nodes[i].ms);
            size_t local = member_table_count(table, MEMBER_ALIVE, true);
            size_t neighbors = 0;
            size_t expected = 0;

            for (size_t k = 0; k < net->node_count; k++) {
                expected += k != i && strcmp(net->nodes[k].self.domain,
                                             net->nodes[i].self.domain) == 0;
            }
            list_for_each (it, &table->all) {
                neighbors += container_of(it, struct member, link)->neighbor;
            }
            assert_int_equal(local, expected);
            assert_true(neighbors <= NEIGHBORS_MAX);
            assert_true(table->count <= expected + cases[c].domains * 8);
        }
        assert_int_equal(count_reached(net), net->node_count);
        fake_net_destroy(net);
    }
}

struct fault_case {
    const char *name;
    bool kill;
    bool freeze;
    bool leave;
    double loss;
    enum member_state expected;
};

/* A process that ends without a word, stands still or leaves on purpose is
 * told apart by all members of its domain, also when messages are lost. */
static void
test_detect(void **state)
{
    const struct fault_case cases[] = {
        {"killed", true, false, false, 0, MEMBER_DEAD},
        {"killed, loss", true, false, false, 0.1, MEMBER_DEAD},
        {"frozen", false, true, false, 0, MEMBER_DEAD},
        {"left", false, false, true, 0, MEMBER_LEFT},
        {"left, loss", false, false, true, 0.1, MEMBER_LEFT},
        {"nothing, loss", false, false, false, 0.1, MEMBER_ALIVE},
    };

    for (size_t c = 0; c < sizeof(cases) / sizeof(*cases); c++) {
        struct fake_net *net = fake_net_new(24, 2, SEED + c);

        print_message("%s\n", cases[c].name);
        fake_net_start_all(net);
        fake_net_run(net, 10 * USEC_PER_SEC);
        net->loss = cases[c].loss;
        if (cases[c].leave) {
            membership_leave(net->nodes[6].ms, net->now);
            fake_net_run(net, 100 * USEC_PER_MSEC);
        }
        if (cases[c].kill || cases[c].leave) {
            fake_net_kill(net, 6);
        }
        net->nodes[6].frozen = cases[c].freeze;
        fake_net_run(net, DETECT_US);
        if (cases[c].expected == MEMBER_ALIVE) {
            /* Losses may bring suspicion, but refutation ends it. */
            net->loss = 0;
            fake_net_run(net, 5 * USEC_PER_SEC);
        }
        assert_all_hold(net, 6, cases[c].expected);
        fake_net_destroy(net);
    }
}

/* A thawed process notices its pause, refutes what was said of it meanwhile
 * and suspects nobody for its own absence. */
static void
test_thaw(void **state)
{
    struct fake_net *net = fake_net_new(12, 2, SEED);

    fake_net_start_all(net);
    fake_net_run(net, 10 * USEC_PER_SEC);
    net->nodes[4].frozen = true;
    fake_net_run(net, 20 * USEC_PER_SEC);
    assert_all_hold(net, 4, MEMBER_DEAD);
    net->nodes[4].frozen = false;
    fake_net_run(net, 5 * USEC_PER_SEC);
    assert_int_equal(net->nodes[4].pauses, 1);
    assert_all_hold(net, 4, MEMBER_ALIVE);
    for (size_t i = 0; i < net->node_count; i += 2) {
        assert_true(i == 4 || state_at(net, 4, i) == MEMBER_ALIVE);
    }
    assert_true(config_sync_is_refreshed(net->nodes[4].sp));
    fake_net_destroy(net);
}

/* After a cut between two domains, however long, they find each other
 * again. */
static void
test_cut_heals(void **state)
{
    struct fake_net *net = fake_net_new(8, 2, SEED);

    fake_net_start_all(net);
    fake_net_run(net, 10 * USEC_PER_SEC);
    for (size_t i = 0; i < net->node_count; i++) {
        net->nodes[i].side = i % 2;
    }
    fake_net_run(net, 120 * USEC_PER_SEC);
    for (size_t i = 0; i < net->node_count; i++) {
        assert_int_equal(member_table_count(membership_table(net->nodes[i].ms),
                                            MEMBER_ALIVE, false),
                         0);
        assert_false(membership_isolated(net->nodes[i].ms, net->now));
        net->nodes[i].side = 0;
    }
    fake_net_run(net, 30 * USEC_PER_SEC);
    for (size_t i = 0; i < net->node_count; i++) {
        assert_true(member_table_count(membership_table(net->nodes[i].ms),
                                       MEMBER_ALIVE, false) > 0);
    }
    fake_net_destroy(net);
}

/* A balancer that joins does not pass on everything that it was told: that
 * would hold up news for minutes in a large domain. */
static void
test_join_is_quiet(void **state)
{
    struct fake_net *net = fake_net_new(60, 1, SEED);
    size_t rumors = 0;

    for (size_t i = 0; i < 59; i++) {
        fake_net_start(net, i);
    }
    fake_net_run(net, 60 * USEC_PER_SEC);
    fake_net_start(net, 59);
    fake_net_run(net, 3 * USEC_PER_SEC);
    list_for_each (it, &membership_table(net->nodes[59].ms)->all) {
        rumors += container_of(it, struct member, link)->rumors > 0;
    }
    assert_int_equal(membership_table(net->nodes[59].ms)->count, 59);
    assert_true(rumors < 10);
    assert_all_hold(net, 59, MEMBER_ALIVE);
    fake_net_destroy(net);
}

/* One cut from all says so; a process restarted under the same id replaces
 * the one before. */
static void
test_isolation_and_restart(void **state)
{
    struct fake_net *net = fake_net_new(6, 1, SEED);

    fake_net_start_all(net);
    fake_net_run(net, 10 * USEC_PER_SEC);
    net->nodes[2].side = 1;
    fake_net_run(net, 20 * USEC_PER_SEC);
    assert_true(membership_isolated(net->nodes[2].ms, net->now));
    assert_all_hold(net, 2, MEMBER_DEAD);
    fake_net_kill(net, 2);
    net->nodes[2].side = 0;
    fake_net_start(net, 2);
    fake_net_run(net, 5 * USEC_PER_SEC);
    assert_false(membership_isolated(net->nodes[2].ms, net->now));
    assert_all_hold(net, 2, MEMBER_ALIVE);
    fake_net_destroy(net);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_join),
        cmocka_unit_test(test_detect),
        cmocka_unit_test(test_thaw),
        cmocka_unit_test(test_cut_heals),
        cmocka_unit_test(test_join_is_quiet),
        cmocka_unit_test(test_isolation_and_restart),
    };

    print_message("seed %d\n", SEED);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
