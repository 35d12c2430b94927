#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/view-delta.h"

/* What is usual for requests: how long they take and how much of the answer
 * callers acknowledge first, for each kind. Requests of a service whose routes
 * have the same limits and priority are of one kind. Answers that are long, or
 * short in bytes, are told by comparison with the others of their kind, so
 * neither heavy work nor small answers count against a target by themselves.
 */

/* Maximum number of kinds. Further kinds share the last one. */
#define REQUEST_KINDS_MAX 32

struct request_kind {
    const char *service; /* interned; NULL: shared by the further kinds */
    uint32_t timeout_ms;
    uint32_t latency_objective_ms;
    uint8_t priority;
    bool repeatable;
    uint32_t answers;      /* with a time, up to the minimum that counts */
    double usual_us;       /* moving mean */
    double deviation_us;   /* moving mean of the distance to it */
    double at_once_share;  /* answers that callers acknowledged at once */
    double long_share;     /* answers that took long */
    uint32_t sizes;        /* answers with a size, up to the same minimum */
    double size_log;       /* moving mean of the logarithm of the bytes */
    double size_deviation; /* moving mean of the distance to it */
    double short_share;    /* answers that were short */
};

struct request_kinds {
    struct request_kind kinds[REQUEST_KINDS_MAX];
    size_t count;
};

/* Finds or adds the kind of a request; the last one when there are too many.
 * "service" must be interned. */
struct request_kind *request_kinds_get(struct request_kinds *kinds,
                                       const struct route_record *route,
                                       const char *service);

/* Whether enough answers were seen for the usual time, and the usual size, to
 * count. */
bool request_kind_time_known(const struct request_kind *kind);
bool request_kind_size_known(const struct request_kind *kind);
/* Returns the time in microseconds above which an answer is long. */
double request_kind_long_time(const struct request_kind *kind);
/* Returns how many times as long as usual a time is, as far as it counts: less
 * for a kind whose work often takes long on any target. */
double request_kind_ratio(const struct request_kind *kind, double took_us);
/* Whether the caller has acknowledged far fewer bytes of an answer than is
 * usual. */
bool request_kind_is_short(const struct request_kind *kind, uint32_t bytes);
/* Whether callers acknowledge answers at once, so that a missing
 * acknowledgement shows that the target has not answered. */
bool request_kind_shows_waits(const struct request_kind *kind);
/* Returns the time in microseconds after which a request without an answer
 * counts as failed; while the usual time is not known, the latency objective
 * of its route, if it has one. */
double request_kind_wait_limit(const struct request_kind *kind);

/* Adds the time and the size of an answer. "typical" tells that there is no
 * evidence on its target, so that its answer shows how common long and short
 * ones are. */
void request_kind_add_time(struct request_kind *kind, double took_us,
                           bool typical);
void request_kind_add_size(struct request_kind *kind, uint32_t bytes,
                           bool typical);
/* Adds whether a caller acknowledged an answer at once. */
void request_kind_add_at_once(struct request_kind *kind, bool at_once);

/* Returns the weight of a failed request in the test of a target: the
 * logarithm of how much likelier the failure is at a failing target than
 * elsewhere, from 0 up. A kind whose answers are often short, or late, on any
 * target weighs less. */
double request_kind_short_weight(const struct request_kind *kind);
double request_kind_wait_weight(const struct request_kind *kind);
