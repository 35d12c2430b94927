#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <sodium.h>

#define LOG_MODULE "api"
#include "base/clock.h"
#include "base/log.h"
#include "coordination/operator-write.h"
#include "daemon/api-write-context.h"
#include "daemon/api.h"
#include "protocol/error-table.h"
#include "protocol/resource-json.h"

/* Time limit of a write, counted from the control task's answer. */
#define WRITE_TIME_LIMIT_US (8 * USEC_PER_SEC)
#define WRITE_ID_BYTES 16    /* bytes of a write id, before hex encoding */
#define ANSWER_BODY_SIZE 512 /* bytes of the JSON body */
#define HTTP_ACCEPTED 202
#define WRITE_URL_SIZE 320 /* bytes with the final NUL */

/* A PUT or DELETE in progress. The state machine "machine" decides on each
 * step; this file carries the steps out and reports their results to it. */
struct api_write {
    struct api_call *call;
    struct operator_write machine;
    struct event *timer; /* runs during OPERATOR_WAIT */
    /* What the write is validated against, NULL before
     * OPERATOR_READ_OTHERS. */
    struct api_write_context *context;
};

static void run_step(struct api_write *write, enum operator_step step);

static void
destroy_write(struct api_call *call)
{
    struct api_write *write = call->write;

    api_write_context_destroy(write->context);
    if (write->timer != NULL) {
        event_free(write->timer);
    }
    sodium_memzero(&write->machine, sizeof(write->machine));
    free(write);
}

static void
on_key_read(void *ctx, const struct status *st, struct store_position position,
            const struct store_entry *entries, size_t count)
{
    struct api_write *write = ctx;
    struct resource *r = NULL;
    struct status read_error;
    uint64_t key_revision = 0;

    if (st->kind == ERR_NONE && count > 0) {
        r = api_resource_from_entry(&entries[0]);
        key_revision = entries[0].modified.revision;
        if (r == NULL) {
            status_set(&read_error, ERR_SYSTEM,
                       "the stored value cannot be read");
            st = &read_error;
        }
    }
    run_step(write,
             operator_write_on_read(&write->machine, clock_monotonic_us(), st,
                                    r, key_revision));
    free(r);
}

static void
read_key(struct api_write *write)
{
    char key[STORE_KEY_SIZE];

    api_store_key(write->call->route.name, key);
    store_client_range(write->call->task->store, key, false, on_key_read,
                       write);
}

static void
on_context(void *ctx, const struct status *st,
           const struct resource_context *context)
{
    struct api_write *write = ctx;

    run_step(write, operator_write_on_others(
                        &write->machine, clock_monotonic_us(), st, context));
}

static void
read_write_context(struct api_write *write)
{
    const struct operator_request *request = &write->machine.request;
    struct status st;

    write->context = api_write_context_read(
        write->call->task,
        resource_rules_needs(request->wanted.kind, request->deletion),
        on_context, write);
    if (write->context == NULL) {
        status_set(&st, ERR_NO_MEMORY, "out of memory");
        on_context(write, &st, NULL);
    }
}

static void
on_cas_done(void *ctx, const struct status *st, struct store_position modified)
{
    struct api_write *write = ctx;

    run_step(write,
             operator_write_on_cas(&write->machine, clock_monotonic_us(), st,
                                   modified.revision));
}

static void
start_cas(struct api_write *write)
{
    char key[STORE_KEY_SIZE];
    char *text =
        resource_json_build(&write->machine.next, RESOURCE_JSON_STORE);
    struct status st;

    if (text == NULL) {
        status_set(&st, ERR_NO_MEMORY, "out of memory");
        run_step(write, operator_write_on_cas(&write->machine,
                                              clock_monotonic_us(), &st, 0));
        return;
    }
    api_store_key(write->call->route.name, key);
    store_client_cas(
        write->call->task->store, key, text, strlen(text),
        (struct store_position){.revision = write->machine.revision},
        on_cas_done, write);
    sodium_memzero(text, strlen(text));
    free(text);
}

static void
on_wait_timer(evutil_socket_t fd, short what, void *ctx)
{
    struct api_write *write = ctx;

    run_step(write,
             operator_write_on_timer(&write->machine, clock_monotonic_us()));
}

