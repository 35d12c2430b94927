#include "state/counters.h"

#include <assert.h>

static const struct {
    const char *name;
    const char *help;
} counter_infos[COUNTER_COUNT] = {
    [COUNTER_PACKETS_RECEIVED] = {"packets_received_total",
                                  "Datagrams received from callers"},
    [COUNTER_PACKETS_SENT] = {"packets_sent_total",
                              "Datagrams sent to callers"},
    [COUNTER_PACKETS_RELAYED] = {"packets_relayed_total",
                                 "Datagrams relayed to the flow's home"},
    [COUNTER_PACKETS_DUPLICATE] = {"packets_duplicate_total",
                                   "Copies answered from a record"},
    [COUNTER_REQUESTS] = {"requests_total", "Requests taken"},
    [COUNTER_ANSWERS] = {"answers_total", "Requests answered by a target"},
    [COUNTER_RETRIES] = {"retries_total", "Requests sent to another target"},
    [COUNTER_RETRIES_DENIED] = {"retries_denied_total",
                                "Retries refused by the budget"},
    [COUNTER_TARGET_SHEDS] = {"target_sheds_total",
                              "Requests that a target refused to run"},
    [COUNTER_TARGET_EJECTIONS] = {"target_ejections_total",
                                  "Targets taken out after failures"},
    [COUNTER_FLOWS_OPENED] = {"flows_opened_total", "Flow slots allocated"},
    [COUNTER_FLOWS_EVICTED] = {"flows_evicted_total", "Flow slots evicted"},
    [COUNTER_STREAMS_OPENED] = {"streams_opened_total", "Streams registered"},
    [COUNTER_STREAM_FRAMES] = {"stream_frames_total",
                               "Frames sent on streams"},
};

void
counters_add(struct counters *c, enum counter counter, uint64_t n)
{
    assert(counter < COUNTER_COUNT);
    c->values[counter] += n;
}

void
counters_add_error(struct counters *c, enum error_kind kind)
{
    assert(kind < ERR_KIND_COUNT);
    c->errors[kind]++;
}

const char *
counter_name(enum counter counter)
{
    assert(counter < COUNTER_COUNT);
    return counter_infos[counter].name;
}

const char *
counter_help(enum counter counter)
{
    assert(counter < COUNTER_COUNT);
    return counter_infos[counter].help;
}
