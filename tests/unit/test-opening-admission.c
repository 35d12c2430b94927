#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/random.h"
#include "coordination/opening-admission.h"
#include "route-fixture.h"

#define SEED 20261204
#define DOMAINS 4
#define HOSTS_MAX 64
#define TARGETS_MAX 128
#define MS USEC_PER_MSEC
#define SECOND USEC_PER_SEC
#define WORK_MS 33.0
#define WAY_MS 7
#define SLOTS 2
#define PLACES 10     /* slots and queue of a target */
#define FULL_MS 110   /* until a full target has answered */
#define CUT_PART 0.14 /* of the tries at full targets */
#define TRIES 3
#define AIM_MS 400
#define RING 1024 /* ms, longer than any wait of a caller */
#define URGENT_PART 0.33
#define NAME g_intern_string("s")

static const struct route_record urgent = {.priority = 1};
static const struct route_record usual = {.priority = 2, .repeatable = true};

struct request {
    const struct route_record *route;
    uint64_t started; /* ms */
    uint64_t sent;    /* ms, the last try */
    size_t host;
    int tries;
    bool counted;
};

struct server {
    struct forward_target *record;
    struct request queue[PLACES];
    double ends[SLOTS]; /* ms */
    size_t count;
};

struct result {
    unsigned asked, in_aim, late, refused, lost;
};

static struct world {
    uint64_t now; /* ms */
    struct random random;
    struct forward_view *view;
    struct forward_service *service;
    struct server targets[TARGETS_MAX];
    size_t target_count;
    struct domain_load *loads[HOSTS_MAX];
    struct opening_admission *admission[HOSTS_MAX];
    size_t host_count;
    bool admits_all; /* as if there were no admission */
    bool halves;
    GArray *again[RING]; /* struct request by the time of the next try */
    struct result results[2];
    unsigned resets; /* of all requests */
} world;

static uint64_t
retain(void *ctx, const struct forward_target *target, uint64_t now)
{
    return 0;
}

static const char *
domain_name(size_t i)
{
    static const char *const names[DOMAINS] = {"a", "b", "c", "d"};

    return g_intern_string(names[i % DOMAINS]);
}

static void
make_view(size_t targets)
{
    const struct forward_view_callbacks cb = {.retain_until = retain};
    const struct route_record route = {
        .addr = 1, .port = 80, .shares = fixture_share(NAME, 0)};
    struct view_delta delta;

    view_delta_init(&delta);
    delta.to.revision = 10;
    delta.routes_complete = true;
    delta.routes_position.revision = 1;
    view_delta_add_route(&delta, &route);
    delta.targets_complete = true;
    for (size_t i = 0; i < targets; i++) {
        struct target_record t = {.service = NAME,
                                  .domain = domain_name(i),
                                  .addr = 0x0a000000U + (uint32_t)i,
                                  .port = 80,
                                  .slots = SLOTS,
                                  .created.revision = 2,
                                  .position.revision = 2};

        snprintf(t.id, sizeof(t.id), "t-%zu", i);
        g_array_append_val(delta.targets, t);
    }
    world.view = forward_view_new(&cb);
    assert_true(forward_view_apply(world.view, &delta, 1));
    view_delta_clear(&delta);
    world.service = forward_view_service(world.view, NAME);
    world.target_count = world.service->targets->len;
    for (size_t i = 0; i < world.target_count; i++) {
        struct forward_target *t =
            g_ptr_array_index(world.service->targets, i);

        t->observations.handshake_us = WAY_MS * MS;
        world.targets[i].record = t;
    }
}

static void
start(size_t hosts, size_t targets)
{
    memset(&world, 0, sizeof(world));
    random_seed(&world.random, SEED);
    world.now = 100 * 1000;
    world.host_count = hosts;
    make_view(targets);
    for (size_t i = 0; i < RING; i++) {
        world.again[i] = g_array_new(FALSE, FALSE, sizeof(struct request));
    }
    for (size_t i = 0; i < hosts; i++) {
        world.loads[i] = domain_load_new(domain_name(i));
        world.admission[i] = opening_admission_new();
    }
}

static void
stop(void)
{
    for (size_t i = 0; i < RING; i++) {
        g_array_free(world.again[i], TRUE);
    }
    for (size_t i = 0; i < world.host_count; i++) {
        domain_load_destroy(world.loads[i]);
        opening_admission_destroy(world.admission[i]);
    }
    forward_view_destroy(world.view);
}

