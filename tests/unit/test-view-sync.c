#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "base/clock.h"
#include "fake-fleet.h"
#include "protocol/snapshot-codec.h"

#define SEED 20261203
/* Time within which every balancer has to apply a change. */
#define BOUND_US (3 * USEC_PER_SEC)
/* Time after a fault of a balancer, or of its connection to the store, within
 * which this balancer may miss the bound, as promised to users. */
#define RECOVERY_US (4 * USEC_PER_SEC)
/* Time from the start of a fleet until a test acts on it. */
#define SETTLE_US (8 * USEC_PER_SEC)
/* Time for which a fleet runs after a fault. */
#define RUN_US (20 * USEC_PER_SEC)
#define FLEET_SIZE_MAX 80 /* maximum number of balancers in test_faults() */

/* Faults of the watcher, of other balancers, or of the store. */
enum fault {
    FAULT_NONE,
    FAULT_WATCHER_KILLED,   /* the watcher is killed */
    FAULT_WATCHER_PAUSED,   /* the watcher is paused for 5 s */
    FAULT_STORE_SILENT,     /* the store does not answer the watcher */
    FAULT_STORE_REFUSES,    /* the store refuses the calls of the watcher */
    FAULT_WATCHER_CUT_OFF,  /* the watcher cannot reach the other balancers */
    FAULT_WATCHER_ISOLATED, /* the watcher reaches no balancer and no store */
    /* The store answers neither the watcher nor every third balancer. */
    FAULT_THIRD_WITHOUT_STORE,
    FAULT_FLEET_SPLIT, /* two halves of the fleet cannot reach each other */
    FAULT_ALL_CUT_OFF, /* no balancer can reach another */
    /* The store compacts a change that no balancer has received. */
    FAULT_STORE_COMPACTED,
    FAULT_ALL_RESTARTED, /* all balancers restart at the same time */
    FAULT_STALE_READS,   /* all restart; stale reads lack 5 revisions */
    FAULT_COUNT,
};

static void
split_fleet(struct fleet *fleet, unsigned sides)
{
    for (size_t i = 0; i < fleet->node_count; i++) {
        fleet->nodes[i].partition = (unsigned)(i % sides);
    }
}

static void
restart_all(struct fleet *fleet)
{
    for (size_t i = 0; i < fleet->node_count; i++) {
        fleet_kill_node(fleet, i);
    }
    fleet_run(fleet, USEC_PER_SEC);
    for (size_t i = 0; i < fleet->node_count; i++) {
        fleet_start_node(fleet, i);
    }
}

static void
cause_fault(struct fleet *fleet, enum fault fault)
{
    struct fleet_node *watcher = fleet_watcher(fleet);

    assert_non_null(watcher);
    switch (fault) {
    case FAULT_WATCHER_KILLED:
        fleet_kill_node(fleet, watcher->index);
        break;
    case FAULT_WATCHER_PAUSED:
        watcher->frozen_at = fleet->now;
        watcher->frozen_until = fleet->now + 5 * USEC_PER_SEC;
        watcher->last_fault_at = watcher->frozen_until;
        break;
    case FAULT_STORE_SILENT:
        watcher->store_mode = FLEET_STORE_SILENT;
        break;
    case FAULT_STORE_REFUSES:
        watcher->store_mode = FLEET_STORE_REFUSES;
        break;
    case FAULT_WATCHER_CUT_OFF:
        watcher->partition = 1;
        break;
    case FAULT_WATCHER_ISOLATED:
        watcher->partition = 1;
        watcher->store_mode = FLEET_STORE_SILENT;
        break;
    case FAULT_THIRD_WITHOUT_STORE:
        for (size_t i = 0; i < fleet->node_count; i += 3) {
            fleet->nodes[i].store_mode = FLEET_STORE_SILENT;
        }
        watcher->store_mode = FLEET_STORE_SILENT;
        break;
    case FAULT_FLEET_SPLIT:
        split_fleet(fleet, 2);
        break;
    case FAULT_ALL_CUT_OFF:
        split_fleet(fleet, (unsigned)fleet->node_count);
        break;
    case FAULT_STORE_COMPACTED:
        watcher->store_mode = FLEET_STORE_SILENT;
        fleet_write(fleet);
        fleet->compacted = fleet->revision;
        break;
    case FAULT_STALE_READS:
        fleet->stale_by = 5;
        restart_all(fleet);
        break;
    case FAULT_ALL_RESTARTED:
        restart_all(fleet);
        break;
    default:
        break;
    }
}

/* Whether a balancer has to meet the bound: it is running and not paused, the
 * store answers it, and its last fault is at least RECOVERY_US ago. */
static bool
must_meet_bound(const struct fleet *fleet, const struct fleet_node *node)
{
    return node->running && fleet->now >= node->frozen_until &&
           node->store_mode == FLEET_STORE_ANSWERS &&
           fleet->now >= node->last_fault_at + RECOVERY_US;
}

/* Checks that no balancer which has to meet the bound went back to an older
 * revision than in "revisions_before", or lacks a revision that was written
 * BOUND_US ago or earlier. */
static void
check_bound(const struct fleet *fleet, const uint64_t *revisions_before)
{
    uint64_t due_revision = 0;

    for (guint r = 1; r < fleet->changes->len; r++) {
        if (g_array_index(fleet->changes, struct fleet_change, r).written_at +
                BOUND_US <=
            fleet->now) {
            due_revision = r;
        }
    }
    for (size_t i = 0; i < fleet->node_count; i++) {
        const struct fleet_node *node = &fleet->nodes[i];

        if (!must_meet_bound(fleet, node)) {
            continue;
        }
        assert_true(forward_view_position(node->view).revision >=
                    revisions_before[i]);
        if (forward_view_position(node->view).revision < due_revision) {
            fail_msg(
                "%s is at revision %llu, but must have %llu", node->self.id,
                (unsigned long long)forward_view_position(node->view).revision,
                (unsigned long long)due_revision);
        }
    }
}

