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
#include "daemon/api-context.h"
#include "daemon/api.h"
#include "protocol/error-table.h"
#include "protocol/resource-json.h"

#define WRITE_TIME_LIMIT_US (8 * USEC_PER_SEC)
#define WRITE_ID_BYTES 16
#define BODY_SIZE 512 /* bytes of an answer to a write */
#define HTTP_ACCEPTED 202
#define URL_SIZE 320

/* A write in progress. */
struct api_write {
    struct api_call *call;
    struct operator_write machine;
    struct event *timer;         /* of OPERATOR_WAIT */
    struct api_context *context; /* what the write is checked against */
};

static void advance(struct api_write *write, enum operator_step step);

static void
on_call_end(struct api_call *call)
{
    struct api_write *write = call->write;

    api_context_destroy(write->context);
    if (write->timer != NULL) {
        event_free(write->timer);
    }
    sodium_memzero(&write->machine, sizeof(write->machine));
    free(write);
}

static void
on_key_read(void *ctx, const struct status *st, uint64_t revision,
            const struct store_entry *entries, size_t count)
{
    struct api_write *write = ctx;
    struct resource *r = NULL;
    struct status bad;
    uint64_t key_revision = 0;

    if (st->kind == ERR_NONE && count > 0) {
        r = api_entry_resource(&entries[0]);
        key_revision = entries[0].mod_revision;
        if (r == NULL) {
            status_set(&bad, ERR_SYSTEM, "the stored value cannot be read");
            st = &bad;
        }
    }
    advance(write,
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

    advance(write, operator_write_on_others(
                       &write->machine, clock_monotonic_us(), st, context));
}

static void
read_others(struct api_write *write)
{
    const struct operator_request *request = &write->machine.request;
    struct status st;

    write->context = api_context_read(
        write->call->task,
        resource_rules_needs(request->wanted.kind, request->deletion),
        on_context, write);
    if (write->context == NULL) {
        status_set(&st, ERR_NO_MEMORY, "out of memory");
        on_context(write, &st, NULL);
    }
}

static void
on_cas(void *ctx, const struct status *st, uint64_t revision)
{
    struct api_write *write = ctx;

    advance(write, operator_write_on_cas(&write->machine, clock_monotonic_us(),
                                         st, revision));
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
        advance(write, operator_write_on_cas(&write->machine,
                                             clock_monotonic_us(), &st, 0));
        return;
    }
    api_store_key(write->call->route.name, key);
    store_client_cas(write->call->task->store, key, text, strlen(text),
                     write->machine.revision, on_cas, write);
    sodium_memzero(text, strlen(text));
    free(text);
}

static void
on_wait_over(evutil_socket_t fd, short what, void *ctx)
{
    struct api_write *write = ctx;

    advance(write,
            operator_write_on_timer(&write->machine, clock_monotonic_us()));
}

static void
start_wait(struct api_write *write)
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

/* Hands an accepted write to the control task, so that this balancer need not
 * wait for its watch. */
static void
tell_control(struct api_write *write)
{
    const struct operator_outcome *outcome = &write->machine.outcome;
    struct msg_api_request request = {
        .query = API_QUERY_WRITTEN,
        .revision = outcome->revision,
    };

    if (!outcome->exact) {
        return;
    }
    request.resource = malloc(sizeof(*request.resource));
    if (request.resource != NULL) {
        *request.resource = write->machine.next;
        list_init(&request.resource->link);
        api_tell(write->call->task, &request);
    }
}

/* Where an operator finds out what became of a write. */
static void
format_write_url(const struct api_write *write, char out[URL_SIZE])
{
    snprintf(out, URL_SIZE, "/v1/writes/%s?resource=%s&base=%" PRIu64,
             write->machine.request.write_id, write->call->route.name,
             write->machine.base_version);
}

static void
reply_accepted(struct api_write *write)
{
    char body[BODY_SIZE];
    char etag[API_ETAG_SIZE];

    tell_control(write);
    api_etag_format(write->machine.outcome.version, etag);
    http_exchange_add_header(write->call->x, "ETag", etag);
    snprintf(body, sizeof(body),
             "{\"resource\":\"%s\",\"version\":%" PRIu64
             ",\"revision\":%" PRIu64 ",\"write_id\":\"%s\"}",
             write->call->route.name, write->machine.outcome.version,
             write->machine.outcome.revision, write->machine.request.write_id);
    api_call_reply(write->call, HTTP_ACCEPTED, body, strlen(body));
}

