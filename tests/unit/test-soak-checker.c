#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "tools/soak/checker.h"

/* The checker of the soak, on days of a few events: what has to be reported,
 * and what is allowed. */

#define NONE (-1)
#define STEPS_MAX 12
/* Times are ms; nothing is disturbed at the start. */
#define CHANGE 3000
#define DRAIN 3000
#define CALM 4000

enum what {
    END,
    CONFIG,   /* route 1 has service "a", in force everywhere at once */
    UNACKED,  /* the same, not acknowledged */
    READY,    /* target "a" of service "b" */
    LEAVING,  /* target "a" */
    DISTURB,  /* subject "a", index "b" */
    CALMED,   /* the same */
    STOPPING, /* balancer "a" */
    STARTED,  /* balancer "a" */
    OPENING,  /* flow "a" by balancer "b" */
    OPENED,   /* flow "a" at target "b" */
    RAN,      /* flow "a" at target "b", an unsafe request */
    RAN_SAFE, /* the same, a safe one */
    STRAY,    /* flow "a" at target "b" */
    RESET,    /* flow "a", open, by balancer "b" */
    REFUSED,  /* flow "a", not open, by balancer "b" */
    WRONG,    /* flow "a" */
};

struct step {
    uint64_t at;
    enum what what;
    int a;
    int b;
};

struct day {
    const char *name;
    int broken; /* NONE, or the promise */
    struct step steps[STEPS_MAX];
};

/* A day begins with service 0 on route 1, target 0 of service 0, target 1 of
 * service 1, and balancer 0, long ago. */
