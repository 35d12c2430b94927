#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "base/clock.h"
#include "daemon/forward-speed.h"
#include "route-fixture.h"

#define NOW_US (100 * USEC_PER_SEC)
#define MS USEC_PER_MSEC
#define ROUTE_ADDR 0xc6120001
#define ROUTE_PORT 443
#define OBJECTIVE_MS 250
#define CALLERS 6

static uint64_t
retain_until(void *ctx, const struct forward_target *target, uint64_t now)
{
    return 0;
}

static void
on_tell(void *ctx, const struct slow_target_record *records, size_t count,
        bool wide)
{
}

/* Returns a view of one route and one target. */
static struct forward_view *
make_view(void)
{
    static const struct forward_view_callbacks callbacks = {.retain_until =
                                                                retain_until};
    struct forward_view *view = forward_view_new(&callbacks);
    struct view_delta delta;
    const struct route_record route = {.addr = ROUTE_ADDR,
                                       .port = ROUTE_PORT,
                                       .latency_objective_ms = OBJECTIVE_MS,
                                       .repeatable = true,
                                       .shares = fixture_share("s", 0)};
    struct target_record target = {.service = g_intern_string("s"),
                                   .domain = g_intern_string("a"),
                                   .slots = 2,
                                   .created.revision = 1,
                                   .position.revision = 1};

    snprintf(target.id, sizeof(target.id), "t");
    view_delta_init(&delta);
    delta.to.revision = 1;
    delta.routes_position.revision = 1;
    delta.routes_complete = true;
    delta.targets_complete = true;
    view_delta_add_route(&delta, &route);
    g_array_append_val(delta.targets, target);
    assert_true(forward_view_apply(view, &delta, NOW_US));
    view_delta_clear(&delta);
    return view;
}

/* Callers whose requests wait at one target, for longer than the latency
 * objective of their route. */
static void
test_waits(void **state)
{
    static const struct {
        const char *name;
        /* Time from a change of the balancers until the requests are
         * forwarded; 0: none changed */
        uint64_t changed_ms;
        bool own_delay; /* this host stood still meanwhile */
        bool closing;   /* the callers have given up */
        bool failing;
    } cases[] = {
        {"nothing has changed", 0, false, false, true},
        {"a balancer comes", 100, false, false, false},
        {"a balancer came before", 4000, false, false, true},
        {"this host stood still", 0, true, false, false},
        {"the callers have given up", 0, false, true, false},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct event_base *base = event_base_new();
        struct forward_view *view = make_view();
        struct recent_flows *flows = recent_flows_new(64);
        struct own_delay own_delay;
        struct forward_log log;
        const struct forward_speed_callbacks cb = {.tell = on_tell};
        struct forward_speed *fs;
        uint32_t cookie = forward_cookie("t");
        uint64_t now;

        own_delay_init(&own_delay, 0.0, 50 * MS, NOW_US);
        forward_log_init(&log);
        fs = forward_speed_new(base, flows, view, &own_delay, &log, &cb);
        if (cases[i].changed_ms > 0) {
            forward_speed_on_routers_changed(fs, NOW_US -
                                                     cases[i].changed_ms * MS);
        }
        for (uint16_t k = 0; k < CALLERS; k++) {
            const struct recent_flow_key key = {.caller_addr = 1000U + k,
                                                .caller_port = 2000,
                                                .route_addr = ROUTE_ADDR,
                                                .route_port = ROUTE_PORT};
            struct recent_flow *flow = recent_flows_touch(flows, &key, NOW_US);

            flow->open = true;
            flow->waiting = true;
            flow->closing = cases[i].closing;
            flow->cookie = cookie;
            flow->sent_at = NOW_US;
        }
        for (now = NOW_US; now <= NOW_US + 400 * MS; now += 50 * MS) {
            if (!cases[i].own_delay || now >= NOW_US + 300 * MS) {
                own_delay_tick(&own_delay, now);
            }
            forward_speed_check(fs, now);
        }
        if (target_speed_is_failing(forward_speed_targets(fs), cookie, now) !=
            cases[i].failing) {
            fail_msg("%s", cases[i].name);
        }
        forward_speed_destroy(fs);
        recent_flows_destroy(flows);
        forward_view_destroy(view);
        event_base_free(base);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_waits),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
