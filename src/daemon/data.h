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

/* What the parts of the data task share. Only the data task's thread touches
 * it. */

struct answers;
struct fetches;
struct probes;
struct relays;
struct commands;
struct service_ports;
struct streams;
struct target_links;

struct data_task;
struct inbound;
struct service_port;

/* What the parts hand back to the task, which knows them all. */
struct data_handlers {
    /* Handles a datagram that another balancer has relayed. */
    void (*datagram)(struct data_task *task, const struct service_port *port,
                     const struct endpoint *from, const uint8_t *raw,
                     size_t size, uint64_t received_us, bool relayed);
    /* Serves a request here that needs no home, or whose home is lost. */
    void (*serve_repeatable)(struct data_task *task, const struct inbound *in);
};

/* The socket of one service on this host. */
struct service_port {
    struct data_task *task;
    uint16_t port;
    struct udp_socket *sock;
    char service[ID_SIZE];
    const struct service_view *view; /* NULL once the service is gone */
};

struct data_task {
    const struct settings *settings;
    const struct data_handlers *handlers;
    void *zmq_ctx;
    pthread_t thread;
    bool started;

    struct event_base *base;
    struct mailbox *control;
    struct event *tick;
    struct udp_batch *udp_batch;
    struct udp_socket *relay_sock;
    struct service_ports *ports;

    struct config_view *view; /* NULL before the first one */
    struct random random;
    struct home home;
    uint32_t live;          /* balancers of the own failure domain */
    uint64_t self;          /* hash of the own host's id */
    struct msg_peers peers; /* known while stopping or draining */
    struct dispatch dispatch;

    struct metrics *metrics;
    struct address_set *verified;
    struct answers *answers;
    struct commands *commands;
    struct fetches *fetches;
    struct probes *probes;
    struct relays *relays;
    struct streams *streams;
    struct target_links *links;

    uint64_t next_slow_us;
    uint64_t turned_us; /* last turn of the loop, for pauses */
    uint64_t stale_until_us;
    bool stop_begun;     /* the planned stop was asked for */
    bool drained;        /* declared draining, and nothing runs any more */
    uint64_t stop_by_us; /* planned stop, at the latest */
};

/* Where an answer goes, and what it answers. */
struct caller {
    struct endpoint addr;
    uint16_t service_port;
    enum packet_type type;
    uint8_t code;
    uint16_t message_id;
    uint8_t token[PACKET_TOKEN_MAX];
    uint8_t token_len;
    bool acked;          /* an empty ACK was sent: the answer is separate */
    bool verified;       /* receives what is sent to its address */
    bool relayed;        /* came through another balancer */
    size_t request_size; /* bytes */
    uint64_t received_us;
};

/* A caller's request as the parts get it. */
struct inbound {
    struct caller caller;
    struct packet packet;
    const struct service_port *port;
    bool has_token;
    struct flow_token token;
    const uint8_t *raw; /* the datagram */
    size_t raw_len;
};

/* data-report.c: counts on the task's counters. */
void data_count(struct data_task *task, enum counter counter);
void data_count_error(struct data_task *task, enum error_kind kind);

/* Sends an event to the control task. */
void data_event(struct data_task *task, const char *kind, const char *subject,
                const char *fmt, ...) __attribute__((format(printf, 4, 5)));
