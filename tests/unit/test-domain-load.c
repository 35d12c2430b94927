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
#include "coordination/domain-load.h"
#include "coordination/domain-shares.h"
#include "coordination/load-table.h"
#include "coordination/rate-meter.h"
#include "coordination/service-time.h"
#include "protocol/view-codec.h"
#include "route-fixture.h"

#define SEED 20261204
#define DOMAINS 4
#define HOSTS_MAX 300
#define MS USEC_PER_MSEC
#define STEP_US (10 * MS)
#define SECOND USEC_PER_SEC
#define SERVICE_US 33000.0 /* work of a request */
#define WAY_US 7000.0      /* to a target and back to the caller */
#define WAIT_MAX 5.0       /* longest wait at a target, in times of work */
#define LOCAL_PEERS 5
#define REMOTE_PEERS 2
#define BYTES_MAX 10000.0 /* a host and second */

enum fault { NO_FAULT, HALVES, FROZEN, NEW_HOST };

/* A host with the routers' share of the callers of its domain. */
struct balancer {
    struct domain_load *dl;
    size_t domain;
    uint64_t next_send;
    uint64_t calm_send;
    bool frozen;
    bool absent;
    double parts[DOMAINS]; /* of the last second, if shared */
    double flows[DOMAINS]; /* open flows by domain of their targets */
};

struct message {
    uint64_t due;
    size_t to;
    size_t from;
    uint8_t *data;
    size_t size;
};

static struct fleet {
    uint64_t now;
    struct random random;
    struct forward_view *view;
    struct forward_target *first[DOMAINS]; /* a target of each domain */
    double room[DOMAINS];
    size_t host_count;
    struct balancer hosts[HOSTS_MAX];
    GQueue *messages;
    bool halves;
    bool keep_home;       /* as if there were no shares */
    double new_flows;     /* part of the requests that come on new flows */
    double load[DOMAINS]; /* requests of the last 100 ms */
    double utilization[DOMAINS]; /* of that time */
    uint64_t bytes;
    bool shared; /* somebody has had shares */
} fleet;

static const char *
domain_name(size_t i)
{
    static const char *const names[DOMAINS] = {"a", "b", "c", "d"};

    return g_intern_string(names[i]);
}

static uint64_t
retain(void *ctx, const struct forward_target *target, uint64_t now)
{
    return 0;
}

/* Makes a view with "targets" targets of 2 slots in each domain. */
static void
make_view(size_t targets)
{
    const struct forward_view_callbacks cb = {.retain_until = retain};
    const struct route_record route = {
        .addr = 1, .port = 80, .shares = fixture_share("s", 0)};
    struct view_delta delta;
    struct forward_service *service;

    view_delta_init(&delta);
    delta.to.revision = 10;
    delta.routes_complete = true;
    delta.routes_position.revision = 1;
    view_delta_add_route(&delta, &route);
    delta.targets_complete = true;
    for (size_t i = 0; i < targets * DOMAINS; i++) {
        struct target_record t = {.service = g_intern_string("s"),
                                  .domain = domain_name(i % DOMAINS),
                                  .addr = 0x0a000000U + (uint32_t)i,
                                  .port = 80,
                                  .slots = 2,
                                  .created.revision = 2,
                                  .position.revision = 2};

        snprintf(t.id, sizeof(t.id), "t-%zu", i);
        g_array_append_val(delta.targets, t);
    }
    fleet.view = forward_view_new(&cb);
    assert_true(forward_view_apply(fleet.view, &delta, 1));
    view_delta_clear(&delta);
    service = forward_view_service(fleet.view, g_intern_string("s"));
    for (guint i = 0; i < service->targets->len; i++) {
        struct forward_target *t = g_ptr_array_index(service->targets, i);

        t->observations.handshake_us = WAY_US;
        for (size_t d = 0; d < DOMAINS; d++) {
            if (t->record.domain == domain_name(d)) {
                fleet.first[d] = t;
                fleet.room[d] += 2 * 1e6 / SERVICE_US;
            }
        }
    }
}

static void
start_fleet(size_t hosts, size_t targets)
{
    memset(&fleet, 0, sizeof(fleet));
    random_seed(&fleet.random, SEED);
    fleet.now = 100 * SECOND;
    fleet.new_flows = 1.0;
    fleet.host_count = hosts;
    fleet.messages = g_queue_new();
    make_view(targets);
    for (size_t i = 0; i < hosts; i++) {
        fleet.hosts[i].domain = i % DOMAINS;
        fleet.hosts[i].dl = domain_load_new(domain_name(i % DOMAINS));
        fleet.hosts[i].next_send = fleet.now + i * 3 * MS;
    }
}

static void
free_message(gpointer data)
{
    struct message *m = data;

    free(m->data);
    g_free(m);
}

