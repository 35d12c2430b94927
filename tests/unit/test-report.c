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
#define SETTLE_US (15 * USEC_PER_SEC)
#define SHOWN_US (4 * USEC_PER_SEC)
#define DETECT_US (15 * USEC_PER_SEC)
#define LARGE 200 /* balancers, more than report directly */
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
start(size_t nodes, uint64_t seed)
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

/* Returns the index of the node of domain d0 that reports. */
static size_t
reporter_of_d0(const struct fake_net *net)
{
    for (size_t i = 0; i < net->node_count; i++) {
        if (net->nodes[i].running && !net->nodes[i].frozen &&
            strcmp(net->nodes[i].self.domain, "d0") == 0 &&
            report_is_reporter(net->nodes[i].rp)) {
            return i;
        }
    }
    fail();
    return 0;
}

/* A member of d0 other than the reporter. */
static size_t
other_of_d0(const struct fake_net *net)
{
    return reporter_of_d0(net) == 2 ? 4 : 2;
}

/* A change is shown in force in the store and known to be so by every
 * balancer; an idle fleet does not write. */
static void
test_in_force(void **state)
{
    const double losses[] = {0, 0.1, 0.3};

    for (size_t c = 0; c < sizeof(losses) / sizeof(*losses); c++) {
        struct fake_net *net = start(12, SEED + c);
        uint64_t revision;
        uint64_t writes;

        net->loss = losses[c];
        revision = write_service(net, 2);
        fake_net_run(net, losses[c] == 0 ? SHOWN_US : 2 * SHOWN_US);
        assert_int_equal(status_of(net, "d0")->floor, revision);
        assert_int_equal(status_of(net, "d1")->floor, revision);
        assert_int_equal(status_of(net, "d0")->members, 6);
        for (size_t i = 0; i < net->node_count; i++) {
            assert_int_equal(
                domain_min_revisions_get(&net->nodes[i].floors, "d0"),
                revision);
            assert_int_equal(
                domain_min_revisions_get(&net->nodes[i].floors, "d1"),
                revision);
        }
        writes = net->status_writes;
        if (losses[c] == 0) {
            fake_net_run(net, IDLE_US);
            /* At most the refresh at the long interval. */
            assert_true(net->status_writes <= writes + 2);
        }
        fake_net_destroy(net);
    }
}

/* A balancer whose data task does not take the change is named, with the time
 * since when it is waited for; the others are said to be done. */
static void
test_lagging(void **state)
{
    struct fake_net *net = start(12, SEED);
    size_t slow = other_of_d0(net);
    uint64_t before = net->store_revision;
    uint64_t revision;
    const struct domain_status *s;

    net->nodes[slow].apply_delay_us = UINT64_MAX;
    revision = write_service(net, 2);
    fake_net_run(net, SHOWN_US);
    s = status_of(net, "d0");
    assert_int_equal(s->floor, before);
    assert_int_equal(s->others, revision);
    assert_int_equal(s->waiting_count, 1);
    assert_string_equal(s->waiting[0].host, net->nodes[slow].self.id);
    assert_int_equal(s->waiting[0].applied, before);
    assert_int_equal(s->waiting[0].state, MEMBER_ALIVE);
    assert_true(s->waiting[0].since_us > 0);
    assert_true(s->time_us - s->waiting[0].since_us <= SHOWN_US);
    assert_int_equal(status_of(net, "d1")->floor, revision);
    fake_net_destroy(net);
}

enum ending {
    ENDING_RETURNS,
    ENDING_RESTARTS,
    ENDING_LEAVES,
    ENDING_DECLARED,
    ENDING_DRAINED,
};

struct vanish_case {
    const char *name;
    bool freeze; /* else killed */
    enum ending ending;
};

/* A balancer that has vanished is waited for until it reports again or its
 * host is declared removed; one that leaves on purpose is not. The floor
 * stands still meanwhile: the address of a removed target stays in
 * quarantine. */
static void
test_vanished(void **state)
{
    const struct vanish_case cases[] = {
        {"thaws", true, ENDING_RETURNS},
        {"restarts", false, ENDING_RESTARTS},
        {"left on purpose", false, ENDING_LEAVES},
        {"declared removed", false, ENDING_DECLARED},
        {"declared draining", false, ENDING_DRAINED},
    };

    for (size_t c = 0; c < sizeof(cases) / sizeof(*cases); c++) {
        struct fake_net *net = start(12, SEED + c);
        size_t gone = other_of_d0(net);
        const char *id = net->nodes[gone].self.id;
        uint64_t before;
        uint64_t revision;
        const struct domain_status *s;

        print_message("%s\n", cases[c].name);
        before = write_host(net, id, 1, ADMIN_ACTIVE, false);
        fake_net_run(net, SHOWN_US);
        if (cases[c].ending == ENDING_LEAVES) {
            membership_leave(net->nodes[gone].ms, net->now);
            fake_net_run(net, 100 * USEC_PER_MSEC);
        }
        if (cases[c].freeze) {
            net->nodes[gone].frozen = true;
        }
        else {
            fake_net_kill(net, gone);
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
                    &net->nodes[reporter_of_d0(net)].floors, "d0"),
                before);
        }
        net->nodes[gone].frozen = false;
        if (cases[c].ending == ENDING_RESTARTS) {
            fake_net_start(net, gone);
        }
        if (cases[c].ending == ENDING_DECLARED) {
            revision = write_host(net, id, 2, ADMIN_ACTIVE, true);
        }
        if (cases[c].ending == ENDING_DRAINED) {
            revision = write_host(net, id, 2, ADMIN_DRAINING, false);
        }
        fake_net_run(net, DETECT_US);
        assert_int_equal(status_of(net, "d0")->floor, revision);
        assert_int_equal(status_of(net, "d0")->waiting_count, 0);
        fake_net_destroy(net);
    }
}

