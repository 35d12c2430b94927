#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "state/config-view.h"
#include "state/resource.h"

/* Messages between the tasks of one process (transport/mailbox.h). Payloads
 * are these structures by value; a pointer inside passes its ownership. */

#define MAILBOX_CONTROL_DATA "control-data" /* control binds */
#define MAILBOX_CONTROL_API "control-api"   /* control binds */

enum message_type {
    /* control -> data */
    MSG_CONFIG_VIEW = 1, /* struct msg_config_view */
    MSG_STOP,            /* begin the planned stop, no payload */
    MSG_PEERS,           /* struct msg_peers, while stopping or draining */
    MSG_MEMBERS,         /* struct msg_members, when it changed */
    MSG_VIEW_FRESH,      /* the view was refreshed after a pause */
    /* data -> control */
    MSG_VIEW_APPLIED,  /* struct msg_view_applied */
    MSG_EVENT,         /* struct msg_event */
    MSG_TARGET_HEALTH, /* struct msg_target_health */
    MSG_STOPPED,       /* the planned stop is over, no payload */
    MSG_PAUSED,        /* a pause was seen; asks for a refresh */
    /* data -> api by way of control: metrics text */
    MSG_METRICS_ASK,
    MSG_METRICS_TEXT, /* text, not NUL-terminated */
    /* api -> control and back: struct msg_api_request, struct msg_api_answer,
     * in daemon/control-api.h */
    MSG_API_REQUEST,
    MSG_API_ANSWER,
};

struct msg_config_view {
    struct config_view *view; /* owned by the receiver */
};

struct msg_members {
    uint32_t live; /* balancers of the own failure domain, with this one */
};

#define MSG_PEERS_MAX 4

/* Live balancers, of the own failure domain if there are any, to which a
 * stopping one hands what is new. They listen on the same relay port. */
struct msg_peers {
    uint32_t count;
    uint32_t addrs[MSG_PEERS_MAX]; /* IPv4, host byte order */
};

struct msg_view_applied {
    uint64_t sequence;
};

/* An event for the log and /v1/events. */
struct msg_event {
    char kind[32];         /* "target_down", "drain_done", ... */
    char subject[ID_SIZE]; /* what it is about */
    char cause[128];
};

struct msg_target_health {
    char service[ID_SIZE];
    char target[ID_SIZE];
    bool healthy;
};