static void
start_wait_timer(struct api_write *write)
{
    uint64_t now = clock_monotonic_us();
    uint64_t wait =
        write->machine.wake_at > now ? write->machine.wake_at - now : 0;
    struct timeval delay = {
        .tv_sec = (time_t)(wait / USEC_PER_SEC),
        .tv_usec = (suseconds_t)(wait % USEC_PER_SEC),
    };

    event_add(write->timer, &delay);
}

/* Passes the written resource to the control task, so that this balancer
 * applies it without waiting for the watch of the store. Does nothing when the
 * store's revision of the write is not known exactly. */
static void
notify_control_of_write(struct api_write *write)
{
    const struct operator_outcome *outcome = &write->machine.outcome;
    struct msg_api_request request = {
        .query = API_QUERY_WRITE_ACCEPTED,
        .revision = outcome->revision,
    };

    if (!outcome->exact) {
        return;
    }
    request.resource = malloc(sizeof(*request.resource));
    if (request.resource != NULL) {
        *request.resource = write->machine.next;
        list_init(&request.resource->link);
        api_notify_control(write->call->task, &request);
    }
}

/* Formats the URL at which an operator can query the outcome of the write. */
static void
format_write_url(const struct api_write *write, char out[WRITE_URL_SIZE])
{
    snprintf(out, WRITE_URL_SIZE, "/v1/writes/%s?resource=%s&base=%" PRIu64,
             write->machine.request.write_id, write->call->route.name,
             write->machine.base_version);
}

static void
reply_accepted(struct api_write *write)
{
    char body[ANSWER_BODY_SIZE];
    char etag[API_ETAG_SIZE];

    notify_control_of_write(write);
    api_etag_format(write->machine.outcome.version, etag);
    http_exchange_add_header(write->call->exchange, "ETag", etag);
    snprintf(body, sizeof(body),
             "{\"resource\":\"%s\",\"version\":%" PRIu64
             ",\"revision\":%" PRIu64 ",\"write_id\":\"%s\"}",
             write->call->route.name, write->machine.outcome.version,
             write->machine.outcome.revision, write->machine.request.write_id);
    api_call_reply(write->call, HTTP_ACCEPTED, body, strlen(body));
}

static void
reply_outcome_unknown(struct api_write *write)
{
    const struct status *st = &write->machine.outcome.status;
    char url[WRITE_URL_SIZE];
    json_t *json;
    char *text;

    format_write_url(write, url);
    json = json_pack("{s:s, s:s, s:s, s:s}", "error",
                     error_kind_name(st->kind), "message", st->message,
                     "write_id", write->machine.request.write_id, "url", url);
    text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    api_call_reply(write->call, error_answer(st->kind)->http_status, text,
                   text == NULL ? 0 : strlen(text));
    free(text);
}

static void
reply_version_mismatch(struct api_write *write)
{
    const struct operator_outcome *outcome = &write->machine.outcome;
    char *text =
        api_error_json_with_version(&outcome->status, outcome->version);
    char etag[API_ETAG_SIZE];

    api_etag_format(outcome->version, etag);
    http_exchange_add_header(write->call->exchange, "ETag", etag);
    api_call_reply(write->call,
                   error_answer(outcome->status.kind)->http_status, text,
                   text == NULL ? 0 : strlen(text));
    free(text);
}

static void
finish(struct api_write *write)
{
    const struct operator_outcome *outcome = &write->machine.outcome;
    const char *kind = outcome->status.kind == ERR_NONE
                           ? "accepted"
                           : error_kind_name(outcome->status.kind);

    write->call->task->write_outcomes[outcome->status.kind]++;
    log_fields(LOG_LEVEL_INFO, LOG_MODULE,
               LOG_FIELDS({"subject", write->call->route.name},
                          {"write_id", write->machine.request.write_id},
                          {"outcome", kind},
                          {"cause", outcome->status.message}),
               "write");
    switch (outcome->status.kind) {
    case ERR_NONE:
        reply_accepted(write);
        break;
    case ERR_STORE_UNKNOWN:
        reply_outcome_unknown(write);
        break;
    case ERR_CONFLICT:
    case ERR_PRECONDITION:
        reply_version_mismatch(write);
        break;
    default:
        api_call_fail(write->call, &outcome->status);
        break;
    }
}

/* Carries out a step that the state machine returned. */
static void
run_step(struct api_write *write, enum operator_step step)
{
    switch (step) {
    case OPERATOR_READ_KEY:
        read_key(write);
        break;
    case OPERATOR_READ_OTHERS:
        read_write_context(write);
        break;
    case OPERATOR_CAS:
        start_cas(write);
        break;
    case OPERATOR_WAIT:
        start_wait_timer(write);
        break;
    case OPERATOR_DONE:
        finish(write);
        break;
    }
}