static const struct day days[] = {
    {"calm",
     NONE,
     {{20000, OPENING, 1, 0}, {20001, OPENED, 1, 0}, {20010, RAN, 1, 0}}},
    {"the same request twice",
     PROMISE_ONCE,
     {{20000, OPENING, 1, 0},
      {20001, OPENED, 1, 0},
      {20010, RAN, 1, 0},
      {20300, RAN, 1, 0}}},
    {"a safe one twice",
     NONE,
     {{20000, OPENING, 1, 0},
      {20001, OPENED, 1, 0},
      {20010, RAN_SAFE, 1, 0},
      {20300, RAN_SAFE, 1, 0}}},
    {"another service, never allowed",
     PROMISE_SERVICE,
     {{20000, OPENING, 1, 0}, {20001, OPENED, 1, 1}}},
    {"another service, while disturbed",
     PROMISE_SERVICE,
     {{19000, DISTURB, SUBJECT_BALANCER, 0},
      {20000, OPENING, 1, 0},
      {20001, OPENED, 1, 1}}},
    {"an older version within the bound",
     NONE,
     {{20000, CONFIG, 1},
      {20000 + CHANGE, OPENING, 1, 0},
      {20001 + CHANGE, OPENED, 1, 0}}},
    {"an older version past the bound",
     PROMISE_CHANGE,
     {{20000, CONFIG, 1},
      {20001 + CHANGE, OPENING, 1, 0},
      {20002 + CHANGE, OPENED, 1, 0}}},
    {"the same, of a version not acknowledged",
     NONE,
     {{20000, UNACKED, 1},
      {20001 + CHANGE, OPENING, 1, 0},
      {20002 + CHANGE, OPENED, 1, 0}}},
    {"the same, by a balancer that was cut off",
     NONE,
     {{19000, DISTURB, SUBJECT_BALANCER, 0},
      {20000, CONFIG, 1},
      {21000, CALMED, SUBJECT_BALANCER, 0},
      {20001 + CHANGE, OPENING, 1, 0},
      {20002 + CHANGE, OPENED, 1, 0}}},
    {"the same, well after it was cut off",
     PROMISE_CHANGE,
     {{19000, DISTURB, SUBJECT_BALANCER, 0},
      {20000, CONFIG, 1},
      {21000, CALMED, SUBJECT_BALANCER, 0},
      {21001 + CALM, OPENING, 1, 0},
      {21002 + CALM, OPENED, 1, 0}}},
    {"the same, with the store away",
     NONE,
     {{19000, DISTURB, SUBJECT_STORE, 0},
      {20000, CONFIG, 1},
      {20001 + CHANGE, OPENING, 1, 0},
      {20002 + CHANGE, OPENED, 1, 0}}},
    {"back to an older version",
     PROMISE_REVERT,
     {{20000, CONFIG, 1},
      {20100, OPENING, 1, 0},
      {20101, OPENED, 1, 1},
      {20400, OPENING, 2, 0},
      {20401, OPENED, 2, 0}}},
    {"back to it at once: under way before",
     NONE,
     {{20000, CONFIG, 1},
      {20100, OPENING, 1, 0},
      {20101, OPENED, 1, 1},
      {20200, OPENING, 2, 0},
      {20201, OPENED, 2, 0}}},
    {"back to it in another process",
     NONE,
     {{20000, CONFIG, 1},
      {20100, OPENING, 1, 0},
      {20101, OPENED, 1, 1},
      {20300, STARTED, 0},
      {20400, OPENING, 2, 0},
      {20401, OPENED, 2, 0}}},
    {"a leaving target within the bound",
     NONE,
     {{20000, LEAVING, 0},
      {20000 + DRAIN, OPENING, 1, 0},
      {20001 + DRAIN, OPENED, 1, 0}}},
    {"a leaving target past the bound",
     PROMISE_DRAIN,
     {{20000, LEAVING, 0},
      {20300 + DRAIN, OPENING, 1, 0},
      {20301 + DRAIN, OPENED, 1, 0}}},
    {"the same, by a balancer that stops",
     NONE,
     {{20000, LEAVING, 0},
      {20100 + DRAIN, STOPPING, 0},
      {20300 + DRAIN, OPENING, 1, 0},
      {20301 + DRAIN, OPENED, 1, 0}}},
    {"an open flow is reset",
     PROMISE_FLOW,
     {{20000, OPENING, 1, 0},
      {20001, OPENED, 1, 0},
      {20010, RAN, 1, 0},
      {21000, RESET, 1, 0}}},
    {"the same, by a balancer that stops: planned work is no excuse",
     PROMISE_FLOW,
     {{20000, OPENING, 1, 0},
      {20001, OPENED, 1, 0},
      {20500, STOPPING, 0},
      {21000, RESET, 1, 0}}},
    {"the same, with the target disturbed",
     NONE,
     {{20000, OPENING, 1, 0},
      {20001, OPENED, 1, 0},
      {20500, DISTURB, SUBJECT_TARGET, 0},
      {21000, RESET, 1, 0}}},
    {"the same, of a flow whose route has gone",
     NONE,
     {{20000, OPENING, 1, 0},
      {20001, OPENED, 1, 0},
      {20500, CONFIG, CHECKER_NO_SERVICE},
      {21000, RESET, 1, 0}}},
    {"the same, of a flow that is too old",
     NONE,
     {{20000, OPENING, 1, 0}, {20001, OPENED, 1, 0}, {81000, RESET, 1, 0}}},
    {"its packets go astray",
     PROMISE_FLOW,
     {{20000, OPENING, 1, 0},
      {20001, OPENED, 1, 0},
      {20010, RAN, 1, 0},
      {20100, STRAY, 1, 1},
      {20300, STRAY, 1, 1},
      {20700, STRAY, 1, 1}}},
    {"one goes astray",
     NONE,
     {{20000, OPENING, 1, 0},
      {20001, OPENED, 1, 0},
      {20010, RAN, 1, 0},
      {20100, STRAY, 1, 1}}},
    {"refused with a target that is well",
     PROMISE_SERVED,
     {{20000, OPENING, 1, 0}, {20001, REFUSED, 1, 0}}},
    {"refused with its target gone",
     NONE,
     {{19000, LEAVING, 0}, {20000, OPENING, 1, 0}, {20001, REFUSED, 1, 0}}},
    {"refused just after its target came",
     NONE,
     {{19000, LEAVING, 0},
      {19500, READY, 2, 0},
      {20000, OPENING, 1, 0},
      {20001, REFUSED, 1, 0}}},
    {"refused while the route may be gone",
     NONE,
     {{19000, CONFIG, CHECKER_NO_SERVICE},
      {19500, CONFIG, 0},
      {20000, OPENING, 1, 0},
      {20001, REFUSED, 1, 0}}},
    {"another's answer", PROMISE_ANSWER, {{20000, WRONG, 1}}},
};

