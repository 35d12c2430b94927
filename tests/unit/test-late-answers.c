#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "base/clock.h"
#include "fake-fleet.h"

#define SEED 20261208
#define SEEDS 5
/* Time within which a balancer that was never disturbed applies a change. */
#define BOUND_US (3 * USEC_PER_SEC)
#define SETTLE_US (8 * USEC_PER_SEC)
#define RUN_US (90 * USEC_PER_SEC)
/* A balancer learns the clock of another by messages, which take some
 * milliseconds. */
#define FALSE_MAX_US (10 * USEC_PER_MSEC)
/* Time from one pair of changes to the next. */
#define PAIR_MIN_US (3600 * USEC_PER_MSEC)
#define PAIR_RANGE_US (800 * USEC_PER_MSEC)
/* Time between the changes of a pair. */
#define PAIR_GAP_US (50 * USEC_PER_MSEC)

#define MS USEC_PER_MSEC

enum disturbance {
    DISTURB_NONE,
    DISTURB_WATCHER,  /* the watcher pauses */
    DISTURB_TWO,      /* the watcher and the one after it pause in turn */
    DISTURB_BOTH,     /* both pause at the same time */
    DISTURB_SUSPEND,  /* the host of the watcher is suspended */
    DISTURB_PATH,     /* answers of the store are late on the way to it */
    DISTURB_TAKEOVER, /* the watcher is killed, the next one pauses */
};

struct late_case {
    const char *name;
    enum disturbance disturbance;
    size_t nodes;
    uint64_t still_us[2]; /* length of a pause, or delay of an answer */
    uint64_t run_us[2];   /* time between two pauses */
};

static uint64_t
draw(struct random *random, const uint64_t range[2])
{
    return range[0] +
           random_below(random, (uint32_t)(range[1] - range[0]) + 1);
}

static void
pause_node(struct fleet_node *node, uint64_t us)
{
    node->frozen_at = node->fleet->now;
    node->frozen_until = node->fleet->now + us;
    node->last_fault_at = node->frozen_until;
}

/* State of the disturbances in a run. */
struct disturber {
    const struct late_case *c;
    struct random random;
    struct fleet_node *nodes[2]; /* those that are disturbed */
    size_t next;                 /* index of the next one */
    uint64_t next_at;
};

/* Returns the balancer that watches while the watcher does not answer. The
 * fleet is left as it was, but for the time. */
static struct fleet_node *
find_second_watcher(struct fleet *fleet, struct fleet_node *watcher)
{
    struct fleet_node *second = NULL;

    watcher->frozen_at = fleet->now;
    watcher->frozen_until = UINT64_MAX;
    for (unsigned i = 0; i < 1000 && second == NULL; i++) {
        fleet_step(fleet);
        for (size_t k = 0; k < fleet->node_count && second == NULL; k++) {
            struct fleet_node *node = &fleet->nodes[k];

            if (node != watcher && view_reader_is_watching(node->reader)) {
                second = node;
            }
        }
    }
    watcher->frozen_until = fleet->now;
    fleet_run(fleet, SETTLE_US);
    return second;
}

static void
disturber_init(struct disturber *d, const struct late_case *c,
               struct fleet *fleet, uint64_t seed)
{
    *d = (struct disturber){.c = c, .next_at = fleet->now};
    random_seed(&d->random, seed);
    d->nodes[0] = fleet_watcher(fleet);
    assert_non_null(d->nodes[0]);
    d->nodes[1] = find_second_watcher(fleet, d->nodes[0]);
    assert_non_null(d->nodes[1]);
    d->nodes[0]->suspends = c->disturbance == DISTURB_SUSPEND;
    if (c->disturbance == DISTURB_TAKEOVER) {
        fleet_kill_node(fleet, d->nodes[0]->index);
    }
}

