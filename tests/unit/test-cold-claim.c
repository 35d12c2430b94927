#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/random.h"
#include "coordination/cold-claim.h"
#include "route-fixture.h"

/* Hosts of one failure domain before one cold target, with a store and faults,
 * on a fake clock. Each host has its own view, clock and idea of who is alive.
 * All openings that the target gets are recorded, and no span of a second may
 * have more than its limit. */

#define SEED 20261204
#define START_US (100 * USEC_PER_SEC)
#define MS USEC_PER_MSEC
#define HOSTS_MAX 24
#define CALLS_MAX 64
#define OPENINGS_MAX 65536
#define TICK_MS 100
#define CALL_MS 5 /* duration of a call of the store */
/* Limit of 8 x 1.5 + 5 openings in a second. */
#define COLD_PER_1000_S 8000
#define OVERAGE 1.5
#define SLACK 5.0
#define LIMIT 17
#define CONFIRM_MAX_US (3 * USEC_PER_SEC)
#define TARGET_ID "i-1"
/* Time after which the others take a dead host for dead. */
#define DETECTION_MS 2500

enum fault {
    FAULT_NONE,
    FAULT_HALVES,          /* the hosts see only their own half */
    FAULT_CUT_FROM_STORE,  /* all hosts are cut off from the store */
    FAULT_FIRST_CUT,       /* the first in rank has no way to the store */
    FAULT_OWNER_KILLED,    /* the host with the claim is killed */
    FAULT_OWNER_FROZEN,    /* it stands still, then gets what has queued up */
    FAULT_ANSWER_LOST,     /* the first write is done and not answered */
    FAULT_WRITE_LOST,      /* the first write is not done and not answered */
    FAULT_WRITE_LATE,      /* it is done 700 ms later and not answered */
    FAULT_STORE_RESTORED,  /* the claim is lost; the owner is cut off first */
    FAULT_NEW_HOSTS,       /* half of the hosts start later */
    FAULT_TARGET_RESTARTS, /* under its id, while its cold start lasts */
};

/* A call of a host in progress. */
struct sim_call {
    int host; /* -1: none */
    struct cold_claim_call call;
    uint64_t done_at; /* when the store executes it, us of the simulation */
    bool lost;        /* the answer is lost */
};

struct sim_host {
    struct forward_view *view;
    struct freshness freshness;
    struct cold_claims *claims;
    char owner[COLD_CLAIM_OWNER_SIZE];
    uint64_t clock_offset; /* its clock minus that of the simulation, us */
    double clock_rate;
    bool started;
    bool dead;
    bool frozen;
    bool no_store;   /* it does not reach the store */
    bool cut;        /* nor hears of it from others */
    unsigned queued; /* openings that arrived while it was frozen */
};

static struct {
    struct sim_host hosts[HOSTS_MAX];
    int host_count;
    enum fault fault;
    uint64_t now;
    uint64_t dead_since;
    struct sim_call calls[CALLS_MAX];
    unsigned writes; /* executed by the store or lost */
    unsigned call_count;
    /* the store */
    struct store_position position;
    bool exists;
    struct store_position key;
    char owner[COLD_CLAIM_OWNER_SIZE];
    uint64_t sent[OPENINGS_MAX];
    size_t sent_count;
    struct random random;
} sim;

static uint64_t
host_now(const struct sim_host *h)
{
    return h->clock_offset +
           (uint64_t)((double)(sim.now - START_US) * h->clock_rate);
}

static uint64_t
retain_until(void *ctx, const struct forward_target *target, uint64_t now)
{
    return 0;
}

static void
on_target_changed(void *ctx, struct forward_target *target)
{
    struct sim_host *h = ctx;

    cold_claims_on_target(h->claims, target, host_now(h));
}

/* Sends a host everything that the store has, with the target cold for
 * "cold_ms" more. */
