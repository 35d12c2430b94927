#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/backoff.h"
#include "base/random.h"
#include "base/status.h"
#include "coordination/resource-rules.h"
#include "state/resource.h"

/* One write by an operator, from the request to one truthful outcome. The
 * machine does no input or output: it names the next step, the owner carries
 * it out and hands back the result, which names the step after that.
 *
 * The store may lose the answer to a compare-and-swap after it took effect.
 * The written value therefore carries the id of the write, and the machine
 * reads the key back: the id is there (accepted), or the version has moved
 * without it (conflict: a lost request that is still under way can no longer
 * succeed), or nothing has moved (the same write, at the same revision, is
 * tried again). */

enum operator_step {
    OPERATOR_READ_KEY,    /* read the resource's own key */
    OPERATOR_READ_OTHERS, /* read what resource_rules_needs() says */
    OPERATOR_CAS,         /* write "next" if the revision is "revision" */
    OPERATOR_WAIT,        /* call operator_write_on_timer() at "wake_at" */
    OPERATOR_DONE,        /* "outcome" is final */
};

enum operator_precondition {
    PRECONDITION_NONE,
    PRECONDITION_VERSION, /* If-Match: the version */
    PRECONDITION_ABSENT,  /* If-None-Match: * */
};

struct operator_request {
    bool deletion;
    struct resource wanted; /* of a deletion: kind and id, service of a
                             * target */
    enum operator_precondition precondition;
    uint64_t version; /* of PRECONDITION_VERSION */
    char write_id[WRITE_ID_SIZE];
    uint64_t known_version;         /* that the balancer holds, 0: none */
    const char (*domains)[ID_SIZE]; /* failure domains known, outlives the
                                     * machine */
    size_t domain_count;
    /* For the keys of a key ring that are new. */
    uint8_t secrets[KEY_RING_KEYS_MAX][KEY_SECRET_SIZE];
    uint64_t time_limit_us;
};

/* ERR_NONE: accepted, in "version". ERR_CONFLICT, ERR_PRECONDITION: not
 * written, the current version is "version". ERR_STORE_UNKNOWN: may or may not
 * have been, or may yet be, written. Any other kind: surely not written. */
struct operator_outcome {
    struct status status;
    uint64_t version;
    uint64_t revision; /* the store's, at or after an accepted write */
    bool exact;        /* "revision" is that of the write itself */
};

struct operator_write {
    struct operator_request request;
    enum operator_step step;
    uint64_t wake_at;
    uint64_t deadline;
    struct resource next; /* the value to write */
    uint64_t revision;    /* of the key when it was first read, 0: absent */
    uint64_t base_version;
    bool read_done;      /* the first read has been answered */
    bool maybe_done;     /* an answer to the compare-and-swap was lost */
    bool after_wait_cas; /* what follows OPERATOR_WAIT: the write or a read */
    struct backoff backoff;
    struct random random;
    struct operator_outcome outcome;
};

/* Starts; the first step is OPERATOR_READ_KEY. */
void operator_write_init(struct operator_write *w,
                         const struct operator_request *request, uint64_t now,
                         uint64_t seed);

/* Result of OPERATOR_READ_KEY: "st" is ERR_NONE or a failure of the store;
 * "current" is NULL when the key is absent, and a tombstone when it is
 * deleted. */
enum operator_step operator_write_on_read(struct operator_write *w,
                                          uint64_t now,
                                          const struct status *st,
                                          const struct resource *current,
                                          uint64_t revision);

/* Result of OPERATOR_READ_OTHERS: "others" and "domains" of the context are
 * used. */
enum operator_step operator_write_on_others(struct operator_write *w,
                                            uint64_t now,
                                            const struct status *st,
                                            const struct resource_context *c);

/* Result of OPERATOR_CAS, with the kinds of store_cas_cb. */
enum operator_step operator_write_on_cas(struct operator_write *w,
                                         uint64_t now, const struct status *st,
                                         uint64_t revision);

enum operator_step operator_write_on_timer(struct operator_write *w,
                                           uint64_t now);

/* The version in which a write id was accepted, 0 when "r" does not show it.
 * Ids stand newest first, one a version. */
uint64_t resource_version_of_write(const struct resource *r,
                                   const char *write_id);