static void
stop_fleet(void)
{
    for (size_t i = 0; i < fleet.host_count; i++) {
        domain_load_destroy(fleet.hosts[i].dl);
    }
    g_queue_free_full(fleet.messages, free_message);
    forward_view_destroy(fleet.view);
}

static bool
are_cut(size_t a, size_t b)
{
    return fleet.halves && a / DOMAINS % 2 != b / DOMAINS % 2;
}

/* Live hosts of the domain of a host that it can reach, itself included. */
static double
count_hosts(size_t of)
{
    double count = 0;

    for (size_t i = 0; i < fleet.host_count; i++) {
        count += fleet.hosts[i].domain == fleet.hosts[of].domain &&
                 !fleet.hosts[i].absent && !are_cut(i, of);
    }
    return count;
}

/* Picks one of the fixed neighbors of a host: in its domain the next two on a
 * ring and some at random, or some in other domains. */
static size_t
pick_peer(size_t of, bool local)
{
    size_t place =
        random_below(&fleet.random, local ? LOCAL_PEERS : REMOTE_PEERS);
    size_t peer =
        local && place < 2
            ? of + DOMAINS * (place + 1)
            : random_mix(of, place + (local ? 100 : 0)) % fleet.host_count;

    for (size_t i = 0; i < fleet.host_count; i++) {
        const struct balancer *b = &fleet.hosts[(peer + i) % fleet.host_count];

        if (b != &fleet.hosts[of] && !b->absent &&
            (b->domain == fleet.hosts[of].domain) == local) {
            return (peer + i) % fleet.host_count;
        }
    }
    return of;
}

static void
send_load(size_t from, uint64_t lag)
{
    struct balancer *h = &fleet.hosts[from];
    struct view_message m = {.kind = VIEW_LOAD, .sender_addr = 0x7f000001};

    if (fleet.now < h->next_send ||
        (fleet.now < h->calm_send && !domain_load_is_busy(h->dl))) {
        return;
    }
    h->next_send = fleet.now + DOMAIN_LOAD_BUSY_INTERVAL_US;
    h->calm_send = fleet.now + DOMAIN_LOAD_CALM_INTERVAL_US;
    m.load_count =
        domain_load_export(h->dl, m.load, DOMAIN_LOAD_RECORDS_MAX, fleet.now);
    view_delta_init(&m.delta);
    for (int i = 0; i < DOMAIN_LOAD_PEERS; i++) {
        struct message *sent = g_new0(struct message, 1);

        sent->from = from;
        sent->to = pick_peer(from, i > 0);
        sent->due = fleet.now + lag;
        sent->data = view_encode(&m, &sent->size);
        fleet.bytes += sent->size;
        g_queue_push_tail(fleet.messages, sent);
    }
    view_delta_clear(&m.delta);
}

static void
deliver(void)
{
    while (!g_queue_is_empty(fleet.messages)) {
        struct message *sent = g_queue_peek_head(fleet.messages);
        struct view_message m = {0};

        if (sent->due > fleet.now) {
            return;
        }
        g_queue_pop_head(fleet.messages);
        view_delta_init(&m.delta);
        assert_true(view_decode(&m, sent->data, sent->size));
        if (!fleet.hosts[sent->to].absent && !fleet.hosts[sent->to].frozen &&
            !are_cut(sent->from, sent->to)) {
            domain_load_receive(fleet.hosts[sent->to].dl, m.load, m.load_count,
                                fleet.now);
        }
        view_delta_clear(&m.delta);
        free_message(sent);
    }
}

/* Domain for a new flow of a host. */
static size_t
choose_domain(const struct balancer *h)
{
    size_t count;
    const struct domain_share *shares = domain_load_shares(
        h->dl, forward_view_service(fleet.view, g_intern_string("s")), &count);
    double drawn = random_unit(&fleet.random);

    for (size_t i = 0; i < count && !fleet.keep_home; i++) {
        drawn -= shares[i].share;
        if (drawn < 0) {
            for (size_t d = 0; d < DOMAINS; d++) {
                if (domain_name(d) == shares[i].domain) {
                    return d;
                }
            }
        }
    }
    return h->domain;
}

/* Domain of the targets that a request goes to: on a new flow, or on one of
 * the open flows at random. */
static size_t
place_request(struct balancer *h)
{
    double total = 0;
    double drawn;
    size_t chosen;

    for (size_t d = 0; d < DOMAINS; d++) {
        total += h->flows[d];
    }
    if (total < 1.0 || random_unit(&fleet.random) < fleet.new_flows) {
        chosen = choose_domain(h);
        domain_load_on_forward(h->dl, fleet.first[chosen], true, fleet.now);
        /* Flows end after 1 / new_flows requests in the mean. */
        for (size_t d = 0; d < DOMAINS; d++) {
            h->flows[d] *= 1.0 - 1.0 / (total + 1.0);
        }
        h->flows[chosen] += total < 100 ? 2.0 : 1.0;
        return chosen;
    }
    drawn = random_unit(&fleet.random) * total;
    for (chosen = 0; chosen < DOMAINS - 1 && drawn >= h->flows[chosen];
         chosen++) {
        drawn -= h->flows[chosen];
    }
    return chosen;
}

