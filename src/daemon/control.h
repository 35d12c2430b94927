#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/random.h"
#include "base/settings.h"
#include "coordination/membership.h"
#include "coordination/report.h"
#include "coordination/spread.h"
#include "coordination/view-builder.h"
#include "coordination/view-filter.h"
#include "daemon/host-list.h"
#include "daemon/store-reader.h"
#include "state/config-store.h"
#include "state/domain-floors.h"
#include "state/event-ring.h"
#include "transport/gossip-endpoint.h"
#include "transport/mailbox.h"
#include "transport/store-client.h"

/* What the parts of the control task share. Only the control task's thread
 * touches it. */

#define CONTROL_METRICS_MAX 16
#define CONTROL_HELD_MAX 64 /* targets in quarantine that events tell of */

struct control_task {
    const struct settings *settings;
    void *zmq_ctx;
    pthread_t thread;
    bool started;

    struct event_base *base;
    struct event *tick;
    struct event *stop;    /* made active by control_task_stop() */
    struct event *publish; /* made active when the view may have changed */
    struct mailbox *data;
    struct mailbox *api;

    struct random random;
    struct event_ring *events;
    struct config_store *config;
    struct domain_floors floors;
    struct membership *members;
    uint32_t members_told; /* live ones, as the data task knows */
    struct spread *spread;
    struct gossip_endpoint *gossip;
    struct host_list *hosts;
    struct gossip_message *in; /* message being decoded */
    struct store_client *store;
    struct store_reader *reader;
    struct report *report;
    uint64_t status_revision; /* mod_revision of the own domain's status */

    uint64_t view_sequence; /* of the last view sent */
    uint64_t view_revision; /* the configuration is complete up to it */
    bool view_stale;        /* news came after the last view was built */
    struct view_filter view_filter; /* what the last view holds */
    bool view_applied;              /* the data task runs the last view */
    size_t quarantined;             /* targets left out of the last view */
    /* The first of them, so that only news becomes an event. */
    struct view_quarantine held[CONTROL_HELD_MAX];
    struct view_quarantine held_before[CONTROL_HELD_MAX];
    uint64_t applied; /* revision that the data task has in force */

    /* Questions for metrics that wait for the data task's. */
    uint64_t metrics_asked[CONTROL_METRICS_MAX];
    size_t metrics_asked_count;

    bool refresh_wanted;   /* the data task was paused */
    bool refresh_by_store; /* the store is being read for that */
    bool stopping;         /* planned stop */
    bool isolated;         /* neither peers nor store can be reached */
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
/* Names live peers, those that drain left out, to the data task, which is
 * stopping or draining. */
void control_peers_offer(struct control_task *task);

/* control-config.c: from store and peers to the data task's view. */
bool control_config_open(struct control_task *task, struct status *st);
void control_config_tick(struct control_task *task, uint64_t now);
void control_config_close(struct control_task *task);
void control_config_view_applied(struct control_task *task, uint64_t sequence);
/* The data task was paused: answers with MSG_VIEW_FRESH once the
 * configuration was compared with a peer's or the store's. */
void control_config_refresh(struct control_task *task);

/* control-status.c: what is in force. */
bool control_status_open(struct control_task *task, struct status *st);
void control_status_tick(struct control_task *task, uint64_t now);
void control_status_close(struct control_task *task);
/* A domain's status was read from the platform's store. */
void control_status_seen(struct control_task *task, const char *domain,
                         const struct store_entry *entry);

/* What is in force as this balancer knows it: a JSON object for the api task,
 * which the caller frees. */
char *control_status_text(struct control_task *task);

/* control-metrics.c: the api task's questions for metrics, by their id. */
void control_metrics_ask(struct control_task *task, uint64_t id);
void control_metrics_text(struct control_task *task, const char *data,
                          size_t size);

/* control-answers.c: questions of the api task. */
void control_answers_handle(struct control_task *task, const void *data,
                            size_t size);
