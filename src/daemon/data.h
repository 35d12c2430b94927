#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

#include "base/list.h"
#include "base/random.h"
#include "base/settings.h"
#include "coordination/dispatch.h"
#include "coordination/home.h"
#include "daemon/messages.h"
#include "protocol/packet.h"
#include "state/address-set.h"
#include "state/config-view.h"
#include "state/metrics.h"
#include "transport/mailbox.h"
#include "transport/udp-socket.h"

/* Structures and functions shared by the source files of the data task. Only
 * the data task's thread uses them. */

struct answers;
struct fetches;
struct probes;
struct relays;
struct commands;
struct service_ports;
struct streams;
struct target_clients;

struct data_task;
struct inbound;
struct service_port;

/* Functions of data-task.c that its parts (such as daemon/relay.h) call back,
 * because only data-task.c knows all the parts. */
struct data_handlers {
    /* Handles a datagram from a caller. "from" is the caller, also when
     * "relayed" says that another balancer relayed the datagram.
     * "received_us" is the monotonic time at which it arrived. */
    void (*datagram)(struct data_task *task, const struct service_port *port,
                     const struct endpoint *from, const uint8_t *raw,
                     size_t size, uint64_t received_us, bool relayed);
    /* Serves a GET or FETCH request on this balancer, which is used when the
     * request does not depend on state of its home or when its home is
     * lost. */
    void (*serve_repeatable)(struct data_task *task, const struct inbound *in);
};

/* The UDP socket on which this host receives the packets of one service. */
struct service_port {
    struct data_task *task;
    uint16_t port;
    struct udp_socket *sock;
    char service[ID_SIZE];
    /* The service in data_task.view, NULL once the service was removed. */
    const struct service_view *view;
};

struct data_task {
    const struct settings *settings;
    const struct data_handlers *handlers;
    void *zmq_ctx;
    pthread_t thread;
    bool started; /* the thread runs and must be joined */

    struct event_base *base;
    struct mailbox *control;
    struct event *tick;
    struct udp_batch *udp_batch;
    struct udp_socket *relay_sock;
    struct service_ports *ports;

    struct config_view *view; /* owned; NULL until the first one arrives */
    struct random random;
    struct home home;
    uint32_t live_balancers; /* live balancers in this host's failure domain */
    uint64_t host_id_hash;   /* id_hash() of this host's id */
    struct msg_peers peers;  /* received while stopping or draining */
    struct dispatch dispatch;

    struct metrics *metrics;
    struct address_set *verified_callers;
    struct answers *answers;
    struct commands *commands;
    struct fetches *fetches;
    struct probes *probes;
    struct relays *relays;
    struct streams *streams;
    struct target_clients *target_clients;

    /* The times are those of the monotonic clock, in microseconds. */
    uint64_t next_slow_tick_us;
    uint64_t last_iteration_us; /* last iteration of the event loop */
    uint64_t stale_until_us;    /* when delivery resumes without a refresh */
    bool stop_requested;        /* the planned stop has begun */
    bool drain_reported;        /* "host_drained" was reported since the host
                                 * was declared draining */
    uint64_t stop_deadline_us;  /* latest end of the planned stop */
};

/* A caller's address and the properties of its request that the answer depends
 * on. Type, code, message id and token are those of the CoAP request. */
struct caller {
    struct endpoint addr;
    uint16_t service_port;
    enum packet_type type;
    uint8_t code;
    uint16_t message_id;
    uint8_t token[PACKET_TOKEN_MAX];
    uint8_t token_len;
    bool acked;    /* an empty ACK was sent, so the answer is a separate one
                    * (RFC 7252 section 5.2.2) */
    bool verified; /* has shown that it receives packets at this address */
    bool relayed;  /* the request came through another balancer */
    /* Bytes of the request, which bound an answer to an unverified address. */
    size_t request_size;
    uint64_t received_us; /* monotonic time of arrival */
};

/* A datagram of a caller after parsing. */
struct inbound {
    struct caller caller;
    struct packet packet;
    const struct service_port *port;
    bool has_token;          /* "token" is set and was verified */
    struct flow_token token; /* from the Echo option */
    const uint8_t *raw;      /* the whole datagram */
    size_t raw_len;
};

/* data-report.c: counters and events. */

/* Each adds one to a counter of the task's metrics. */
void data_count(struct data_task *task, enum counter counter);
void data_count_error(struct data_task *task, enum error_kind kind);

/* Logs an event and sends it to the control task for /v1/events. "kind" and
 * "subject" are as in struct msg_event; "fmt" formats the cause. */
void data_report_event(struct data_task *task, const char *kind,
                       const char *subject, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