static void
apply_store(struct sim_host *h, uint64_t born, uint32_t cold_ms)
{
    struct view_delta delta;
    struct route_record route = {
        .addr = 1,
        .port = 80,
        .shares = fixture_share("s", COLD_PER_1000_S),
    };
    struct target_record target = {
        .id = TARGET_ID,
        .service = g_intern_string("s"),
        .domain = g_intern_string("a"),
        .addr = 1,
        .port = 80,
        .slots = 2,
        .cold_ms = cold_ms,
        .created.revision = 1,
        .position = sim.position,
        .born = born,
    };

    view_delta_init(&delta);
    delta.to = sim.position;
    delta.routes_complete = true;
    delta.routes_position = sim.position;
    delta.targets_complete = true;
    view_delta_add_route(&delta, &route);
    g_array_append_val(delta.targets, target);
    forward_view_apply(h->view, &delta, host_now(h));
    view_delta_clear(&delta);
    freshness_confirm(&h->freshness, host_now(h));
}

static void
start_host(int i)
{
    struct sim_host *h = &sim.hosts[i];
    const struct forward_view_callbacks cb = {
        .retain_until = retain_until,
        .target_changed = on_target_changed,
        .ctx = h,
    };
    struct cold_claims_options options = {
        .domain = g_intern_string("a"),
        .overage = OVERAGE,
        .slack = SLACK,
        .confirm_max_us = CONFIRM_MAX_US,
    };

    snprintf(h->owner, sizeof(h->owner), "host-%d", i);
    memcpy(options.owner, h->owner, sizeof(options.owner));
    h->clock_offset = START_US * (uint64_t)(i + 1);
    /* Clocks that run 0.5 % too fast or too slow. */
    h->clock_rate = i % 2 == 0 ? 1.005 : 0.995;
    h->started = true;
    h->view = forward_view_new(&cb);
    freshness_init(&h->freshness, CONFIRM_MAX_US, host_now(h));
    h->claims = cold_claims_new(h->view, &h->freshness, &options);
}

static bool
sees_alive(int host, int other)
{
    const struct sim_host *o = &sim.hosts[other];

    if (!o->started ||
        (o->dead && sim.now >= sim.dead_since + DETECTION_MS * MS)) {
        return false;
    }
    return sim.fault != FAULT_HALVES || host % 2 == other % 2;
}

static size_t
rank(void *ctx, uint64_t salt)
{
    int self = (int)((struct sim_host *)ctx - sim.hosts);
    size_t result = 0;

    for (int i = 0; i < sim.host_count; i++) {
        result +=
            i != self && sees_alive(self, i) &&
            random_mix(salt, (uint64_t)i) < random_mix(salt, (uint64_t)self);
    }
    return result;
}

/* Returns the index of the host that holds the claim, -1 when there is none.
 */
static int
owner_index(void)
{
    for (int i = 0; sim.exists && i < sim.host_count; i++) {
        if (strcmp(sim.hosts[i].owner, sim.owner) == 0) {
            return i;
        }
    }
    return -1;
}

static void
begin_call(int host, const struct cold_claim_call *call)
{
    struct sim_call *c = sim.calls;

    while (c->host >= 0) {
        c++;
        assert_true(c < sim.calls + CALLS_MAX);
    }
    sim.call_count++;
    *c = (struct sim_call){
        .host = host, .call = *call, .done_at = sim.now + CALL_MS * MS};
    if (call->action != COLD_CLAIM_WRITE || sim.writes++ > 0) {
        return;
    }
    c->lost = sim.fault == FAULT_ANSWER_LOST ||
              sim.fault == FAULT_WRITE_LOST || sim.fault == FAULT_WRITE_LATE;
}

static void
answer(struct sim_call *c, enum cold_claim_result result,
       struct store_position position)
{
    struct sim_host *h = &sim.hosts[c->host];

    if (c->call.action == COLD_CLAIM_READ) {
        cold_claims_on_read(
            h->claims, c->call.id, result, sim.exists ? sim.owner : NULL,
            sim.exists ? strlen(sim.owner) : 0, sim.key, host_now(h));
        return;
    }
    cold_claims_on_result(h->claims, c->call.id, result, position,
                          host_now(h));
}