/* In a domain too large for direct reports these go by way of collectors: all
 * arrive, also when messages are lost and collectors are killed, and the
 * reporter gets far fewer reports than there are members. */
static void
test_collectors(void **state)
{
    struct fake_net *net = fake_net_new(LARGE, 1, SEED);
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
    net->nodes[reporter].reports_in = 0;
    fake_net_run(net, SHOWN_US);
    assert_int_equal(status_of(net, "d0")->floor, revision);
    assert_true(net->nodes[reporter].reports_in < LARGE / 2);

    net->loss = 0.1;
    for (size_t i = 0; i < LARGE; i += 8) {
        if (i != reporter) {
            fake_net_kill(net, i);
        }
    }
    revision = write_service(net, 3);
    fake_net_run(net, 2 * DETECT_US);
    assert_int_equal(status_of(net, "d0")->floor, 2);
    assert_int_equal(status_of(net, "d0")->others, revision);
    for (size_t i = 0; i < LARGE; i += 8) {
        if (i != reporter) {
            fake_net_start(net, i);
        }
    }
    net->loss = 0;
    fake_net_run(net, 2 * DETECT_US);
    assert_int_equal(status_of(net, "d0")->floor, revision);
    fake_net_destroy(net);
}

/* When the reporter vanishes, the next by rank goes on, and waits for it. */
static void
test_reporter_vanishes(void **state)
{
    struct fake_net *net = start(12, SEED);
    size_t old = reporter_of_d0(net);
    uint64_t revision;

    fake_net_kill(net, old);
    fake_net_run(net, DETECT_US);
    revision = write_service(net, 2);
    fake_net_run(net, SHOWN_US);
    assert_int_not_equal(reporter_of_d0(net), old);
    assert_int_equal(status_of(net, "d0")->others, revision);
    assert_int_equal(status_of(net, "d0")->waiting_count, 1);
    assert_string_equal(status_of(net, "d0")->waiting[0].host,
                        net->nodes[old].self.id);
    fake_net_start(net, old);
    fake_net_run(net, DETECT_US);
    assert_int_equal(status_of(net, "d0")->floor, revision);
    fake_net_destroy(net);
}

/* What a process had in force does not count for the next one of its host. */
static void
test_restart_voids_report(void **state)
{
    struct fake_net *net = start(12, SEED);
    size_t again = other_of_d0(net);
    const struct domain_status *s;

    fake_net_kill(net, again);
    net->nodes[again].apply_delay_us = UINT64_MAX;
    fake_net_start(net, again);
    fake_net_run(net, SHOWN_US);
    s = status_of(net, "d0");
    assert_int_equal(s->waiting_count, 1);
    assert_string_equal(s->waiting[0].host, net->nodes[again].self.id);
    assert_false(s->waiting[0].reported);
    fake_net_destroy(net);
}

/* All others of a domain restart while one is cut off: they never saw it,
 * but it is a declared host, and so is waited for. */
static void
test_declared_host_never_seen(void **state)
{
    struct fake_net *net = start(12, SEED);
    size_t cut = other_of_d0(net);
    uint64_t before =
        write_host(net, net->nodes[cut].self.id, 1, ADMIN_ACTIVE, false);

    fake_net_run(net, SHOWN_US);
    net->nodes[cut].side = 1;
    net->nodes[cut].store_cut = true;
    for (size_t i = 0; i < net->node_count; i++) {
        if (i != cut) {
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

/* The store is down: the floors still reach every balancer, so an address
 * leaves its quarantine. */
static void
test_floors_without_store(void **state)
{
    struct fake_net *net = start(12, SEED);
    struct resource r = make_service("live", 2, "d0,d1");

    net->store_down = true;
    /* Accepted just before: one balancer got to know of it. */
    config_sync_offer(net->nodes[1].sp, &r, 2);
    config_sync_mark_complete(net->nodes[1].sp);
    fake_net_run(net, DETECT_US);
    for (size_t i = 0; i < net->node_count; i++) {
        assert_int_equal(domain_min_revisions_get(&net->nodes[i].floors, "d0"),
                         2);
        assert_int_equal(domain_min_revisions_get(&net->nodes[i].floors, "d1"),
                         2);
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
        cmocka_unit_test(test_in_force),
        cmocka_unit_test(test_lagging),
        cmocka_unit_test(test_vanished),
        cmocka_unit_test(test_collectors),
        cmocka_unit_test(test_reporter_vanishes),
        cmocka_unit_test(test_restart_voids_report),
        cmocka_unit_test(test_declared_host_never_seen),
        cmocka_unit_test(test_floors_without_store),
        cmocka_unit_test(test_status_json),
    };

    print_message("seed %d\n", SEED);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
