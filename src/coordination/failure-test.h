#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Tells from the outcomes of requests whether a target fails most of them: a
 * sequential test of the share of failures against the usual one. It has no
 * socket and no clock. Times are monotonic, in microseconds.
 *
 * Answers the load of targets that pass for healthy and fail what they get: a
 * few failures of several callers show it, whatever the rate of the requests.
 * A few among many answers do not, since each answer counts against them. */

/* Callers whose last failure at a target is remembered. */
#define FAILURE_TEST_CALLERS 8

struct failure_test_caller {
    uint16_t caller; /* hash of the address */
    uint64_t at;     /* time of the last failure, 0: unused */
};

/* Initialized with zeros. */
struct failure_test {
    double score; /* logarithm of the likelihood ratio, at "at" */
    double share; /* moving share of the failures in the outcomes */
    uint64_t at;
    uint64_t failed_at; /* time of the last failure */
    bool failing;
    struct failure_test_caller callers[FAILURE_TEST_CALLERS];
    size_t next_caller;
};

/* A request has failed. "weight" is that of request_kind_short_weight() or
 * request_kind_wait_weight().
 * Further failures of the same caller within FAILURE_TEST_CALLER_US do not
 * count: its requests may be at fault. */
void failure_test_on_failure(struct failure_test *test, double weight,
                             uint16_t caller, uint64_t at, uint64_t now);
#define FAILURE_TEST_CALLER_US 1000000ULL
/* A request was answered as usual. */
void failure_test_on_success(struct failure_test *test, uint64_t at,
                             uint64_t now);
/* A request was answered that had counted as one that waits. */
void failure_test_on_late_answer(struct failure_test *test, double weight,
                                 uint64_t at, uint64_t now);

/* Returns the logarithm of how much likelier the outcomes are at a failing
 * target than at others; it falls with time. */
double failure_test_score(const struct failure_test *test, uint64_t now);
/* Whether most requests to the target fail. Without an outcome for some
 * seconds it counts as unknown again. */
bool failure_test_is_failing(const struct failure_test *test, uint64_t now);
/* Whether nothing is left that counts. */
bool failure_test_is_over(const struct failure_test *test, uint64_t now);
