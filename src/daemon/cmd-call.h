#pragma once

#include <stdint.h>

#include "client/client-flow.h"
#include "client/client.h"

/* What the verbs of "pimentohaven call" share. */

/* Exit statuses, as in pimentohaven-call(1). */
enum call_exit {
    CALL_EXIT_WHOLE = 0,     /* a whole answer of class 2 */
    CALL_EXIT_NOT_RUN = 1,   /* refused, and not run */
    CALL_EXIT_UNKNOWN = 2,   /* it may have run */
    CALL_EXIT_TIMEOUT = 3,   /* no answer in time */
    CALL_EXIT_NOT_WHOLE = 4, /* the answer is an error, or not whole */
    CALL_EXIT_USAGE = 64,    /* EX_USAGE */
};

struct call_options {
    struct endpoint via[CLIENT_VIA_MAX];
    size_t via_count;
    uint32_t deadline_ms;
    const char *output;
    unsigned count;      /* frames, 0: no limit */
    uint32_t timeout_ms; /* of a stream, 0: none */
    const char *path;
    const char *query; /* NULL: none */
    const char *body;  /* NULL: none */
};

/* A command in progress. The verbs start something and set "exit_status" when
 * it ends; then the loop ends. */
struct call_run {
    struct call_options options;
    struct event_base *base;
    struct random random;
    struct client *client;
    struct client_flow *flow;
    unsigned frames; /* of a stream, so far */
    bool gap;        /* frames of it are lost */
    int exit_status;
};

/* Each returns false when nothing was started. */
bool call_get(struct call_run *run);
bool call_post(struct call_run *run);
bool call_watch(struct call_run *run);
bool call_download(struct call_run *run);
