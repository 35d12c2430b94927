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

/* What the parts of the api task share. Only the api task's thread touches
 * it. */

struct api_task {
    const struct settings *settings;
    pthread_t thread;
    bool started;
    struct event_base *base;
    struct event *stop; /* made active by api_task_stop() */
    bool stopping;      /* new requests are refused, others still answered */
    struct mailbox *control;
    struct http_server *server;
    struct store_client *store;
    struct list calls;
    size_t call_count;
    uint64_t next_id;
    uint64_t requests;
    uint64_t outcomes[ERR_KIND_COUNT]; /* of writes */
};

struct api_call;
struct api_write;

/* Runs with the control task's answer, which stays the caller's. */
typedef void (*api_answer_cb)(struct api_call *call,
                              const struct msg_api_answer *answer);

/* One request of an operator. */
struct api_call {
    struct list link;
    struct api_task *task;
    struct http_exchange *x;
    struct api_route route;
    uint64_t asked;      /* id of the question to the control task, 0: none */
    struct event *timer; /* time limit of that question */
    api_answer_cb on_answer;
    struct api_write *write;               /* of a PUT or DELETE */
    void (*on_end)(struct api_call *call); /* frees what is its owner's */
    json_t *status; /* the control task's status, being completed */
};

/* api-call.c: a request from its start to its answer. */
#define API_JSON_TYPE "application/json"
/* Returns NULL when memory is short. */
struct api_call *api_call_new(struct api_task *task, struct http_exchange *x);
/* Ends a call without an answer. */
void api_call_destroy(struct api_call *call);

/* Asks the control task; "on_answer" runs once, unless the call is ended
 * before. */
void api_call_ask(struct api_call *call, struct msg_api_request *request,
                  api_answer_cb on_answer);
/* Tells the control task something, without an answer. */
void api_tell(struct api_task *task, struct msg_api_request *request);
/* A message of the control task: an answer to one of the calls. A mailbox
 * callback; "ctx" is the api task. */
void api_calls_on_message(void *ctx, uint32_t type, const void *data,
                          size_t size);
/* Ends the loop once the answers are on their way. */
void api_end_soon(struct api_task *task);
/* Each replies and ends the call. */
void api_call_reply_typed(struct api_call *call, int http_status,
                          const char *type, const char *text, size_t len);
void api_call_fail_with(struct api_call *call, enum error_kind kind,
                        const char *message);
void api_call_reply(struct api_call *call, int http_status, const char *text,
                    size_t len);
void api_call_fail(struct api_call *call, const struct status *st);

/* api-answer.c: bodies of answers; the caller frees them. */

/* {"error", "message", "field"}; the field is taken from a message of
 * ERR_INVALID, which begins with it. */
char *api_error_text(const struct status *st);
/* The same with the resource's current version. */
char *api_error_text_version(const struct status *st, uint64_t version);
/* An ETag from a version, and a version from an If-Match value; false when
 * that is not a version in quotes. */
#define API_ETAG_SIZE 24 /* bytes */
void api_etag_format(uint64_t version, char out[API_ETAG_SIZE]);
bool api_etag_parse(const char *text, uint64_t *version);

/* api-status.c: what is in force, from the control task and, for the other
 * failure domains, from what their reporters wrote to the store. */
void api_status_start(struct api_call *call);

/* api-store.c: resources as the platform's store holds them. */
void api_store_key(const char *name, char out[STORE_KEY_SIZE]);
/* Returns NULL for what is no resource or cannot be read; the caller frees
 * the rest. */
struct resource *api_entry_resource(const struct store_entry *entry);

/* api-write.c: PUT and DELETE of a resource. */
void api_write_start(struct api_call *call);

/* api-fate.c: what became of a write. */
void api_write_look_up(struct api_call *call);