/* Starts the next disturbance when it is due. */
static void
disturber_step(struct disturber *d, const struct fleet *fleet)
{
    uint64_t us;

    if (fleet->now < d->next_at || d->c->disturbance == DISTURB_NONE) {
        return;
    }
    us = draw(&d->random, d->c->still_us);
    d->next_at = fleet->now + us + draw(&d->random, d->c->run_us);
    switch (d->c->disturbance) {
    case DISTURB_TWO:
        pause_node(d->nodes[d->next], us);
        d->next = 1 - d->next;
        break;
    case DISTURB_BOTH:
        pause_node(d->nodes[0], us);
        pause_node(d->nodes[1], us);
        break;
    case DISTURB_PATH:
        d->nodes[0]->answer_delay_us = us;
        d->nodes[0]->last_fault_at = d->next_at;
        break;
    case DISTURB_TAKEOVER:
        pause_node(d->nodes[1], us);
        break;
    default:
        pause_node(d->nodes[0], us);
        break;
    }
}

static bool
is_disturbed(const struct disturber *d, const struct fleet_node *node)
{
    return node == d->nodes[0] || node == d->nodes[1];
}

/* Returns the age of the oldest change that an undisturbed balancer lacks, 0:
 * all have all. */
static uint64_t
find_oldest_lacked(const struct fleet *fleet, const struct disturber *d)
{
    uint64_t oldest = 0;

    for (size_t i = 0; i < fleet->node_count; i++) {
        const struct fleet_node *node = &fleet->nodes[i];
        uint64_t lacked;
        uint64_t age;

        if (is_disturbed(d, node)) {
            continue;
        }
        lacked = forward_view_position(node->view).revision + 1;
        if (lacked >= fleet->changes->len) {
            continue;
        }
        age = fleet->now -
              g_array_index(fleet->changes, struct fleet_change, lacked)
                  .written_at;
        oldest = age > oldest ? age : oldest;
    }
    return oldest;
}

/* Returns the longest time by which a balancer counts its view as confirmed
 * after a change that it lacks, in us. */
static uint64_t
find_false_confirmation(const struct fleet *fleet)
{
    uint64_t longest = 0;

    for (size_t i = 0; i < fleet->node_count; i++) {
        const struct fleet_node *node = &fleet->nodes[i];
        uint64_t at = node->freshness.confirmed_at + node->suspended_us;
        uint64_t lacked;
        uint64_t written_at;

        if (!node->running || fleet->now < node->frozen_until) {
            continue;
        }
        lacked = forward_view_position(node->view).revision + 1;
        if (lacked >= fleet->changes->len) {
            continue;
        }
        written_at = g_array_index(fleet->changes, struct fleet_change, lacked)
                         .written_at;
        if (at > written_at + longest) {
            longest = at - written_at;
        }
    }
    return longest;
}

struct result {
    uint64_t slowest_us; /* the longest time that a change took */
    uint64_t false_us;   /* see find_false_confirmation() */
};

static void
update_max(uint64_t *max, uint64_t value)
{
    *max = value > *max ? value : *max;
}

/* Plays a case and updates its result. */
static void
play(const struct late_case *c, uint64_t seed, struct result *result)
{
    const uint64_t pair_us[] = {PAIR_MIN_US, PAIR_MIN_US + PAIR_RANGE_US};
    struct fleet *fleet = fleet_new(c->nodes, 4, BOUND_US, seed);
    struct disturber d;
    uint64_t next_pair;
    uint64_t second_at = UINT64_MAX;

    fleet_run(fleet, SETTLE_US);
    disturber_init(&d, c, fleet, seed);
    next_pair = fleet->now + SETTLE_US;
    for (uint64_t end = fleet->now + RUN_US; fleet->now < end;) {
        if (fleet->now >= next_pair) {
            fleet_write(fleet);
            second_at = fleet->now + PAIR_GAP_US;
            next_pair = fleet->now + draw(&d.random, pair_us);
        }
        if (fleet->now >= second_at) {
            fleet_write(fleet);
            second_at = UINT64_MAX;
        }
        disturber_step(&d, fleet);
        fleet_step(fleet);
        update_max(&result->slowest_us, find_oldest_lacked(fleet, &d));
        update_max(&result->false_us, find_false_confirmation(fleet));
    }
    fleet_destroy(fleet);
}

/* Guards against changes that reach undisturbed balancers after the bound,
 * because an answer of the store that was late to a disturbed balancer counted
 * as given when it was handled: after changes that it does not contain. */