static bool
condition_holds(const struct cold_claim_call *call)
{
    return call->position.era == sim.position.era &&
           (sim.exists ? store_position_equal(call->position, sim.key)
                       : call->position.revision == 0);
}

/* Executes a call and answers it. */
static void
execute(struct sim_call *c)
{
    struct sim_host *h = &sim.hosts[c->host];
    struct sim_call done = *c;
    bool holds = condition_holds(&c->call);

    if (c->lost && sim.fault == FAULT_WRITE_LATE &&
        sim.now < START_US + 700 * MS) {
        /* Not answered now, and done later. */
        c->done_at = START_US + 700 * MS;
        cold_claims_on_result(h->claims, c->call.id, COLD_CLAIM_UNKNOWN,
                              sim.position, host_now(h));
        return;
    }
    c->host = -1;
    if (h->no_store) {
        answer(&done, COLD_CLAIM_FAILED, sim.position);
        return;
    }
    if (holds && done.call.action != COLD_CLAIM_READ &&
        !(done.lost && sim.fault == FAULT_WRITE_LOST)) {
        sim.position.revision++;
        sim.key = sim.position;
        sim.exists = done.call.action == COLD_CLAIM_WRITE;
        memcpy(sim.owner, h->owner, sizeof(sim.owner));
    }
    if (done.lost && sim.fault == FAULT_WRITE_LATE) {
        return;
    }
    if (done.lost) {
        answer(&done, COLD_CLAIM_UNKNOWN, sim.position);
    }
    else if (done.call.action != COLD_CLAIM_READ && !holds) {
        answer(&done, COLD_CLAIM_CONFLICT, sim.position);
    }
    else {
        answer(&done, COLD_CLAIM_DONE, sim.key);
    }
}

/* An opening arrives at a host; there is no other target. */
static void
arrive(struct sim_host *h)
{
    const struct forward_target *target =
        forward_view_target(h->view, forward_cookie(TARGET_ID));
    uint64_t now = host_now(h);

    if (h->frozen) {
        h->queued++;
        return;
    }
    if (target == NULL || !cold_claims_is_limited(target, now) ||
        !cold_claims_allow(h->claims, target, now)) {
        return;
    }
    cold_claims_on_open(h->claims, target, now);
    assert_true(sim.sent_count < OPENINGS_MAX);
    sim.sent[sim.sent_count++] = sim.now;
}

static void
inject_fault(uint64_t at_ms, uint32_t cold_ms)
{
    int owner = owner_index();

    switch (sim.fault) {
    case FAULT_OWNER_KILLED:
        if (at_ms == 1000 && owner >= 0) {
            sim.hosts[owner].dead = true;
            sim.dead_since = sim.now;
        }
        break;
    case FAULT_OWNER_FROZEN:
        if (at_ms == 1000 && owner >= 0) {
            sim.hosts[owner].frozen = true;
        }
        for (int i = 0; at_ms == 3000 && i < sim.host_count; i++) {
            sim.hosts[i].frozen = false;
            for (; sim.hosts[i].queued > 0; sim.hosts[i].queued--) {
                arrive(&sim.hosts[i]);
            }
        }
        break;
    case FAULT_STORE_RESTORED:
        if (at_ms == 1000 && owner >= 0) {
            sim.hosts[owner].cut = true;
            sim.hosts[owner].no_store = true;
            sim.exists = false;
            sim.position.era++;
            for (int i = 0; i < sim.host_count; i++) {
                if (i != owner) {
                    apply_store(&sim.hosts[i], 1, cold_ms - 1000);
                }
            }
        }
        break;
    case FAULT_NEW_HOSTS:
        for (int i = sim.host_count / 2; at_ms == 1000 && i < sim.host_count;
             i++) {
            start_host(i);
            apply_store(&sim.hosts[i], 1, cold_ms - 1000);
        }
        break;
    case FAULT_TARGET_RESTARTS:
        for (int i = 0; at_ms == 1000 && i < sim.host_count; i++) {
            sim.position.revision++;
            apply_store(&sim.hosts[i], 2, cold_ms);
        }
        break;
    default:
        break;
    }
}

