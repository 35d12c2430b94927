#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include "base/list.h"
#include "standin-common.h"

#define TARGET_LOAD_TEXT_SIZE 48
#define TARGET_LOAD_HISTORY 64 /* samples of the load */

#define HTTP_PARTIAL 206
#define HTTP_PRECONDITION 412
#define HTTP_BAD_RANGE 416
#define HTTP_MISDIRECTED 421
#define HTTP_UNAVAILABLE 503

/* Failures brought about through the control endpoint. */
struct target_faults {
    bool hang;         /* requests are accepted and never answered */
    bool reset;        /* the connection ends in the middle of each answer */
    bool wrong_length; /* the answer is shorter than its Content-Length */
    bool refuse;       /* every request is shed */
    bool lie_health;   /* health says ready and idle whatever is the case */
    bool leaving;      /* health says leaving */
    bool stale_load;   /* X-Load is some seconds old */
    char lie_load[TARGET_LOAD_TEXT_SIZE]; /* X-Load when not empty */
    double slow;                          /* factor on the service time */
};

struct target_counts {
    uint64_t begun;
    uint64_t ended;
    uint64_t shed;
    uint64_t expired;
    uint64_t cancelled;
    uint64_t misdirected;
    uint64_t streams_opened;
    uint64_t busy_us; /* sum over slots */
};

struct target {
    struct event_base *base;
    struct standin_random random;
    const char *id;
    const char *service;
    int journal_fd; /* -1: none */
    int slots;
    int queue_limit;
    int connection_limit;
    double service_time_ms;
    bool fixed_time;
    int cold_start_ms;
    int warmup_ms;
    uint64_t started_us;
    unsigned bundle_version;

    struct target_faults faults;
    struct target_counts counts;
    struct list running; /* struct work */
    struct list queued;
    struct list connections; /* struct target_conn */
    int connection_count;
    int running_count;
    int queued_count;
    int stream_count;
    char load_history[TARGET_LOAD_HISTORY][TARGET_LOAD_TEXT_SIZE];
    unsigned load_head;
};

/* One request on its way through the slots. */
struct work {
    struct list link;
    struct target *target;
    struct evhttp_request *req; /* NULL once its connection is closed */
    char *path;
    char *request_id;
    const char *method;
    bool repeatable;
    bool is_running;
    uint64_t deadline_us; /* monotonic, 0: none */
    uint64_t begun_us;
    struct event *timer;
};

/* A connection that has carried a request. */
struct target_conn {
    struct list link;
    struct target *target;
    struct evhttp_connection *evcon;
    bool silent;
    struct work *work;     /* the request in hand, if any */
    struct stream *stream; /* the stream in hand, if any */
};

/* target-conn.c: connections and answers, with the failures applied. */
struct target_conn *target_conn_of(struct target *target,
                                   struct evhttp_request *req);
void target_silence(struct target *target);
void target_reply(struct target *target, struct evhttp_request *req, int code,
                  struct evbuffer *body);
void target_refuse(struct target *target, struct evhttp_request *req);
void target_load_text(const struct target *target, char *text, size_t size);
void target_load_sample(struct target *target);
void target_add_load_header(struct target *target, struct evhttp_request *req);

/* target-work.c: slots, queue, deadlines, the journal. */
void target_work_submit(struct target *target, struct evhttp_request *req);
void target_work_cancel(struct work *work);
void target_journal(struct target *target, const char *event,
                    const char *method, const char *request_id,
                    const char *path);
const char *target_method_name(struct evhttp_request *req);

/* target-content.c: what the paths answer. */
void target_answer(struct target *target, struct work *work);
/* True when the path asks for a stream, which it then starts. */
bool target_stream_start(struct target *target, struct evhttp_request *req);
void target_stream_end(struct stream *stream);