static void
record_revisions(const struct fleet *fleet, uint64_t *revisions)
{
    for (size_t i = 0; i < fleet->node_count; i++) {
        revisions[i] =
            fleet->nodes[i].running
                ? forward_view_position(fleet->nodes[i].view).revision
                : 0;
    }
}

/* Intervals at which changes are written. The first one is written just after
 * the fault. */
static const uint64_t write_intervals_us[] = {
    170 * USEC_PER_MSEC, 1100 * USEC_PER_MSEC, 5300 * USEC_PER_MSEC};

/* Runs a fleet of "size" balancers, causes a fault and writes changes. Each
 * balancer that has to meet the bound must apply every change within it and
 * must never return to an older revision. "loss" is the share of messages
 * between balancers that are lost. */
static void
run_with_fault(size_t size, enum fault fault, uint64_t write_interval_us,
               double loss, uint64_t seed)
{
    struct fleet *fleet = fleet_new(size, 4, BOUND_US, seed);
    uint64_t revisions_before[FLEET_SIZE_MAX] = {0};
    uint64_t next_write;

    print_message(
        "%zu balancers, fault %d, a change every %llu ms, loss %g\n", size,
        fault, (unsigned long long)(write_interval_us / USEC_PER_MSEC), loss);
    fleet->loss = loss;
    fleet_run(fleet, SETTLE_US);
    cause_fault(fleet, fault);
    next_write = fleet->now + FLEET_STEP_US;
    for (uint64_t end = fleet->now + RUN_US; fleet->now < end;) {
        record_revisions(fleet, revisions_before);
        if (fleet->now >= next_write) {
            next_write += write_interval_us;
            fleet_write(fleet);
        }
        fleet_step(fleet);
        check_bound(fleet, revisions_before);
    }
    fleet_destroy(fleet);
}

static void
test_faults(void **state)
{
    static const size_t sizes[] = {1, 2, 7, 24, FLEET_SIZE_MAX};
    const size_t intervals =
        sizeof(write_intervals_us) / sizeof(*write_intervals_us);

    for (size_t s = 0; s < sizeof(sizes) / sizeof(*sizes); s++) {
        for (int fault = 0; fault < FAULT_COUNT; fault++) {
            if (sizes[s] == 1 && fault == FAULT_WATCHER_KILLED) {
                continue;
            }
            for (size_t i = 0; i < intervals; i++) {
                if (sizes[s] == FLEET_SIZE_MAX && i != 1) {
                    continue; /* the largest fleet takes long */
                }
                run_with_fault(sizes[s], (enum fault)fault,
                               write_intervals_us[i], 0.0, SEED + s);
                run_with_fault(sizes[s], (enum fault)fault,
                               write_intervals_us[i], 0.2, SEED + s);
            }
        }
    }
}

/* Without faults and changes the number of calls to the store does not grow
 * with the fleet. */
static void
test_calls_without_faults(void **state)
{
    static const size_t sizes[] = {4, 16, 64};
    const double seconds = 60;
    /* A watch ends after half of the bound; the limit is twice the number of
     * calls that this takes. */
    const double calls_max = 2.0 * seconds / (BOUND_US / 2.0 / USEC_PER_SEC);

    for (size_t s = 0; s < sizeof(sizes) / sizeof(*sizes); s++) {
        struct fleet *fleet = fleet_new(sizes[s], 4, BOUND_US, SEED);
        uint64_t calls;

        fleet_run(fleet, SETTLE_US);
        calls = fleet_calls(fleet);
        fleet_run(fleet, (uint64_t)seconds * USEC_PER_SEC);
        calls = fleet_calls(fleet) - calls;
        print_message("%zu balancers: %llu calls in %g s\n", sizes[s],
                      (unsigned long long)calls, seconds);
        assert_true((double)calls <= calls_max);
        fleet_destroy(fleet);
    }
}

/* All balancers apply a change less than 1 s after it was written. */
static void
test_time_to_apply(void **state)
{
    static const size_t sizes[] = {7, 24, 80};

    for (size_t s = 0; s < sizeof(sizes) / sizeof(*sizes); s++) {
        struct fleet *fleet = fleet_new(sizes[s], 4, BOUND_US, SEED);
        uint64_t started;

        fleet_run(fleet, SETTLE_US);
        fleet_write(fleet);
        started = fleet->now;
        for (size_t i = 0; i < fleet->node_count; i++) {
            while (forward_view_position(fleet->nodes[i].view).revision <
                   fleet->revision) {
                fleet_step(fleet);
                assert_true(fleet->now - started < USEC_PER_SEC);
            }
        }
        print_message(
            "%zu balancers: applied by all after %llu ms\n", sizes[s],
            (unsigned long long)((fleet->now - started) / USEC_PER_MSEC));
        fleet_destroy(fleet);
    }
}

/* Runs the fleet until all running balancers have what is the newest revision
 * at the start. Returns the time that this took, in us; fails when it is twice
 * the bound or more. */
static uint64_t
run_until_applied(struct fleet *fleet)
{
    uint64_t started = fleet->now;
    uint64_t revision = fleet->revision;

    for (size_t i = 0; i < fleet->node_count; i++) {
        const struct fleet_node *node = &fleet->nodes[i];

        while (node->running &&
               forward_view_position(node->view).revision < revision) {
            fleet_step(fleet);
            assert_true(fleet->now - started < 2 * BOUND_US);
        }
    }
    return fleet->now - started;
}

/* Returns the total number of target records that the balancers received in
 * messages from each other. */
static uint64_t
records_in(const struct fleet *fleet)
{
    uint64_t records = 0;

    for (size_t i = 0; i < fleet->node_count; i++) {
        records += fleet->nodes[i].records_in;
    }
    return records;
}

/* Connections to peers cost memory. Prints the number of connections that a
 * balancer has open for sending while all balancers start at once. Once the
 * fleet has settled, this number must not grow with the fleet. */
