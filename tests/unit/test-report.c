#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <stdlib.h>

#include <cmocka.h>

#include "base/clock.h"
#include "config-fixture.h"
#include "fake-net.h"
#include "protocol/domain-status-json.h"

#define SEED 20240613
/* Time within which the balancers join and apply the first configuration */
#define SETTLE_US (15 * USEC_PER_SEC)
/* Time within which a change is shown in the status */
#define STATUS_US (4 * USEC_PER_SEC)
/* Time within which a failed or resumed balancer is detected and shown in the
 * status */
#define DETECT_US (15 * USEC_PER_SEC)
/* Number of balancers in a domain that is too large for direct reports */
#define LARGE_DOMAIN_SIZE 200
/* Duration of a run without any change */
#define IDLE_US (50 * USEC_PER_SEC)

static uint64_t
write_service(struct fake_net *net, uint64_t version)
{
    struct resource r = make_service("live", version, "d0,d1");

    return fake_net_write(net, &r);
}

static uint64_t
write_host(struct fake_net *net, const char *id, uint64_t version,
           enum admin_state state, bool deleted)
{
    struct resource r = {
        .kind = RESOURCE_HOST, .version = version, .deleted = deleted};

    snprintf(r.id, sizeof(r.id), "%s", id);
    snprintf(r.host.domain, sizeof(r.host.domain), "d0");
    r.host.state = state;
    return fake_net_write(net, &r);
}

static struct fake_net *
start_net(size_t nodes, uint64_t seed)
{
    struct fake_net *net = fake_net_new(nodes, 2, seed);

    write_service(net, 1);
    fake_net_start_all(net);
    fake_net_run(net, SETTLE_US);
    return net;
}

static const struct domain_status *
status_of(const struct fake_net *net, const char *domain)
{
    const struct domain_status *s = fake_net_status(net, domain);

    assert_non_null(s);
    return s;
}

/* Returns the index of the running node that is the reporter of domain d0. */
static size_t
reporter_of_d0(const struct fake_net *net)
{
    for (size_t i = 0; i < net->node_count; i++) {
        if (net->nodes[i].running && !net->nodes[i].frozen &&
            strcmp(net->nodes[i].self.domain, "d0") == 0 &&
            report_is_reporter(net->nodes[i].report)) {
            return i;
        }
    }
    fail();
    return 0;
}

/* Returns the index of a node of domain d0 that is not the reporter. */
static size_t
non_reporter_of_d0(const struct fake_net *net)
{
    return reporter_of_d0(net) == 2 ? 4 : 2;
}

/* When all balancers have applied a change, the status in the store shows its
 * revision, and every balancer has it as the minimum revision of both domains.
 * Without a change the status is written only at its long interval. */
static void
test_applied_everywhere(void **state)
{
    const double losses[] = {0, 0.1, 0.3}; /* share of lost messages */

    for (size_t c = 0; c < sizeof(losses) / sizeof(*losses); c++) {
        struct fake_net *net = start_net(12, SEED + c);
        uint64_t revision;
        uint64_t writes;

        net->loss = losses[c];
        revision = write_service(net, 2);
        fake_net_run(net, losses[c] == 0 ? STATUS_US : 2 * STATUS_US);
        assert_int_equal(status_of(net, "d0")->floor, revision);
        assert_int_equal(status_of(net, "d1")->floor, revision);
        assert_int_equal(status_of(net, "d0")->members, 6);
        for (size_t i = 0; i < net->node_count; i++) {
            assert_int_equal(
                domain_min_revisions_get(&net->nodes[i].min_revisions, "d0"),
                revision);
            assert_int_equal(
                domain_min_revisions_get(&net->nodes[i].min_revisions, "d1"),
                revision);
        }
        writes = net->status_writes;
        if (losses[c] == 0) {
            fake_net_run(net, IDLE_US);
            /* Each domain may repeat its status once, at the long interval. */
            assert_true(net->status_writes <= writes + 2);
        }
        fake_net_destroy(net);
    }
}