static void
test_late_answers_do_not_delay_changes(void **state)
{
    static const struct late_case cases[] = {
        {"no disturbance", DISTURB_NONE, 7, {0, 0}, {0, 0}},
        {"watcher, 0.3 s",
         DISTURB_WATCHER,
         7,
         {280 * MS, 320 * MS},
         {100 * MS, 300 * MS}},
        {"watcher, 0.7 s",
         DISTURB_WATCHER,
         7,
         {650 * MS, 740 * MS},
         {50 * MS, 250 * MS}},
        {"watcher, 1.1 s",
         DISTURB_WATCHER,
         7,
         {1000 * MS, 1200 * MS},
         {50 * MS, 250 * MS}},
        {"watcher, 1.6 s",
         DISTURB_WATCHER,
         7,
         {1550 * MS, 1610 * MS},
         {140 * MS, 180 * MS}},
        {"watcher, 2.2 s",
         DISTURB_WATCHER,
         7,
         {2000 * MS, 2400 * MS},
         {50 * MS, 250 * MS}},
        {"watcher, 4 s",
         DISTURB_WATCHER,
         7,
         {3500 * MS, 4000 * MS},
         {50 * MS, 250 * MS}},
        {"watcher of a larger fleet, 1.6 s",
         DISTURB_WATCHER,
         40,
         {1550 * MS, 1610 * MS},
         {140 * MS, 180 * MS}},
        {"two in turn, 0.8 s",
         DISTURB_TWO,
         7,
         {700 * MS, 900 * MS},
         {50 * MS, 250 * MS}},
        {"two in turn, 1.6 s",
         DISTURB_TWO,
         7,
         {1550 * MS, 1610 * MS},
         {140 * MS, 180 * MS}},
        {"two at once, 1.6 s",
         DISTURB_BOTH,
         7,
         {1550 * MS, 1610 * MS},
         {140 * MS, 180 * MS}},
        {"host of the watcher suspended, 0.9 s",
         DISTURB_SUSPEND,
         7,
         {800 * MS, 1000 * MS},
         {50 * MS, 250 * MS}},
        {"host of the watcher suspended, 1.6 s",
         DISTURB_SUSPEND,
         7,
         {1550 * MS, 1610 * MS},
         {140 * MS, 180 * MS}},
        {"host of the watcher suspended, 2.5 s",
         DISTURB_SUSPEND,
         7,
         {2400 * MS, 2600 * MS},
         {50 * MS, 250 * MS}},
        {"path from the store, 0.9 s",
         DISTURB_PATH,
         7,
         {800 * MS, 950 * MS},
         {50 * MS, 250 * MS}},
        {"path from the store, 1.6 s",
         DISTURB_PATH,
         7,
         {1500 * MS, 1700 * MS},
         {50 * MS, 250 * MS}},
        {"path from the store, 2.4 s",
         DISTURB_PATH,
         7,
         {2200 * MS, 2490 * MS},
         {50 * MS, 250 * MS}},
        {"path from the store, 0 to 1 s",
         DISTURB_PATH,
         7,
         {0, 990 * MS},
         {50 * MS, 250 * MS}},
        {"who takes over, 1.6 s",
         DISTURB_TAKEOVER,
         7,
         {1550 * MS, 1610 * MS},
         {140 * MS, 180 * MS}},
        {"who takes over, 0.9 s",
         DISTURB_TAKEOVER,
         7,
         {800 * MS, 1000 * MS},
         {50 * MS, 250 * MS}},
    };
    unsigned fail_count = 0;

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct result result = {0};

        for (uint64_t seed = SEED; seed < SEED + SEEDS; seed++) {
            play(&cases[i], seed, &result);
        }
        printf("%s: %.2f s, falsely confirmed by %.2f s\n", cases[i].name,
               (double)result.slowest_us / (double)USEC_PER_SEC,
               (double)result.false_us / (double)USEC_PER_SEC);
        fail_count +=
            result.slowest_us > BOUND_US || result.false_us > FALSE_MAX_US;
    }
    assert_int_equal(fail_count, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_late_answers_do_not_delay_changes),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
