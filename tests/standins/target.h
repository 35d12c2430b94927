#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include "base/list.h"
#include "standin-common.h"

#define TARGET_LOAD_TEXT_SIZE 48 /* size of a load text with NUL, bytes */
#define TARGET_LOAD_SAMPLES 64   /* load texts stored for "stale_load" */

#define HTTP_PARTIAL 206
#define HTTP_PRECONDITION 412
#define HTTP_BAD_RANGE 416
#define HTTP_MISDIRECTED 421
#define HTTP_UNAVAILABLE 503

/* Failures that the control endpoint activates. */
struct target_faults {
    bool hang;         /* requests are accepted and never answered */
    bool reset;        /* the connection closes in the middle of each answer */
    bool wrong_length; /* answers are shorter than their Content-Length */
    bool refuse;       /* every request is shed */
    bool lie_health;   /* /health always reports ready and no load */
    bool leaving;      /* /health reports leaving */
    bool stale_load;   /* X-Load is 5 s old */
    /* Value of X-Load; empty: the actual load. */
    char lie_load[TARGET_LOAD_TEXT_SIZE];
    double slow; /* factor on the service time; 0: not active */
};

/* Requests since the start. */
struct target_counts {
    uint64_t begun;
    uint64_t ended;       /* service time over */
    uint64_t shed;        /* not queued: answered 503 */
    uint64_t expired;     /* deadline passed in the queue: answered 503 */
    uint64_t cancelled;   /* connection closed before the answer */
    uint64_t misdirected; /* named another service: answered 421 */
    uint64_t streams_opened;
    uint64_t busy_us; /* time that slots were in use, added up */
};

struct target {
    struct event_base *base;
    struct standin_random random;
    const char *id;
    const char *service;
    int journal_fd;  /* -1: none */
    int slots;       /* requests that run at the same time */
    int queue_limit; /* maximum number of waiting requests */
    int connection_limit;
    double service_time_ms; /* mean service time */
    bool fixed_time;        /* every request takes the mean service time */
    int cold_start_ms; /* time from the start in which requests are slow */
    int warmup_ms; /* time from the start in which /health reports warming */
    uint64_t started_us;     /* monotonic */
    unsigned bundle_version; /* version of the contents of /bundle/ */

    struct target_faults faults;
    struct target_counts counts;
    struct list running;     /* struct work */
    struct list queued;      /* struct work */
    struct list connections; /* struct target_conn */
    int connection_count;
    int running_count;
    int queued_count;
    int stream_count;
    char load_history[TARGET_LOAD_SAMPLES][TARGET_LOAD_TEXT_SIZE];
    unsigned load_head; /* index of the newest sample in "load_history" */
};

/* A request that waits for a slot or runs in one. */
struct work {
    struct list link;
    struct target *target;
    struct evhttp_request *req; /* NULL once its connection is closed */
    char *path;
    char *request_id;
    const char *method;
    bool repeatable; /* neither POST nor PATCH */
    bool is_running;
    uint64_t deadline_us; /* monotonic, 0: none */
    uint64_t begun_us;    /* monotonic */
    struct event *timer;  /* end of the service time; NULL while queued */
};

/* A connection that has carried a request. */
struct target_conn {
    struct list link;
    struct target *target;
    struct evhttp_connection *evcon;
    bool silent;           /* nothing is read or written any more */
    struct work *work;     /* current request, or NULL */
    struct stream *stream; /* current stream, or NULL */
};

/* target-conn.c: connections and answers, with the active failures applied. */

/* The record of a request's connection, made on its first request. From then
 * on, the end of the connection cancels its request or stream. */
struct target_conn *target_conn_of(struct target *target,
                                   struct evhttp_request *req);
/* Stops reading and writing on all connections that are open now. They stay
 * open; new connections are not affected. */
void target_silence(struct target *target);
/* Sends an answer with the headers set so far, or a broken or no answer if a
 * failure is active. The caller keeps "body", which may be drained. */
void target_reply(struct target *target, struct evhttp_request *req, int code,
                  struct evbuffer *body);
/* Answers 503 and X-Outcome: not_run to a request that has not begun. */
void target_reply_not_run(struct target *target, struct evhttp_request *req);
/* Writes the load as RUNNING/SLOTS/QUEUED. */
void target_format_load(const struct target *target, char *text, size_t size);
/* Stores the current load in the history. */
void target_sample_load(struct target *target);
/* Adds X-Load to the headers of an answer, stale or false if that failure is
 * active. */
void target_add_load_header(struct target *target, struct evhttp_request *req);

/* target-work.c: slots, queue, deadlines and the journal. */

/* Begins or queues a request, or sheds it. */
void target_work_submit(struct target *target, struct evhttp_request *req);
/* Called when the connection of an unanswered request has closed. */
void target_work_cancel(struct work *work);
/* Appends an event to the journal, if there is one. Exits if that fails. */
void target_journal(struct target *target, const char *event,
                    const char *method, const char *request_id,
                    const char *path);
const char *target_method_name(struct evhttp_request *req);

/* target-content.c: contents of the answers. */

/* Answers a request whose service time is over. */
void target_answer_work(struct target *target, struct work *work);
/* Starts a stream if a request is for one; else returns false. */
bool target_stream_start(struct target *target, struct evhttp_request *req);
/* Called when the connection of a stream has closed. Frees the stream. */
void target_stream_end(struct stream *stream);