static int broken_promise;
static int broken_count;

static void
on_broken(void *ctx, enum promise promise, const char *text,
          const char *const *words)
{
    broken_promise = (int)promise;
    broken_count++;
}

static void
config(struct checker *c, int service, bool acked, uint64_t now)
{
    int services[CHECKER_ROUTES_MAX];
    unsigned version;

    for (int i = 0; i < CHECKER_ROUTES_MAX; i++) {
        services[i] = service;
    }
    version = checker_config_sent(c, services);
    if (acked) {
        checker_config_acked(c, version, now);
    }
}

static void
play_step(struct checker *c, const struct step *s)
{
    const struct checker_flow_key flow = {0x7f000001, (uint16_t)s->a, 1};

    switch (s->what) {
    case CONFIG:
    case UNACKED:
        config(c, s->a, s->what == CONFIG, s->at);
        break;
    case READY:
        checker_target_ready(c, (unsigned)s->a, s->b, s->at);
        break;
    case LEAVING:
        checker_target_leaving(c, (unsigned)s->a, s->at);
        break;
    case DISTURB:
        checker_disturb(c, (enum checker_subject)s->a, (unsigned)s->b, s->at);
        break;
    case CALMED:
        checker_calm(c, (enum checker_subject)s->a, (unsigned)s->b, s->at);
        break;
    case STOPPING:
        checker_balancer_stopping(c, (unsigned)s->a, s->at);
        break;
    case STARTED:
        checker_balancer_started(c, (unsigned)s->a, s->at);
        break;
    case OPENING:
        checker_opening(c, &flow, (unsigned)s->b, s->at);
        break;
    case OPENED:
        checker_opened(c, &flow, (unsigned)s->b, s->at);
        break;
    case RAN:
    case RAN_SAFE:
        checker_ran(c, &flow, (unsigned)s->b, "u1", s->what == RAN, s->at);
        break;
    case STRAY:
        checker_stray(c, &flow, (unsigned)s->b, s->at);
        break;
    case RESET:
    case REFUSED:
        checker_reset(c, &flow, s->b, s->what == RESET, s->at);
        break;
    default:
        checker_wrong_answer(c, &flow, "u1");
        break;
    }
}

static void
test_days(void **state)
{
    static const struct checker_bounds bounds = {.change_ms = CHANGE,
                                                 .drain_ms = DRAIN,
                                                 .calm_ms = CALM,
                                                 .slack_ms = 200,
                                                 .downgrade_ms = 250,
                                                 .flow_max_ms = 60000};

    for (size_t i = 0; i < sizeof(days) / sizeof(*days); i++) {
        const struct day *day = &days[i];
        struct checker *c = checker_new(&bounds, on_broken, NULL);

        print_message("%s\n", day->name);
        broken_promise = NONE;
        broken_count = 0;
        config(c, 0, true, 1000);
        checker_target_ready(c, 0, 0, 1000);
        checker_target_ready(c, 1, 1, 1000);
        checker_balancer_started(c, 0, 1000);
        for (const struct step *s = day->steps; s->what != END; s++) {
            play_step(c, s);
        }
        assert_int_equal(broken_promise, day->broken);
        assert_int_equal(broken_count, day->broken == NONE ? 0 : 1);
        checker_destroy(c);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_days),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
