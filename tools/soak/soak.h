#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <event2/event.h>
#include <glib.h>

#include "base/list.h"
#include "base/random.h"
#include "checker.h"
#include "delay-line.h"
#include "plan.h"
#include "standin-common.h"
#include "transport/http-call.h"

/* A fault soak: real balancers, targets, callers and a store stand-in on
 * loopback, broken from outside by a plan, while the promises are checked.
 *
 *     callers --> router --> balancers --> (harm) --> targets --> callers
 *                                |
 *                        TCP links (standin-link): store, gossip
 *
 * The router and the way to the targets are sockets of this process, so that
 * it sees each packet; TCP passes through a standin-link that it orders about.
 */

#define SOAK_BALANCERS_MAX 128
#define SOAK_ADDRESSES_MAX 128 /* of targets */
#define SOAK_CALLERS_MAX 32
#define SOAK_SERVICES 2
#define SOAK_TEXT 160    /* bytes */
#define SOAK_ENDPOINT 24 /* bytes of "a.b.c.d:port" and the NUL */
#define SOAK_PATH 512    /* bytes */

/* The users' bounds of the small deployments. */
#define CHANGE_MS 3000
#define DRAIN_MS 3000
#define CALM_MS 4000
#define GRACE_S 6
#define RECOVERY_MS 12000
#define FLOW_MAX_S 60
#define DOWNGRADE_MS 250
#define SLACK_MS 200
#define ADDRESS_REUSE_MS 2000
/* Entries of silent targets go after three of their intervals, here 1 s. */
#define HEARTBEAT_EXPIRY_MS 3000

/* Part of 127.0.0.0/8 that each kind of address is in. */
enum soak_net {
    NET_STORE,       /* the store stand-in */
    NET_BALANCER,    /* what balancers bind */
    NET_GOSSIP_LINK, /* where peers reach them */
    NET_STORE_LINK,  /* where each reaches the store */
    NET_TARGET,      /* what targets bind */
    NET_TARGET_LINK, /* where balancers reach them */
    NET_CALLER,
    NET_ROUTER,
};

#define PORT_PACKETS 7172
#define PORT_ANSWERS 7173 /* at callers' addresses, on the way to them */
#define PORT_READY 7167
#define PORT_GOSSIP 7720
#define PORT_STORE 7300
#define PORT_LINKS 7301 /* orders to the TCP links */
#define PORT_TARGET 7400
#define ROUTE_HOST "198.18.0.1"
#define ROUTE_FIRST_PORT 80

struct soak;

/* A process that this one has started. */
struct child {
    struct soak *soak;
    GPid pid; /* 0: it does not run */
    char name[32];
    bool stopping;       /* it is to end */
    uint64_t stop_at_ms; /* told to end, 0: it was not, or has been killed */
    struct bufferevent *lines;
    void (*on_line)(struct child *child, const char *line);
    void (*on_exit)(struct child *child);
    void *owner;
};

/* Harm done to datagrams on a way. */
struct harm {
    bool cut;
    double lost;
    double twice;
    double late; /* share, overtaken by others */
};

struct balancer {
    struct child child;
    unsigned index;
    bool rotation;            /* the router uses it */
    struct http_call *asking; /* for readiness; NULL: not now */
    unsigned misses;
    bool paused;
    unsigned restarts_held; /* faults that keep it from being restarted */
    struct harm harm;
    struct sockaddr_in packets;
};

/* An address of targets, which one after the other have. */
struct place {
    struct soak *soak;
    unsigned index;
    int fd; /* where balancers send */
    struct event *readable;
    struct sockaddr_in real;
    struct harm harm;
    struct target_process *target; /* NULL: none */
};

/* A start of a target. */
struct target_process {
    struct child child;
    unsigned number; /* of all starts */
    int service;
    struct place *place;
    char id[32];
    bool registered;
    bool draining;
    bool leaving; /* it is to end, and not to be replaced */
    bool paused;
};

struct caller {
    struct child child;
    unsigned index;
    int answers; /* socket */
    struct event *readable;
    struct sockaddr_in real;
    uint32_t addr;
};

struct soak_options {
    uint64_t seed;
    double minutes;
    char *size;
    char *build;
    char *program;       /* the balancers'; NULL: that of the build */
    char *target_option; /* of all targets, to see that it is caught */
    char *until_broken;  /* ends when this promise is */
    char *replay;
    char *keep;
    int net;
};

struct soak {
    struct soak_options options;
    struct event_base *base;
    struct random choices; /* of the plan: the same in a replay */
    struct random harm;    /* of datagrams */
    const struct plan *plan;
    struct checker *checker;
    struct delay_line *delays;
    uint64_t started_ms;
    unsigned broken[PROMISE_COUNT];
    bool settled; /* no fault goes on: the recovery is watched */
    bool ending;  /* the fleet is being stopped */
    char work[SOAK_PATH];

    size_t balancer_count;
    size_t place_count;
    size_t caller_count;
    unsigned flows; /* of a caller */
    struct child store;
    struct child links;
    struct balancer balancers[SOAK_BALANCERS_MAX];
    struct place places[SOAK_ADDRESSES_MAX];
    struct caller callers[SOAK_CALLERS_MAX];
    GPtrArray *children; /* struct child, running */
    GPtrArray *targets;  /* struct target_process, all starts; owned */
    int router;          /* socket */
    struct event *router_readable;

    int services[CHECKER_ROUTES_MAX]; /* of the routes, as last sent */
    unsigned config_version;

    bool counting; /* after recovery */
    unsigned answered;
    unsigned failed;
    unsigned requests;
    GQueue *lines;      /* the last ones noted */
    struct list later;  /* calls that are due later */
    struct list orders; /* to stand-ins, under way */
};

uint64_t soak_now_ms(void);
/* Notes a line for the report. */
void soak_note(struct soak *soak, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void soak_address(const struct soak *soak, enum soak_net net, unsigned index,
                  char out[INET_ADDRSTRLEN]);
void soak_endpoint(const struct soak *soak, enum soak_net net, unsigned index,
                   uint16_t port, char out[SOAK_ENDPOINT]);
/* Names of services, and of the failure domains that are dealt out in turn. */
const char *soak_service(int service);
const char *soak_domain(unsigned index);
void soak_sockaddr(const struct soak *soak, enum soak_net net, unsigned index,
                   uint16_t port, struct sockaddr_in *sin);
/* Calls "cb" with "ctx" after some time. When the soak ends before, "drop"
 * frees it; NULL: it is somebody else's. */
void soak_after(struct soak *soak, uint64_t ms, void (*cb)(void *ctx),
                void *ctx, GDestroyNotify drop);