/* A balancer whose data task does not apply a change is listed in the status,
 * with the time since which it has lacked the change. The status also shows
 * that all others have applied the change. */
static void
test_balancer_that_does_not_apply(void **state)
{
    struct fake_net *net = start_net(12, SEED);
    size_t lagging = non_reporter_of_d0(net);
    uint64_t before = net->store_revision;
    uint64_t revision;
    const struct domain_status *s;

    net->nodes[lagging].apply_delay_us = UINT64_MAX;
    revision = write_service(net, 2);
    fake_net_run(net, STATUS_US);
    s = status_of(net, "d0");
    assert_int_equal(s->floor, before);
    assert_int_equal(s->others, revision);
    assert_int_equal(s->waiting_count, 1);
    assert_string_equal(s->waiting[0].host, net->nodes[lagging].self.id);
    assert_int_equal(s->waiting[0].applied, before);
    assert_int_equal(s->waiting[0].state, MEMBER_ALIVE);
    assert_true(s->waiting[0].since_us > 0);
    assert_true(s->time_us - s->waiting[0].since_us <= STATUS_US);
    assert_int_equal(status_of(net, "d1")->floor, revision);
    fake_net_destroy(net);
}

/* What ends the wait for a balancer */
enum ending {
    ENDING_RESUMES,
    ENDING_RESTARTS,
    ENDING_LEAVES,
    ENDING_DECLARED_REMOVED,
    ENDING_DECLARED_DRAINING,
};

struct dead_case {
    const char *name;
    bool suspend; /* suspend the balancer; false: kill it */
    enum ending ending;
};

/* The domain waits for a dead balancer until it reports again or its host is
 * declared removed or draining, but not for one that has left in a planned
 * stop. Meanwhile the minimum revision of the domain does not rise, so that
 * the address of a removed target stays in quarantine. */
static void
test_dead_balancer(void **state)
{
    const struct dead_case cases[] = {
        {"suspended, resumes", true, ENDING_RESUMES},
        {"killed, restarts", false, ENDING_RESTARTS},
        {"planned stop", false, ENDING_LEAVES},
        {"killed, declared removed", false, ENDING_DECLARED_REMOVED},
        {"killed, declared draining", false, ENDING_DECLARED_DRAINING},
    };

    for (size_t c = 0; c < sizeof(cases) / sizeof(*cases); c++) {
        struct fake_net *net = start_net(12, SEED + c);
        size_t dead = non_reporter_of_d0(net);
        const char *id = net->nodes[dead].self.id;
        uint64_t before;
        uint64_t revision;
        const struct domain_status *s;

        print_message("%s\n", cases[c].name);
        before = write_host(net, id, 1, ADMIN_ACTIVE, false);
        fake_net_run(net, STATUS_US);
        if (cases[c].ending == ENDING_LEAVES) {
            membership_leave(net->nodes[dead].members, net->now);
            fake_net_run(net, 100 * USEC_PER_MSEC);
        }
        if (cases[c].suspend) {
            net->nodes[dead].frozen = true;
        }
        else {
            fake_net_kill(net, dead);
        }
        revision = write_service(net, 2);
        fake_net_run(net, DETECT_US);
        s = status_of(net, "d0");
        if (cases[c].ending != ENDING_LEAVES) {
            assert_int_equal(s->floor, before);
            assert_int_equal(s->others, revision);
            assert_int_equal(s->waiting_count, 1);
            assert_string_equal(s->waiting[0].host, id);
            assert_int_equal(s->waiting[0].state, MEMBER_DEAD);
            fake_net_run(net, 120 * USEC_PER_SEC);
            assert_int_equal(
                domain_min_revisions_get(
                    &net->nodes[reporter_of_d0(net)].min_revisions, "d0"),
                before);
        }
        net->nodes[dead].frozen = false;
        if (cases[c].ending == ENDING_RESTARTS) {
            fake_net_start(net, dead);
        }
        if (cases[c].ending == ENDING_DECLARED_REMOVED) {
            revision = write_host(net, id, 2, ADMIN_ACTIVE, true);
        }
        if (cases[c].ending == ENDING_DECLARED_DRAINING) {
            revision = write_host(net, id, 2, ADMIN_DRAINING, false);
        }
        fake_net_run(net, DETECT_US);
        assert_int_equal(status_of(net, "d0")->floor, revision);
        assert_int_equal(status_of(net, "d0")->waiting_count, 0);
        fake_net_destroy(net);
    }
}