static void
test_connections(void **state)
{
    static const size_t sizes[] = {24, 80, 160, 300};
    /* Mean number for each balancer: half of those with its 7 neighbors and
     * with the 7 balancers whose neighbor it is, and with 2 others. */
    const double settled_max = 9.0;

    for (size_t s = 0; s < sizeof(sizes) / sizeof(*sizes); s++) {
        struct fleet *fleet = fleet_new(sizes[s], 4, BOUND_US, SEED);
        size_t peak_sum = 0;
        size_t peak = 0;
        size_t settled = 0;

        fleet_run(fleet, 2 * SETTLE_US);
        for (size_t i = 0; i < fleet->node_count; i++) {
            const struct fleet_node *node = &fleet->nodes[i];

            peak_sum += node->links_max;
            peak = node->links_max > peak ? node->links_max : peak;
            settled += g_hash_table_size(node->links);
        }
        print_message("%zu balancers: at start a peak of %.1f connections for "
                      "sending on average, %zu at most, %.1f once settled\n",
                      sizes[s], (double)peak_sum / (double)sizes[s], peak,
                      (double)settled / (double)sizes[s]);
        assert_true((double)settled <= settled_max * (double)sizes[s]);
        fleet_destroy(fleet);
    }
}

/* Each balancer receives a change at most twice on average, whatever the
 * size of the fleet. */
static void
test_copies_of_a_change(void **state)
{
    static const size_t sizes[] = {24, 80, 160};
    const unsigned changes = 60;
    const double copies_max = 2.0;

    for (size_t s = 0; s < sizeof(sizes) / sizeof(*sizes); s++) {
        struct fleet *fleet = fleet_new(sizes[s], 4, BOUND_US, SEED);
        uint64_t records_before = 0;
        double copies;

        fleet_run(fleet, SETTLE_US);
        for (unsigned i = 0; i < 2 * changes; i++) {
            records_before = i == changes ? records_in(fleet) : records_before;
            fleet_write(fleet);
            fleet_run(fleet, 100 * USEC_PER_MSEC);
        }
        copies = (double)(records_in(fleet) - records_before) /
                 (double)(changes * sizes[s]);
        print_message("%zu balancers: %.2f copies of a change for each\n",
                      sizes[s], copies);
        assert_true(copies <= copies_max);
        fleet_destroy(fleet);
    }
}

static uint64_t
bytes_out(const struct fleet *fleet)
{
    uint64_t bytes = 0;

    for (size_t i = 0; i < fleet->node_count; i++) {
        bytes += fleet->nodes[i].bytes_out;
    }
    return bytes;
}

/* Within half a second all balancers know of a slow target that one of them
 * has found, although some messages are lost. While fourteen targets are slow,
 * and someone finds that out about each of them three times a second, the
 * messages take at most 10 KB a second of each balancer in a fleet of 64. Once
 * it is over, nothing is sent. */
static void
test_slow_targets(void **state)
{
    static const struct {
        size_t balancers;
        double loss;
    } cases[] = {{7, 0.0}, {64, 0.0}, {64, 0.05}, {300, 0.0}};
    const uint32_t slow_count = 14;
    const double bytes_max = 10e3;

    for (size_t c = 0; c < sizeof(cases) / sizeof(*cases); c++) {
        size_t size = cases[c].balancers;
        struct fleet *fleet = fleet_new(size, 4, BOUND_US, SEED);
        struct slow_target_record record = {1, 600, 0};
        uint64_t bytes;
        uint64_t quiet;
        size_t unaware = 0;

        fleet_run(fleet, SETTLE_US);
        bytes = bytes_out(fleet);
        fleet_run(fleet, 2 * USEC_PER_SEC);
        quiet = bytes_out(fleet) - bytes;
        fleet->loss = cases[c].loss;
        for (record.ratio = 610; record.ratio < 630; record.ratio += 5) {
            target_speed_receive(fleet->nodes[2].speed, &record, 1, true,
                                 fleet->now);
        }
        fleet_run(fleet, USEC_PER_SEC / 2);
        for (size_t i = 0; i < size; i++) {
            unaware +=
                !target_speed_is_reduced(fleet->nodes[i].speed, 1, fleet->now);
        }
        bytes = bytes_out(fleet);
        for (uint32_t k = 0; k < 6 * slow_count; k++) {
            record.cookie = 1 + k % slow_count;
            record.ratio = 500 + k;
            target_speed_receive(fleet->nodes[(37 * (size_t)k) % size].speed,
                                 &record, 1, true, fleet->now);
            fleet_run(fleet, 2 * USEC_PER_SEC / (6 * (uint64_t)slow_count));
        }
        bytes = bytes_out(fleet) - bytes;
        print_message("%zu balancers, loss %.2f: %zu unaware "
                      "after 500 ms, %.1f KB/s a balancer\n",
                      size, cases[c].loss, unaware,
                      ((double)bytes - (double)quiet) / 2e3 / (double)size);
        assert_int_equal(unaware, 0);
        assert_true(size > 64 || (double)bytes - (double)quiet <=
                                     2 * bytes_max * (double)size);
        fleet_run(fleet, 10 * USEC_PER_SEC);
        for (size_t i = 0; i < size; i++) {
            assert_true(target_speed_factor(fleet->nodes[i].speed, 1,
                                            fleet->now) < 1.1);
            assert_false(target_speed_has_news(fleet->nodes[i].speed));
        }
        fleet_destroy(fleet);
    }
}

/* The remaining balancers apply a change within 1 s although a quarter of the
 * fleet, some of which relayed earlier changes, has just been killed. */
static void
test_time_to_apply_after_kills(void **state)
{
    const uint64_t took_max_us = USEC_PER_SEC;
    struct fleet *fleet = fleet_new(80, 4, BOUND_US, SEED);
    uint64_t took_us;

    fleet_run(fleet, SETTLE_US);
    for (unsigned i = 0; i < 20; i++) {
        fleet_write(fleet);
        fleet_run(fleet, 200 * USEC_PER_MSEC);
    }
    fleet_run(fleet, USEC_PER_SEC);
    assert_non_null(fleet_watcher(fleet));
    for (size_t i = 0; i < fleet->node_count; i += 4) {
        if (&fleet->nodes[i] != fleet_watcher(fleet)) {
            fleet_kill_node(fleet, i);
        }
    }
    fleet_write(fleet);
    took_us = run_until_applied(fleet);
    print_message("a quarter killed: applied by the others after %llu ms\n",
                  (unsigned long long)(took_us / USEC_PER_MSEC));
    assert_true(took_us <= took_max_us);
    fleet_destroy(fleet);
}

