#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/random.h"
#include "base/settings.h"
#include "coordination/config-sync.h"
#include "coordination/membership.h"
#include "coordination/report.h"
#include "coordination/view-builder.h"
#include "coordination/view-filter.h"
#include "daemon/host-list.h"
#include "daemon/store-reader.h"
#include "state/config-store.h"
#include "state/domain-min-revisions.h"
#include "state/event-ring.h"
#include "transport/gossip-endpoint.h"
#include "transport/mailbox.h"
#include "transport/store-client.h"

/* State shared by the source files of the control task. After the start, only
 * the control task's thread accesses it. */

/* Maximum number of pending metrics requests of the API task; further ones are
 * dropped. */
#define CONTROL_METRICS_REQUESTS_MAX 16
/* Maximum number of targets in quarantine that are remembered from one view to
 * the next. */
#define CONTROL_QUARANTINE_MAX 64

struct control_task {
    const struct settings *settings;
    void *zmq_ctx;
    pthread_t thread;
    bool started;

    struct event_base *base;
    struct event *tick;
    struct event *stop;    /* activated by control_task_stop() */
    struct event *publish; /* activated when the view may have changed */
    struct mailbox *data;  /* to and from the data task */
    struct mailbox *api;   /* to and from the API task */

    struct random random;
    struct event_ring *events;
    struct config_store *config;
    struct domain_min_revisions floors;
    struct membership *members;
    uint32_t members_sent; /* live balancers last sent to the data task */
    struct config_sync *config_sync;
    struct gossip_endpoint *gossip;
    struct host_list *hosts;
    struct gossip_message *in; /* buffer for decoding a received message */
    struct store_client *store;
    struct store_reader *reader;
    struct report *report;
    /* mod_revision of this failure domain's status in the store; 0: none is
     * known. */
    uint64_t status_revision;

    uint64_t view_sequence; /* number of the last view sent; 0: none */
    /* Revision up to which the configuration was complete when the last view
     * was built, or up to which it has become complete without changing the
     * view. */
    uint64_t view_revision;
    bool view_stale; /* a change came after the last view was built */
    /* Tells which resources may change the last view. */
    struct view_filter view_filter;
    bool view_applied;  /* the data task has applied the last view */
    size_t quarantined; /* number of targets left out of the last view */
    /* The first quarantined targets of the last view and of the view before,
     * compared so that only changes are recorded as events. Unused entries
     * are zero. */
    struct view_quarantine quarantine[CONTROL_QUARANTINE_MAX];
    struct view_quarantine quarantine_before[CONTROL_QUARANTINE_MAX];
    uint64_t applied; /* revision that the data task has applied */

    /* Ids of API requests for metrics that wait for the text of the data
     * task. */
    uint64_t metrics_requests[CONTROL_METRICS_REQUESTS_MAX];
    size_t metrics_request_count;

    /* The data task was paused and waits for MSG_VIEW_REFRESHED. */
    bool refresh_pending;
    /* The refresh waits for a read of the store instead of a peer. */
    bool refresh_from_store;
    bool stopping; /* a planned stop has begun */
    bool isolated; /* neither peers nor store can be reached */
};

/* control-event.c: records an event for the log and /v1/events. */
void control_event(struct control_task *task, const char *kind,
                   const char *subject, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/* control-peers.c: gossip with other balancers. */
bool control_peers_open(struct control_task *task, struct status *st);
/* A gossip_send_cb; "ctx" is the task. */
void control_peers_send(void *ctx, uint32_t addr, uint16_t port,
                        const struct gossip_message *m);
void control_peers_tick(struct control_task *task, uint64_t now);
void control_peers_close(struct control_task *task);
/* Sends the data task a few live peers whose hosts are not draining. While
 * this balancer is stopping or draining, the data task relays new requests to
 * them. */
void control_peers_send_list(struct control_task *task);

/* control-config.c: collects the configuration from the store and from peers
 * and builds the data task's view. */
bool control_config_open(struct control_task *task, struct status *st);
void control_config_tick(struct control_task *task, uint64_t now);
void control_config_close(struct control_task *task);
/* Called when the data task has applied the view with number "sequence". */
void control_config_view_applied(struct control_task *task, uint64_t sequence);
/* Called when the data task was paused. Sends it MSG_VIEW_REFRESHED once the
 * configuration has been compared with that of a peer or of the store. */
void control_config_refresh(struct control_task *task);

/* control-status.c: status of the failure domains, which says what revision
 * each has applied. */
bool control_status_open(struct control_task *task, struct status *st);
void control_status_tick(struct control_task *task, uint64_t now);
void control_status_close(struct control_task *task);
/* Called when the status of a failure domain was read from the platform's
 * store. */
void control_status_received(struct control_task *task, const char *domain,
                             const struct store_entry *entry);

/* Status of the failure domains as known to this balancer: a JSON object for
 * the API task, which the caller frees; NULL when memory is short. */
char *control_status_json(struct control_task *task);

/* control-metrics.c: collects the metrics of the control and data tasks.
 * control_metrics_request() registers the API request with the given id, and
 * control_metrics_finish() answers all registered requests with the text
 * received from the data task, followed by the control task's own metrics. */
void control_metrics_request(struct control_task *task, uint64_t id);
void control_metrics_finish(struct control_task *task, const char *data,
                            size_t size);

/* control-queries.c: answers a request of the API task, struct
 * msg_api_request. */
void control_query_handle(struct control_task *task, const void *data,
                          size_t size);
