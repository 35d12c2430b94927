#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

/* Flow slots of one data task, and the records of the requests that may not
 * be repeated. A slot with its generation is what a flow token names; the
 * home is the only process that holds it.
 *
 * Each slot keeps a floor and a window of the request ids above it. An id at
 * or below the floor, or marked in the window, is never delivered again,
 * whether or not its record is still held. */

#define FLOW_WINDOW_IDS 64
#define RECORDED_NO_FORMAT UINT16_MAX
#define RECORDED_NO_MAX_AGE UINT32_MAX

enum record_state {
    RECORD_RUNNING,
    RECORD_ANSWERED, /* "answer" holds what the caller was told */
};

/* The answer given to a request, kept for late copies. */
struct recorded_answer {
    uint8_t code;
    uint8_t outcome;
    uint16_t content_format;
    uint32_t max_age_s;
    size_t payload_len;
    uint8_t *payload; /* owned by the record */
};

/* What became of one request id of a flow. */
struct request_record {
    struct list in_flow; /* flow->records, newest first */
    struct list in_age;  /* table->records_by_age, when answered */
    uint32_t slot;
    uint64_t id;
    enum record_state state;
    struct recorded_answer answer;
    void *exchange; /* the request in progress, while running */
};

/* Why an id is not new. */
enum flow_verdict {
    FLOW_NEW,       /* never seen: may be delivered once */
    FLOW_DUPLICATE, /* seen, and its record is held */
    FLOW_FORGOTTEN, /* seen or too old, its record is gone */
};

/* What a flow carries. */
enum flow_kind {
    FLOW_UNUSED, /* nothing yet */
    FLOW_SINGLE, /* one request of a caller that sends no Request-Tag */
    FLOW_TAGGED, /* requests with ids from their Request-Tag */
};

struct flow {
    struct list link; /* idle lists of the table, or free list */
    uint32_t generation;
    uint32_t service; /* hash of the service id */
    uint32_t target;  /* hash of the target it is bound to, 0: none */
    uint32_t running; /* records in RECORD_RUNNING */
    uint64_t floor;   /* highest id known to be too old */
    uint64_t window;  /* bit i: id floor + 1 + i was seen */
    uint64_t used_us; /* monotonic time of the last use */
    struct list records;
    uint32_t single_key; /* of FLOW_SINGLE: hash of message id and token */
    enum flow_kind kind;
    bool in_use;
    bool active; /* got a first request under its token */
};

struct flow_table;

struct flow_table *flow_table_new(uint32_t slots, size_t record_bytes);
void flow_table_destroy(struct flow_table *table);

/* Takes a slot for a new flow, evicting one that is idle when none is free.
 * Returns NULL when every slot has a request in progress. "slot" gets its
 * number. */
struct flow *flow_table_open(struct flow_table *table, uint32_t service,
                             uint64_t now, uint32_t *slot);

/* The flow that a slot and generation name, or NULL when it is gone. */
struct flow *flow_table_get(struct flow_table *table, uint32_t slot,
                            uint32_t generation);

/* Marks a flow as used now. */
void flow_table_touch(struct flow_table *table, struct flow *flow,
                      uint64_t now);

/* Decides on an id; for FLOW_DUPLICATE "record" is set. Does not change the
 * flow. */
enum flow_verdict flow_check(const struct flow *flow, uint64_t id,
                             struct request_record **record);

/* Marks a new id as seen and makes its record, RECORD_RUNNING. Must only be
 * called after FLOW_NEW. Returns NULL when memory is short, in which case the
 * id stays new. */
struct request_record *flow_table_begin(struct flow_table *table,
                                        struct flow *flow, uint64_t id);

/* Records the answer; the payload is copied. Older answers may be dropped to
 * keep within the table's limit, and so may this one when memory is short; the
 * record must not be used after this call. */
void flow_table_finish(struct flow_table *table, struct request_record *record,
                       const struct recorded_answer *answer);

/* When a flow was last opened or used; 0 when there is none. */
uint64_t flow_table_last_use(const struct flow_table *table);
uint32_t flow_table_in_use(const struct flow_table *table);
uint64_t flow_table_evicted(const struct flow_table *table);
