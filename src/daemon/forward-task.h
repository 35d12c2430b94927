#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/status.h"
#include "coordination/cold-claim.h"
#include "coordination/domain-load.h"
#include "coordination/flow-identity.h"
#include "coordination/opening-admission.h"
#include "coordination/own-delay.h"
#include "coordination/target-speed.h"
#include "daemon/forward-settings.h"
#include "protocol/flow-packet.h"
#include "state/flow-times.h"
#include "state/forward-view.h"
#include "transport/udp-socket.h"

/* Receives the packets of callers and forwards each to its target. Targets
 * answer the callers directly, so this task sees no answers. */
struct forward_task;

struct forward_callbacks {
    /* Called when a packet names a target that the view does not contain. */
    void (*unknown_target)(void *ctx);
    /* Returns the age of the view in microseconds, UINT64_MAX when unknown. */
    uint64_t (*view_age_us)(void *ctx);
    /* Returns the estimated number of forwarders that reach each other, this
     * one included. */
    double (*forwarder_count)(void *ctx);
    /* Called when requests to a target have gone unanswered (misses), or an
     * answer contradicts such misses, and the peers have not been notified
     * yet. */
    void (*target_observed)(void *ctx, struct forward_target *target);
    /* Tells the peers how long targets take, as view_sync_send_slow_targets().
     */
    void (*slow_targets)(void *ctx, const struct slow_target_record *records,
                         size_t count, bool wide);
    /* Tells the peers where flows are open, as view_sync_send_open_flows(). */
    void (*open_flows)(void *ctx, const struct open_flow_record *records,
                       size_t count);
    void *ctx;
};

/* Why a packet was dropped. */
enum forward_drop {
    FORWARD_DROP_MALFORMED,
    FORWARD_DROP_NO_ROUTE, /* no route, and the flow was not open here, or the
                            * packet is a reset itself */
    FORWARD_DROP_NO_VIEW,  /* no view within the wait after the start */
    FORWARD_DROP_UNKNOWN_TARGET, /* the view lacks the target that it names */
    FORWARD_DROP_UNKNOWN_FLOW,   /* a flow that was opened through another
                                  * forwarder just before; see
                                  * resolve_opening_cookie() */
    FORWARD_DROP_FORGED,   /* it names a target that was never on its route */
    FORWARD_DROP_REPEATED, /* the caller has sent a copy in the meantime */
    FORWARD_DROP_GIVEN_UP, /* the caller has timed out in the meantime */
    FORWARD_DROP_OPEN_ALREADY, /* an opening packet of a flow that is open */
    FORWARD_DROP_NOT_SENT,     /* the kernel did not accept the datagram */
    FORWARD_DROP_COUNT,
};

/* Why a caller was sent a reset. */
enum forward_reset {
    FORWARD_RESET_NO_ROUTE,
    FORWARD_RESET_NO_TARGET,
    FORWARD_RESET_NO_VIEW, /* no view within the wait after the start */
    FORWARD_RESET_TARGET_SILENT,
    FORWARD_RESET_TARGET_REPLACED, /* another target has its address now */
    /* The operator has emptied the failure domains of all targets left. */
    FORWARD_RESET_DOMAIN_EMPTIED,
    FORWARD_RESET_REGION,     /* no target in the regions of the route */
    FORWARD_RESET_COLD_LIMIT, /* the targets left bear no more while cold */
    FORWARD_RESET_NO_ROOM,    /* see opening-admission.h */
    FORWARD_RESET_COUNT,
};

/* Maximum number of retransmissions of an opening packet. */
#define FORWARD_COPIES_MAX 2

struct forward_counters {
    uint64_t received;          /* packets */
    uint64_t packets_forwarded; /* packets sent to a target */
    uint64_t openings;          /* opening packets (SYN), without copies */
    uint64_t opening_copies[FORWARD_COPIES_MAX]; /* first copy, later ones */
    uint64_t requests; /* packets with new data on open flows */
    uint64_t repeats;  /* packets that repeat data on open flows */
    /* Openings, and copies, that were forwarded to a target of another failure
     * domain. */
    uint64_t openings_away;
    uint64_t copies_away;
    uint64_t opening_repeats; /* opening packets sent again to the same target,
                               * as they show nothing about it */
    uint64_t cookie_changes; /* packets of open flows that named another target
                              * than the one that it is open at */
    uint64_t flows_told; /* flows of which the peers were told where they are
                          * open */
    uint64_t ended[FORWARD_RESET_COUNT]; /* resets of open flows */
    uint64_t reach_checks;               /* checks of silent targets */
    uint64_t drops[FORWARD_DROP_COUNT];
    uint64_t resets[FORWARD_RESET_COUNT];
    /* Resets FORWARD_RESET_NO_ROOM by class of the opening. */
    uint64_t refused[OPENING_CLASSES];
};

/* Names of the causes in metrics and logs. */
const char *forward_drop_name(enum forward_drop drop);
const char *forward_reset_name(enum forward_reset reset);

/* What a forward task shares with the rest of the process. */
struct forward_parts {
    struct forward_view *view;
    struct own_delay *own_delay;
    struct domain_load *load;
    struct cold_claims *cold_claims; /* NULL: no target is claimed */
};

/* Binds the UDP port and starts forwarding. "base", "format" and what "parts"
 * points to remain owned by the caller and must outlive the task; "cb" is
 * copied. Returns NULL with "st" set when the port cannot be bound or memory
 * is short. */
struct forward_task *forward_task_new(struct event_base *base,
                                      const struct forward_settings *settings,
                                      const struct flow_packet_format *format,
                                      const struct forward_parts *parts,
                                      const struct forward_callbacks *cb,
                                      struct status *st);
/* Refuses the packets that still wait for the first view, closes the socket
 * and frees the task. Does nothing for NULL. */
void forward_task_destroy(struct forward_task *task);

/* Records a peer's report on a target, as described at struct
 * observation_record. "sent_at" is in microseconds of this host's monotonic
 * clock. */
void forward_task_reported(struct forward_task *task, uint32_t cookie,
                           unsigned misses, uint64_t sent_at);
/* Takes over what a peer has told about how long targets take; with "relay"
 * it is told on. */
void forward_task_slow_targets(struct forward_task *task,
                               const struct slow_target_record *records,
                               size_t count, bool relay);
/* Takes over what a peer has told about flows that two targets may have
 * accepted; with "relay" what is new here is told on. */
void forward_task_open_flows_told(struct forward_task *task,
                                  const struct open_flow_record *records,
                                  size_t count, bool relay);
/* The routers are about to hand flows to other balancers of the own failure
 * domain, since one has come or gone, or this one stops. */
void forward_task_routers_changed(struct forward_task *task);
/* Handles the packets that were queued before the view became usable. */
void forward_task_view_ready(struct forward_task *task);

/* Number of open flows at the targets of a failure domain from which this host
 * has received a packet within the last 20 s. */
size_t forward_task_open_flows(const struct forward_task *task,
                               const struct forward_domain *domain);

/* The results are owned by the task and valid until it is destroyed. */
const struct forward_counters *
forward_task_counters(struct forward_task *task);
const struct flow_times *forward_task_times(const struct forward_task *task);
const struct target_speed *forward_task_speed(const struct forward_task *task);