static struct result *
result_of(const struct request *r)
{
    static struct result ignored;

    return r->counted ? &world.results[r->route == &urgent ? 0 : 1] : &ignored;
}

/* A try of a caller has ended after "ms" without an answer of use. */
static void
try_again(struct request r, uint64_t ms, bool cut)
{
    if (cut && !r.route->repeatable) {
        result_of(&r)->lost++;
        return;
    }
    if (r.tries == TRIES) {
        result_of(&r)->refused++;
        return;
    }
    g_array_append_val(world.again[(world.now + ms) % RING], r);
}

/* Work of a request, the sum of 4 exponential times. */
static double
draw_work(void)
{
    double product = 1.0;

    for (int i = 0; i < 4; i++) {
        product *= 1.0 - random_unit(&world.random);
    }
    return -log(product) * WORK_MS / 4;
}

static struct server *
choose_target(size_t host)
{
    size_t count;
    const struct domain_share *shares =
        domain_load_shares(world.loads[host], world.service, &count);
    const char *domain = domain_name(host);
    double unit = random_unit(&world.random);
    struct server *t;

    for (size_t i = 0; shares != NULL && i < count; i++) {
        domain = shares[i].domain;
        if (unit < shares[i].share) {
            break;
        }
        unit -= shares[i].share;
    }
    do {
        t = &world.targets[(size_t)(random_unit(&world.random) *
                                    (double)world.target_count)];
    } while (t->record->record.domain != domain);
    return t;
}

/* Whether the host of a request refuses it, as forward-task does. */
static bool
is_refused(const struct request *r)
{
    struct opening_admission *a = world.admission[r->host];
    uint64_t now = world.now * MS;
    struct domain_load_state state;

    if (world.admits_all) {
        return false;
    }
    if (opening_admission_is_due(a, NAME, now)) {
        bool known =
            domain_load_state(world.loads[r->host], NAME, now, &state);

        opening_admission_update(a, NAME, known ? &state : NULL, now);
    }
    if (opening_admission_admits(a, NAME, r->route, &world.random, now)) {
        return false;
    }
    domain_load_on_refused(world.loads[r->host], NAME, now);
    return true;
}

static void
send_request(struct request r)
{
    struct server *t = choose_target(r.host);
    uint64_t now = world.now * MS;
    bool cut;

    r.tries++;
    r.sent = world.now;
    if (is_refused(&r)) {
        world.resets++;
        try_again(r, WAY_MS, false);
        return;
    }
    domain_load_on_forward(world.loads[r.host], t->record, true, now);
    domain_load_on_forward(world.loads[r.host], t->record, false, now);
    if (t->count == PLACES) {
        cut = random_unit(&world.random) < CUT_PART;
        try_again(r, cut ? WAY_MS : FULL_MS, cut);
        return;
    }
    if (t->count < SLOTS) {
        t->ends[t->count] = (double)world.now + draw_work();
    }
    t->queue[t->count] = r;
    t->count++;
}

/* Ends the request in a slot and starts the next one of the queue there. */
static void
end_request(struct server *t, size_t slot)
{
    struct request r = t->queue[slot];
    uint64_t took = world.now + WAY_MS - r.started;

    domain_load_on_answer(world.loads[r.host], t->record,
                          (world.now + WAY_MS - r.sent) * MS, world.now * MS);
    if (took <= AIM_MS) {
        result_of(&r)->in_aim++;
    }
    else {
        result_of(&r)->late++;
    }
    t->count--;
    if (t->count >= SLOTS) {
        t->queue[slot] = t->queue[SLOTS];
        memmove(&t->queue[SLOTS], &t->queue[SLOTS + 1],
                (t->count - SLOTS) * sizeof(r));
        t->ends[slot] = (double)world.now + draw_work();
    }
    else {
        t->queue[slot] = t->queue[t->count];
        t->ends[slot] = t->ends[t->count];
    }
}

static void
work(void)
{
    for (size_t i = 0; i < world.target_count; i++) {
        struct server *t = &world.targets[i];

        for (size_t slot = 0; slot < SLOTS && slot < t->count;) {
            if (t->ends[slot] <= (double)world.now) {
                end_request(t, slot);
            }
            else {
                slot++;
            }
        }
    }
}

