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
#include "daemon/api.h"
#include "daemon/store-reader.h"
#include "protocol/error-table.h"
#include "protocol/resource-json.h"
#include "transport/http-call.h"

#define WRITE_TIME_LIMIT_US (8 * USEC_PER_SEC)
#define HOSTS_TIMEOUT_US (1 * USEC_PER_SEC)
#define HOSTS_ANSWER_MAX (16U << 20) /* bytes */
#define DOMAINS_MAX 256              /* failure domains taken notice of */
#define WRITE_ID_BYTES 16
#define BODY_SIZE 512 /* bytes of an answer to a write */
#define HTTP_ACCEPTED 202
#define URL_SIZE 320

/* A write in progress: the state machine, and what it is checked against. */
struct api_write {
    struct api_call *call;
    struct operator_write machine;
    struct event *timer;     /* of OPERATOR_WAIT */
    unsigned needs;          /* enum resource_need not read yet */
    struct list others;      /* struct resource, owned */
    struct http_call *hosts; /* reads the platform's host list */
    char domains[DOMAINS_MAX][ID_SIZE];
    size_t domain_count;
};

static void advance(struct api_write *write, enum operator_step step);

void
api_write_destroy(struct api_write *write)
{
    if (write == NULL) {
        return;
    }
    http_call_cancel(write->hosts);
    if (write->timer != NULL) {
        event_free(write->timer);
    }
    list_for_each_safe (it, &write->others) {
        free(container_of(it, struct resource, link));
    }
    sodium_memzero(&write->machine, sizeof(write->machine));
    free(write);
}

static void
store_key(const char *name, char out[STORE_KEY_SIZE])
{
    snprintf(out, STORE_KEY_SIZE, "%s%s", STORE_PREFIX, name);
}

/* Reads a resource out of an entry of the store. Returns NULL for what is no
 * resource or cannot be read; the caller frees the rest. */
static struct resource *
entry_resource(const struct store_entry *entry)
{
    struct resource *r = calloc(1, sizeof(*r));
    struct api_route route;
    struct status st;

    if (r == NULL) {
        return NULL;
    }
    list_init(&r->link);
    if (!api_route_parse_name(&route, entry->key + strlen(STORE_PREFIX))) {
        free(r);
        return NULL;
    }
    r->kind = route.resource;
    memcpy(r->id, route.id, sizeof(r->id));
    if (r->kind == RESOURCE_TARGET) {
        memcpy(r->target.service, route.service, sizeof(route.service));
    }
    if (!resource_json_parse(r, RESOURCE_JSON_STORE, entry->value,
                             entry->value_len, &st)) {
        LOG_WARN("store: %s: %s", entry->key, st.message);
        free(r);
        return NULL;
    }
    return r;
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
        r = entry_resource(&entries[0]);
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

    store_key(write->call->route.name, key);
    store_client_range(write->call->task->store, key, false, on_key_read,
                       write);
}

static void read_next_need(struct api_write *write);

static void
end_others(struct api_write *write, const struct status *st)
{
    const struct resource_context context = {
        .others = &write->others,
        .domains = (const char(*)[ID_SIZE])write->domains,
        .domain_count = write->domain_count,
    };

    advance(write, operator_write_on_others(
                       &write->machine, clock_monotonic_us(), st, &context));
}

static void
on_others_read(void *ctx, const struct status *st, uint64_t revision,
               const struct store_entry *entries, size_t count)
{
    struct api_write *write = ctx;

    if (st->kind != ERR_NONE) {
        end_others(write, st);
        return;
    }
    for (size_t i = 0; i < count; i++) {
        struct resource *r = entry_resource(&entries[i]);

        if (r != NULL) {
            list_push_back(&write->others, &r->link);
        }
    }
    read_next_need(write);
}

static void
add_domain(struct api_write *write, const char *domain)
{
    if (domain == NULL || strlen(domain) >= ID_SIZE ||
        write->domain_count == DOMAINS_MAX) {
        return;
    }
    for (size_t i = 0; i < write->domain_count; i++) {
        if (strcmp(write->domains[i], domain) == 0) {
            return;
        }
    }
    snprintf(write->domains[write->domain_count], ID_SIZE, "%s", domain);
    write->domain_count++;
}

/* Takes the failure domains from the platform's host list. Without it they
 * are not checked. */
static void
on_hosts(void *ctx, const struct http_call_answer *answer)
{
    struct api_write *write = ctx;
    json_t *json = NULL;
    const json_t *hosts;

    write->hosts = NULL;
    if (answer->end == HTTP_CALL_ANSWERED && answer->status == HTTP_OK) {
        json = json_loadb(answer->body, answer->body_len, 0, NULL);
    }
    hosts = json_object_get(json, "hosts");
    for (size_t i = 0; i < json_array_size(hosts); i++) {
        add_domain(write, json_string_value(json_object_get(
                              json_array_get(hosts, i), "domain")));
    }
    json_decref(json);
    read_next_need(write);
}