/* In a domain that is too large for direct reports, the reports are sent
 * through collectors. All arrive, also when messages are lost and balancers
 * are killed, and the reporter receives far fewer messages with reports than
 * there are members. */
static void
test_collectors(void **state)
{
    struct fake_net *net = fake_net_new(LARGE_DOMAIN_SIZE, 1, SEED);
    uint64_t before;
    size_t reporter;
    uint64_t revision;

    write_service(net, 1);
    fake_net_start_all(net);
    fake_net_run(net, 2 * SETTLE_US);
    before = status_of(net, "d0")->floor;
    assert_int_equal(before, 1);
    reporter = reporter_of_d0(net);
    revision = write_service(net, 2);
    net->nodes[reporter].reports_received = 0;
    fake_net_run(net, STATUS_US);
    assert_int_equal(status_of(net, "d0")->floor, revision);
    assert_true(net->nodes[reporter].reports_received < LARGE_DOMAIN_SIZE / 2);

    net->loss = 0.1;
    for (size_t i = 0; i < LARGE_DOMAIN_SIZE; i += 8) {
        if (i != reporter) {
            fake_net_kill(net, i);
        }
    }
    revision = write_service(net, 3);
    fake_net_run(net, 2 * DETECT_US);
    assert_int_equal(status_of(net, "d0")->floor, 2);
    assert_int_equal(status_of(net, "d0")->others, revision);
    for (size_t i = 0; i < LARGE_DOMAIN_SIZE; i += 8) {
        if (i != reporter) {
            fake_net_start(net, i);
        }
    }
    net->loss = 0;
    fake_net_run(net, 2 * DETECT_US);
    assert_int_equal(status_of(net, "d0")->floor, revision);
    fake_net_destroy(net);
}

/* When the reporter is killed, the next member by rank becomes the reporter
 * and waits for the previous one. */
static void
test_reporter_killed(void **state)
{
    struct fake_net *net = start_net(12, SEED);
    size_t old_reporter = reporter_of_d0(net);
    uint64_t revision;

    fake_net_kill(net, old_reporter);
    fake_net_run(net, DETECT_US);
    revision = write_service(net, 2);
    fake_net_run(net, STATUS_US);
    assert_int_not_equal(reporter_of_d0(net), old_reporter);
    assert_int_equal(status_of(net, "d0")->others, revision);
    assert_int_equal(status_of(net, "d0")->waiting_count, 1);
    assert_string_equal(status_of(net, "d0")->waiting[0].host,
                        net->nodes[old_reporter].self.id);
    fake_net_start(net, old_reporter);
    fake_net_run(net, DETECT_US);
    assert_int_equal(status_of(net, "d0")->floor, revision);
    fake_net_destroy(net);
}

/* The revision that a process has reported does not count for the next process
 * of its host. */
static void
test_restart_discards_report(void **state)
{
    struct fake_net *net = start_net(12, SEED);
    size_t restarted = non_reporter_of_d0(net);
    const struct domain_status *s;

    fake_net_kill(net, restarted);
    net->nodes[restarted].apply_delay_us = UINT64_MAX;
    fake_net_start(net, restarted);
    fake_net_run(net, STATUS_US);
    s = status_of(net, "d0");
    assert_int_equal(s->waiting_count, 1);
    assert_string_equal(s->waiting[0].host, net->nodes[restarted].self.id);
    assert_false(s->waiting[0].reported);
    fake_net_destroy(net);
}