/* All balancers apply 60 simultaneous changes within 1 s. These are too many
 * to be pushed to every balancer. */
static void
test_time_to_apply_many_changes(void **state)
{
    const uint64_t took_max_us = USEC_PER_SEC;
    struct fleet *fleet = fleet_new(80, 4, BOUND_US, SEED);
    uint64_t took_us;

    fleet_run(fleet, SETTLE_US);
    for (unsigned i = 0; i < 60; i++) {
        fleet_write(fleet);
    }
    took_us = run_until_applied(fleet);
    print_message("60 changes at once: applied by all after %llu ms\n",
                  (unsigned long long)(took_us / USEC_PER_MSEC));
    assert_true(took_us <= took_max_us);
    fleet_destroy(fleet);
}

/* After 60 simultaneous changes, which the balancers had to pull, no other
 * balancer takes over the watch: a delta that was pulled still carries
 * the rank of the balancer that the store answered. */
static void
test_calls_after_many_changes(void **state)
{
    const uint64_t seconds = 10;
    /* A watch ends after half of the bound; one more reads the changes, one
     * call writes the snapshot, and a watch ends with it. */
    const uint64_t calls_max = 4 + seconds * 2 * USEC_PER_SEC / BOUND_US;
    struct fleet *fleet = fleet_new(80, 4, BOUND_US, SEED);
    uint64_t calls;

    fleet_run(fleet, SETTLE_US);
    calls = fleet_calls(fleet);
    for (unsigned i = 0; i < 60; i++) {
        fleet_write(fleet);
    }
    fleet_run(fleet, seconds * USEC_PER_SEC);
    calls = fleet_calls(fleet) - calls;
    print_message("60 changes at once: %llu calls in %llu s\n",
                  (unsigned long long)calls, (unsigned long long)seconds);
    assert_true(calls <= calls_max);
    fleet_destroy(fleet);
}

/* While the store is unavailable the number of calls to it does not grow with
 * the fleet. Once it is available again, all balancers are up to date within
 * the bound. */
static void
test_store_outage(void **state)
{
    static const size_t sizes[] = {7, 24, 80, 160};
    const uint64_t seconds = 10;
    const uint64_t calls_max_per_second = 25;

    for (size_t s = 0; s < sizeof(sizes) / sizeof(*sizes); s++) {
        struct fleet *fleet = fleet_new(sizes[s], 4, BOUND_US, SEED);
        uint64_t calls;
        uint64_t first_calls;

        fleet_run(fleet, SETTLE_US);
        fleet->store_down = true;
        calls = fleet_calls(fleet);
        fleet_run(fleet, seconds * USEC_PER_SEC);
        first_calls = fleet_calls(fleet) - calls;
        calls = fleet_calls(fleet);
        fleet_run(fleet, seconds * USEC_PER_SEC);
        calls = fleet_calls(fleet) - calls;
        print_message("%zu balancers: %llu calls in the first %llu s of an "
                      "outage, %llu in the next\n",
                      sizes[s], (unsigned long long)first_calls,
                      (unsigned long long)seconds, (unsigned long long)calls);
        assert_true(first_calls <= calls_max_per_second * seconds);
        assert_true(calls <= calls_max_per_second * seconds);
        fleet_write(fleet);
        fleet->store_down = false;
        fleet_run(fleet, BOUND_US);
        for (size_t i = 0; i < fleet->node_count; i++) {
            assert_int_equal(
                forward_view_position(fleet->nodes[i].view).revision,
                fleet->revision);
        }
        fleet_destroy(fleet);
    }
}

/* Changes in quick succession (100 in 10 s) do not take a call each. */
static void
test_calls_during_many_changes(void **state)
{
    const unsigned changes = 100;
    const uint64_t calls_max = 5 * 10 + 20; /* 5 a second, and 20 others */
    struct fleet *fleet = fleet_new(24, 4, BOUND_US, SEED);
    uint64_t calls;

    fleet_run(fleet, SETTLE_US);
    calls = fleet_calls(fleet);
    for (unsigned i = 0; i < changes; i++) {
        fleet_write(fleet);
        fleet_run(fleet, 100 * USEC_PER_MSEC);
    }
    calls = fleet_calls(fleet) - calls;
    print_message("%u changes in 10 s: %llu calls\n", changes,
                  (unsigned long long)calls);
    assert_true(calls <= calls_max);
    fleet_destroy(fleet);
}

/* Number of reads of all entries that the balancers have started. */
static uint64_t
full_reads(const struct fleet *fleet)
{
    uint64_t reads = 0;

    for (size_t i = 0; i < fleet->node_count; i++) {
        reads += fleet->nodes[i].full_reads;
    }
    return reads;
}

/* When all balancers start at once they take their views from the snapshot,
 * however old, and nobody reads all entries; without a valid snapshot all of
 * them do. In each case they have the newest revision within the bound. */
