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

/* A fault soak test: real balancers run on loopback together with stand-ins
 * for targets, callers and the store. A plan injects faults from outside, and
 * the checker reports each promise that is broken.
 *
 *  callers --> router --> balancers --> (impairment) --> targets --> callers
 *                             |
 *                     TCP links (standin-link): store, gossip
 *
 * This process relays all packets of flows itself, through its own UDP
 * sockets, and so sees each of them. TCP connections to the store and between
 * peers pass through a standin-link process, which this one controls over
 * HTTP.
 */

#define SOAK_BALANCERS_MAX 128
#define SOAK_TARGET_ADDRS_MAX 128
#define SOAK_CALLERS_MAX 32
#define SOAK_SERVICES 2
#define SOAK_DOMAINS 2        /* failure domains */
#define SOAK_TEXT_SIZE 160    /* bytes */
#define SOAK_ENDPOINT_SIZE 24 /* bytes of "a.b.c.d:port" and the NUL */
#define SOAK_PATH_SIZE 512    /* bytes */

/* Bounds that users require of small deployments. */
/* Maximum time from the acknowledgement of a change until all balancers apply
 * it. */
#define CHANGE_BOUND_MS 3000
/* Time after which a leaving target gets no new flow. */
#define DRAIN_BOUND_MS 3000
/* Time after the end of a fault until the bounds apply again. */
#define SETTLE_MS 4000
/* Time limit of a planned stop. */
#define STOP_GRACE_S 6
/* Maximum time from the end of all faults until all requests are answered
 * again. */
#define RECOVERY_BOUND_MS 12000
/* Age from which an open flow may be ended. */
#define FLOW_MAX_S 60
/* Time after the first use of a configuration for which a process may still
 * use an older one. */
#define DOWNGRADE_WINDOW_MS 250
/* Inaccuracy of times that this process measures. */
#define TIMING_SLACK_MS 200
/* Time for which the address of an ended target stays unused. */
#define ADDRESS_REUSE_DELAY_MS 2000
/* Time after which the entry of a target that sends no heartbeats expires:
 * three heartbeat intervals, which are 1 s here. */
#define HEARTBEAT_EXPIRY_MS 3000

/* Kinds of addresses. Each has a subnet of its own: the value is the third
 * byte of the address. */
enum soak_net {
    NET_STORE,       /* the store stand-in, and the control port of the links
                      */
    NET_BALANCER,    /* addresses that balancers bind */
    NET_GOSSIP_LINK, /* link addresses at which peers reach a balancer */
    NET_STORE_LINK,  /* link addresses at which a balancer reaches the store */
    NET_TARGET,      /* addresses that targets bind */
    NET_TARGET_LINK, /* sockets of this process to which balancers send
                      * packets for a target */
    NET_CALLER,      /* addresses that callers bind */
    NET_ROUTER,      /* the socket to which callers send packets */
};

#define PORT_PACKETS 7172
/* Port, at the address of each caller, on which this process receives the
 * packets that targets send to that caller. */
#define PORT_ANSWERS 7173
#define PORT_READY 7167
#define PORT_GOSSIP 7720
#define PORT_STORE 7300
#define PORT_LINK_CONTROL 7301 /* control requests to standin-link */
#define PORT_TARGET 7400
#define ROUTE_HOST "198.18.0.1"
#define ROUTE_FIRST_PORT 80 /* of route 0; route N has this port + N */

struct soak;

/* A child process. */
struct child {
    struct soak *soak;
    GPid pid; /* 0: not running */
    char name[32];
    bool stopping; /* was told to end or was killed: its exit is expected */
    uint64_t stop_requested_ms; /* time of SIGTERM; 0: none was sent, or it was
                                   killed afterwards */
    struct bufferevent *output; /* NULL: the output is not read, or has ended
                                 */
    /* Called for each line of output; NULL: the output goes to a log file. */
    void (*on_line)(struct child *child, const char *line);
    /* Called after the process has ended; NULL: nothing to do. */
    void (*on_exit)(struct child *child);
    void *owner; /* the balancer, target_process or caller; for on_line and
                    on_exit */
};

/* What happens to the datagrams on one path. All 0: they are relayed
 * unchanged. */
struct impairment {
    bool cut;               /* all are dropped */
    double loss_share;      /* share that is dropped, 0 to 1 */
    double duplicate_share; /* share that is sent twice, 0 to 1 */
    double delay_share;     /* share that is delayed, so that later ones
                               overtake it, 0 to 1 */
};

struct balancer {
    struct child child;
    unsigned index;
    bool in_rotation;             /* the router sends packets to it */
    struct http_call *ready_call; /* readiness check in progress, or NULL */
    unsigned ready_failures;      /* consecutive failed readiness checks */
    unsigned unrouted;       /* active faults that keep it out of rotation */
    bool paused;             /* stopped with SIGSTOP */
    unsigned restart_blocks; /* number of active faults during which it must
                                not be restarted */
    struct impairment impairment;   /* of packets from callers */
    struct sockaddr_in packet_addr; /* where it receives packets of flows */
};