static void
step_host(int i, uint64_t at_ms, double openings_per_s)
{
    struct sim_host *h = &sim.hosts[i];
    struct cold_claim_call call;

    if (!h->started || h->dead) {
        return;
    }
    if (!h->frozen && !h->cut) {
        freshness_confirm(&h->freshness, host_now(h));
    }
    while (!h->frozen && at_ms % TICK_MS == (uint64_t)(i * 7 % TICK_MS) &&
           cold_claims_next(h->claims, rank, h, true, &call, host_now(h))) {
        begin_call(i, &call);
    }
    if (random_unit(&sim.random) < openings_per_s / 1000) {
        arrive(h);
    }
}

/* Plays "cold_ms" of cold start and 4 s more. Returns the largest number of
 * openings in any second. */
static size_t
play(enum fault fault, int hosts, uint32_t cold_ms, double openings_per_s)
{
    uint64_t salt = XXH64(TARGET_ID, strlen(TARGET_ID), 0);
    size_t most = 0;
    size_t first = 0;

    memset(&sim, 0, sizeof(sim));
    random_seed(&sim.random, SEED);
    sim.fault = fault;
    sim.host_count = hosts;
    sim.now = START_US;
    sim.position.revision = 10;
    for (int i = 0; i < CALLS_MAX; i++) {
        sim.calls[i].host = -1;
    }
    for (int i = 0; i < hosts; i++) {
        if (fault == FAULT_NEW_HOSTS && i >= hosts / 2) {
            continue;
        }
        start_host(i);
        apply_store(&sim.hosts[i], 1, cold_ms);
        sim.hosts[i].no_store = fault == FAULT_CUT_FROM_STORE;
    }
    for (int i = 0; fault == FAULT_FIRST_CUT && i < hosts; i++) {
        sim.hosts[i].no_store = rank(&sim.hosts[i], salt) == 0;
    }
    for (uint64_t at_ms = 0; at_ms < cold_ms + 4000; at_ms++) {
        sim.now = START_US + at_ms * MS;
        inject_fault(at_ms, cold_ms);
        for (int i = 0; i < CALLS_MAX; i++) {
            if (sim.calls[i].host >= 0 && sim.now >= sim.calls[i].done_at) {
                execute(&sim.calls[i]);
            }
        }
        for (int i = 0; i < hosts; i++) {
            step_host(i, at_ms, openings_per_s / hosts);
        }
    }
    for (size_t last = 0; last < sim.sent_count; last++) {
        while (sim.sent[last] - sim.sent[first] >= USEC_PER_SEC) {
            first++;
        }
        most = last - first + 1 > most ? last - first + 1 : most;
    }
    return most;
}

static void
end_play(void)
{
    for (int i = 0; i < sim.host_count; i++) {
        cold_claims_destroy(sim.hosts[i].claims);
        forward_view_destroy(sim.hosts[i].view);
    }
}