static void
test_start_from_snapshot(void **state)
{
    static const struct {
        const char *name;
        unsigned late_changes; /* made after the last snapshot */
        bool removed;
        bool malformed;
        bool reads_all;
    } cases[] = {
        {"current", 0, false, false, false},
        {"5 changes old", 5, false, false, false},
        {"20 changes old", 20, false, false, false},
        {"removed", 0, true, false, true},
        {"malformed", 0, false, true, true},
    };
    const uint64_t ready_max_us = 50 * USEC_PER_MSEC;
    const unsigned outdated_changes = 10; /* a sixteenth of the targets */
    /* Before a caller sends the first copy of its opening packet */
    const uint64_t caught_up_max_us = 200 * USEC_PER_MSEC;

    for (size_t c = 0; c < sizeof(cases) / sizeof(*cases); c++) {
        struct fleet *fleet = fleet_new(80, 4, BOUND_US, SEED);
        uint64_t reads;
        uint64_t last_change;

        print_message("%s\n", cases[c].name);
        fleet_run(fleet, SETTLE_US);
        assert_non_null(fleet->snapshot);
        for (size_t i = 0; i < fleet->node_count; i++) {
            fleet_kill_node(fleet, i);
        }
        for (unsigned i = 0; i < cases[c].late_changes; i++) {
            fleet_write(fleet);
        }
        last_change = fleet->revision;
        if (cases[c].removed) {
            fleet_put_snapshot(fleet, NULL, 0);
        }
        if (cases[c].malformed) {
            fleet_put_snapshot(fleet, (const uint8_t *)"x", 1);
        }
        reads = full_reads(fleet);
        for (size_t i = 0; i < fleet->node_count; i++) {
            fleet_start_node(fleet, i);
        }
        fleet_run(fleet, ready_max_us);
        for (size_t i = 0; i < fleet->node_count; i++) {
            assert_true(forward_view_usable(fleet->nodes[i].view));
        }
        reads = full_reads(fleet) - reads;
        assert_int_equal(reads, cases[c].reads_all ? fleet->node_count : 0);
        if (cases[c].late_changes >= outdated_changes) {
            fleet_run(fleet, caught_up_max_us);
            for (size_t i = 0; i < fleet->node_count; i++) {
                assert_int_equal(
                    forward_view_content_position(fleet->nodes[i].view)
                        .revision,
                    last_change);
            }
        }
        fleet_run(fleet, BOUND_US);
        for (size_t i = 0; i < fleet->node_count; i++) {
            assert_true(
                forward_view_content_position(fleet->nodes[i].view).revision ==
                forward_view_content_position(fleet->nodes[0].view).revision);
            assert_true(forward_view_position(fleet->nodes[i].view).revision +
                            2 >=
                        fleet->revision);
        }
        fleet_destroy(fleet);
    }
}

/* Changes in quick succession share writes of the snapshot. Afterwards the
 * snapshot contains the last change, also when two parts of the fleet have
 * watched the store and written it. */
static void
test_snapshot_writes(void **state)
{
    static const bool split[] = {false, true};
    const uint64_t seconds = 10;

    for (size_t c = 0; c < sizeof(split) / sizeof(*split); c++) {
        struct fleet *fleet = fleet_new(24, 4, BOUND_US, SEED);
        struct view_delta delta;
        uint64_t writes;
        uint64_t last_change;

        fleet_run(fleet, SETTLE_US);
        if (split[c]) {
            split_fleet(fleet, 2);
        }
        writes = fleet->snapshot_writes;
        for (unsigned i = 0; i < seconds * 10; i++) {
            fleet_write(fleet);
            fleet_run(fleet, 100 * USEC_PER_MSEC);
        }
        writes = fleet->snapshot_writes - writes;
        last_change =
            forward_view_content_position(fleet->nodes[0].view).revision;
        fleet_run(fleet, 5 * USEC_PER_SEC);
        print_message("split %d: %llu writes of the snapshot in %llu s\n",
                      split[c], (unsigned long long)writes,
                      (unsigned long long)seconds);
        assert_true(writes <= seconds * (split[c] ? 2 : 1) + 1);
        view_delta_init(&delta);
        assert_true(
            snapshot_decode(fleet->snapshot, fleet->snapshot_size, &delta));
        assert_true(delta.to.revision >= last_change);
        view_delta_clear(&delta);
        fleet_destroy(fleet);
    }
}

/* Domain of all targets of the fleet. */
#define DOMAIN "a"

/* Whether the order to empty the domain is in effect at a balancer. */
static bool
has_order(const struct fleet_node *node)
{
    const struct forward_domain *domain =
        forward_view_domain(node->view, g_intern_string(DOMAIN));

    return domain != NULL && domain->emptied;
}

/* Runs the fleet until the order is in effect, or not, at all running
 * balancers. Returns the time that this took since "start", in us; fails when
 * it is longer than "max_us". */
static uint64_t
run_until_ordered(struct fleet *fleet, bool emptied, uint64_t start,
                  uint64_t max_us)
{
    for (size_t i = 0; i < fleet->node_count; i++) {
        while (fleet->nodes[i].running &&
               has_order(&fleet->nodes[i]) != emptied) {
            fleet_step(fleet);
            if (fleet->now > start + max_us) {
                fail_msg("%s does not follow after %llu ms",
                         fleet->nodes[i].self.id,
                         (unsigned long long)(max_us / USEC_PER_MSEC));
            }
        }
    }
    return fleet->now > start ? fleet->now - start : 0;
}

/* The order to empty a failure domain, and its end, are in effect everywhere
 * within a second. */
static void
test_time_of_order(void **state)
{
    static const size_t sizes[] = {7, 24, 80, 160};

    for (size_t s = 0; s < sizeof(sizes) / sizeof(*sizes); s++) {
        struct fleet *fleet = fleet_new(sizes[s], 4, BOUND_US, SEED);
        uint64_t given_us;
        uint64_t taken_us;

        fleet_run(fleet, SETTLE_US);
        fleet_write_order(fleet, DOMAIN, true);
        given_us = run_until_ordered(fleet, true, fleet->now, USEC_PER_SEC);
        fleet_run(fleet, SETTLE_US);
        fleet_write_order(fleet, DOMAIN, false);
        taken_us = run_until_ordered(fleet, false, fleet->now, USEC_PER_SEC);
        print_message("%zu balancers: order in effect after %llu ms, taken "
                      "back after %llu ms\n",
                      sizes[s], (unsigned long long)(given_us / USEC_PER_MSEC),
                      (unsigned long long)(taken_us / USEC_PER_MSEC));
        fleet_destroy(fleet);
    }
}

