#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "coordination/dispatch.h"
#include "coordination/health.h"

#define SEED 5
#define START_US (1000 * USEC_PER_SEC)
#define DEADLINE_US (2 * USEC_PER_SEC)

/* A dispatcher over two targets, and what it asked for. */
struct fixture {
    struct dispatch dispatch;
    struct random random;
    unsigned sent;
    unsigned cancelled;
    unsigned failed;
    unsigned refuse_sends; /* the next sends fail before any byte */
    enum error_kind kind;
    bool not_run;
    const struct target_state *target;
    const struct target_state *first;
};

static bool
on_send(void *ctx, struct job *job)
{
    struct fixture *f = ctx;

    if (f->refuse_sends > 0) {
        f->refuse_sends--;
        return false;
    }
    if (f->sent == 0) {
        f->first = job->target;
    }
    f->target = job->target;
    f->sent++;
    return true;
}

static void
on_cancel(void *ctx, struct job *job)
{
    struct fixture *f = ctx;

    f->cancelled++;
}

static void
on_failed(void *ctx, struct job *job, enum error_kind kind, bool not_run,
          uint32_t retry_after_ms)
{
    struct fixture *f = ctx;

    f->failed++;
    f->kind = kind;
    f->not_run = not_run;
}

static void
on_health(void *ctx, struct target_state *t, bool healthy, const char *cause)
{
}

static const struct dispatch_ops ops = {
    .send = on_send,
    .cancel = on_cancel,
    .failed = on_failed,
    .health = on_health,
};

static struct config_view *
make_view(size_t targets)
{
    struct config_view *view = config_view_new(1);
    struct service_view *svc = &view->services[0];

    snprintf(svc->id, sizeof(svc->id), "rigctl");
    svc->target_count = targets;
    svc->targets = calloc(targets, sizeof(*svc->targets));
    for (size_t i = 0; i < targets; i++) {
        struct target_view *t = &svc->targets[i];

        snprintf(t->id, sizeof(t->id), "t%zu", i);
        t->hash = (uint32_t)i + 1;
        t->addr = 0x7f000001;
        t->port = (uint16_t)(9000 + i);
        t->slots = 2;
        t->connections = 100;
    }
    return view;
}

static void
verify_targets(struct fixture *f)
{
    struct service_targets *svc =
        target_table_service(f->dispatch.targets, "rigctl");
    struct health_probe probe = {.answered = true, .names_service = true};

    for (size_t i = 0; i < svc->count; i++) {
        health_on_probe(svc->targets[i], &probe, START_US);
    }
}

static void
setup(struct fixture *f, size_t targets)
{
    struct config_view *view = make_view(targets);

    memset(f, 0, sizeof(*f));
    random_seed(&f->random, SEED);
    assert_true(dispatch_init(&f->dispatch, &ops, f, &f->random, 16));
    assert_true(dispatch_apply_view(&f->dispatch, view, START_US));
    config_view_destroy(view);
    verify_targets(f);
}

static void
submit(struct fixture *f, struct job *job, bool repeatable)
{
    memset(job, 0, sizeof(*job));
    job->class = CLASS_COMMAND;
    job->repeatable = repeatable;
    job->tenant = "szakito";
    job->deadline_us = START_US + DEADLINE_US;
    dispatch_submit(&f->dispatch, dispatch_find(&f->dispatch, "rigctl"), job,
                    START_US);
}

/* What becomes of a request after the first try has ended in some way. */
static const struct {
    const char *name;
    bool repeatable;
    struct job_result result;
    unsigned sent;   /* tries in all, within the same instant */
    unsigned failed; /* ends without an answer */
    bool not_run;
} cases[] = {
    {"answered", false, {.kind = ERR_NONE, .sent = true}, 1, 0, false},
    {"lost after a byte, not repeatable",
     false,
     {.kind = ERR_TARGET_LOST, .sent = true},
     1,
     1,
     false},
    {"timeout, not repeatable",
     false,
     {.kind = ERR_TARGET_TIMEOUT, .sent = true},
     1,
     1,
     false},
    {"bad answer, not repeatable",
     false,
     {.kind = ERR_TARGET_BAD_ANSWER, .sent = true},
     1,
     1,
     false},
    {"no connection, not repeatable",
     false,
     {.kind = ERR_TARGET_LOST, .sent = false},
     2,
     0,
     false},
    {"refused by the target, not repeatable",
     false,
     {.kind = ERR_NONE, .sent = true, .refused = true},
     2,
     0,
     false},
    {"lost after a byte, repeatable",
     true,
     {.kind = ERR_TARGET_LOST, .sent = true},
     2,
     0,
     false},
};

static void
test_after_first_try(void **state)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct fixture f;
        struct job job;

        setup(&f, 2);
        submit(&f, &job, cases[i].repeatable);
        assert_int_equal(f.sent, 1);
        dispatch_on_result(&f.dispatch, &job, &cases[i].result,
                           START_US + 1000);
        if (f.sent != cases[i].sent || f.failed != cases[i].failed ||
            f.not_run != cases[i].not_run) {
            fail_msg("%s: sent %u, failed %u, not_run %d", cases[i].name,
                     f.sent, f.failed, f.not_run);
        }
        if (f.sent == 2) {
            assert_ptr_not_equal(f.target, f.first);
        }
        dispatch_cancel(&f.dispatch, &job, START_US + 2000);
        dispatch_destroy(&f.dispatch);
    }
}

