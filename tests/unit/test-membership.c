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
/* Time within which a failure is detected by ping, probe and suspicion, and
 * all members of the domain are notified. */
#define DETECT_US (12 * USEC_PER_SEC)

static enum member_state
observed_state(const struct fake_net *net, size_t observer, size_t subject)
{
    const struct member *m =
        member_table_find(membership_table(net->nodes[observer].members),
                          net->nodes[subject].self.id);

    assert_non_null(m);
    return m->info.state;
}

/* Asserts that all other running nodes of the domain of "subject" have it in
 * the given state. */
static void
assert_observed_state(const struct fake_net *net, size_t subject,
                      enum member_state state)
{
    for (size_t i = 0; i < net->node_count; i++) {
        const struct fake_node *node = &net->nodes[i];

        if (i != subject && node->running &&
            strcmp(node->self.domain, net->nodes[subject].self.domain) == 0) {
            assert_int_equal(observed_state(net, i, subject), state);
        }
    }
}

/* Returns the number of nodes that are connected to node 0 in the undirected
 * graph of the heartbeats, node 0 included. */
static size_t
count_connected(const struct fake_net *net)
{
    bool connected[FAKE_NODE_COUNT_MAX] = {true};
    size_t count = 1;
    bool changed = true;

    while (changed) {
        changed = false;
        for (size_t i = 0; i < net->node_count; i++) {
            list_for_each (it, &membership_table(net->nodes[i].members)->all) {
                const struct member *m = container_of(it, struct member, link);
                size_t k = m->info.addr - net->nodes[0].self.addr;

                if (m->neighbor && connected[i] != connected[k]) {
                    connected[i] = true;
                    connected[k] = true;
                    count++;
                    changed = true;
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

/* Through the seeds each node finds all others of its domain, and the graph of
 * heartbeats connects all nodes. The number of neighbors and of known members
 * of other domains stays bounded however many nodes there are. */
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
                membership_table(net->nodes[i].members);
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
        assert_int_equal(count_connected(net), net->node_count);
        fake_net_destroy(net);
    }
}

struct fault_case {
    const char *name;
    bool kill;
    bool suspend;
    bool leave;  /* planned stop, announced by membership_leave() */
    double loss; /* share of lost messages, 0 to 1 */
    enum member_state expected;
};

/* All members of a domain detect that a process was killed, is suspended or
 * has left in a planned stop, and that a running process has not failed, also
 * when messages are lost. */
static void
test_detect(void **state)
{
    const struct fault_case cases[] = {
        {"killed", true, false, false, 0, MEMBER_DEAD},
        {"killed, loss", true, false, false, 0.1, MEMBER_DEAD},
        {"suspended", false, true, false, 0, MEMBER_DEAD},
        {"left", false, false, true, 0, MEMBER_LEFT},
        {"left, loss", false, false, true, 0.1, MEMBER_LEFT},
        {"no failure, loss", false, false, false, 0.1, MEMBER_ALIVE},
    };

    for (size_t c = 0; c < sizeof(cases) / sizeof(*cases); c++) {
        struct fake_net *net = fake_net_new(24, 2, SEED + c);

        print_message("%s\n", cases[c].name);
        fake_net_start_all(net);
        fake_net_run(net, 10 * USEC_PER_SEC);
        net->loss = cases[c].loss;
        if (cases[c].leave) {
            membership_leave(net->nodes[6].members, net->now);
            fake_net_run(net, 100 * USEC_PER_MSEC);
        }
        if (cases[c].kill || cases[c].leave) {
            fake_net_kill(net, 6);
        }
        net->nodes[6].frozen = cases[c].suspend;
        fake_net_run(net, DETECT_US);
        if (cases[c].expected == MEMBER_ALIVE) {
            /* Lost messages may make the node a suspect, until its refutation
             * arrives. */
            net->loss = 0;
            fake_net_run(net, 5 * USEC_PER_SEC);
        }
        assert_observed_state(net, 6, cases[c].expected);
        fake_net_destroy(net);
    }
}

/* A process that resumes after a pause of 20 s detects the pause, refutes the
 * report that it is dead, and does not suspect the members of its domain for
 * the messages that are missing because of the pause. Its configuration is
 * checked against that of its peers. */
static void
test_resume_after_pause(void **state)
{
    struct fake_net *net = fake_net_new(12, 2, SEED);

    fake_net_start_all(net);
    fake_net_run(net, 10 * USEC_PER_SEC);
    net->nodes[4].frozen = true;
    fake_net_run(net, 20 * USEC_PER_SEC);
    assert_observed_state(net, 4, MEMBER_DEAD);
    net->nodes[4].frozen = false;
    fake_net_run(net, 5 * USEC_PER_SEC);
    assert_int_equal(net->nodes[4].pauses, 1);
    assert_observed_state(net, 4, MEMBER_ALIVE);
    for (size_t i = 0; i < net->node_count; i += 2) {
        assert_true(i == 4 || observed_state(net, 4, i) == MEMBER_ALIVE);
    }
    assert_true(config_sync_is_refreshed(net->nodes[4].config_sync));
    fake_net_destroy(net);
}

/* Two domains cannot reach each other for 120 s, so that neither knows a live
 * member of the other. Afterwards they find each other again. No balancer is
 * isolated meanwhile, because those of its own domain still answer. */
static void
test_partition_between_domains(void **state)
{
    struct fake_net *net = fake_net_new(8, 2, SEED);

    fake_net_start_all(net);
    fake_net_run(net, 10 * USEC_PER_SEC);
    for (size_t i = 0; i < net->node_count; i++) {
        net->nodes[i].partition = i % 2;
    }
    fake_net_run(net, 120 * USEC_PER_SEC);
    for (size_t i = 0; i < net->node_count; i++) {
        assert_int_equal(
            member_table_count(membership_table(net->nodes[i].members),
                               MEMBER_ALIVE, false),
            0);
        assert_false(membership_isolated(net->nodes[i].members, net->now));
        net->nodes[i].partition = 0;
    }
    fake_net_run(net, 30 * USEC_PER_SEC);
    for (size_t i = 0; i < net->node_count; i++) {
        assert_true(member_table_count(membership_table(net->nodes[i].members),
                                       MEMBER_ALIVE, false) > 0);
    }
    fake_net_destroy(net);
}

/* A balancer that joins does not relay all the members that it has received:
 * in a large domain that would delay other updates for minutes. */
static void
test_join_relays_few_updates(void **state)
{
    struct fake_net *net = fake_net_new(60, 1, SEED);
    size_t rumors = 0;

    for (size_t i = 0; i < 59; i++) {
        fake_net_start(net, i);
    }
    fake_net_run(net, 60 * USEC_PER_SEC);
    fake_net_start(net, 59);
    fake_net_run(net, 3 * USEC_PER_SEC);
    list_for_each (it, &membership_table(net->nodes[59].members)->all) {
        rumors += container_of(it, struct member, link)->rumors > 0;
    }
    assert_int_equal(membership_table(net->nodes[59].members)->count, 59);
    assert_true(rumors < 10);
    assert_observed_state(net, 59, MEMBER_ALIVE);
    fake_net_destroy(net);
}

/* A balancer that reaches no other one is isolated. A process that is started
 * with the id of an earlier one replaces that one in the tables of the other
 * members. */
static void
test_isolation_and_restart(void **state)
{
    struct fake_net *net = fake_net_new(6, 1, SEED);

    fake_net_start_all(net);
    fake_net_run(net, 10 * USEC_PER_SEC);
    net->nodes[2].partition = 1;
    fake_net_run(net, 20 * USEC_PER_SEC);
    assert_true(membership_isolated(net->nodes[2].members, net->now));
    assert_observed_state(net, 2, MEMBER_DEAD);
    fake_net_kill(net, 2);
    net->nodes[2].partition = 0;
    fake_net_start(net, 2);
    fake_net_run(net, 5 * USEC_PER_SEC);
    assert_false(membership_isolated(net->nodes[2].members, net->now));
    assert_observed_state(net, 2, MEMBER_ALIVE);
    fake_net_destroy(net);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_join),
        cmocka_unit_test(test_detect),
        cmocka_unit_test(test_resume_after_pause),
        cmocka_unit_test(test_partition_between_domains),
        cmocka_unit_test(test_join_relays_few_updates),
        cmocka_unit_test(test_isolation_and_restart),
    };

    print_message("seed %d\n", SEED);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
