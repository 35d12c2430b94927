#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/backoff.h"
#include "base/random.h"
#include "base/status.h"
#include "coordination/resource-rules.h"
#include "state/resource.h"

/* State machine of one write by an operator, from the request to one truthful
 * outcome. It does no input or output: each function returns the next step,
 * the owner carries it out and passes the result to the function of that step.
 *
 * The store may lose the answer to a compare-and-swap that took effect. The
 * written value therefore contains the id of the write, and the machine reads
 * the key back. Either the id is there (accepted), or the version has changed
 * without it (conflict: a lost request that is still in flight can no longer
 * succeed), or nothing has changed (the same compare-and-swap is tried again
 * at the same revision). */

enum operator_step {
    OPERATOR_READ_KEY, /* read the resource's own key */
    /* Read the resources that resource_rules_needs() names. */
    OPERATOR_READ_OTHERS,
    /* Write "next" if the revision of the key is "revision". */
    OPERATOR_CAS,
    OPERATOR_WAIT, /* call operator_write_on_timer() at "wake_at" */
    OPERATOR_DONE, /* "outcome" is final */
};

enum operator_precondition {
    PRECONDITION_NONE,    /* no header; fails if the resource exists */
    PRECONDITION_VERSION, /* If-Match: the current version must be "version" */
    PRECONDITION_ABSENT,  /* If-None-Match: *; the resource must not exist */
};

struct operator_request {
    bool deletion;
    /* The value to store. A deletion uses only its kind and id and, for a
     * target, its service. */
    struct resource wanted;
    enum operator_precondition precondition;
    uint64_t version; /* for PRECONDITION_VERSION */
    char write_id[WRITE_ID_SIZE];
    uint64_t known_version; /* version stored at this balancer; 0: none */
    /* Known failure domains; must outlive the struct operator_write */
    const char (*domains)[ID_SIZE];
    size_t domain_count;
    /* Secrets for the new keys of a key ring, by position in the ring */
    uint8_t secrets[KEY_RING_KEYS_MAX][KEY_SECRET_SIZE];
    /* Time limit of the whole write */
    uint64_t time_limit_us;
};

/* ERR_NONE: accepted as "version". ERR_CONFLICT, ERR_PRECONDITION: not
 * written, the current version is "version". ERR_STORE_UNKNOWN: the value may
 * have been written or may still be written. Any other kind: certainly not
 * written. */
struct operator_outcome {
    struct status status;
    uint64_t version;
    /* Store revision of an accepted write, or a later one */
    uint64_t revision;
    bool exact; /* "revision" is that of the write itself */
};

struct operator_write {
    struct operator_request request;
    enum operator_step step;
    /* Times of the monotonic clock, us */
    uint64_t wake_at;
    uint64_t deadline;
    struct resource next; /* the value to write */
    /* Revision of the key at the first read; 0: absent */
    uint64_t revision;
    /* Version at the first read; 0: absent */
    uint64_t base_version;
    bool read_done;     /* the first read has been answered */
    bool maybe_written; /* an answer to a compare-and-swap was lost */
    /* The step after OPERATOR_WAIT is OPERATOR_CAS, not OPERATOR_READ_KEY. */
    bool cas_after_wait;
    struct backoff backoff;
    struct random random;
    struct operator_outcome outcome;
};

/* Begins a write; its first step is OPERATOR_READ_KEY. Copies "request".
 * "seed" is for the jitter of the retry delays. */
void operator_write_init(struct operator_write *w,
                         const struct operator_request *request, uint64_t now,
                         uint64_t seed);

/* Takes the result of OPERATOR_READ_KEY: "st" is ERR_NONE or a failure of the
 * store, "current" is NULL when the key is absent and a tombstone when the
 * resource is deleted. "revision" is that of the key; 0: absent. */
enum operator_step operator_write_on_read(struct operator_write *w,
                                          uint64_t now,
                                          const struct status *st,
                                          const struct resource *current,
                                          uint64_t revision);

/* Takes the result of OPERATOR_READ_OTHERS: the members "others" and "domains"
 * of the context are used. */
enum operator_step operator_write_on_others(struct operator_write *w,
                                            uint64_t now,
                                            const struct status *st,
                                            const struct resource_context *c);

/* Takes the result of OPERATOR_CAS, with the error kinds of store_cas_cb.
 * "revision" is that of a successful write. */
enum operator_step operator_write_on_cas(struct operator_write *w,
                                         uint64_t now, const struct status *st,
                                         uint64_t revision);

/* To be called at "wake_at" after OPERATOR_WAIT. */
enum operator_step operator_write_on_timer(struct operator_write *w,
                                           uint64_t now);

/* Returns the version that the write with this id created, or 0 when "r" does
 * not list the id. A resource lists the ids of its last writes, newest first,
 * one per version. */
uint64_t resource_version_of_write(const struct resource *r,
                                   const char *write_id);
