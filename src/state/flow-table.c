#include "state/flow-table.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

struct flow_table {
    uint32_t slot_count;
    uint32_t in_use_count;
    uint64_t evicted_count;
    struct flow *flows; /* slot_count elements */
    struct list free_slots;
    /* Flows in use, least recently used first. When a slot has to be evicted,
     * flows that have had no request yet are evicted before active ones. */
    struct list inactive_flows;
    struct list active_flows;
    struct list records_by_age; /* answered records, oldest first */
    size_t record_bytes;        /* memory of all records with their payloads */
    size_t record_bytes_max;
};

static size_t
record_size(const struct request_record *record)
{
    /* False positive: the analyzer does not recognize that list_remove() has
     * unlinked the freed record.
     * NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    return sizeof(*record) + record->answer.payload_len;
}

struct flow_table *
flow_table_new(uint32_t slots, size_t record_bytes)
{
    struct flow_table *table = calloc(1, sizeof(*table));

    if (table == NULL) {
        return NULL;
    }
    table->flows = calloc(slots, sizeof(*table->flows));
    if (table->flows == NULL) {
        free(table);
        return NULL;
    }
    table->slot_count = slots;
    table->record_bytes_max = record_bytes;
    list_init(&table->free_slots);
    list_init(&table->inactive_flows);
    list_init(&table->active_flows);
    list_init(&table->records_by_age);
    for (uint32_t i = 0; i < slots; i++) {
        list_init(&table->flows[i].records);
        list_push_back(&table->free_slots, &table->flows[i].link);
    }
    return table;
}

/* Unlinks and frees a record. The flow's window still marks its id as seen. */
static void
drop_record(struct flow_table *table, struct request_record *record)
{
    list_remove(&record->flow_link);
    list_remove(&record->age_link);
    table->record_bytes -= record_size(record);
    free(record->answer.payload);
    free(record);
}

static void
drop_records(struct flow_table *table, struct flow *flow)
{
    list_for_each_safe (it, &flow->records) {
        drop_record(table, container_of(it, struct request_record, flow_link));
    }
}

void
flow_table_destroy(struct flow_table *table)
{
    if (table == NULL) {
        return;
    }
    for (uint32_t i = 0; i < table->slot_count; i++) {
        drop_records(table, &table->flows[i]);
    }
    free(table->flows);
    free(table);
}

/* Ends a flow. Raising the generation invalidates every token issued for the
 * slot permanently, so no request with such a token can be delivered later. A
 * slot whose generation would wrap around is never used again. */
static void
evict_flow(struct flow_table *table, struct flow *flow)
{
    assert(flow->running == 0);
    drop_records(table, flow);
    list_remove(&flow->link);
    flow->in_use = false;
    flow->generation++;
    table->in_use_count--;
    table->evicted_count++;
    if (flow->generation != UINT32_MAX) {
        list_push_back(&table->free_slots, &flow->link);
    }
}

/* Evicts the least recently used flow of a list that has no request in
 * progress. Returns false when there is none. */
static bool
evict_idle(struct flow_table *table, struct list *flows)
{
    list_for_each (it, flows) {
        struct flow *flow = container_of(it, struct flow, link);

        if (flow->running == 0) {
            evict_flow(table, flow);
            return true;
        }
    }
    return false;
}

struct flow *
flow_table_open(struct flow_table *table, uint32_t service, uint64_t now,
                uint32_t *slot)
{
    struct flow *flow;

    if (list_empty(&table->free_slots) &&
        !evict_idle(table, &table->inactive_flows) &&
        !evict_idle(table, &table->active_flows)) {
        return NULL;
    }
    if (list_empty(&table->free_slots)) {
        /* The evicted slot has used up its generations. */
        return NULL;
    }
    flow = container_of(table->free_slots.next, struct flow, link);
    list_remove(&flow->link);
    flow->service = service;
    flow->target = 0;
    flow->floor = 0;
    flow->window = 0;
    flow->used_us = now;
    flow->in_use = true;
    flow->active = false;
    flow->kind = FLOW_UNUSED;
    list_push_back(&table->inactive_flows, &flow->link);
    table->in_use_count++;
    *slot = (uint32_t)(flow - table->flows);
    return flow;
}

struct flow *
flow_table_get(struct flow_table *table, uint32_t slot, uint32_t generation)
{
    struct flow *flow;

    if (slot >= table->slot_count) {
        return NULL;
    }
    flow = &table->flows[slot];
    if (!flow->in_use || flow->generation != generation) {
        return NULL;
    }
    return flow;
}

void
flow_table_touch(struct flow_table *table, struct flow *flow, uint64_t now)
{
    flow->used_us = now;
    flow->active = true;
    list_remove(&flow->link);
    list_push_back(&table->active_flows, &flow->link);
}

enum flow_id_status
flow_check(const struct flow *flow, uint64_t id,
           struct request_record **record)
{
    list_for_each (it, &flow->records) {
        struct request_record *r =
            container_of(it, struct request_record, flow_link);

        if (r->id == id) {
            *record = r;
            return FLOW_DUPLICATE;
        }
    }
    if (id <= flow->floor) {
        return FLOW_NO_RECORD;
    }
    if (id - flow->floor <= FLOW_WINDOW_IDS &&
        (flow->window >> (id - flow->floor - 1) & 1) != 0) {
        return FLOW_NO_RECORD;
    }
    return FLOW_NEW;
}

/* If "id" is beyond the window, raises the floor so that "id" becomes the
 * highest id in the window. */
static void
slide_window(struct flow *flow, uint64_t id)
{
    uint64_t shift;

    if (id - flow->floor <= FLOW_WINDOW_IDS) {
        return;
    }
    shift = id - flow->floor - FLOW_WINDOW_IDS;
    flow->window = shift < FLOW_WINDOW_IDS ? flow->window >> shift : 0;
    flow->floor += shift;
}

struct request_record *
flow_table_begin(struct flow_table *table, struct flow *flow, uint64_t id)
{
    struct request_record *record = calloc(1, sizeof(*record));

    assert(id > flow->floor);
    if (record == NULL) {
        return NULL;
    }
    slide_window(flow, id);
    flow->window |= 1ULL << (id - flow->floor - 1);
    flow->running++;
    record->slot = (uint32_t)(flow - table->flows);
    record->id = id;
    record->state = RECORD_RUNNING;
    list_init(&record->age_link);
    list_push_front(&flow->records, &record->flow_link);
    table->record_bytes += record_size(record);
    return record;
}

/* Drops the oldest answered records until the limit is met. */
static void
trim_records(struct flow_table *table)
{
    while (table->record_bytes > table->record_bytes_max &&
           !list_empty(&table->records_by_age)) {
        drop_record(table, container_of(table->records_by_age.next,
                                        struct request_record, age_link));
    }
}

static bool
copy_answer(struct request_record *record,
            const struct recorded_answer *answer)
{
    uint8_t *payload = NULL;

    if (answer->payload_len > 0) {
        payload = malloc(answer->payload_len);
        if (payload == NULL) {
            return false;
        }
        memcpy(payload, answer->payload, answer->payload_len);
    }
    record->answer = *answer;
    record->answer.payload = payload;
    return true;
}

void
flow_table_finish(struct flow_table *table, struct request_record *record,
                  const struct recorded_answer *answer)
{
    assert(record->state == RECORD_RUNNING);
    /* Trims before this record is added to the list, so that it is not itself
     * dropped. */
    trim_records(table);
    record->state = RECORD_ANSWERED;
    record->exchange = NULL;
    table->flows[record->slot].running--;
    list_push_back(&table->records_by_age, &record->age_link);
    if (!copy_answer(record, answer)) {
        /* A duplicate of the request must not get an incomplete answer.
         * Without the record, the caller is told that the outcome is unknown.
         */
        drop_record(table, record);
        return;
    }
    table->record_bytes += record->answer.payload_len;
}

/* Both lists are ordered by time of use, so their last elements suffice. */
uint64_t
flow_table_last_use(const struct flow_table *table)
{
    const struct list *lists[] = {&table->inactive_flows,
                                  &table->active_flows};
    uint64_t last = 0;

    for (size_t i = 0; i < 2; i++) {
        if (!list_empty(lists[i])) {
            struct flow *flow =
                container_of(lists[i]->prev, struct flow, link);

            last = flow->used_us > last ? flow->used_us : last;
        }
    }
    return last;
}

uint32_t
flow_table_in_use(const struct flow_table *table)
{
    return table->in_use_count;
}

uint64_t
flow_table_evicted(const struct flow_table *table)
{
    return table->evicted_count;
}
