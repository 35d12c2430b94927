#pragma once

#include "base/list.h"
#include "base/random.h"
#include "client/client-flow.h"
#include "client/client.h"
#include "client/download.h"
#include "runner.h"

/* What runner.c, run-download.c and run-watch.c share. */

#define PATH_SIZE 96

/* A caller's endpoint and flow towards one service. */
struct line_to_service {
    struct client *client;
    struct client_flow *flow;
};

struct session {
    struct line_to_service *lines; /* one for each entry */
    bool used;
    bool broken;
};

struct runner {
    struct event_base *base;
    const struct runner_options *options;
    struct tally *tallies;
    struct verify *verify;
    struct session *sessions;
    struct plan plan;
    struct arrival next;
    bool more; /* "next" is valid */
    bool over; /* the duration has passed */
    struct random random;
    struct event *timer;
    struct event *end_timer;
    uint64_t started_us;
    uint64_t delayed;
    size_t open; /* requests without an end */
    struct list requests;
    struct list watches;               /* struct stream_watch */
    uint64_t body_hashes[TRAFFIC_MAX]; /* of a download, 0: none yet */
};

/* One request on its way. */
struct request {
    struct list link;
    struct runner *runner;
    struct session *session;
    const struct traffic *traffic;
    struct tally *tally;
    char path[PATH_SIZE];
    uint64_t sent_us;
    struct download *download; /* of a download */
    struct body_hash *hash;    /* of its body so far */
};

/* runner.c */
struct line_to_service *session_line(struct runner *runner,
                                     struct session *session,
                                     const char *service);
/* Notes the end of a request and frees it. */
void request_end(struct request *rq, enum result result);

/* run-download.c */
void run_download(struct request *rq, struct client_flow *flow);
/* Gives a download up that is still running. */
void run_download_cancel(struct request *rq);

/* run-watch.c */
void run_watches_start(struct runner *runner);
/* Stops all watches and counts what they are missing. */
void run_watches_stop(struct runner *runner);
