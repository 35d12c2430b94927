#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/status.h"
#include "coordination/cold-claim.h"
#include "coordination/domain-load.h"
#include "coordination/flow-identity.h"
#include "coordination/membership.h"
#include "coordination/own-delay.h"
#include "coordination/target-speed.h"
#include "daemon/forward-settings.h"
#include "state/forward-view.h"
#include "transport/store-client.h"
#include "transport/store-dialect.h"

/* Keeps a forwarder's view up to date: by gossip with the other balancers, and
 * from the platform's store while this balancer is the one to read it. */
struct view_task;

/* Interval of the task's timer. */
#define VIEW_TASK_TICK_US MEMBERSHIP_TICK_US

/* How the configuration is stored in the platform's store. */
struct directory {
    const struct store_dialect *dialect; /* API of the store */
    const char *prefix;                  /* prefix of the keys that are read */
    /* Decodes an entry and adds its records to "delta". Returns false when it
     * cannot be decoded, or only in part. */
    bool (*add_entry)(struct view_delta *delta,
                      const struct store_entry *entry);
};

struct view_task_callbacks {
    /* The view has changed, or was confirmed to be current. */
    void (*changed)(void *ctx);
    /* A peer has reported an observation of a target, as described at struct
     * observation_record. "sent_at" is in microseconds of this host's
     * monotonic clock. */
    void (*reported)(void *ctx, uint32_t cookie, unsigned misses,
                     uint64_t sent_at);
    /* A peer has told how long targets take; with "relay" the other peers may
     * lack it. */
    void (*slow_targets)(void *ctx, const struct slow_target_record *records,
                         size_t count, bool relay);
    /* The same for flows that two targets may have accepted. */
    void (*open_flows)(void *ctx, const struct open_flow_record *records,
                       size_t count, bool relay);
    /* A balancer of the own failure domain has come or gone. */
    void (*domain_peer_changed)(void *ctx);
    void *ctx;
};

/* Opens the gossip endpoint, begins to read the store and to join the peers.
 * "settings", "directory" and "cb" are copied; "zmq_ctx", "base" and
 * "own_delay" remain owned by the caller and must outlive the task. Returns
 * NULL with "st" set on failure, such as when a port cannot be bound or memory
 * is short. */
struct view_task *view_task_new(void *zmq_ctx, struct event_base *base,
                                const struct forward_settings *settings,
                                const struct directory *directory,
                                struct own_delay *own_delay,
                                const struct view_task_callbacks *cb,
                                struct status *st);
/* Closes the connections and frees the task. Does nothing for NULL. */
void view_task_destroy(struct view_task *task);

/* The view is owned by the task. */
struct forward_view *view_task_view(struct view_task *task);
/* The claims of cold targets, owned by the task. */
struct cold_claims *view_task_cold_claims(struct view_task *task);
/* What is known of the load of the failure domains; owned by the task, which
 * updates it and exchanges it with the peers. */
struct domain_load *view_task_load(struct view_task *task);
/* Time since the store last confirmed the view, in microseconds; UINT64_MAX:
 * unknown. */
uint64_t view_task_age_us(struct view_task *task);
/* Estimated number of forwarders that reach each other, this one included. */
double view_task_forwarder_count(struct view_task *task);
/* Applies the seeds and the maximum age of the view from changed settings. */
void view_task_reload(struct view_task *task,
                      const struct forward_settings *settings);
/* Requests changes from a peer, at a limited rate. To be called when a packet
 * names an unknown target, as the view may be outdated. */
void view_task_refresh(struct view_task *task);
/* Schedules a report of what was observed of a target and not reported yet. It
 * is sent to the peers after a short delay, together with those on other
 * targets. */
void view_task_report_target(struct view_task *task,
                             struct forward_target *target);
/* Tells the peers at once how long targets take, as
 * view_sync_send_slow_targets(). */
void view_task_send_slow_targets(struct view_task *task,
                                 const struct slow_target_record *records,
                                 size_t count, bool wide);
/* Tells the peers where flows are open, as view_sync_send_open_flows(). */
void view_task_send_open_flows(struct view_task *task,
                               const struct open_flow_record *records,
                               size_t count);
/* Begins the planned stop: announces it to the peers and stops reading the
 * store. */
void view_task_leave(struct view_task *task);

/* Values for the metrics. */
struct view_task_counters {
    uint64_t store_calls;
    uint64_t gossip_bytes_out;
    uint64_t gossip_messages_out;
    uint64_t gossip_connections; /* that this balancer has opened */
    uint64_t members;            /* live peers, without this balancer */
    uint64_t view_age_us;        /* UINT64_MAX: unknown */
    uint64_t snapshot_writes;
    struct cold_claims_counters cold;
    uint64_t store_era;       /* era of the store */
    uint64_t held_records;    /* see state/forward-view.h */
    uint64_t dropped_answers; /* of the store, of earlier eras */
    uint64_t dropped_deltas;  /* of peers, of earlier eras */
    uint64_t item_faults;     /* see store_client_item_faults() */
    uint64_t load_messages;   /* about load by failure domain, to peers */
    uint64_t load_bytes;      /* of these messages */
    /* Largest delay of the event loop since the start */
    uint64_t loop_lag_max_us;
};
void view_task_counters(struct view_task *task, struct view_task_counters *c);
