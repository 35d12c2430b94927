#pragma once

#include <stdint.h>

#include "base/status.h"

/* Event counters of one task: a fixed list of named counters, and one counter
 * for each kind of error. */

enum counter {
    COUNTER_PACKETS_RECEIVED,
    COUNTER_PACKETS_SENT,
    COUNTER_PACKETS_RELAYED,
    COUNTER_PACKETS_DUPLICATE,
    COUNTER_REQUESTS,
    COUNTER_ANSWERS,
    COUNTER_RETRIES,
    COUNTER_RETRIES_DENIED,
    COUNTER_TARGET_SHEDS,
    COUNTER_TARGET_EJECTIONS,
    COUNTER_FLOWS_OPENED,
    COUNTER_FLOWS_EVICTED,
    COUNTER_STREAMS_OPENED,
    COUNTER_STREAM_FRAMES,
    COUNTER_COUNT,
};

struct counters {
    uint64_t values[COUNTER_COUNT];
    uint64_t errors[ERR_KIND_COUNT];
};

void counters_add(struct counters *c, enum counter counter, uint64_t n);
void counters_add_error(struct counters *c, enum error_kind kind);
/* Name of the counter's metric without METRICS_PREFIX, and its help text; both
 * are static strings. */
const char *counter_name(enum counter counter);
const char *counter_help(enum counter counter);
