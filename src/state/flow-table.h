#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

/* Flow slots of one data task, and the records of the requests that must not
 * be run twice. A flow token identifies a flow by its slot and generation. The
 * slot exists only in the process that issued the token, the flow's home.
 *
 * Duplicates are detected as in an anti-replay window: each flow has a floor
 * and a bit mask of the request ids above it. An id at or below the floor, or
 * with its bit set, is never delivered again, even after its record has been
 * dropped. */

/* Number of request ids that the window of a flow covers. */
#define FLOW_WINDOW_IDS 64
/* Values of struct recorded_answer for an answer without the option. */
#define RECORDED_NO_FORMAT UINT16_MAX
#define RECORDED_NO_MAX_AGE UINT32_MAX

enum record_state {
    RECORD_RUNNING,  /* the request is in progress */
    RECORD_ANSWERED, /* "answer" contains the answer sent to the caller */
};

/* The answer to a request, stored to answer late duplicates of the request. */
struct recorded_answer {
    uint8_t code;            /* CoAP response code */
    uint8_t outcome;         /* outcome sent with the answer */
    uint16_t content_format; /* or RECORDED_NO_FORMAT */
    uint32_t max_age_s;      /* or RECORDED_NO_MAX_AGE */
    size_t payload_len;
    uint8_t *payload; /* owned by the record */
};

/* State of one request id of a flow. */
struct request_record {
    struct list flow_link; /* link in flow->records, newest first */
    struct list age_link;  /* once answered: link in table->records_by_age */
    uint32_t slot;         /* slot of the flow */
    uint64_t id;           /* request id within the flow */
    enum record_state state;
    struct recorded_answer answer; /* valid in RECORD_ANSWERED */
    void *exchange; /* request in progress, owned by the caller that set it;
                     * NULL once answered */
};

/* Whether a request id may be delivered. */
enum flow_id_status {
    FLOW_NEW,       /* not seen before: may be delivered once */
    FLOW_DUPLICATE, /* seen before, and its record exists */
    FLOW_NO_RECORD, /* seen before or too old, and there is no record */
};

/* Kind of the requests of a flow, set by its first request. */
enum flow_kind {
    FLOW_UNUSED, /* no request yet */
    FLOW_SINGLE, /* a single request, from a caller without Request-Tag */
    FLOW_TAGGED, /* requests with ids from their Request-Tag */
};

struct flow {
    struct list link;    /* in the table's free, inactive or active list */
    uint32_t generation; /* rises when the slot is evicted */
    uint32_t service;    /* hash of the service id */
    uint32_t target;     /* hash of the target that it is bound to, 0: none */
    uint32_t running;    /* number of records in RECORD_RUNNING */
    uint64_t floor;      /* this id and all below are too old */
    uint64_t window;     /* bit i: id floor + 1 + i was seen */
    uint64_t used_us;    /* monotonic time of the last use */
    struct list records; /* struct request_record, newest first */
    uint32_t single_key; /* of FLOW_SINGLE: hash of message id and token */
    enum flow_kind kind;
    bool in_use; /* the slot has a flow */
    bool active; /* a request has arrived with the flow's token */
};

struct flow_table;

/* "slots" is the number of flow slots. Above "record_bytes" bytes of memory
 * for request records, the oldest answered ones are dropped. Returns NULL when
 * out of memory. */
struct flow_table *flow_table_new(uint32_t slots, size_t record_bytes);
void flow_table_destroy(struct flow_table *table);

/* Allocates a slot for a new flow and sets "slot" to its number. If no slot is
 * free, evicts the least recently used flow without a request in progress,
 * preferably one that has had no request at all. Returns NULL when every flow
 * has a request in progress, and when the evicted slot must not be reused
 * because its generations are used up. "now" is the time of a monotonic clock
 * in microseconds, also below. */
struct flow *flow_table_open(struct flow_table *table, uint32_t service,
                             uint64_t now, uint32_t *slot);

/* Returns the flow with the given slot and generation, or NULL when it has
 * been evicted or never existed. */
struct flow *flow_table_get(struct flow_table *table, uint32_t slot,
                            uint32_t generation);

/* Marks a flow as active and as used now. */
void flow_table_touch(struct flow_table *table, struct flow *flow,
                      uint64_t now);

/* Checks whether the request "id" may be delivered. Sets "record" only for
 * FLOW_DUPLICATE. Does not change the flow. */
enum flow_id_status flow_check(const struct flow *flow, uint64_t id,
                               struct request_record **record);

/* Marks a new id as seen and returns its record, in RECORD_RUNNING; the record
 * is owned by the table. Must only be called after flow_check() has returned
 * FLOW_NEW. Returns NULL when out of memory; the id then stays new. */
struct request_record *flow_table_begin(struct flow_table *table,
                                        struct flow *flow, uint64_t id);

/* Stores the answer in the record and copies its payload. Drops the oldest
 * answers of the table if the records exceed its limit, and this record if
 * the payload can't be copied for lack of memory. "record" must not be
 * used after this call. */
void flow_table_finish(struct flow_table *table, struct request_record *record,
                       const struct recorded_answer *answer);

/* Latest time at which any flow now in the table was opened or used, in
 * microseconds of the monotonic clock; 0 when there are no flows. */
uint64_t flow_table_last_use(const struct flow_table *table);
/* Number of slots in use. */
uint32_t flow_table_in_use(const struct flow_table *table);
/* Number of flows evicted so far. */
uint64_t flow_table_evicted(const struct flow_table *table);
