#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "state/config-view.h"
#include "state/resource.h"

/* Messages between the tasks of one process, sent through mailboxes
 * (transport/mailbox.h). A payload is the structure named beside its type,
 * copied by value; ownership of memory that it points to passes to the
 * receiver. */

/* Names of the mailboxes. The control task's end binds, so it must be created
 * first. */
#define MAILBOX_CONTROL_DATA "control-data"
#define MAILBOX_CONTROL_API "control-api"

enum message_type {
    /* control -> data */
    MSG_CONFIG_VIEW = 1, /* struct msg_config_view */
    MSG_STOP,            /* begin the planned stop; no payload */
    MSG_PEERS,           /* struct msg_peers; while stopping or draining */
    MSG_MEMBERS,         /* struct msg_members; when the count changed */
    MSG_VIEW_REFRESHED,  /* the configuration was compared with a peer's or
                          * the store's after MSG_PAUSED; no payload */
    /* data -> control */
    MSG_VIEW_APPLIED, /* struct msg_view_applied */
    MSG_EVENT,        /* struct msg_event */
    MSG_STOPPED,      /* the planned stop is complete; no payload */
    MSG_PAUSED,       /* the process was paused and the view may be out of
                       * date; requests a refresh; no payload */
    /* Metrics of the data task, which the control task requests for the api
     * task: the request (control -> data) has no payload, the answer
     * (data -> control) is Prometheus text that is not NUL-terminated. */
    MSG_METRICS_REQUEST,
    MSG_METRICS_TEXT,
    /* Requests of the API task and answers of the control task, see
     * daemon/control-api.h. */
    MSG_API_REQUEST, /* api -> control: struct msg_api_request */
    MSG_API_ANSWER,  /* control -> api: struct msg_api_answer */
};

struct msg_config_view {
    struct config_view *view; /* owned by the receiver */
};

struct msg_members {
    /* Number of live balancers in this host's failure domain, this one
     * included. */
    uint32_t live_balancers;
};

#define MSG_PEERS_MAX 4

/* Live balancers to which a stopping or draining balancer relays requests that
 * have no home yet. They are in the same failure domain if there are any
 * there, otherwise in others, and use the same relay port as this balancer. */
struct msg_peers {
    uint32_t count;
    uint32_t addrs[MSG_PEERS_MAX]; /* IPv4, host byte order */
};

struct msg_view_applied {
    uint64_t sequence; /* config_view.sequence of the applied view */
};

/* An event that the control task adds to those served at /v1/events. */
struct msg_event {
    char kind[32];         /* "target_down", "host_drained", ... */
    char subject[ID_SIZE]; /* id of the host or target concerned */
    char cause[128];       /* readable text, cut off when it is too long */
};