/* What befalls a balancer around an order. */
enum order_fault {
    ORDER_WHILE_STARTING, /* it starts just after the order */
    ORDER_WHILE_CUT_OFF,  /* it reaches the store only */
    ORDER_WITHOUT_STORE,  /* it reaches the others only */
    ORDER_WHILE_ISOLATED, /* it reaches nobody for 5 s */
    ORDER_WHILE_PAUSED,   /* it is paused for 5 s */
    ORDER_WHILE_ALL_DOWN, /* all balancers start 1 s after the order */
    ORDER_BEFORE_OUTAGE,  /* it restarts in an outage of the store */
    ORDER_FAULT_COUNT,
};

static const char *const order_fault_names[] = {
    "starting", "cut off",  "without the store", "isolated",
    "paused",   "all down", "store away",
};

/* Checks that the order is in effect at all balancers but one. */
static void
check_others(const struct fleet *fleet, const struct fleet_node *node)
{
    for (size_t i = 0; i < fleet->node_count; i++) {
        assert_true(&fleet->nodes[i] == node || has_order(&fleet->nodes[i]));
    }
}

/* Gives the order while a balancer has a fault. Returns the time at which all
 * have a path to the store, or to a peer that has one. */
static uint64_t
order_with_fault(struct fleet *fleet, struct fleet_node *node,
                 enum order_fault fault)
{
    const uint64_t fault_us = 5 * USEC_PER_SEC;

    switch (fault) {
    case ORDER_WHILE_STARTING:
        fleet_kill_node(fleet, node->index);
        fleet_write_order(fleet, DOMAIN, true);
        fleet_start_node(fleet, node->index);
        break;
    case ORDER_WHILE_CUT_OFF:
        node->partition = 1;
        fleet_write_order(fleet, DOMAIN, true);
        break;
    case ORDER_WITHOUT_STORE:
        node->store_mode = FLEET_STORE_SILENT;
        fleet_write_order(fleet, DOMAIN, true);
        break;
    case ORDER_WHILE_ISOLATED:
        node->partition = 1;
        node->store_mode = FLEET_STORE_SILENT;
        fleet_write_order(fleet, DOMAIN, true);
        fleet_run(fleet, BOUND_US);
        check_others(fleet, node);
        fleet_run(fleet, fault_us - BOUND_US);
        node->partition = 0;
        node->store_mode = FLEET_STORE_ANSWERS;
        break;
    case ORDER_WHILE_PAUSED:
        node->frozen_at = fleet->now;
        node->frozen_until = fleet->now + fault_us;
        fleet_write_order(fleet, DOMAIN, true);
        fleet_run(fleet, BOUND_US);
        check_others(fleet, node);
        return node->frozen_until;
    case ORDER_WHILE_ALL_DOWN:
        for (size_t i = 0; i < fleet->node_count; i++) {
            fleet_kill_node(fleet, i);
        }
        fleet_write_order(fleet, DOMAIN, true);
        fleet_run(fleet, USEC_PER_SEC);
        for (size_t i = 0; i < fleet->node_count; i++) {
            fleet_start_node(fleet, i);
        }
        break;
    default:
        fleet_write_order(fleet, DOMAIN, true);
        run_until_ordered(fleet, true, fleet->now, BOUND_US);
        fleet->store_down = true;
        fleet_kill_node(fleet, node->index);
        fleet_run(fleet, USEC_PER_SEC);
        fleet_start_node(fleet, node->index);
        break;
    }
    return fleet->now;
}

/* Whatever befalls the watcher or another balancer, the order is in effect
 * there within the bound after it has a path again, and at the others within
 * the bound. It stays while the store is away, and is taken back after. */
static void
test_order_during_faults(void **state)
{
    static const size_t sizes[] = {7, 24, 80};

    for (size_t s = 0; s < sizeof(sizes) / sizeof(*sizes); s++) {
        for (int fault = 0; fault < ORDER_FAULT_COUNT; fault++) {
            uint64_t worst_us = 0;

            for (unsigned watcher = 0; watcher < 2; watcher++) {
                struct fleet *fleet =
                    fleet_new(sizes[s], 4, BOUND_US, SEED + watcher);
                struct fleet_node *node;
                uint64_t start;
                uint64_t took_us;

                fleet_run(fleet, SETTLE_US);
                node = fleet_watcher(fleet);
                assert_non_null(node);
                if (watcher == 0) {
                    node = &fleet->nodes[(node->index + 5) % sizes[s]];
                }
                start = order_with_fault(fleet, node, (enum order_fault)fault);
                took_us = run_until_ordered(fleet, true, start, BOUND_US);
                worst_us = took_us > worst_us ? took_us : worst_us;
                for (uint64_t end = start + 2 * SETTLE_US; fleet->now < end;) {
                    fleet_step(fleet);
                    for (size_t i = 0; i < fleet->node_count; i++) {
                        assert_true(has_order(&fleet->nodes[i]));
                    }
                }
                fleet->store_down = false;
                node->partition = 0;
                node->store_mode = FLEET_STORE_ANSWERS;
                fleet_write_order(fleet, DOMAIN, false);
                run_until_ordered(fleet, false, fleet->now, BOUND_US);
                fleet_destroy(fleet);
            }
            print_message("%zu balancers, %s: order in effect after %llu ms\n",
                          sizes[s], order_fault_names[fault],
                          (unsigned long long)(worst_us / USEC_PER_MSEC));
        }
    }
}

/* An order is given, taken back and given again; the store loses the last of
 * these. A balancer that starts then, by a read that is older than the second,
 * must not tell the others that it was taken back: they end an order for a
 * removal in the new era only. */