/* A repeatable request that one target may have run is not called "not run"
 * because the next one refused it. */
static void
test_refusal_after_a_lost_try(void **state)
{
    static const struct job_result lost = {.kind = ERR_TARGET_LOST,
                                           .sent = true};
    static const struct job_result refused = {
        .kind = ERR_NONE, .sent = true, .refused = true};
    struct fixture f;
    struct job job;

    setup(&f, 2);
    submit(&f, &job, true);
    dispatch_on_result(&f.dispatch, &job, &lost, START_US + 1000);
    assert_int_equal(f.sent, 2);
    dispatch_on_result(&f.dispatch, &job, &refused, START_US + DEADLINE_US);
    assert_int_equal(f.failed, 1);
    assert_false(f.not_run);
    dispatch_destroy(&f.dispatch);
}

/* A running request past its deadline is given up; nobody can say whether it
 * ran. A waiting one was not run. */
static void
test_deadlines(void **state)
{
    struct fixture f;
    struct job running;
    struct job waiting;

    setup(&f, 1);
    submit(&f, &running, false);
    f.refuse_sends = 1000;
    submit(&f, &waiting, false);
    dispatch_tick(&f.dispatch, START_US + DEADLINE_US);
    assert_int_equal(f.cancelled, 1);
    assert_int_equal(f.failed, 2);
    assert_int_equal(running.state, JOB_IDLE);
    assert_int_equal(waiting.state, JOB_IDLE);
    dispatch_destroy(&f.dispatch);
}

/* A target that hangs does not take the whole deadline of a request that may
 * be repeated; one that may not be repeated stays where it is. */
static void
test_hanging_target(void **state)
{
    for (int repeatable = 0; repeatable <= 1; repeatable++) {
        struct fixture f;
        struct job job;

        setup(&f, 2);
        submit(&f, &job, repeatable != 0);
        dispatch_tick(&f.dispatch, START_US + DEADLINE_US / 2 + 1);
        assert_int_equal(f.sent, 1 + repeatable);
        assert_int_equal(f.cancelled, repeatable);
        assert_int_equal(f.failed, 0);
        if (repeatable) {
            assert_ptr_not_equal(f.target, f.first);
        }
        dispatch_cancel(&f.dispatch, &job, START_US + DEADLINE_US);
        dispatch_destroy(&f.dispatch);
    }
}

/* A try that may have run waits for a window like any other request when the
 * remaining targets are busy. */
static void
test_repeat_waits_for_a_slot(void **state)
{
    static const struct job_result lost = {.kind = ERR_TARGET_LOST,
                                           .sent = true};
    struct fixture f;
    struct job job;
    struct service_targets *svc;

    setup(&f, 2);
    svc = target_table_service(f.dispatch.targets, "rigctl");
    submit(&f, &job, true);
    for (size_t i = 0; i < svc->count; i++) {
        if (svc->targets[i] != f.first) {
            svc->targets[i]->window.size = 1;
            svc->targets[i]->in_flight = 2;
        }
    }
    dispatch_on_result(&f.dispatch, &job, &lost, START_US + 1000);
    assert_int_equal(f.failed, 0);
    assert_int_equal(job.state, JOB_WAITING);
    for (size_t i = 0; i < svc->count; i++) {
        if (svc->targets[i] != f.first) {
            svc->targets[i]->in_flight = 0;
        }
    }
    dispatch_tick(&f.dispatch, START_US + 2000);
    assert_int_equal(f.sent, 2);
    dispatch_cancel(&f.dispatch, &job, START_US + 3000);
    dispatch_destroy(&f.dispatch);
}

/* Nothing goes to a target while the view may be out of date. */
static void
test_held(void **state)
{
    struct fixture f;
    struct job job;
    struct job late;

    setup(&f, 2);
    dispatch_set_suspended(&f.dispatch, true, START_US);
    submit(&f, &job, true);
    submit(&f, &late, true);
    assert_int_equal(f.sent, 0);
    assert_null(dispatch_pick_stream(&f.dispatch, job.svc, 1, 0, START_US));
    dispatch_set_suspended(&f.dispatch, false, START_US + 1000);
    assert_int_equal(f.sent, 2);
    dispatch_cancel(&f.dispatch, &job, START_US + 2000);
    dispatch_cancel(&f.dispatch, &late, START_US + 2000);
    dispatch_destroy(&f.dispatch);
}

static void
test_removed_service(void **state)
{
    struct config_view *empty = config_view_new(0);
    struct fixture f;
    struct job job;

    setup(&f, 2);
    submit(&f, &job, false);
    assert_true(dispatch_apply_view(&f.dispatch, empty, START_US + 1));
    assert_non_null(dispatch_find(&f.dispatch, "rigctl"));
    dispatch_cancel(&f.dispatch, &job, START_US + 2);
    assert_true(dispatch_apply_view(&f.dispatch, empty, START_US + 3));
    assert_null(dispatch_find(&f.dispatch, "rigctl"));
    config_view_destroy(empty);
    dispatch_destroy(&f.dispatch);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_after_first_try),
        cmocka_unit_test(test_refusal_after_a_lost_try),
        cmocka_unit_test(test_deadlines),
        cmocka_unit_test(test_hanging_target),
        cmocka_unit_test(test_repeat_waits_for_a_slot),
        cmocka_unit_test(test_held),
        cmocka_unit_test(test_removed_service),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
