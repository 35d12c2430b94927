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
/* Time from the submission of a request to its deadline */
#define TIME_LIMIT_US (2 * USEC_PER_SEC)

/* A dispatcher with its targets, and a record of its callbacks. */
struct fixture {
    struct dispatch dispatch;
    struct random random;
    unsigned sent;            /* attempts sent to a target */
    unsigned cancelled;       /* calls of on_cancel() */
    unsigned failed;          /* calls of on_failed() */
    unsigned sends_to_refuse; /* how many of the next attempts are not sent */
    enum error_kind kind;     /* arguments of the last on_failed() */
    bool not_run;
    const struct target_state *target;       /* of the last attempt */
    const struct target_state *first_target; /* of the first attempt */
};

static bool
on_send(void *ctx, struct job *job)
{
    struct fixture *f = ctx;

    if (f->sends_to_refuse > 0) {
        f->sends_to_refuse--;
        return false;
    }
    if (f->sent == 0) {
        f->first_target = job->target;
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
    job->deadline_us = START_US + TIME_LIMIT_US;
    dispatch_submit(&f->dispatch, dispatch_find(&f->dispatch, "rigctl"), job,
                    START_US);
}

/* What happens to a request whose first attempt has ended with "result". */
static const struct {
    const char *name;
    bool repeatable;
    struct job_result result;
    unsigned sent;   /* attempts in total, including a retry sent at once */
    unsigned failed; /* 1: the request has failed */
    bool not_run;
} first_attempt_cases[] = {
    {"answered", false, {.kind = ERR_NONE, .sent = true}, 1, 0, false},
    {"connection lost after a byte was sent, not repeatable",
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
    {"invalid answer, not repeatable",
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
    {"connection lost after a byte was sent, repeatable",
     true,
     {.kind = ERR_TARGET_LOST, .sent = true},
     2,
     0,
     false},
};

static void
test_after_first_attempt(void **state)
{
    for (size_t i = 0;
         i < sizeof(first_attempt_cases) / sizeof(*first_attempt_cases); i++) {
        struct fixture f;
        struct job job;

        setup(&f, 2);
        submit(&f, &job, first_attempt_cases[i].repeatable);
        assert_int_equal(f.sent, 1);
        dispatch_on_result(&f.dispatch, &job, &first_attempt_cases[i].result,
                           START_US + 1000);
        if (f.sent != first_attempt_cases[i].sent ||
            f.failed != first_attempt_cases[i].failed ||
            f.not_run != first_attempt_cases[i].not_run) {
            fail_msg("%s: sent %u, failed %u, not_run %d",
                     first_attempt_cases[i].name, f.sent, f.failed, f.not_run);
        }
        if (f.sent == 2) {
            assert_ptr_not_equal(f.target, f.first_target);
        }
        dispatch_cancel(&f.dispatch, &job, START_US + 2000);
        dispatch_destroy(&f.dispatch);
    }
}

/* A repeatable request that may have been run by its first target is not
 * reported as not run when the next target refuses it. */
static void
test_refusal_after_lost_attempt(void **state)
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
    dispatch_on_result(&f.dispatch, &job, &refused, START_US + TIME_LIMIT_US);
    assert_int_equal(f.failed, 1);
    assert_false(f.not_run);
    dispatch_destroy(&f.dispatch);
}

/* At the deadline a running request is cancelled and fails; whether the target
 * has run it is unknown. A waiting request, which was not run, fails too. */
static void
test_deadlines(void **state)
{
    struct fixture f;
    struct job running;
    struct job waiting;

    setup(&f, 1);
    submit(&f, &running, false);
    f.sends_to_refuse = 1000;
    submit(&f, &waiting, false);
    dispatch_tick(&f.dispatch, START_US + TIME_LIMIT_US);
    assert_int_equal(f.cancelled, 1);
    assert_int_equal(f.failed, 2);
    assert_int_equal(running.state, JOB_IDLE);
    assert_int_equal(waiting.state, JOB_IDLE);
    dispatch_destroy(&f.dispatch);
}

/* A repeatable request whose target does not answer is cancelled there and
 * sent to another target when half of its time has passed. A request that is
 * not repeatable stays at its target. */
static void
test_silent_target(void **state)
{
    for (int repeatable = 0; repeatable <= 1; repeatable++) {
        struct fixture f;
        struct job job;

        setup(&f, 2);
        submit(&f, &job, repeatable != 0);
        dispatch_tick(&f.dispatch, START_US + TIME_LIMIT_US / 2 + 1);
        assert_int_equal(f.sent, 1 + repeatable);
        assert_int_equal(f.cancelled, repeatable);
        assert_int_equal(f.failed, 0);
        if (repeatable) {
            assert_ptr_not_equal(f.target, f.first_target);
        }
        dispatch_cancel(&f.dispatch, &job, START_US + TIME_LIMIT_US);
        dispatch_destroy(&f.dispatch);
    }
}

/* A request whose first attempt may have been run waits for a free slot like
 * any other request when the remaining targets are busy. */
static void
test_retry_waits_for_slot(void **state)
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
        if (svc->targets[i] != f.first_target) {
            svc->targets[i]->window.size = 1;
            svc->targets[i]->in_flight = 2;
        }
    }
    dispatch_on_result(&f.dispatch, &job, &lost, START_US + 1000);
    assert_int_equal(f.failed, 0);
    assert_int_equal(job.state, JOB_WAITING);
    for (size_t i = 0; i < svc->count; i++) {
        if (svc->targets[i] != f.first_target) {
            svc->targets[i]->in_flight = 0;
        }
    }
    dispatch_tick(&f.dispatch, START_US + 2000);
    assert_int_equal(f.sent, 2);
    dispatch_cancel(&f.dispatch, &job, START_US + 3000);
    dispatch_destroy(&f.dispatch);
}

/* No request is sent and no stream gets a target while the dispatcher is
 * suspended because its view may be out of date. Both requests are sent when
 * it resumes. */
static void
test_suspended(void **state)
{
    struct fixture f;
    struct job job;
    struct job second;

    setup(&f, 2);
    dispatch_set_suspended(&f.dispatch, true, START_US);
    submit(&f, &job, true);
    submit(&f, &second, true);
    assert_int_equal(f.sent, 0);
    assert_null(dispatch_pick_stream(&f.dispatch, job.svc, 1, 0, START_US));
    dispatch_set_suspended(&f.dispatch, false, START_US + 1000);
    assert_int_equal(f.sent, 2);
    dispatch_cancel(&f.dispatch, &job, START_US + 2000);
    dispatch_cancel(&f.dispatch, &second, START_US + 2000);
    dispatch_destroy(&f.dispatch);
}

/* A service that was removed from the view is kept while it has jobs. */
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
        cmocka_unit_test(test_after_first_attempt),
        cmocka_unit_test(test_refusal_after_lost_attempt),
        cmocka_unit_test(test_deadlines),
        cmocka_unit_test(test_silent_target),
        cmocka_unit_test(test_retry_waits_for_slot),
        cmocka_unit_test(test_suspended),
        cmocka_unit_test(test_removed_service),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