static void
test_stale_start_after_restore(void **state)
{
    struct fleet *fleet = fleet_new(7, 4, BOUND_US, SEED);
    struct fleet_node *node = &fleet->nodes[5];
    uint64_t given;
    uint64_t copy;

    fleet_run(fleet, SETTLE_US);
    fleet_write_order(fleet, DOMAIN, true);
    given = fleet->revision;
    run_until_ordered(fleet, true, fleet->now, BOUND_US);
    fleet_write_order(fleet, DOMAIN, false);
    copy = fleet->revision;
    run_until_ordered(fleet, false, fleet->now, BOUND_US);
    fleet_write_order(fleet, DOMAIN, true);
    run_until_ordered(fleet, true, fleet->now, BOUND_US);
    for (size_t i = 0; i < fleet->node_count; i++) {
        fleet->nodes[i].store_mode = FLEET_STORE_SILENT;
    }
    fleet_kill_node(fleet, node->index);
    fleet_restore(fleet, copy);
    fleet->stale_by = copy - given;
    node->partition = 1;
    node->store_mode = FLEET_STORE_ANSWERS;
    fleet_start_node(fleet, node->index);
    fleet_run(fleet, BOUND_US);
    assert_int_equal(forward_view_position(node->view).era, fleet->era);
    node->partition = 0;
    fleet_run(fleet, SETTLE_US);
    for (size_t i = 0; i < fleet->node_count; i++) {
        assert_int_equal(forward_view_position(fleet->nodes[i].view).era,
                         fleet->era);
    }
    check_others(fleet, node);
    fleet_destroy(fleet);
}

/* Whether a balancer would send new flows to a target. */
static bool
uses_target(const struct fleet_node *node, size_t target)
{
    char id[TARGET_ID_SIZE];
    const struct forward_target *t;

    fleet_target_id(target, id);
    t = forward_view_target(node->view, forward_cookie(id));
    return t != NULL && t->presence != TARGET_GONE && !t->record.draining;
}

static size_t
count_in_era(const struct fleet *fleet)
{
    size_t count = 0;

    for (size_t i = 0; i < fleet->node_count; i++) {
        count += fleet->nodes[i].running &&
                 forward_view_position(fleet->nodes[i].view).era == fleet->era;
    }
    return count;
}

/* Writes 40 changes, among them that a target drains and the order to empty
 * the targets' failure domain, and lets the store be
 * away for a moment and come back, in a new era, without them. Returns the
 * target. */
static size_t
lose_changes(struct fleet *fleet)
{
    const uint64_t away_us = 1500 * USEC_PER_MSEC;
    uint64_t copy = fleet->revision;
    size_t target = (copy + FLEET_TARGET_COUNT / 2) % FLEET_TARGET_COUNT;

    fleet_write_target(fleet, target, true);
    fleet_write_order(fleet, DOMAIN, true);
    for (unsigned i = 0; i < 38; i++) {
        fleet_write(fleet);
    }
    fleet_run(fleet, BOUND_US);
    for (size_t i = 0; i < fleet->node_count; i++) {
        assert_false(fleet->nodes[i].store_mode == FLEET_STORE_ANSWERS &&
                     (uses_target(&fleet->nodes[i], target) ||
                      !has_order(&fleet->nodes[i])));
    }
    fleet->store_down = true;
    fleet_run(fleet, away_us);
    fleet_restore(fleet, copy);
    fleet->store_down = false;
    return target;
}

/* After the store has lost changes, all balancers follow it again soon, with
 * few calls, and a target that was draining does not become usable, neither by
 * the copy nor later; an order that the copy lacks stays in effect until it is
 * written again and taken back. What is written from then on is applied in
 * time. */
static void
test_restored_store(void **state)
{
    static const size_t sizes[] = {7, 24, 80, 160};
    const uint64_t calls_max = 25;
    const uint64_t rewrite_after_us = 2 * USEC_PER_SEC;

    for (size_t s = 0; s < sizeof(sizes) / sizeof(*sizes); s++) {
        struct fleet *fleet = fleet_new(sizes[s], 4, BOUND_US, SEED);
        uint64_t followed_us = 0;
        uint64_t calls;
        uint64_t returned;
        size_t target;

        fleet_run(fleet, SETTLE_US);
        target = lose_changes(fleet);
        calls = fleet_calls(fleet);
        returned = fleet->now;
        while (fleet->now < returned + rewrite_after_us) {
            fleet_step(fleet);
            if (count_in_era(fleet) < fleet->node_count) {
                followed_us = fleet->now - returned;
            }
            if (fleet->now == returned + USEC_PER_SEC) {
                calls = fleet_calls(fleet) - calls;
            }
            for (size_t i = 0; i < fleet->node_count; i++) {
                assert_false(uses_target(&fleet->nodes[i], target));
                assert_true(has_order(&fleet->nodes[i]));
            }
        }
        print_message("%zu balancers: all follow after %llu ms, %llu calls in "
                      "the first second\n",
                      sizes[s],
                      (unsigned long long)(followed_us / USEC_PER_MSEC),
                      (unsigned long long)calls);
        assert_true(followed_us < BOUND_US);
        assert_true(calls <= calls_max);
        fleet_write_target(fleet, target, true);
        for (unsigned i = 0; i < 4; i++) {
            fleet_write(fleet);
            assert_true(run_until_applied(fleet) <= BOUND_US);
        }
        fleet_run(fleet, 2 * HELD_RECORD_US);
        for (size_t i = 0; i < fleet->node_count; i++) {
            assert_false(uses_target(&fleet->nodes[i], target));
            assert_int_equal(forward_view_held_count(fleet->nodes[i].view), 0);
            assert_true(has_order(&fleet->nodes[i]));
        }
        fleet_write_order(fleet, DOMAIN, true);
        fleet_run(fleet, USEC_PER_SEC);
        fleet_write_order(fleet, DOMAIN, false);
        run_until_ordered(fleet, false, fleet->now, BOUND_US);
        fleet_destroy(fleet);
    }
}

/* A balancer that starts at any moment of such a return learns from the others
 * that the target drains, and the order, before it uses any. Where their
 * answers come too late for that, it learns it from them afterwards. */