/* One request of a host: its answer shows the wait at loaded targets, or that
 * a full one has refused it. */
static void
play_request(struct balancer *h)
{
    size_t to = place_request(h);
    double used = fleet.utilization[to];
    double wait = used >= 0.99 ? WAIT_MAX : used * used / (1.0 - used * used);
    double work = SERVICE_US * (0.5 + random_unit(&fleet.random));

    wait = wait < WAIT_MAX ? wait : WAIT_MAX;
    domain_load_on_forward(h->dl, fleet.first[to], false, fleet.now);
    fleet.load[to]++;
    if (used > 1.0 && random_unit(&fleet.random) > 1.0 / used) {
        domain_load_on_answer(h->dl, fleet.first[to], (uint64_t)WAY_US,
                              fleet.now);
        return;
    }
    domain_load_on_answer(h->dl, fleet.first[to],
                          (uint64_t)(WAY_US + work + wait * SERVICE_US),
                          fleet.now);
}

static void
check_shares(struct balancer *h)
{
    size_t count;
    const struct domain_share *shares = domain_load_shares(
        h->dl, forward_view_service(fleet.view, g_intern_string("s")), &count);
    double parts[DOMAINS] = {0};
    double sum = 0;

    for (size_t i = 0; i < count; i++) {
        assert_true(shares[i].share >= 0 && shares[i].share <= 1.0 + 1e-9);
        sum += shares[i].share;
        for (size_t d = 0; d < DOMAINS; d++) {
            if (domain_name(d) == shares[i].domain) {
                parts[d] = shares[i].share;
            }
        }
    }
    fleet.shared = fleet.shared || count > 0;
    if (count > 0 && fabs(sum - 1.0) > 1e-6) {
        fail_msg("the shares add up to %f", sum);
    }
    memcpy(h->parts, parts, sizeof(parts));
}

/* Plays "us" of load: "demand" requests a second by the callers of each
 * domain. */
static void
play(const double demand[DOMAINS], uint64_t lag, uint64_t us)
{
    for (uint64_t end = fleet.now + us; fleet.now < end;
         fleet.now += STEP_US) {
        bool tick = fleet.now / STEP_US % (DOMAIN_LOAD_TICK_US / STEP_US) == 0;

        deliver();
        for (size_t i = 0; i < fleet.host_count; i++) {
            struct balancer *h = &fleet.hosts[i];
            double hosts = 0;
            double due;

            for (size_t j = 0; j < fleet.host_count; j++) {
                hosts += fleet.hosts[j].domain == h->domain &&
                         !fleet.hosts[j].absent;
            }
            if (h->absent || h->frozen) {
                continue;
            }
            due = demand[h->domain] / hosts * STEP_US / 1e6;
            /* Two draws for each expected request: nearly Poisson. */
            for (int k = 0; k < (int)ceil(due * 2); k++) {
                if (random_unit(&fleet.random) < due / ceil(due * 2)) {
                    play_request(h);
                }
            }
            if (tick) {
                domain_load_tick(h->dl, fleet.view, count_hosts(i), fleet.now);
                check_shares(h);
                send_load(i, lag);
            }
        }
        for (size_t d = 0; d < DOMAINS && tick; d++) {
            fleet.utilization[d] = fleet.load[d] * 10 / fleet.room[d];
            fleet.load[d] = 0;
        }
    }
}

/* Plays "seconds" in parts of 0.5 s. Stores the highest utilization of a
 * domain in all that time, and the largest difference between two parts that
 * follow each other. */
static void
measure(const double demand[DOMAINS], uint64_t lag, unsigned seconds,
        double *highest, double *change)
{
    double total[DOMAINS] = {0};
    double last[DOMAINS] = {-1, -1, -1, -1};

    *change = 0;
    *highest = 0;
    for (unsigned part = 0; part < 2 * seconds; part++) {
        double sums[DOMAINS] = {0};

        for (int i = 0; i < 5; i++) {
            play(demand, lag, 100 * MS);
            for (size_t d = 0; d < DOMAINS; d++) {
                sums[d] += fleet.utilization[d] / 5;
            }
        }
        for (size_t d = 0; d < DOMAINS; d++) {
            total[d] += sums[d] / (2 * seconds);
            if (last[d] >= 0) {
                *change = fmax(*change, fabs(sums[d] - last[d]));
            }
            last[d] = sums[d];
        }
    }
    for (size_t d = 0; d < DOMAINS; d++) {
        *highest = fmax(*highest, total[d]);
    }
}

