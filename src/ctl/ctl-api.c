#include "ctl/ctl-api.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <event2/event.h>
#include <event2/http.h>
#include <sodium.h>

#include "base/address.h"
#include "base/backoff.h"
#include "base/clock.h"
#include "transport/http-call.h"

#define CALL_TIMEOUT_US (12 * USEC_PER_SEC) /* above the API's own limit */
#define ANSWER_MAX (64U << 20)              /* bytes */
#define RETRY_MIN_US (100 * USEC_PER_MSEC)
#define RETRY_MAX_US (2 * USEC_PER_SEC)
#define WRITE_ID_BYTES 16

static bool
parse_endpoint(struct ctl_endpoint *endpoint, const char *text, size_t len)
{
    char copy[32];
    char *colon;
    char *end;
    unsigned long port;
    uint32_t addr;

    if (len >= sizeof(copy)) {
        return false;
    }
    memcpy(copy, text, len);
    copy[len] = '\0';
    colon = strchr(copy, ':');
    if (colon == NULL) {
        return false;
    }
    *colon = '\0';
    port = strtoul(colon + 1, &end, 10);
    if (!address_parse(copy, &addr) || *end != '\0' || port == 0 ||
        port > UINT16_MAX) {
        return false;
    }
    address_format(addr, endpoint->address);
    endpoint->port = (uint16_t)port;
    return true;
}

bool
ctl_api_init(struct ctl_api *api, const char *endpoints, uint64_t timeout_us,
             struct status *st)
{
    uint64_t seed;

    memset(api, 0, sizeof(*api));
    while (*endpoints != '\0') {
        size_t len = strcspn(endpoints, ",");

        if (api->endpoint_count == CTL_ENDPOINTS_MAX ||
            !parse_endpoint(&api->endpoints[api->endpoint_count], endpoints,
                            len)) {
            status_set(st, ERR_INVALID, "--api: expected ADDR:PORT[,...]");
            return false;
        }
        api->endpoint_count++;
        endpoints += len;
        endpoints += strspn(endpoints, ",");
    }
    if (api->endpoint_count == 0) {
        status_set(st, ERR_INVALID, "--api: expected ADDR:PORT[,...]");
        return false;
    }
    randombytes_buf(&seed, sizeof(seed));
    random_seed(&api->random, seed);
    api->deadline = clock_monotonic_us() + timeout_us;
    return true;
}

/* One attempt, run in a loop of its own. */
struct attempt {
    struct event_base *base;
    struct ctl_answer *answer;
    bool answered;
    bool lost; /* the request was sent, and no answer came */
    uint64_t retry_after_s;
};

static void
note_headers(struct attempt *a, struct evkeyvalq *headers)
{
    const char *etag = evhttp_find_header(headers, "ETag");
    const char *retry = evhttp_find_header(headers, "Retry-After");

    if (etag != NULL && etag[0] == '"') {
        a->answer->version = strtoull(etag + 1, NULL, 10);
    }
    if (retry != NULL) {
        a->retry_after_s = strtoull(retry, NULL, 10);
    }
}

static void
on_answer(void *ctx, const struct http_call_answer *answer)
{
    struct attempt *a = ctx;

    if (answer->outcome == HTTP_CALL_ANSWERED) {
        a->answered = true;
        a->answer->http_status = answer->status;
        a->answer->text = strndup(answer->body == NULL ? "" : answer->body,
                                  answer->body_len);
        note_headers(a, answer->headers);
    }
    a->lost = answer->outcome == HTTP_CALL_ANSWER_LOST;
    event_base_loopbreak(a->base);
}

static enum evhttp_cmd_type
method_type(enum ctl_method method)
{
    switch (method) {
    case CTL_PUT:
        return EVHTTP_REQ_PUT;
    case CTL_DELETE:
        return EVHTTP_REQ_DELETE;
    default:
        return EVHTTP_REQ_GET;
    }
}

