#pragma once

#include <stdint.h>

#include "base/status.h"

/* Counters of one task: one for each error kind, and a closed list of named
 * ones. */

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
/* Name in metrics, without prefix, and a line of help. */
const char *counter_name(enum counter counter);
const char *counter_help(enum counter counter);