static void
reply_unknown(struct api_write *write)
{
    const struct status *st = &write->machine.outcome.status;
    char url[URL_SIZE];
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
reply_changed(struct api_write *write)
{
    const struct operator_outcome *outcome = &write->machine.outcome;
    char *text = api_error_text_version(&outcome->status, outcome->version);
    char etag[API_ETAG_SIZE];

    api_etag_format(outcome->version, etag);
    http_exchange_add_header(write->call->x, "ETag", etag);
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

    write->call->task->outcomes[outcome->status.kind]++;
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
        reply_unknown(write);
        break;
    case ERR_CONFLICT:
    case ERR_PRECONDITION:
        reply_changed(write);
        break;
    default:
        api_call_fail(write->call, &outcome->status);
        break;
    }
}

/* Carries out the step that the machine has named. */
static void
advance(struct api_write *write, enum operator_step step)
{
    switch (step) {
    case OPERATOR_READ_KEY:
        read_key(write);
        break;
    case OPERATOR_READ_OTHERS:
        read_others(write);
        break;
    case OPERATOR_CAS:
        start_cas(write);
        break;
    case OPERATOR_WAIT:
        start_wait(write);
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
    const char *match = http_exchange_header(call->x, "If-Match");
    const char *none = http_exchange_header(call->x, "If-None-Match");

    if (match != NULL && none != NULL) {
        status_set(st, ERR_INVALID,
                   "If-Match: cannot be combined with If-None-Match");
        return false;
    }
    if (match != NULL) {
        request->precondition = PRECONDITION_VERSION;
        if (!api_etag_parse(match, &request->version)) {
            status_set(st, ERR_INVALID,
                       "If-Match: expected a version in quotes");
            return false;
        }
    }
    if (none != NULL) {
        request->precondition = PRECONDITION_ABSENT;
        if (strcmp(none, "*") != 0) {
            status_set(st, ERR_INVALID, "If-None-Match: expected *");
            return false;
        }
    }
    return true;
}

/* Takes the operator's write id, with which a request may be repeated, or
 * draws one. */
static bool
set_write_id(const struct api_call *call, struct operator_request *request,
             struct status *st)
{
    const char *given = http_exchange_header(call->x, "Write-Id");
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
    const char *body = http_exchange_body(call->x, &len);

    request->deletion = http_exchange_method(call->x) == EVHTTP_REQ_DELETE;
    request->time_limit_us = WRITE_TIME_LIMIT_US;
    wanted->kind = call->route.resource;
    memcpy(wanted->id, call->route.id, sizeof(wanted->id));
    if (wanted->kind == RESOURCE_TARGET) {
        memcpy(wanted->target.service, call->route.service, ID_SIZE);
    }
    if (!parse_preconditions(call, request, st) ||
        !set_write_id(call, request, st)) {
        return false;
    }
    randombytes_buf(request->secrets, sizeof(request->secrets));
    return request->deletion ||
           resource_json_parse(wanted, RESOURCE_JSON_OPERATOR,
                               body == NULL ? "" : body, len, st);
}

/* The control task has told which version this balancer holds. */
static void
on_known_version(struct api_call *call, const struct msg_api_answer *answer)
{
    struct api_write *write = call->write;
    struct operator_request request = write->machine.request;
    uint64_t seed;

    request.known_version = answer->version;
    randombytes_buf(&seed, sizeof(seed));
    operator_write_init(&write->machine, &request, clock_monotonic_us(), seed);
    sodium_memzero(&request, sizeof(request));
    advance(write, write->machine.step);
}

void
api_write_start(struct api_call *call)
{
    struct msg_api_request ask = {.query = API_QUERY_RESOURCE};
    struct api_write *write = calloc(1, sizeof(*write));
    struct status st;

    if (write == NULL) {
        status_set(&st, ERR_NO_MEMORY, "out of memory");
        api_call_fail(call, &st);
        return;
    }
    call->write = write;
    call->on_end = on_call_end;
    write->call = call;
    write->timer = event_new(call->task->base, -1, 0, on_wait_over, write);
    if (!parse_request(call, &write->machine.request, &st)) {
        api_call_fail(call, &st);
        return;
    }
    ask.kind = call->route.resource;
    memcpy(ask.name, call->route.name, sizeof(ask.name));
    api_call_ask(call, &ask, on_known_version);
}
