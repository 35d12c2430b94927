#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "coordination/own-delay.h"

#define START_US (100 * USEC_PER_SEC)
#define MS USEC_PER_MSEC
#define TICK_US (100 * MS)
#define STEPS_MAX 8

enum step_kind {
    STEP_END,
    STEP_TICK,    /* a tick at "at_ms" */
    STEP_SEND,    /* "bytes" are sent at "at_ms" */
    STEP_RECEIVE, /* "bytes" are received at "at_ms" */
};

struct step {
    enum step_kind kind;
    uint64_t at_ms;
    size_t bytes;
};

static void
run_step(struct own_delay *d, const struct step *s)
{
    uint64_t at = START_US + s->at_ms * MS;

    switch (s->kind) {
    case STEP_TICK:
        own_delay_tick(d, at);
        break;
    case STEP_SEND:
        own_delay_on_transfer(d, OWN_DELAY_SEND, s->bytes, at);
        break;
    case STEP_RECEIVE:
        own_delay_on_transfer(d, OWN_DELAY_RECEIVE, s->bytes, at);
        break;
    default:
        break;
    }
}

/* 44,596 bytes, a large configuration, take 36 ms on a link of 10 Mbit/s. */
static void
test_intervals(void **state)
{
    static const struct {
        double mbps;
        struct step steps[STEPS_MAX];
        uint64_t sent_ms; /* when the repeated packet was forwarded */
        uint64_t now_ms;  /* when the repeat is handled */
        bool covers;
    } cases[] = {
        /* ticks in time */
        {10, {{STEP_TICK, 100, 0}, {STEP_TICK, 200, 0}}, 50, 250, false},
        {10, {{STEP_TICK, 130, 0}, {STEP_TICK, 230, 0}}, 50, 280, false},
        /* a tick 250 ms late: packets during the delay and just after it */
        {10, {{STEP_TICK, 100, 0}, {STEP_TICK, 450, 0}}, 40, 500, false},
        {10, {{STEP_TICK, 100, 0}, {STEP_TICK, 450, 0}}, 250, 460, true},
        {10, {{STEP_TICK, 100, 0}, {STEP_TICK, 450, 0}}, 500, 520, true},
        {10,
         {{STEP_TICK, 100, 0},
          {STEP_TICK, 450, 0},
          {STEP_TICK, 550, 0},
          {STEP_TICK, 650, 0}},
         660,
         670,
         false},
        /* the repeat is handled before the late tick */
        {10, {{STEP_TICK, 100, 0}}, 150, 440, true},
        {10, {{STEP_TICK, 100, 0}}, 90, 440, false},
        /* one large message is short enough, two are not */
        {10, {{STEP_SEND, 10, 44596}}, 12, 60, false},
        {10, {{STEP_SEND, 10, 44596}, {STEP_SEND, 10, 44596}}, 12, 60, true},
        {10, {{STEP_SEND, 10, 44596}, {STEP_SEND, 60, 44596}}, 62, 90, false},
        {10, {{STEP_SEND, 10, 44596}, {STEP_SEND, 10, 44596}}, 400, 99, false},
        /* the same on a faster link, and on one of unknown rate */
        {100, {{STEP_SEND, 10, 44596}, {STEP_SEND, 10, 44596}}, 12, 60, false},
        {0, {{STEP_SEND, 10, 1 << 20}, {STEP_SEND, 10, 44596}}, 12, 60, false},
        /* received data occupied the link before it arrived */
        {10, {{STEP_RECEIVE, 90, 89192}}, 30, 95, true},
        {10, {{STEP_RECEIVE, 90, 89192}}, 10, 95, false},
        {10, {{STEP_RECEIVE, 90, 44596}}, 80, 95, false},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct own_delay d;

        own_delay_init(&d, cases[i].mbps, TICK_US, START_US);
        for (const struct step *s = cases[i].steps; s->kind != STEP_END; s++) {
            run_step(&d, s);
        }
        if (own_delay_covers(&d, START_US + cases[i].sent_ms * MS,
                             START_US + cases[i].now_ms * MS) !=
            cases[i].covers) {
            fail_msg("case %zu: expected %d", i, cases[i].covers);
        }
    }
}

/* The largest delay of a tick is kept. */
static void
test_max_lag(void **state)
{
    struct own_delay d;

    own_delay_init(&d, 10, TICK_US, START_US);
    own_delay_tick(&d, START_US + 130 * MS);
    own_delay_tick(&d, START_US + 500 * MS);
    own_delay_tick(&d, START_US + 600 * MS);
    assert_int_equal(d.max_lag_us, 270 * MS);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_intervals),
        cmocka_unit_test(test_max_lag),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