/* Callers of all domains send "load" times what the targets can run. */
static void
call(double load, bool counted)
{
    double rate =
        load * (double)world.target_count * SLOTS / WORK_MS; /* per ms */
    double left = -log(1.0 - random_unit(&world.random));
    GArray *again = world.again[world.now % RING];

    while (left < rate) {
        struct request r = {.route = random_unit(&world.random) < URGENT_PART
                                         ? &urgent
                                         : &usual,
                            .started = world.now,
                            .host = (size_t)(random_unit(&world.random) *
                                             (double)world.host_count),
                            .counted = counted};

        result_of(&r)->asked++;
        send_request(r);
        left -= log(1.0 - random_unit(&world.random));
    }
    for (guint i = 0; i < again->len; i++) {
        struct request r = g_array_index(again, struct request, i);

        r.host =
            (size_t)(random_unit(&world.random) * (double)world.host_count);
        send_request(r);
    }
    g_array_set_size(again, 0);
}

/* The messages of a host to three others. */
static void
tell(size_t from)
{
    struct domain_load_record records[DOMAIN_LOAD_RECORDS_MAX];
    uint64_t now = world.now * MS;
    size_t count = domain_load_export(world.loads[from], records,
                                      DOMAIN_LOAD_RECORDS_MAX, now);

    for (int i = 0; i < DOMAIN_LOAD_PEERS; i++) {
        size_t to =
            (size_t)(random_unit(&world.random) * (double)world.host_count);

        if (to != from &&
            !(world.halves && to / DOMAINS % 2 != from / DOMAINS % 2)) {
            domain_load_receive(world.loads[to], records, count, now);
        }
    }
}

static double
domain_hosts(size_t host)
{
    double count = 0;

    for (size_t i = 0; i < world.host_count; i++) {
        count += i % DOMAINS == host % DOMAINS &&
                 !(world.halves && i / DOMAINS % 2 != host / DOMAINS % 2);
    }
    return count;
}

static void
play(double load, uint64_t ms, bool counted)
{
    for (uint64_t end = world.now + ms; world.now < end; world.now++) {
        for (size_t i = 0; i < world.host_count; i++) {
            if (world.now % 100 == i % 100) {
                domain_load_tick(world.loads[i], world.view, domain_hosts(i),
                                 world.now * MS);
            }
            if (world.now % 250 == i * 37 % 250) {
                tell(i);
            }
        }
        work();
        call(load, counted);
    }
}

/* What callers get by class during 4 s of too much load. */
static void
test_burst(void **ctx)
{
    static const struct {
        size_t hosts;
        size_t targets;
        double load;
    } cases[] = {{7, 16, 1.5}, {7, 16, 3.0}, {64, 120, 1.5}, {64, 120, 3.0}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct result without[2];
        const struct result *with = world.results;

        for (int on = 0; on < 2; on++) {
            start(cases[i].hosts, cases[i].targets);
            world.admits_all = on == 0;
            play(0.25, 8000, false);
            play(cases[i].load, 4000, true);
            play(0.25, 3000, false);
            if (on == 0) {
                memcpy(without, world.results, sizeof(without));
            }
            for (int c = 0; c < 2; c++) {
                const struct result *r = &world.results[c];

                print_message("%zu hosts, load %.1f, %s, %s: asked %u, in aim "
                              "%u, late %u, refused %u, lost %u\n",
                              cases[i].hosts, cases[i].load,
                              on == 0 ? "without" : "with",
                              c == 0 ? "urgent" : "usual", r->asked, r->in_aim,
                              r->late, r->refused, r->lost);
            }
            if (on == 1) {
                assert_true(with[0].in_aim > without[0].in_aim * 1.05);
                assert_true(2 * with[0].lost < without[0].lost);
                assert_true(with[0].in_aim + with[1].in_aim >=
                            0.98 * (without[0].in_aim + without[1].in_aim));
            }
            stop();
        }
    }
}

/* 60 s at 0.9 of the room, also after a calm time. */
static void
test_enough_room(void **ctx)
{
    static const double before[] = {0.25, 0.9};

    for (size_t i = 0; i < G_N_ELEMENTS(before); i++) {
        start(64, 120);
        play(before[i], 8000, false);
        play(0.9, 60000, false);
        assert_int_equal(world.resets, 0);
        stop();
    }
}

/* Halves know of their own callers only, and refuse less for it. */
static void
test_halves(void **ctx)
{
    start(64, 120);
    play(0.25, 8000, false);
    world.halves = true;
    play(0.9, 5000, false);
    assert_int_equal(world.resets, 0);
    stop();
}