static bool
parse_preconditions(const struct api_call *call,
                    struct operator_request *request, struct status *st)
{
    const char *if_match = http_exchange_header(call->exchange, "If-Match");
    const char *if_none_match =
        http_exchange_header(call->exchange, "If-None-Match");

    if (if_match != NULL && if_none_match != NULL) {
        status_set(st, ERR_INVALID,
                   "If-Match: cannot be combined with If-None-Match");
        return false;
    }
    if (if_match != NULL) {
        request->precondition = PRECONDITION_VERSION;
        if (!api_etag_parse(if_match, &request->version)) {
            status_set(st, ERR_INVALID,
                       "If-Match: expected a version in quotes");
            return false;
        }
    }
    if (if_none_match != NULL) {
        request->precondition = PRECONDITION_ABSENT;
        if (strcmp(if_none_match, "*") != 0) {
            status_set(st, ERR_INVALID, "If-None-Match: expected *");
            return false;
        }
    }
    return true;
}

/* Copies the write id from the Write-Id header, or generates a random one. An
 * operator who sends an id can repeat a request with the same id. */
static bool
choose_write_id(const struct api_call *call, struct operator_request *request,
                struct status *st)
{
    const char *given = http_exchange_header(call->exchange, "Write-Id");
    unsigned char bytes[WRITE_ID_BYTES];

    if (given == NULL) {
        randombytes_buf(bytes, sizeof(bytes));
        sodium_bin2hex(request->write_id, sizeof(request->write_id), bytes,
                       sizeof(bytes));
        return true;
    }
    if (strlen(given) != WRITE_ID_SIZE - 1 ||
        strspn(given, "0123456789abcdef") != WRITE_ID_SIZE - 1) {
        status_set(st, ERR_INVALID, "Write-Id: expected 32 hex digits");
        return false;
    }
    snprintf(request->write_id, sizeof(request->write_id), "%s", given);
    return true;
}

static bool
parse_request(struct api_call *call, struct operator_request *request,
              struct status *st)
{
    struct resource *wanted = &request->wanted;
    size_t len;
    const char *body = http_exchange_body(call->exchange, &len);

    request->deletion =
        http_exchange_method(call->exchange) == EVHTTP_REQ_DELETE;
    request->time_limit_us = WRITE_TIME_LIMIT_US;
    wanted->kind = call->route.resource;
    memcpy(wanted->id, call->route.id, sizeof(wanted->id));
    if (wanted->kind == RESOURCE_TARGET) {
        memcpy(wanted->target.service, call->route.service, ID_SIZE);
    }
    if (!parse_preconditions(call, request, st) ||
        !choose_write_id(call, request, st)) {
        return false;
    }
    randombytes_buf(request->secrets, sizeof(request->secrets));
    return request->deletion ||
           resource_json_parse(wanted, RESOURCE_JSON_OPERATOR,
                               body == NULL ? "" : body, len, st);
}

/* Starts the state machine. The control task's answer has the version of the
 * resource that this balancer knows, 0 when it knows none. */
static void
on_cached_version(struct api_call *call, const struct msg_api_answer *answer)
{
    struct api_write *write = call->write;
    struct operator_request request = write->machine.request;
    uint64_t seed;

    request.known_version = answer->version;
    randombytes_buf(&seed, sizeof(seed));
    operator_write_init(&write->machine, &request, clock_monotonic_us(), seed);
    sodium_memzero(&request, sizeof(request));
    run_step(write, write->machine.step);
}

void
api_write_start(struct api_call *call)
{
    struct msg_api_request query = {.query = API_QUERY_RESOURCE};
    struct api_write *write = calloc(1, sizeof(*write));
    struct status st;

    if (write == NULL) {
        status_set(&st, ERR_NO_MEMORY, "out of memory");
        api_call_fail(call, &st);
        return;
    }
    call->write = write;
    call->on_destroy = destroy_write;
    write->call = call;
    write->timer = event_new(call->task->base, -1, 0, on_wait_timer, write);
    if (!parse_request(call, &write->machine.request, &st)) {
        api_call_fail(call, &st);
        return;
    }
    query.kind = call->route.resource;
    memcpy(query.name, call->route.name, sizeof(query.name));
    api_call_query_control(call, &query, on_cached_version);
}