static void
run_attempt(const struct ctl_api *api, const struct ctl_request *request,
            struct attempt *a)
{
    const struct ctl_endpoint *endpoint = &api->endpoints[api->current];
    struct http_call_header headers[4] = {{NULL, NULL}};
    size_t count = 0;
    const struct http_call_request call = {
        .address = endpoint->address,
        .port = endpoint->port,
        .method = method_type(request->method),
        .path = request->path,
        .body = request->body,
        .body_len = request->body == NULL ? 0 : strlen(request->body),
        .headers = headers,
        .timeout_us = CALL_TIMEOUT_US,
        .answer_max = ANSWER_MAX,
    };

    if (request->match != NULL) {
        headers[count++] =
            (struct http_call_header){"If-Match", request->match};
    }
    if (request->create) {
        headers[count++] = (struct http_call_header){"If-None-Match", "*"};
    }
    if (request->write_id != NULL) {
        headers[count++] =
            (struct http_call_header){"Write-Id", request->write_id};
    }
    headers[count].name = NULL;
    if (http_call_start(a->base, &call, NULL, on_answer, a) != NULL) {
        event_base_dispatch(a->base);
    }
}

static void
sleep_us(uint64_t delay)
{
    const struct timespec ts = {
        .tv_sec = (time_t)(delay / USEC_PER_SEC),
        .tv_nsec = (long)(delay % USEC_PER_SEC * 1000),
    };

    nanosleep(&ts, NULL);
}

/* Waits before the next attempt. Returns false when the time is up. */
static bool
wait_for_retry(struct ctl_api *api, struct backoff *backoff,
               uint64_t retry_after_s)
{
    uint64_t delay = backoff_next(backoff, &api->random);
    uint64_t asked = retry_after_s * USEC_PER_SEC;
    uint64_t now = clock_monotonic_us();

    if (delay < asked) {
        delay = asked + delay % RETRY_MIN_US;
    }
    if (now + delay >= api->deadline) {
        return false;
    }
    sleep_us(delay);
    return true;
}

/* Tries the balancers in turn, a round without a pause, then with growing
 * pauses. A write may be repeated, because its id makes it idempotent. */
bool
ctl_api_call(struct ctl_api *api, const struct ctl_request *request,
             struct ctl_answer *answer, struct status *st)
{
    struct attempt a = {.answer = answer};
    struct backoff backoff;
    bool maybe_done = false;

    a.base = event_base_new();
    if (a.base == NULL) {
        status_set(st, ERR_NO_MEMORY, "out of memory");
        return false;
    }
    backoff_init(&backoff, RETRY_MIN_US, RETRY_MAX_US);
    for (size_t tries = 1;; tries++) {
        memset(answer, 0, sizeof(*answer));
        a.answered = false;
        a.lost = false;
        a.retry_after_s = 0;
        run_attempt(api, request, &a);
        maybe_done = maybe_done || a.lost;
        if (a.answered && answer->http_status != HTTP_SERVUNAVAIL) {
            break;
        }
        api->current = (api->current + 1) % api->endpoint_count;
        if (tries >= api->endpoint_count &&
            !wait_for_retry(api, &backoff, a.retry_after_s)) {
            break;
        }
        free(answer->text);
    }
    event_base_free(a.base);
    if (!a.answered) {
        free(answer->text);
        memset(answer, 0, sizeof(*answer));
        status_set(st, maybe_done ? ERR_STORE_UNKNOWN : ERR_STORE_DOWN,
                   "no balancer answers");
        return false;
    }
    answer->maybe_done = maybe_done;
    answer->json = json_loads(answer->text, 0, NULL);
    return true;
}

void
ctl_api_pin(struct ctl_api *api)
{
    api->endpoints[0] = api->endpoints[api->current];
    api->endpoint_count = 1;
    api->current = 0;
}

void
ctl_answer_clear(struct ctl_answer *answer)
{
    free(answer->text);
    json_decref(answer->json);
    memset(answer, 0, sizeof(*answer));
}

const char *
ctl_answer_message(const struct ctl_answer *answer)
{
    const char *message =
        json_string_value(json_object_get(answer->json, "message"));

    return message == NULL ? "answer without a message" : message;
}

void
ctl_new_write_id(char out[WRITE_ID_SIZE])
{
    unsigned char bytes[WRITE_ID_BYTES];

    randombytes_buf(bytes, sizeof(bytes));
    sodium_bin2hex(out, WRITE_ID_SIZE, bytes, sizeof(bytes));
}
