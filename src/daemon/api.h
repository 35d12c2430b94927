#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>
#include <jansson.h>

#include "base/list.h"
#include "base/settings.h"
#include "base/status.h"
#include "daemon/api-route.h"
#include "daemon/control-api.h"
#include "transport/http-server.h"
#include "transport/mailbox.h"
#include "transport/store-client.h"

/* Structures and functions shared by the source files of the API task, which
 * serves the operators' HTTP API. Only the API task's thread uses them, except
 * that api_task_stop() may activate the stop event from another thread. */

struct api_task {
    const struct settings *settings;
    pthread_t thread;
    bool started; /* the thread runs and must be joined */
    struct event_base *base;
    struct event *stop_event; /* activated by api_task_stop() */
    bool stopping;            /* new requests are refused; requests in
                               * progress are still answered */
    struct mailbox *control;  /* to and from the control task */
    struct http_server *server;
    struct store_client *store;
    struct list calls; /* struct api_call, owned */
    size_t call_count;
    uint64_t last_request_id;                /* last id sent to control */
    uint64_t request_count;                  /* HTTP requests received */
    uint64_t write_outcomes[ERR_KIND_COUNT]; /* finished writes by outcome */
};

struct api_call;
struct api_write;

/* Called with the answer of the control task. The answer and its text stay
 * owned by the caller of this function. */
typedef void (*api_answer_cb)(struct api_call *call,
                              const struct msg_api_answer *answer);

/* One HTTP request by an operator, from its arrival to its answer. */
struct api_call {
    struct list link; /* in api_task.calls */
    struct api_task *task;
    struct http_exchange *exchange; /* freed when the call is answered */
    struct api_route route;
    /* Id of the request to the control task that has no answer yet, 0 when
     * there is none. */
    uint64_t control_request_id;
    struct event *timer;     /* time limit of the request to control */
    api_answer_cb on_answer; /* called with the answer to that request */
    struct api_write *write; /* state of a PUT or DELETE, NULL otherwise */
    /* Frees "write" when the call is destroyed; may be NULL. */
    void (*on_destroy)(struct api_call *call);
    /* For GET /v1/status: the control task's status, into which the status of
     * the other failure domains is merged. NULL otherwise. */
    json_t *status;
};

/* api-call.c: the life of a call, its answer, and requests to the control
 * task. */
#define API_JSON_TYPE "application/json"
/* Adds a call for "x" to the task. Returns NULL when memory is short; "x" then
 * stays owned by the caller. */
struct api_call *api_call_new(struct api_task *task, struct http_exchange *x);
/* Frees a call without answering it; its exchange must have been answered.
 * While the task is stopping, freeing the last call ends the event loop. */
void api_call_destroy(struct api_call *call);

/* Sends a request to the control task and sets its id. "on_answer" is called
 * once, unless the call is destroyed first. Without an answer within three
 * seconds the call fails with ERR_STALE_VIEW. A call may have one such request
 * at a time. */
void api_call_query_control(struct api_call *call,
                            struct msg_api_request *request,
                            api_answer_cb on_answer);
/* Sends a request to the control task and ignores the answer. Takes ownership
 * of request->resource and sets the request's id. */
void api_notify_control(struct api_task *task,
                        struct msg_api_request *request);
/* Mailbox callback for answers of the control task; "ctx" is the API task. An
 * answer whose call no longer exists or no longer waits for it is dropped. */
void api_on_control_message(void *ctx, uint32_t type, const void *data,
                            size_t size);
/* Ends the event loop after a short delay, in which the last answers are
 * written to their connections. */
void api_schedule_loop_exit(struct api_task *task);
/* Each of the following answers the request and frees the call. "text" is
 * copied; a status of 503 gets a Retry-After header. */
void api_call_reply_typed(struct api_call *call, int http_status,
                          const char *type, const char *text, size_t len);
void api_call_fail_with(struct api_call *call, enum error_kind kind,
                        const char *message);
void api_call_reply(struct api_call *call, int http_status, const char *text,
                    size_t len);
void api_call_fail(struct api_call *call, const struct status *st);

/* api-answer.c: bodies and headers of answers. */

/* Builds {"error", "message"} from a status. For ERR_INVALID, whose messages
 * begin with the path of the offending field and a colon, that path is added
 * as "field". The caller frees the text; NULL when memory is short. */
char *api_error_json(const struct status *st);
/* Like api_error_json(), with the resource's current version as "version". */
char *api_error_json_with_version(const struct status *st, uint64_t version);
#define API_ETAG_SIZE 24 /* bytes of an ETag with the final NUL */
/* Formats a version as an ETag: the number in double quotes. */
void api_etag_format(uint64_t version, char out[API_ETAG_SIZE]);
/* Parses an If-Match value. Returns false when it is not a version in double
 * quotes. */
bool api_etag_parse(const char *text, uint64_t *version);

/* api-status.c: GET /v1/status, which reports the configuration that each
 * failure domain has applied. The status of this host's failure domain comes
 * from the control task, that of each other domain from what its reporter
 * wrote to the store. */
void api_status_start(struct api_call *call);

/* api-store.c: resources as they are stored in the platform's store. */

/* Builds the store key of the resource "name", such as service/<id>. */
void api_store_key(const char *name, char out[STORE_KEY_SIZE]);
/* Parses an entry of the store. Returns NULL when its key does not name a
 * resource, its value cannot be parsed or memory is short. The caller frees
 * the resource. */
struct resource *api_resource_from_entry(const struct store_entry *entry);

/* api-write.c: PUT and DELETE of a resource. */
void api_write_start(struct api_call *call);

/* api-write-outcome.c: GET /v1/writes/<id>, the outcome of an earlier
 * write. */
void api_write_outcome_start(struct api_call *call);