static void
test_start_after_restore(void **state)
{
    static const size_t restarted[] = {0, 5}; /* a seed, and another */
    static const struct {
        uint64_t delay_us; /* of messages */
        uint64_t wrong_us; /* time in which the target may be used */
    } cases[] = {{0, 0},
                 {70 * USEC_PER_MSEC, 0},
                 {250 * USEC_PER_MSEC, 300 * USEC_PER_MSEC}};
    const uint64_t step_us = 130 * USEC_PER_MSEC;
    const uint64_t after_max_us = 2 * USEC_PER_SEC;

    for (size_t c = 0; c < sizeof(cases) / sizeof(*cases); c++) {
        for (uint64_t after = 0; after < 2 * after_max_us; after += step_us) {
            struct fleet *fleet = fleet_new(7, 4, BOUND_US, SEED + after);
            struct fleet_node *node =
                &fleet->nodes[restarted[after / after_max_us]];
            uint64_t wrong_us = 0;
            size_t target;

            fleet_run(fleet, SETTLE_US);
            target = lose_changes(fleet);
            fleet_run(fleet, after % after_max_us);
            fleet_kill_node(fleet, node->index);
            fleet_run(fleet, 50 * USEC_PER_MSEC);
            fleet->delay_us = cases[c].delay_us;
            fleet_start_node(fleet, node->index);
            for (uint64_t end = fleet->now + 2 * USEC_PER_SEC;
                 fleet->now < end;) {
                fleet_step(fleet);
                if (uses_target(node, target) ||
                    (forward_view_usable(node->view) && !has_order(node))) {
                    wrong_us += FLEET_STEP_US;
                }
            }
            assert_true(wrong_us <= cases[c].wrong_us);
            assert_false(uses_target(node, target));
            assert_true(has_order(node));
            assert_true(forward_view_usable(node->view));
            fleet_destroy(fleet);
        }
    }
}

/* A fleet that starts as a whole after such a return does not wait for peers
 * longer than for their answers that they know nothing. */
static void
test_whole_start_after_restore(void **state)
{
    static const size_t sizes[] = {2, 7, 24};
    const uint64_t bound_us = 250 * USEC_PER_MSEC;

    for (size_t s = 0; s < sizeof(sizes) / sizeof(*sizes); s++) {
        struct fleet *fleet = fleet_new(sizes[s], 4, BOUND_US, SEED);

        fleet_run(fleet, SETTLE_US);
        lose_changes(fleet);
        for (size_t i = 0; i < fleet->node_count; i++) {
            fleet_kill_node(fleet, i);
        }
        fleet_run(fleet, USEC_PER_SEC);
        for (size_t i = 0; i < fleet->node_count; i++) {
            fleet_start_node(fleet, i);
        }
        fleet_run(fleet, bound_us);
        for (size_t i = 0; i < fleet->node_count; i++) {
            assert_true(forward_view_usable(fleet->nodes[i].view));
        }
        fleet_destroy(fleet);
    }
}

/* A balancer that was cut off from the others and from the store meanwhile
 * learns from them that the target drains. */
static void
test_cut_off_during_restore(void **state)
{
    struct fleet *fleet = fleet_new(7, 4, BOUND_US, SEED);
    struct fleet_node *node;
    size_t target;

    fleet_run(fleet, SETTLE_US);
    node = &fleet->nodes[fleet_watcher(fleet)->index == 6 ? 5 : 6];
    node->partition = 1;
    node->store_mode = FLEET_STORE_SILENT;
    target = lose_changes(fleet);
    fleet_run(fleet, USEC_PER_SEC);
    node->partition = 0;
    node->store_mode = FLEET_STORE_ANSWERS;
    fleet_run(fleet, BOUND_US);
    assert_false(uses_target(node, target));
    assert_int_equal(forward_view_position(node->view).era, fleet->era);
    fleet_destroy(fleet);
}

/* A balancer that was cut off while the store lost an order, and until it was
 * written again and taken back, learns of its end. */
static void
test_cut_off_until_order_ends(void **state)
{
    static const size_t sizes[] = {7, 24};

    for (size_t s = 0; s < sizeof(sizes) / sizeof(*sizes); s++) {
        struct fleet *fleet = fleet_new(sizes[s], 4, BOUND_US, SEED);
        struct fleet_node *node;
        uint64_t copy;

        fleet_run(fleet, SETTLE_US);
        node = &fleet->nodes[fleet_watcher(fleet)->index == 6 ? 5 : 6];
        copy = fleet->revision;
        fleet_write_order(fleet, DOMAIN, true);
        run_until_ordered(fleet, true, fleet->now, BOUND_US);
        node->partition = 1;
        node->store_mode = FLEET_STORE_SILENT;
        fleet_restore(fleet, copy);
        fleet_run(fleet, SETTLE_US);
        fleet_write_order(fleet, DOMAIN, true);
        fleet_run(fleet, BOUND_US);
        fleet_write_order(fleet, DOMAIN, false);
        fleet_run(fleet, BOUND_US);
        assert_true(has_order(node));
        node->partition = 0;
        node->store_mode = FLEET_STORE_ANSWERS;
        run_until_ordered(fleet, false, fleet->now, BOUND_US);
        fleet_destroy(fleet);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_faults),
        cmocka_unit_test(test_calls_without_faults),
        cmocka_unit_test(test_time_to_apply),
        cmocka_unit_test(test_connections),
        cmocka_unit_test(test_copies_of_a_change),
        cmocka_unit_test(test_slow_targets),
        cmocka_unit_test(test_time_to_apply_after_kills),
        cmocka_unit_test(test_time_to_apply_many_changes),
        cmocka_unit_test(test_calls_after_many_changes),
        cmocka_unit_test(test_store_outage),
        cmocka_unit_test(test_calls_during_many_changes),
        cmocka_unit_test(test_start_from_snapshot),
        cmocka_unit_test(test_snapshot_writes),
        cmocka_unit_test(test_restored_store),
        cmocka_unit_test(test_start_after_restore),
        cmocka_unit_test(test_whole_start_after_restore),
        cmocka_unit_test(test_cut_off_during_restore),
        cmocka_unit_test(test_cut_off_until_order_ends),
        cmocka_unit_test(test_stale_start_after_restore),
        cmocka_unit_test(test_time_of_order),
        cmocka_unit_test(test_order_during_faults),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
