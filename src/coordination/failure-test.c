#include "coordination/failure-test.h"

#include <math.h>

#include "base/clock.h"

/* Score from which on a target counts as failing: three failures of the full
 * weight, and less than one false alarm in 8,000 of its answers. */
#define FAILING_SCORE 9.0
/* Score below which a failing target no longer counts as such. */
#define RECOVERED_SCORE 7.5
/* Limit of the score, so that a few answers end it. */
#define SCORE_MAX 12.0
/* Score below which nothing is left that counts. */
#define SCORE_MIN 0.5
/* Time in which the score falls to 1/e without outcomes. */
#define SCORE_DECAY_US ((double)(8 * USEC_PER_SEC))
/* Weight of the newest outcome in the share of failures, the share that is
 * assumed at first, and the bounds of what an answer counts by it: one of a
 * target that failed everything before shows more than one of a target that
 * fails a part. */
#define SHARE_WEIGHT 0.15
#define SHARE_FIRST 0.5
#define SHARE_MIN 0.5
#define SHARE_MAX 0.95
double
failure_test_score(const struct failure_test *test, uint64_t now)
{
    double age = now > test->at ? (double)(now - test->at) : 0.0;

    return test->score * exp(-age / SCORE_DECAY_US);
}

static void
set_score(struct failure_test *test, double score, uint64_t now)
{
    test->score = fmin(fmax(score, 0.0), SCORE_MAX);
    test->at = now;
    if (test->score >= FAILING_SCORE) {
        test->failing = true;
    }
    else if (test->score < RECOVERED_SCORE) {
        test->failing = false;
    }
}

/* Records a failure of a caller. Returns whether it counts. */
static bool
note_caller(struct failure_test *test, uint16_t caller, uint64_t at)
{
    for (size_t i = 0; i < FAILURE_TEST_CALLERS; i++) {
        struct failure_test_caller *c = &test->callers[i];

        if (c->at == 0 || c->caller != caller) {
            continue;
        }
        if (at < c->at + FAILURE_TEST_CALLER_US) {
            return false;
        }
        c->at = at;
        return true;
    }
    test->callers[test->next_caller] =
        (struct failure_test_caller){caller, at};
    test->next_caller = (test->next_caller + 1) % FAILURE_TEST_CALLERS;
    return true;
}

void
failure_test_on_failure(struct failure_test *test, double weight,
                        uint16_t caller, uint64_t at, uint64_t now)
{
    if (!note_caller(test, caller, at)) {
        return;
    }
    if (test->at == 0) {
        test->share = SHARE_FIRST;
    }
    test->share += SHARE_WEIGHT * (1.0 - test->share);
    if (at > test->failed_at) {
        test->failed_at = at;
    }
    set_score(test, failure_test_score(test, now) + weight, now);
}

void
failure_test_on_success(struct failure_test *test, uint64_t at, uint64_t now)
{
    double share;

    /* What was answered before the last failure shows nothing new about a
     * target that has begun to fail. */
    if (test->at == 0 || at < test->failed_at) {
        return;
    }
    share = fmin(fmax(test->share, SHARE_MIN), SHARE_MAX);
    test->share -= SHARE_WEIGHT * test->share;
    set_score(test, failure_test_score(test, now) + log(1.0 - share), now);
}

void
failure_test_on_late_answer(struct failure_test *test, double weight,
                            uint64_t at, uint64_t now)
{
    if (test->at == 0) {
        return;
    }
    set_score(test, failure_test_score(test, now) - weight, now);
    failure_test_on_success(test, at, now);
}

bool
failure_test_is_failing(const struct failure_test *test, uint64_t now)
{
    return test->failing && failure_test_score(test, now) >= RECOVERED_SCORE;
}

bool
failure_test_is_over(const struct failure_test *test, uint64_t now)
{
    return failure_test_score(test, now) < SCORE_MIN;
}
