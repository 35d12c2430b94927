#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/status.h"
#include "daemon/forward-settings.h"
#include "state/forward-view.h"
#include "transport/store-client.h"
#include "transport/store-dialect.h"

/* Keeps a forwarder's view: gossip with the other balancers, and the
 * platform's store when it is this one's turn to ask it. */
struct view_task;

/* Where the configuration lies in the platform's store. */
struct directory {
    const struct store_dialect *dialect;
    const char *prefix; /* of the keys that matter */
    /* Adds what an entry says to "news". Returns false when it cannot be
     * read. */
    bool (*add_entry)(struct view_news *news, const struct store_entry *entry);
};

struct view_task_callbacks {
    /* The view has changed, or was confirmed. */
    void (*changed)(void *ctx);
    /* A peer noticed that a target does not answer. */
    void (*reported)(void *ctx, uint32_t cookie, unsigned misses,
                     uint64_t sent_at);
    void *ctx;
};

struct view_task *view_task_new(void *zmq_ctx, struct event_base *base,
                                const struct forward_settings *settings,
                                const struct directory *directory,
                                const struct view_task_callbacks *cb,
                                struct status *st);
void view_task_destroy(struct view_task *task);

struct forward_view *view_task_view(struct view_task *task);
/* Time since the store confirmed the view, us; UINT64_MAX: not known. */
uint64_t view_task_age_us(struct view_task *task);
/* Settings have changed: takes the seeds and the bounds over. */
void view_task_reload(struct view_task *task,
                      const struct forward_settings *settings);
/* A packet named a target that is not known: perhaps the view is behind. Asks
 * a peer, within a rate. */
void view_task_refresh(struct view_task *task);
/* A target has misses that the peers have not been told of; they are told
 * soon, with those of other targets. */
void view_task_report(struct view_task *task, struct forward_target *target);
/* Begins the planned stop: tells the peers, and leaves the store to them. */
void view_task_leave(struct view_task *task);

/* For the metrics. */
struct view_task_counters {
    uint64_t store_calls;
    uint64_t gossip_bytes_out;
    uint64_t gossip_messages_out;
    uint64_t members;
    uint64_t view_age_us; /* UINT64_MAX: not known */
};
void view_task_counters(struct view_task *task, struct view_task_counters *c);