static void
test_faults(void **state)
{
    static const struct {
        const char *name;
        enum fault fault;
        int hosts;
        uint32_t cold_ms;
        double used_min; /* of the limit over the cold start */
        double used_max;
        unsigned calls_max;
        bool key_left; /* the owner cannot remove its key */
    } cases[] = {
        {"calm", FAULT_NONE, 16, 6000, 2.0 / 3, 1.0, 3, false},
        {"short cold start", FAULT_NONE, 16, 2000, 2.0 / 3, 1.3, 2, false},
        {"one host", FAULT_NONE, 1, 6000, 2.0 / 3, 1.0, 2, false},
        {"halves", FAULT_HALVES, 16, 6000, 2.0 / 3, 1.0, 6, false},
        {"cut from the store", FAULT_CUT_FROM_STORE, 16, 6000, 0, 0, 40,
         false},
        {"first in rank cut", FAULT_FIRST_CUT, 16, 6000, 0.5, 1.0, 20, false},
        {"owner killed", FAULT_OWNER_KILLED, 16, 6000, 0.1, 0.4, 6, true},
        {"owner frozen", FAULT_OWNER_FROZEN, 16, 6000, 0.4, 1.0, 4, false},
        {"answer lost", FAULT_ANSWER_LOST, 16, 6000, 2.0 / 3, 1.0, 4, false},
        {"write lost", FAULT_WRITE_LOST, 16, 6000, 2.0 / 3, 1.0, 5, false},
        {"write done late", FAULT_WRITE_LATE, 16, 6000, 2.0 / 3, 1.0, 6,
         false},
        {"store restored", FAULT_STORE_RESTORED, 16, 14000, 0.5, 1.0, 8,
         false},
        {"new hosts", FAULT_NEW_HOSTS, 24, 6000, 2.0 / 3, 1.0, 8, false},
        {"target restarts", FAULT_TARGET_RESTARTS, 16, 6000, 2.0 / 3, 1.2, 4,
         false},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        size_t most =
            play(cases[i].fault, cases[i].hosts, cases[i].cold_ms, 400.0);
        double used =
            (double)sim.sent_count / (LIMIT * (double)cases[i].cold_ms / 1000);

        print_message("%s: at most %zu of %d in a second, %.2f of the limit "
                      "used, %u calls\n",
                      cases[i].name, most, LIMIT, used, sim.call_count);
        if (most > LIMIT || used < cases[i].used_min ||
            used > cases[i].used_max || sim.call_count > cases[i].calls_max ||
            sim.exists != cases[i].key_left) {
            fail_msg("case %s, key left: %d", cases[i].name, sim.exists);
        }
        end_play();
    }
}

/* A claim whose write was not answered, and which the read shows in a store
 * that has been restored meanwhile, is not used: a host that has claimed the
 * target in the earlier era may not know of the new one. The view learns the
 * new era before the next tick, or after it. */
static void
test_read_in_later_era(void **state)
{
    static const struct {
        uint64_t read_era;
        uint64_t view_era;
        bool tick;
        bool allowed;
    } cases[] = {
        {1, 1, false, true},  {1, 1, true, true},  {1, 2, false, false},
        {2, 2, false, false}, {2, 2, true, false}, {2, 1, false, false},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        const uint64_t settled_ms = CONFIRM_MAX_US / MS + 2000;
        struct sim_host *h = &sim.hosts[0];
        struct store_position position = {.era = cases[i].read_era,
                                          .revision = 30};
        struct cold_claim_call call;

        memset(&sim, 0, sizeof(sim));
        sim.host_count = 1;
        sim.now = START_US;
        sim.position = (struct store_position){.era = 1, .revision = 10};
        start_host(0);
        apply_store(h, 1, 60000);
        assert_false(
            cold_claims_next(h->claims, rank, h, true, &call, host_now(h)));
        sim.now += (settled_ms + 1000) * MS;
        freshness_confirm(&h->freshness, host_now(h));
        assert_true(
            cold_claims_next(h->claims, rank, h, true, &call, host_now(h)));
        cold_claims_on_result(h->claims, TARGET_ID, COLD_CLAIM_UNKNOWN,
                              position, host_now(h));
        assert_true(
            cold_claims_next(h->claims, rank, h, true, &call, host_now(h)));
        assert_int_equal(call.action, COLD_CLAIM_READ);
        cold_claims_on_read(h->claims, TARGET_ID, COLD_CLAIM_DONE, h->owner,
                            strlen(h->owner), position, host_now(h));
        sim.position =
            (struct store_position){.era = cases[i].view_era, .revision = 40};
        apply_store(h, 1, 50000);
        if (cases[i].tick) {
            cold_claims_next(h->claims, rank, h, true, &call, host_now(h));
        }
        if (cold_claims_allow(
                h->claims,
                forward_view_target(h->view, forward_cookie(TARGET_ID)),
                host_now(h)) != cases[i].allowed) {
            fail_msg("case %zu", i);
        }
        end_play();
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_faults),
        cmocka_unit_test(test_read_in_later_era),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