/* All other balancers restart while one cannot be reached. They have never
 * received a message from it, but wait for it because its host is declared. */
static void
test_declared_host_never_seen(void **state)
{
    struct fake_net *net = start_net(12, SEED);
    size_t unreachable = non_reporter_of_d0(net);
    uint64_t before = write_host(net, net->nodes[unreachable].self.id, 1,
                                 ADMIN_ACTIVE, false);

    fake_net_run(net, STATUS_US);
    net->nodes[unreachable].partition = 1;
    net->nodes[unreachable].store_unreachable = true;
    for (size_t i = 0; i < net->node_count; i++) {
        if (i != unreachable) {
            fake_net_kill(net, i);
            fake_net_start(net, i);
        }
    }
    fake_net_run(net, 2 * SETTLE_US);
    write_service(net, 2);
    fake_net_run(net, 2 * SETTLE_US);
    assert_int_equal(status_of(net, "d0")->floor, before);
    assert_int_equal(status_of(net, "d0")->waiting_count, 1);
    assert_false(status_of(net, "d0")->waiting[0].reported);
    fake_net_destroy(net);
}

/* While the store is down, the minimum revisions are still sent to every
 * balancer, so that the quarantine of an address can end. */
static void
test_min_revisions_without_store(void **state)
{
    struct fake_net *net = start_net(12, SEED);
    struct resource r = make_service("live", 2, "d0,d1");

    net->store_down = true;
    /* The write was accepted before the failure, and only one balancer has
     * received it. */
    config_sync_offer(net->nodes[1].config_sync, &r, 2);
    config_sync_mark_complete(net->nodes[1].config_sync);
    fake_net_run(net, DETECT_US);
    for (size_t i = 0; i < net->node_count; i++) {
        assert_int_equal(
            domain_min_revisions_get(&net->nodes[i].min_revisions, "d0"), 2);
        assert_int_equal(
            domain_min_revisions_get(&net->nodes[i].min_revisions, "d1"), 2);
    }
    fake_net_destroy(net);
}

static void
test_status_json(void **state)
{
    struct domain_status s = {.time_us = 1700000000000001ULL,
                              .floor = 5,
                              .others = 9,
                              .revision = 10,
                              .members = 875,
                              .waiting_count = 1,
                              .waiting_more = 3};
    struct domain_status got;
    char *text;

    snprintf(s.domain, sizeof(s.domain), "karen");
    snprintf(s.writer, sizeof(s.writer), "h1");
    snprintf(s.waiting[0].host, sizeof(s.waiting[0].host), "h2");
    s.waiting[0].state = MEMBER_DEAD;
    s.waiting[0].reported = true;
    s.waiting[0].applied = 5;
    s.waiting[0].since_us = 1700000000000000ULL;
    text = domain_status_json_build(&s);
    assert_non_null(text);
    assert_true(domain_status_json_parse(&got, text, strlen(text)));
    assert_memory_equal(&got, &s, sizeof(s));
    assert_false(domain_status_json_parse(&got, text, strlen(text) - 1));
    assert_false(domain_status_json_parse(&got, "{}", 2));
    free(text);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_applied_everywhere),
        cmocka_unit_test(test_balancer_that_does_not_apply),
        cmocka_unit_test(test_dead_balancer),
        cmocka_unit_test(test_collectors),
        cmocka_unit_test(test_reporter_killed),
        cmocka_unit_test(test_restart_discards_report),
        cmocka_unit_test(test_declared_host_never_seen),
        cmocka_unit_test(test_min_revisions_without_store),
        cmocka_unit_test(test_status_json),
    };

    print_message("seed %d\n", SEED);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
