#pragma once

#include "base/list.h"
#include "base/random.h"
#include "client/client-flow.h"
#include "client/client.h"
#include "client/download.h"
#include "runner.h"

/* Declarations shared by runner.c, run-download.c and run-watch.c. */

#define PATH_SIZE 96 /* bytes of a request path with the final NUL */

/* A session's UDP endpoint and flow for one service. */
struct service_client {
    struct client *client;
    struct client_flow *flow;
};

struct session {
    /* One per service entry; all zero until its first use. */
    struct service_client *clients;
    bool used;   /* has at least one endpoint */
    bool broken; /* see runner_broken_sessions() */
};

struct runner {
    struct event_base *base;
    const struct runner_options *options;
    struct tally *tallies;
    struct verify *verify;
    struct session *sessions;
    struct plan plan;
    struct arrival next; /* next arrival to send */
    bool more;           /* "next" is valid */
    bool over;           /* the duration has passed */
    struct random random;
    struct event *timer;     /* fires when "next" is due */
    struct event *end_timer; /* fires when the duration has passed */
    uint64_t started_us;     /* monotonic */
    uint64_t delayed;        /* see runner_delayed_arrivals() */
    size_t open;             /* number of requests in progress */
    struct list requests;    /* struct request in progress */
    struct list watches;     /* struct stream_watch */
    /* Hash of the first complete download body per traffic, 0: none yet. */
    uint64_t body_hashes[TRAFFIC_MAX];
};

/* One request in progress, not a watch. */
struct request {
    struct list link;
    struct runner *runner;
    struct session *session;
    const struct traffic *traffic;
    struct tally *tally;
    char path[PATH_SIZE];
    uint64_t sent_us;          /* monotonic */
    struct download *download; /* NULL unless the request is a download */
    struct body_hash *hash;    /* of the part of the body received so far */
};

/* runner.c */

/* Returns the endpoint and flow of a session for a service, and creates them
 * on first use. Exits the program when that fails. */
struct service_client *session_get_client(struct runner *runner,
                                          struct session *session,
                                          const char *service);
/* Counts the result of a request and frees the request. */
void request_end(struct request *rq, enum result result);

/* run-download.c */

/* Starts the download that "rq" describes; request_end() runs when it ends. */
void run_download(struct request *rq, struct client_flow *flow);
/* Cancels the download of a request; does nothing for other requests. */
void run_download_cancel(struct request *rq);

/* run-watch.c */

/* Starts the watches of all traffic of this kind. */
void run_watches_start(struct runner *runner);
/* Stops all watches and counts their missing readings as timeouts. */
void run_watches_stop(struct runner *runner);