/* Highest utilization when it is divided by somebody who knows everything. */
static double
best_utilization(const double demand[DOMAINS])
{
    struct domain_demand domains[DOMAINS];
    double total[DOMAINS] = {0};
    double highest = 0;

    for (size_t d = 0; d < DOMAINS; d++) {
        domains[d] = (struct domain_demand){true, demand[d], fleet.room[d]};
    }
    for (size_t own = 0; own < DOMAINS; own++) {
        double load[DOMAINS];

        domain_shares_divide(domains, DOMAINS, own, load);
        for (size_t d = 0; d < DOMAINS; d++) {
            total[d] += load[d];
        }
    }
    for (size_t d = 0; d < DOMAINS; d++) {
        highest = fmax(highest, total[d] / fleet.room[d]);
    }
    return highest;
}

enum pattern { EVEN, HOT, TWO_HOT, THREE_HOT, COLD_FIRST };

/* Weights of the callers of the domains */
static const double patterns[][DOMAINS] = {[EVEN] = {1, 1, 1, 1},
                                           [HOT] = {6, 1, 1, 1},
                                           [TWO_HOT] = {3, 3, 1, 1},
                                           [THREE_HOT] = {4, 4, 4, 1},
                                           [COLD_FIRST] = {1, 3, 3, 3}};

static void
set_demand(double demand[DOMAINS], enum pattern pattern, double part)
{
    const double *weights = patterns[pattern];
    double weight = 0;
    double room = 0;

    for (size_t d = 0; d < DOMAINS; d++) {
        weight += weights[d];
        room += fleet.room[d];
    }
    for (size_t d = 0; d < DOMAINS; d++) {
        demand[d] = part * room * weights[d] / weight;
    }
}

struct load_case {
    size_t hosts;
    size_t targets; /* in each domain */
    enum pattern pattern;
    double part; /* of all rooms */
    uint64_t lag;
    double new_flows;
    enum fault fault;
    bool calm; /* no shares may ever be given */
};

/* 5 s of load that every domain bears, then the case, played for 3 s without
 * being measured and then measured for 3 s. */
static void
run_case(const struct load_case *c, double *best, double *highest,
         double *change)
{
    double before[DOMAINS];
    double demand[DOMAINS];

    start_fleet(c->hosts, c->targets);
    fleet.new_flows = c->new_flows;
    set_demand(before, EVEN, 0.25);
    set_demand(demand, c->pattern, c->part);
    fleet.hosts[4].absent = c->fault == NEW_HOST;
    play(before, c->lag, 5 * SECOND);
    /* With few requests the first counts of all are far off. */
    fleet.shared = false;
    if (c->fault == FROZEN) {
        fleet.hosts[0].frozen = true;
        play(before, c->lag, 3 * SECOND);
    }
    play(demand, c->lag, 2 * SECOND);
    fleet.halves = c->fault == HALVES;
    fleet.hosts[4].absent = false;
    if (fleet.hosts[0].frozen) {
        fleet.hosts[0].frozen = false;
        for (int i = 0; i < 200; i++) {
            /* What has waited in its socket */
            play_request(&fleet.hosts[0]);
        }
    }
    play(demand, c->lag, 2 * SECOND);
    *best = best_utilization(demand);
    fleet.bytes = 0;
    measure(demand, c->lag, 3, highest, change);
}

static const struct load_case load_cases[] = {
    {7, 30, EVEN, 0.4, 2 * MS, 1, NO_FAULT, true},
    {64, 30, EVEN, 0.4, 2 * MS, 1, NO_FAULT, true},
    {64, 30, EVEN, 0.4, 2 * MS, 1, HALVES, true},
    {64, 30, EVEN, 0.4, 2 * MS, 1, FROZEN, true},
    {64, 4, EVEN, 0.4, 2 * MS, 1, NO_FAULT, true},
    {300, 4, EVEN, 0.4, 2 * MS, 1, NO_FAULT, true},
    {64, 30, EVEN, 1.0, 2 * MS, 1, NO_FAULT, false},
    {64, 30, EVEN, 1.5, 2 * MS, 1, NO_FAULT, false},
    {7, 30, HOT, 0.5, 2 * MS, 1, NO_FAULT, false},
    {7, 30, HOT, 0.61, 1000 * MS, 1, NO_FAULT, false},
    {64, 30, HOT, 0.5, 2 * MS, 1, NO_FAULT, false},
    {64, 30, HOT, 0.61, 2 * MS, 1, NO_FAULT, false},
    {64, 30, HOT, 0.61, 1000 * MS, 1, NO_FAULT, false},
    {300, 100, HOT, 0.61, 2 * MS, 1, NO_FAULT, false},
    {64, 30, HOT, 1.0, 2 * MS, 1, NO_FAULT, false},
    {64, 30, HOT, 1.5, 2 * MS, 1, NO_FAULT, false},
    {64, 30, HOT, 1.5, 1000 * MS, 1, NO_FAULT, false},
    {64, 4, HOT, 0.61, 2 * MS, 1, NO_FAULT, false},
    {64, 30, TWO_HOT, 0.6, 1000 * MS, 1, NO_FAULT, false},
    {64, 30, THREE_HOT, 0.7, 1000 * MS, 1, NO_FAULT, false},
    {64, 30, HOT, 0.61, 2 * MS, 0.1, NO_FAULT, false},
    {64, 30, HOT, 0.61, 2 * MS, 1, FROZEN, false},
    {64, 30, HOT, 0.61, 2 * MS, 1, NEW_HOST, false},
    {64, 30, HOT, 0.61, 2 * MS, 1, HALVES, false},
};