/* An address for targets. Several targets may use it one after the other. */
struct target_addr {
    struct soak *soak;
    unsigned index;
    int fd; /* socket to which balancers send packets */
    struct event *readable;
    struct sockaddr_in bound_addr; /* address that the target binds */
    struct impairment impairment;  /* of packets from balancers */
    struct target_process *target; /* the running target; NULL: none */
};

/* A target process. A restart creates a new one. */
struct target_process {
    struct child child;
    unsigned number; /* index in soak->targets; identifies it to the checker */
    int service;     /* index of its service */
    struct target_addr *target_addr;
    char id[32];
    bool registered; /* its entry was written to the store and not deleted
                       since */
    bool draining;   /* its entry says that it is draining */
    unsigned writes; /* of its entry */
    bool leaving;    /* a fault ends it: other faults must not choose it */
    bool paused;     /* stopped with SIGSTOP */
};

struct caller {
    struct child child;
    unsigned index;
    int answer_fd; /* socket to which targets send packets for the caller */
    struct event *readable;
    struct sockaddr_in bound_addr; /* address that the caller binds */
    uint32_t addr;                 /* the same address, host byte order */
};

struct soak_options {
    uint64_t seed;
    double minutes; /* duration of the plan, in which its faults begin */
    char *size;
    char *build;         /* build directory */
    char *program;       /* program of the balancers; NULL: that of "build" */
    char *target_option; /* additional option of all targets, which makes them
                            break a promise; NULL: none */
    char *until_broken;  /* promise after whose first break the soak ends;
                            NULL: it runs to the end of the plan */
    char *replay;        /* file with the plan; NULL: drawn from the seed */
    char *keep; /* work directory, which is kept; NULL: a temporary one, kept
                   only if a promise was broken */
    int net;    /* second byte of all addresses */
};

struct soak {
    struct soak_options options;
    struct event_base *base;
    struct random config_random;     /* for changes of the configuration; the
                                        same sequence in a replay */
    struct random impairment_random; /* for impairments of datagrams */
    const struct plan *plan;
    struct checker *checker;
    struct delay_line *delays;
    uint64_t started_ms;
    unsigned broken_counts[PROMISE_COUNT]; /* times that each was broken */
    bool recovering; /* all faults are over: recovery is being checked */
    bool ending;     /* the soak ends: nothing is restarted */
    char *failure;   /* why no promise can be judged; NULL: they can */
    char work_dir[SOAK_PATH_SIZE];

    size_t balancer_count;
    size_t target_addr_count;
    size_t caller_count;
    unsigned flows; /* of each caller */
    struct child store;
    struct child links;
    struct balancer balancers[SOAK_BALANCERS_MAX];
    struct target_addr target_addrs[SOAK_TARGET_ADDRS_MAX];
    struct caller callers[SOAK_CALLERS_MAX];
    GPtrArray *children; /* struct child of all running processes; not owned */
    GPtrArray *targets;  /* struct target_process, all ever started; owned */
    int router_fd;       /* socket to which callers send packets */
    struct event *router_readable;

    int services[CHECKER_ROUTES_MAX]; /* of each route, as written last;
                                         CHECKER_NO_SERVICE: route removed */
    unsigned config_version;          /* checker's version of the last write */
    bool emptied[SOAK_DOMAINS];       /* the operator's order stands */
    unsigned restores; /* returns of the store from a copy, until what it lost
                        * is written again */

    bool counting;             /* "answered" and "failed" are counted */
    unsigned answered;         /* requests since counting began */
    unsigned failed;           /* requests since counting began */
    unsigned requests;         /* requests that have ended since the start */
    GQueue *event_lines;       /* char *, the latest lines of soak_log() */
    struct list delayed_calls; /* of soak_after(), not yet due */
    struct list control_requests; /* HTTP requests to stand-ins, in progress */
};

/* Monotonic time in ms. */
uint64_t soak_now_ms(void);
/* Adds a line with a timestamp to the event lines for the report. Reports of
 * broken promises select lines by " flow=", "balancer=N ", "target=N ",
 * " fault ", " version " and names of children. */
void soak_log(struct soak *soak, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Ends the soak because of a fault of its own; later reasons are only logged.
 * No promise is judged then. */
void soak_fail(struct soak *soak, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Format the address that member "index" of a kind has, without and with a
 * port. */
void soak_address(const struct soak *soak, enum soak_net net, unsigned index,
                  char out[INET_ADDRSTRLEN]);
void soak_endpoint(const struct soak *soak, enum soak_net net, unsigned index,
                   uint16_t port, char out[SOAK_ENDPOINT_SIZE]);
/* Name of a service, 0 to SOAK_SERVICES - 1. */
const char *soak_service(int service);
/* Name of a failure domain; the domains alternate over the indexes. */
const char *soak_domain(unsigned index);
/* Like soak_endpoint(), as a socket address. */
void soak_sockaddr(const struct soak *soak, enum soak_net net, unsigned index,
                   uint16_t port, struct sockaddr_in *sin);
/* Calls "cb" with "ctx" once after "ms" milliseconds. If the soak ends before
 * that, "drop" is called with "ctx" instead; NULL: "ctx" need not be freed. */
void soak_after(struct soak *soak, uint64_t ms, void (*cb)(void *ctx),
                void *ctx, GDestroyNotify drop);
