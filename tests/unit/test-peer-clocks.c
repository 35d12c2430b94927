#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "base/clock.h"
#include "coordination/peer-clocks.h"

#define START_S 1000 /* local clock when that of the peer shows 0 */
#define PEER 7
#define OTHER 8
#define OWN UINT32_MAX /* stands for the id of the local clock */
#define STEPS_MAX 6
#define WINDOW_S ((double)PEER_CLOCKS_WINDOW_US / (double)USEC_PER_SEC)

/* A message of the clock "id" that something was "passed_s" before it was
 * sent, at "time_s" of that clock. It arrives after "delay_s". */
struct step {
    uint32_t id;
    double time_s;
    double passed_s;
    double delay_s;
    double error_s; /* result minus the time at which it was */
};

static uint64_t
to_us(double s)
{
    return (uint64_t)(s * (double)USEC_PER_SEC);
}

static void
test_messages(void **state)
{
    static const struct {
        const char *name;
        struct step steps[STEPS_MAX];
    } cases[] = {
        {"a delay that is not known before", {{PEER, 10, 1, 0.5, 0.5}}},
        {"a late message after one in time",
         {{PEER, 10, 1, 0, 0}, {PEER, 12, 1, 3, 0}, {PEER, 13, 0, 0.2, 0}}},
        {"a message in time after late ones",
         {{PEER, 10, 1, 3, 3}, {PEER, 12, 1, 1, 1}, {PEER, 14, 0, 2, 1}}},
        {"the same answer again, on a longer path",
         {{PEER, 10, 0, 0.1, 0.1}, {PEER, 10, 5, 0.7, 0.1}}},
        {"each clock has its own delays",
         {{PEER, 10, 1, 0, 0}, {OTHER, 12, 1, 2, 2}, {PEER, 13, 1, 2, 0}}},
        {"the local clock", {{OWN, 10, 1, 4, 0}}},
        {"no clock", {{PEER, 10, 1, 0, 0}, {0, 12, 1, 3, 3}}},
        {"an offset is used for a window",
         {{PEER, 10, 0, 0, 0},
          {PEER, 11 + WINDOW_S, 0, 2, 0},
          {PEER, 13 + 2 * WINDOW_S, 0, 2, 2}}},
        {"an offset is not used after a long silence",
         {{PEER, 10, 0, 0, 0}, {PEER, 11 + 2 * WINDOW_S, 0, 2, 2}}},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        const struct member_info self = {.addr = 1, .port = 2};
        struct peer_clocks pc;

        peer_clocks_init(&pc, &self);
        for (size_t k = 0; k < STEPS_MAX && cases[i].steps[k].time_s > 0;
             k++) {
            const struct step *s = &cases[i].steps[k];
            uint32_t id = s->id == OWN ? pc.own_id : s->id;
            double was_s = START_S + s->time_s;
            uint64_t now = to_us(was_s + s->passed_s + s->delay_s);
            /* The local clock shows its own times. */
            uint64_t time_us = to_us(s->id == OWN ? was_s : s->time_s);
            uint64_t at =
                peer_clocks_convert(&pc, (struct clock_time){id, time_us},
                                    now - to_us(s->passed_s), now);

            print_message("%s, message %zu\n", cases[i].name, k);
            assert_float_equal((double)at / (double)USEC_PER_SEC,
                               was_s + s->error_s, 0.001);
        }
        peer_clocks_clear(&pc);
    }
}

/* Whatever times a message has, the result is not after "latest". */
static void
test_any_times(void **state)
{
    static const uint64_t times[] = {0, 1, 1ULL << 40, 1ULL << 63, UINT64_MAX};
    const struct member_info self = {.addr = 1, .port = 2};
    const uint64_t now = START_S * USEC_PER_SEC;
    struct peer_clocks pc;

    peer_clocks_init(&pc, &self);
    for (size_t i = 0; i < 1000; i++) {
        uint64_t time_us = times[i % 5] + i / 25;
        uint64_t latest = now - times[i / 5 % 3];
        uint64_t at = peer_clocks_convert(
            &pc, (struct clock_time){PEER, time_us}, latest, now);

        assert_true(at <= latest);
    }
    for (uint32_t id = 1; id < 10 * PEER_CLOCKS_MAX; id++) {
        peer_clocks_convert(&pc, (struct clock_time){id, 0}, now, now);
        assert_true(g_hash_table_size(pc.clocks) <= PEER_CLOCKS_MAX);
    }
    peer_clocks_clear(&pc);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_messages),
        cmocka_unit_test(test_any_times),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