/* Utilization above the best that is known to be possible, and change of it
 * within 0.5 s. */
#define EXCESS_MAX 0.15
#define CHANGE_MAX 0.3
/* Difference of the shares of the balancers of a domain from their mean */
#define SPREAD_MAX 0.1

/* Returns the largest difference between a balancer's share of its own domain
 * and the mean of those of its domain. */
static double
spread_of_shares(size_t domain)
{
    double sum = 0;
    double count = 0;
    double spread = 0;

    for (size_t i = domain; i < fleet.host_count; i += DOMAINS) {
        sum += fleet.hosts[i].parts[domain];
        count++;
    }
    for (size_t i = domain; i < fleet.host_count; i += DOMAINS) {
        spread =
            fmax(spread, fabs(fleet.hosts[i].parts[domain] - sum / count));
    }
    return spread;
}

static void
test_load(void **state)
{
    for (size_t i = 0; i < G_N_ELEMENTS(load_cases); i++) {
        const struct load_case *c = &load_cases[i];
        double best;
        double highest;
        double change;
        double bytes;
        double allowed;

        run_case(c, &best, &highest, &change);
        bytes = (double)fleet.bytes / 3.0 / (double)c->hosts;
        print_message("case %2zu: %2zu hosts, load %.2f: used by %.2f, at "
                      "best %.2f, change %.2f, shares differ by %.2f, %.0f "
                      "bytes/s\n",
                      i, c->hosts, c->part, highest, best, change,
                      spread_of_shares(0), bytes);
        if (c->hosts >= 64 && c->fault == NO_FAULT && c->new_flows >= 1.0 &&
            spread_of_shares(0) > SPREAD_MAX) {
            fail_msg("case %zu: the shares differ", i);
        }
        /* Halves know the load of half of the hosts: no worse than at home. */
        allowed = c->fault == HALVES ? 0.02 + c->part * 4 * 6 / 9
                                     : best + EXCESS_MAX;
        if (highest > allowed) {
            fail_msg("case %zu: used by %.2f", i, highest);
        }
        if (change > CHANGE_MAX * fmax(1.0, best)) {
            fail_msg("case %zu: changes by %.2f", i, change);
        }
        if (bytes > BYTES_MAX) {
            fail_msg("case %zu: %.0f bytes/s", i, bytes);
        }
        if (c->calm && fleet.shared) {
            fail_msg("case %zu: flows are shared", i);
        }
        stop_fleet();
    }
}

/* For how long the targets of some domain get more requests than they can run
 * after the load has changed, of 6 s. */