/* Cases in which the load is not known well enough. */
static void
test_states(void **ctx)
{
    const struct domain_load_state calm = {.demand = 300,
                                           .room = 1000,
                                           .time_us = 30000,
                                           .new_flows = 1.0,
                                           .measuring_us = 10 * SECOND};
    const struct {
        const char *what;
        bool known;
        bool was_calm;
        double demand;
        double time_us;
        double new_flows;
        uint64_t age_us;
        uint64_t measuring_us;
        const char *regions;
        bool refuses;
    } cases[] = {
        {"too much", true, true, 5000, 30000, 1, 0, 9 * SECOND, NULL, true},
        {"unknown", false, true, 5000, 30000, 1, 0, 9 * SECOND, NULL, false},
        {"old", true, true, 5000, 30000, 1, 3 * SECOND, 9 * SECOND, NULL,
         false},
        {"started", true, true, 5000, 30000, 1, 0, 4 * SECOND, NULL, false},
        {"never calm", true, false, 5000, 30000, 1, 0, 9 * SECOND, NULL,
         false},
        {"time contains waits", true, true, 5000, 150000, 1, 0, 9 * SECOND,
         NULL, false},
        {"open flows", true, true, 5000, 30000, 0.2, 0, 9 * SECOND, NULL,
         false},
        {"a route with regions", true, true, 5000, 30000, 1, 0, 9 * SECOND,
         "here", false},
        {"little more than room", true, true, 1350, 30000, 1, 0, 9 * SECOND,
         NULL, false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct domain_load_state state = {
            .demand = cases[i].demand,
            .room = 1000,
            .time_us = cases[i].time_us,
            .new_flows = cases[i].new_flows,
            .age_us = cases[i].age_us,
            .measuring_us = cases[i].measuring_us};
        struct route_record route = {
            .priority = 3, .repeatable = true, .regions = cases[i].regions};
        struct opening_admission *a = opening_admission_new();
        struct random random;
        bool refused = false;

        random_seed(&random, SEED);
        if (cases[i].was_calm) {
            opening_admission_update(a, NAME, &calm, 10 * SECOND);
        }
        for (uint64_t now = 11 * SECOND; now < 13 * SECOND; now += 10 * MS) {
            if (opening_admission_is_due(a, NAME, now)) {
                opening_admission_update(a, NAME,
                                         cases[i].known ? &state : NULL, now);
            }
            refused =
                !opening_admission_admits(a, NAME, &route, &random, now) ||
                refused;
        }
        print_message("%s\n", cases[i].what);
        assert_int_equal(refused, cases[i].refuses);
        opening_admission_destroy(a);
    }
}

/* The classes in their order at 2 times the room, and the end. */
static void
test_classes(void **ctx)
{
    struct domain_load_state state = {.demand = 300,
                                      .room = 1000,
                                      .time_us = 30000,
                                      .new_flows = 1.0,
                                      .measuring_us = 10 * SECOND};
    const struct route_record routes[] = {
        {.priority = 0, .repeatable = true},
        {.priority = 2},
        {.priority = 2, .repeatable = true},
        {.priority = 9, .repeatable = true},
    };
    unsigned refused[4] = {0};
    unsigned after = 0;
    struct opening_admission *a = opening_admission_new();
    struct random random;

    random_seed(&random, SEED);
    opening_admission_update(a, NAME, &state, 10 * SECOND);
    state.demand = 2000;
    for (uint64_t now = 11 * SECOND; now < 15 * SECOND; now += MS) {
        size_t i = now / MS % 4;
        bool over = now >= 13 * SECOND;

        state.demand = over ? 950 : 2000;
        if (opening_admission_is_due(a, NAME, now)) {
            opening_admission_update(a, NAME, &state, now);
        }
        if (!opening_admission_admits(a, NAME, &routes[i], &random, now)) {
            refused[i]++;
            after += now >= 13 * SECOND + OPENING_UPDATE_US;
        }
    }
    assert_int_equal(refused[0], 0);
    assert_int_equal(refused[1], 0);
    /* 1.4 / 2 of all are 2.8 of 4 equal classes: 0.8 of the third. */
    assert_in_range(refused[2], 50, 140);
    assert_in_range(refused[3], 420, 500);
    assert_int_equal(after, 0);
    opening_admission_destroy(a);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_states), cmocka_unit_test(test_classes),
        cmocka_unit_test(test_burst),  cmocka_unit_test(test_enough_room),
        cmocka_unit_test(test_halves),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
