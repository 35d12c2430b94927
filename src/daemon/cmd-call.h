#pragma once

#include <stdint.h>

#include "client/client-flow.h"
#include "client/client.h"

/* Declarations shared by the verbs of the subcommand "pimentohaven call". */

/* Exit statuses, documented in pimentohaven-call(1). */
enum call_exit {
    CALL_EXIT_OK = 0,      /* complete answer with a 2.xx code */
    CALL_EXIT_NOT_RUN = 1, /* the request was refused and did not run */
    CALL_EXIT_UNKNOWN = 2, /* the request may have run */
    CALL_EXIT_TIMEOUT = 3, /* no answer, or too few frames, in time */
    CALL_EXIT_BAD_ANSWER =
        4,                /* error answer; or answer or output incomplete */
    CALL_EXIT_USAGE = 64, /* EX_USAGE */
};

/* Parsed command line. The strings are not owned by this structure. */
struct call_options {
    struct endpoint
        via[CLIENT_ENTRY_ADDRESSES_MAX]; /* entry addresses of the service */
    size_t via_count;
    uint32_t deadline_ms; /* time for the whole call, 0 for a stream */
    const char *output;   /* output file, NULL: standard output */
    unsigned count;       /* frames after which "watch" ends, 0: no limit */
    uint32_t timeout_ms;  /* time after which "watch" ends, 0: no limit */
    const char *path;
    const char *query; /* without "?", NULL: none */
    const char *body;  /* NULL: none */
};

/* One run of "pimentohaven call". A verb starts its request, and when that
 * ends it sets "exit_status" and stops the event loop. */
struct call_run {
    struct call_options options;
    struct event_base *base;
    struct random random;
    struct client *client;
    struct client_flow *flow;
    unsigned frames; /* frames of the stream that were printed */
    bool gap;        /* frames of the stream were lost */
    int exit_status;
};

/* Start the request of a verb. Return false when it could not be started; no
 * event follows then, and "exit_status" is not set. */
bool call_get(struct call_run *run);
bool call_post(struct call_run *run);
bool call_watch(struct call_run *run);
bool call_download(struct call_run *run);