static void
test_settling(void **state)
{
    static const struct {
        enum pattern from;
        double from_part;
        enum pattern to;
        double to_part;
        double new_flows;
        uint64_t lag;
        unsigned limit_ms;
    } cases[] = {
        {EVEN, 0.25, HOT, 0.61, 1, 2 * MS, 1000},
        {EVEN, 0.25, HOT, 0.61, 1, 1000 * MS, 1000},
        /* A flow lasts for 5.4 s: 2.6 s until enough of them have ended. */
        {EVEN, 0.25, HOT, 0.61, 0.1, 2 * MS, 3600},
        {HOT, 0.61, TWO_HOT, 0.6, 1, 2 * MS, 1000},
        {HOT, 0.61, COLD_FIRST, 0.4, 1, 2 * MS, 1000},
        {HOT, 0.61, EVEN, 0.25, 1, 2 * MS, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        double demand[DOMAINS];
        unsigned above = 0;

        start_fleet(64, 30);
        fleet.new_flows = cases[i].new_flows;
        for (size_t h = 0; h < fleet.host_count && fleet.new_flows < 1; h++) {
            fleet.hosts[h].flows[h % DOMAINS] = 100;
        }
        set_demand(demand, cases[i].from, cases[i].from_part);
        play(demand, cases[i].lag, 6 * SECOND);
        set_demand(demand, cases[i].to, cases[i].to_part);
        for (unsigned ms = 100; ms <= 6000; ms += 100) {
            bool is_above = false;

            play(demand, cases[i].lag, 100 * MS);
            for (size_t d = 0; d < DOMAINS; d++) {
                is_above = is_above || fleet.utilization[d] > 1.0;
            }
            above += is_above ? 100 : 0;
        }
        print_message("case %zu: above the room for %u ms, shares differ by "
                      "%.2f\n",
                      i, above, spread_of_shares(0));
        if (above > cases[i].limit_ms) {
            fail_msg("case %zu", i);
        }
        if (cases[i].new_flows >= 1 && spread_of_shares(0) > SPREAD_MAX) {
            fail_msg("case %zu: the shares differ", i);
        }
        stop_fleet();
    }
}

/* A balancer that has stood still tells nothing of its own until it has
 * counted for a whole window: what has waited in its socket shows no rate. */
static void
test_pause(void **state)
{
    static const struct {
        uint64_t pause_ms;
        uint64_t after_ms; /* time after the pause */
        size_t told;       /* records */
    } cases[] = {{100, 200, 1}, {400, 0, 0},    {400, 500, 0},
                 {400, 600, 1}, {9000, 500, 0}, {9000, 600, 1}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct domain_load *dl;
        struct domain_load_record out[8];
        uint64_t now = 100 * SECOND;
        uint64_t end;

        start_fleet(1, 2);
        dl = fleet.hosts[0].dl;
        for (int tick = 0; tick < 20; tick++, now += 100 * MS) {
            domain_load_on_forward(dl, fleet.first[0], false, now);
            domain_load_tick(dl, fleet.view, 1, now);
        }
        now += (cases[i].pause_ms - 100) * MS;
        end = now + cases[i].after_ms * MS;
        for (int n = 0; n < 200; n++) {
            domain_load_on_forward(dl, fleet.first[0], false, now);
        }
        for (; now <= end; now += 100 * MS) {
            domain_load_tick(dl, fleet.view, 1, now);
        }
        assert_int_equal(domain_load_export(dl, out, 8, end) > 0 &&
                             out[0].age_ms == 0,
                         cases[i].told);
        stop_fleet();
    }
}

/* What a balancer sends in a second at most, however large the fleet is. */
static void
test_message_size(void **state)
{
    struct view_message m = {.kind = VIEW_LOAD,
                             .sender_addr = UINT32_MAX,
                             .sender_port = UINT16_MAX,
                             .load_count = DOMAIN_LOAD_RECORDS_MAX};
    size_t size;
    size_t bytes;
    uint8_t *data;

    for (size_t i = 0; i < m.load_count; i++) {
        m.load[i] = (struct domain_load_record){
            UINT32_MAX - (uint32_t)i, UINT32_MAX,
            DOMAIN_LOAD_AGE_MAX_US / USEC_PER_MSEC};
    }
    view_delta_init(&m.delta);
    data = view_encode(&m, &size);
    bytes = size * DOMAIN_LOAD_PEERS * SECOND / DOMAIN_LOAD_BUSY_INTERVAL_US;
    print_message("%zu bytes a message, %zu a second\n", size, bytes);
    assert_true((double)bytes <= BYTES_MAX);
    view_delta_clear(&m.delta);
    free(data);
}

/* From which load on the peers are told often; 4 targets of 2 slots run 242
 * requests a second. */
static void
test_busy(void **state)
{
    static const struct {
        unsigned per_tick;
        bool answered; /* else it is not known how long requests take */
        bool busy;
    } cases[] = {{6, true, false}, {14, true, true}, {14, false, false}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct domain_load *dl;
        uint64_t now = 100 * SECOND;

        start_fleet(1, 4);
        dl = fleet.hosts[0].dl;
        for (int tick = 0; tick < 30; tick++, now += 100 * MS) {
            for (unsigned n = 0; n < cases[i].per_tick; n++) {
                domain_load_on_forward(dl, fleet.first[0], false, now);
                if (cases[i].answered) {
                    domain_load_on_answer(dl, fleet.first[0],
                                          (uint64_t)(WAY_US + SERVICE_US),
                                          now);
                }
            }
            domain_load_tick(dl, fleet.view, 1, now);
        }
        if (domain_load_is_busy(dl) != cases[i].busy) {
            fail_msg("case %zu", i);
        }
        stop_fleet();
    }
}

/* How the demands of four domains with rooms of 100 are divided. */
static void
test_divide(void **state)
{
    static const struct {
        double demand[DOMAINS]; /* below 0: not known */
        double room[DOMAINS];
        size_t own;
        bool shares;
        double load[DOMAINS];
    } cases[] = {
        {{50, 50, 50, 50}, {100, 100, 100, 100}, 0, false, {50, 0, 0, 0}},
        {{60, 10, 10, 10}, {100, 100, 100, 100}, 0, false, {60, 0, 0, 0}},
        {{90, 30, 30, 30}, {100, 100, 100, 100}, 0, true, {60, 10, 10, 10}},
        {{90, 30, 30, 60}, {100, 100, 100, 100}, 0, true, {60, 15, 15, 0}},
        {{90, 30, 30, 30}, {100, 100, 100, 100}, 1, false, {0, 30, 0, 0}},
        {{90, -1, 30, -1}, {100, 100, 100, 100}, 0, true, {60, 0, 30, 0}},
        {{90, -1, -1, -1}, {100, 100, 100, 100}, 0, false, {90, 0, 0, 0}},
        {{90, 90, 30, 0}, {100, 100, 100, 100}, 0, true, {60, 0, 10, 20}},
        {{180, 60, 60, 60}, {100, 100, 100, 100}, 0, true, {90, 30, 30, 30}},
        {{90, 90, 90, 90}, {100, 100, 100, 100}, 0, false, {90, 0, 0, 0}},
        {{30, 30, 30, 30}, {0, 100, 100, 100}, 0, true, {0, 10, 10, 10}},
        {{30, 0, 0, 0}, {0, 0, 0, 0}, 0, false, {30, 0, 0, 0}},
        {{0, 0, 0, 0}, {100, 100, 100, 100}, 0, false, {0, 0, 0, 0}},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct domain_demand domains[DOMAINS];
        double load[DOMAINS];

        for (size_t d = 0; d < DOMAINS; d++) {
            domains[d] = (struct domain_demand){
                cases[i].demand[d] >= 0, cases[i].demand[d], cases[i].room[d]};
        }
        assert_int_equal(
            domain_shares_divide(domains, DOMAINS, cases[i].own, load),
            cases[i].shares);
        for (size_t d = 0; d < DOMAINS; d++) {
            if (fabs(load[d] - cases[i].load[d]) > 1e-9) {
                fail_msg("case %zu: domain %zu gets %f", i, d, load[d]);
            }
        }
    }
}

static void
test_rate_meter(void **state)
{
    static const struct {
        uint64_t first; /* events every 10 ms from here, ms */
        uint64_t last;
        uint64_t at;
        double count;
        uint64_t buckets;
    } cases[] = {
        {1000, 1990, 2000, 50, 5}, {1000, 1990, 2450, 5, 5},
        {1000, 1990, 2500, 0, 5},  {1900, 1990, 2000, 10, 5},
        {0, 90, 50, 10, 5},        {1000, 1490, 1550, 45, 5},
        {1000, 1990, 2000, 20, 2}, {1000, 1990, 2150, 5, 2},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct rate_meter m = {0};

        for (uint64_t t = cases[i].first; t <= cases[i].last; t += 10) {
            rate_meter_add(&m, t * MS);
        }
        if (fabs(rate_meter_count(&m, cases[i].buckets, cases[i].at * MS) -
                 cases[i].count) > 1e-6) {
            fail_msg("case %zu: %f", i,
                     rate_meter_count(&m, cases[i].buckets, cases[i].at * MS));
        }
    }
}

static void
test_service_time(void **state)
{
    static const struct {
        double usual_us; /* for 10 s, 100 times a second */
        double then_us;  /* then, for 5 s */
        double refused;  /* part that is answered in 1 ms then */
        double least_us;
        double most_us;
    } cases[] = {
        {30000, 30000, 0, 29999, 30001},
        {30000, 150000, 0, 30000, 34000},    /* queues */
        {30000, 150000, 0.85, 30000, 34000}, /* queues and refusals */
        {30000, 10000, 0, 9999, 10001},      /* quicker targets */
        {30000, 1000, 0, 999, 1001},         /* much quicker targets */
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct service_time s = {0};
        struct random random;

        random_seed(&random, SEED);
        for (uint64_t n = 0; n < 1500; n++) {
            bool refused =
                n >= 1000 && random_unit(&random) < cases[i].refused;
            double took = n < 1000 ? cases[i].usual_us : cases[i].then_us;

            service_time_add(&s, refused ? 1000 : took, n * 10 * MS);
        }
        if (s.value_us < cases[i].least_us || s.value_us > cases[i].most_us) {
            fail_msg("case %zu: %f", i, s.value_us);
        }
    }
}

/* Records that a host does not take over: old ones, and such as are older than
 * what it knows. */
static void
test_table(void **state)
{
    static const struct {
        uint32_t age_ms; /* of a record that follows one of 100 ms, 50/s */
        double rate;     /* known then */
    } cases[] = {{50, 70}, {100, 50}, {200, 50}, {5000, 50}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct load_table *t = load_table_new();
        uint64_t now = 100 * SECOND;
        struct domain_load_record out[2];
        double rate;

        load_table_update(t, 7, 50000, now - 100 * MS);
        load_table_update(t, 7, 70000, now - cases[i].age_ms * MS);
        assert_true(load_table_rate(t, 7, now - SECOND, &rate));
        assert_true(fabs(rate - cases[i].rate) < 1e-9);
        assert_int_equal(load_table_newest(t, out, 2, now), 1);
        load_table_expire(t, now);
        assert_int_equal(load_table_count(t), 0);
        load_table_destroy(t);
    }
}

/* However many keys are told, the table keeps a bounded number, the newest. */
static void
test_table_bound(void **state)
{
    struct load_table *t = load_table_new();
    struct domain_load_record out[4];

    for (uint32_t key = 1; key <= 20000; key++) {
        load_table_update(t, key, key, key);
    }
    assert_in_range(load_table_count(t), 1, 1024);
    assert_int_equal(load_table_newest(t, out, 4, SECOND), 4);
    assert_int_equal(out[0].key, 20000);
    load_table_destroy(t);
}

/* Records that are old, or from the future of a clock that has just started,
 * change nothing. */
static void
test_receive_ages(void **state)
{
    static const struct {
        uint64_t now;
        uint32_t age_ms;
        size_t told; /* records that are told on */
    } cases[] = {
        {100 * SECOND, 0, 1},          {100 * SECOND, 1900, 1},
        {100 * SECOND, 2100, 0},       {1 * SECOND, 1500, 0},
        {100 * SECOND, UINT32_MAX, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct domain_load *dl = domain_load_new(domain_name(0));
        const struct domain_load_record record = {99, 1000, cases[i].age_ms};
        struct domain_load_record out[4];

        domain_load_receive(dl, &record, 1, cases[i].now);
        assert_int_equal(domain_load_export(dl, out, 4, cases[i].now),
                         cases[i].told);
        domain_load_destroy(dl);
    }
}

/* Returns the key of the only record that tells a time of 10 ms. */
static uint32_t
find_time_key(struct domain_load *dl, uint64_t now)
{
    struct domain_load_record out[16];
    size_t count = domain_load_export(dl, out, 16, now);

    for (size_t i = 0; i < count; i++) {
        if (out[i].rate == 10000) {
            return out[i].key;
        }
    }
    fail_msg("no record of a time among %zu", count);
    return 0;
}

static void
find_info(void *ctx, const struct domain_load_info *info)
{
    struct domain_load_info *found = ctx;

    if (info->domain == found->domain) {
        *found = *info;
    }
}

/* A peer that tells a time of 0 does not change the time that a request takes.
 */
static void
test_receive_no_time(void **state)
{
    static const struct {
        uint32_t time_us; /* told often after one of 10 ms */
        double room_min;  /* of two slots, requests/s */
        double room_max;
    } cases[] = {{0, 199, 201}, {10000, 199, 201}, {5000, 380, 401}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct domain_load_record r = {0, cases[i].time_us, 0};
        struct domain_load *dl = domain_load_new(domain_name(0));
        struct domain_load_info found = {.domain = domain_name(0)};
        uint64_t now = 100 * SECOND;

        memset(&fleet, 0, sizeof(fleet));
        make_view(1);
        for (size_t n = 0; n < 8; n++) {
            domain_load_on_forward(dl, fleet.first[0], false, now);
            domain_load_on_answer(dl, fleet.first[0], 17000, now);
        }
        domain_load_tick(dl, fleet.view, 1, now);
        r.key = find_time_key(dl, now);
        for (size_t n = 0; n < 20; n++) {
            domain_load_receive(dl, &r, 1, now);
        }
        domain_load_each(dl, find_info, &found);
        if (found.room < cases[i].room_min || found.room > cases[i].room_max) {
            fail_msg("time of %u us: room %.1f", cases[i].time_us, found.room);
        }
        domain_load_destroy(dl);
        forward_view_destroy(fleet.view);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_divide),
        cmocka_unit_test(test_rate_meter),
        cmocka_unit_test(test_service_time),
        cmocka_unit_test(test_table),
        cmocka_unit_test(test_table_bound),
        cmocka_unit_test(test_receive_ages),
        cmocka_unit_test(test_receive_no_time),
        cmocka_unit_test(test_pause),
        cmocka_unit_test(test_message_size),
        cmocka_unit_test(test_busy),
        cmocka_unit_test(test_settling),
        cmocka_unit_test(test_load),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
