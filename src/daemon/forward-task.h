#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/status.h"
#include "daemon/forward-settings.h"
#include "protocol/flow-packet.h"
#include "state/flow-times.h"
#include "state/forward-view.h"
#include "transport/udp-socket.h"

/* Takes callers' packets and sends each to its target. The targets answer the
 * callers directly, so nothing comes back this way. */
struct forward_task;

struct forward_callbacks {
    /* A packet named a target that is not known. */
    void (*unknown_target)(void *ctx);
    /* Age of the view, us; UINT64_MAX: not known. An old one does not say that
     * a route no longer exists. */
    uint64_t (*view_age_us)(void *ctx);
    /* A target has misses that the peers do not know of. */
    void (*target_missed)(void *ctx, struct forward_target *target);
    void *ctx;
};

/* Why a packet was not passed on. */
enum forward_drop {
    FORWARD_DROP_MALFORMED,
    FORWARD_DROP_NO_ROUTE, /* and no flow to reset */
    FORWARD_DROP_NO_VIEW,  /* just started, and the view took too long */
    FORWARD_DROP_UNKNOWN,  /* the target it names is not known */
    FORWARD_DROP_FORGED,   /* it names a target that its route never had */
    FORWARD_DROP_GIVEN_UP, /* its caller no longer waits for it */
    FORWARD_DROP_NOT_SENT, /* the kernel did not take it */
    FORWARD_DROP_COUNT,
};

enum forward_reset {
    FORWARD_RESET_NO_ROUTE,
    FORWARD_RESET_NO_TARGET,
    FORWARD_RESET_NO_VIEW, /* started without store and peers */
    FORWARD_RESET_TARGET_SILENT,
    FORWARD_RESET_COUNT,
};

#define FORWARD_COPIES_MAX 2

struct forward_counters {
    uint64_t received;
    uint64_t passed_on;
    uint64_t openings;
    uint64_t opening_copies[FORWARD_COPIES_MAX]; /* first, later ones */
    uint64_t requests;
    uint64_t repeats;
    uint64_t drops[FORWARD_DROP_COUNT];
    uint64_t resets[FORWARD_RESET_COUNT];
};

/* Names in metrics and logs. */
const char *forward_drop_name(enum forward_drop drop);
const char *forward_reset_name(enum forward_reset reset);

/* The view is the caller's. Returns NULL with "st" set when the port cannot be
 * bound. */
struct forward_task *forward_task_new(struct event_base *base,
                                      const struct forward_settings *settings,
                                      const struct flow_packet_format *format,
                                      struct forward_view *view,
                                      const struct forward_callbacks *cb,
                                      struct status *st);
void forward_task_destroy(struct forward_task *task);

/* A peer noticed that a target does not answer. */
void forward_task_reported(struct forward_task *task, uint32_t cookie,
                           unsigned misses, uint64_t sent_at);
/* The view can be used now: handles the packets that came before. */
void forward_task_view_ready(struct forward_task *task);

const struct forward_counters *
forward_task_counters(struct forward_task *task);
const struct flow_times *forward_task_times(const struct forward_task *task);