static void
read_host_list(struct api_write *write)
{
    const struct settings *settings = write->call->task->settings;
    const struct http_call_request request = {
        .address = settings->platform.endpoints[0].address,
        .port = settings->platform.endpoints[0].port,
        .method = EVHTTP_REQ_GET,
        .path = "/v1/hosts",
        .timeout_us = HOSTS_TIMEOUT_US,
        .answer_max = HOSTS_ANSWER_MAX,
    };

    write->hosts = http_call_start(write->call->task->base, &request, NULL,
                                   on_hosts, write);
    if (write->hosts == NULL) {
        read_next_need(write);
    }
}

/* The failure domains come from two places: the platform's host list and the
 * hosts that operators have declared. */
#define NEED_HOST_LIST (1U << 31)

static void
read_next_need(struct api_write *write)
{
    static const struct {
        unsigned need;
        const char *prefix;
    } reads[] = {
        {NEED_SERVICES, STORE_PREFIX "service/"},
        {NEED_TARGETS, STORE_PREFIX "target/"},
        {NEED_HOSTS, STORE_PREFIX "host/"},
    };
    struct status st;

    for (size_t i = 0; i < sizeof(reads) / sizeof(*reads); i++) {
        if ((write->needs & reads[i].need) != 0) {
            write->needs &= ~reads[i].need;
            store_client_range(write->call->task->store, reads[i].prefix, true,
                               on_others_read, write);
            return;
        }
    }
    if ((write->needs & NEED_HOST_LIST) != 0) {
        write->needs &= ~NEED_HOST_LIST;
        read_host_list(write);
        return;
    }
    status_ok(&st);
    end_others(write, &st);
}

static void
read_others(struct api_write *write)
{
    const struct operator_request *request = &write->machine.request;

    write->needs =
        resource_rules_needs(request->wanted.kind, request->deletion);
    if ((write->needs & NEED_HOSTS) != 0) {
        write->needs |= NEED_HOST_LIST;
    }
    read_next_need(write);
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
    store_key(write->call->route.name, key);
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
    write->call = call;
    list_init(&write->others);
    write->timer = event_new(call->task->base, -1, 0, on_wait_over, write);
    if (!parse_request(call, &write->machine.request, &st)) {
        api_call_fail(call, &st);
        return;
    }
    ask.kind = call->route.resource;
    memcpy(ask.name, call->route.name, sizeof(ask.name));
    api_call_ask(call, &ask, on_known_version);
}

/* Answers what became of a write from the key that it was for. "base" is the
 * version that it started from. */
static const char *
write_fate(const struct resource *r, const char *write_id, uint64_t base,
           uint64_t *version)
{
    uint64_t current = r == NULL ? 0 : r->version;

    *version = current;
    if (r != NULL && resource_version_of_write(r, write_id) > 0) {
        *version = resource_version_of_write(r, write_id);
        return "accepted";
    }
    if (current == base) {
        return "pending";
    }
    if (current > base && current <= base + RECENT_WRITES_MAX) {
        return "not_written";
    }
    return "unknown";
}

static void
on_fate_read(void *ctx, const struct status *st, uint64_t revision,
             const struct store_entry *entries, size_t count)
{
    struct api_call *call = ctx;
    const char *base = http_exchange_query(call->x, "base");
    struct resource *r = NULL;
    uint64_t version;
    const char *fate;
    char body[BODY_SIZE];

    if (st->kind != ERR_NONE) {
        api_call_fail(call, st);
        return;
    }
    if (count > 0) {
        r = entry_resource(&entries[0]);
    }
    fate = write_fate(r, call->route.id,
                      base == NULL ? UINT64_MAX : strtoull(base, NULL, 10),
                      &version);
    free(r);
    snprintf(body, sizeof(body),
             "{\"write_id\":\"%s\",\"outcome\":\"%s\",\"version\":%" PRIu64
             "}",
             call->route.id, fate, version);
    api_call_reply(call, HTTP_OK, body, strlen(body));
}

/* GET /v1/writes/<id>?resource=<name>&base=<version>: read from the store, so
 * that any balancer can tell. */
void
api_write_look_up(struct api_call *call)
{
    const char *name = http_exchange_query(call->x, "resource");
    struct api_route resource;
    char key[STORE_KEY_SIZE];
    struct status st;

    if (name == NULL || !api_route_parse_name(&resource, name)) {
        status_set(&st, ERR_INVALID,
                   "resource: expected the name of the resource, such as "
                   "service/rigctl");
        api_call_fail(call, &st);
        return;
    }
    store_key(resource.name, key);
    store_client_range(call->task->store, key, false, on_fate_read, call);
}
