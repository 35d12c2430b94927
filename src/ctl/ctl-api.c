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

/* Timeout of one attempt; longer than the 8 s that the API takes for a write
 * at most (WRITE_TIME_LIMIT_US). */
#define ATTEMPT_TIMEOUT_US (12 * USEC_PER_SEC)
#define ANSWER_SIZE_MAX (64U << 20) /* bytes of a response body */
/* Bounds of the backoff delay before an attempt, after all balancers have been
 * tried once. */
#define RETRY_DELAY_MIN_US (100 * USEC_PER_MSEC)
#define RETRY_DELAY_MAX_US (2 * USEC_PER_SEC)
#define WRITE_ID_BYTES 16 /* random bytes, before hex encoding */

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

/* One attempt to send a request. The event loop runs only for its duration. */
struct attempt {
    struct event_base *base;
    struct ctl_answer *answer;
    bool answered;
    bool lost; /* sent, but not answered: may have been executed */
    uint64_t retry_after_s; /* from the Retry-After header, 0: none */
};

static void
read_headers(struct attempt *a, struct evkeyvalq *headers)
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
        read_headers(a, answer->headers);
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
        .timeout_us = ATTEMPT_TIMEOUT_US,
        .answer_max = ANSWER_SIZE_MAX,
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

/* Sleeps until the next attempt, at least as long as Retry-After asks.
 * Returns false, without sleeping, when that would pass the deadline. */
static bool
wait_for_retry(struct ctl_api *api, struct backoff *backoff,
               uint64_t retry_after_s)
{
    uint64_t delay = backoff_next(backoff, &api->random);
    uint64_t min_delay = retry_after_s * USEC_PER_SEC;
    uint64_t now = clock_monotonic_us();

    if (delay < min_delay) {
        delay = min_delay + delay % RETRY_DELAY_MIN_US;
    }
    if (now + delay >= api->deadline) {
        return false;
    }
    sleep_us(delay);
    return true;
}

/* Tries each balancer once without a delay, then in turn with a backoff delay
 * before each attempt. Retrying a write is safe because the balancers
 * recognize its Write-Id. */
bool
ctl_api_call(struct ctl_api *api, const struct ctl_request *request,
             struct ctl_answer *answer, struct status *st)
{
    struct attempt a = {.answer = answer};
    struct backoff backoff;
    bool answer_lost = false;

    a.base = event_base_new();
    if (a.base == NULL) {
        status_set(st, ERR_NO_MEMORY, "out of memory");
        return false;
    }
    backoff_init(&backoff, RETRY_DELAY_MIN_US, RETRY_DELAY_MAX_US);
    for (size_t tries = 1;; tries++) {
        memset(answer, 0, sizeof(*answer));
        a.answered = false;
        a.lost = false;
        a.retry_after_s = 0;
        run_attempt(api, request, &a);
        answer_lost = answer_lost || a.lost;
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
        status_set(st, answer_lost ? ERR_STORE_UNKNOWN : ERR_STORE_DOWN,
                   "no balancer answered within the time limit");
        return false;
    }
    answer->answer_lost = answer_lost;
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

    return message == NULL ? "error response without a message" : message;
}

void
ctl_new_write_id(char out[WRITE_ID_SIZE])
{
    unsigned char bytes[WRITE_ID_BYTES];

    randombytes_buf(bytes, sizeof(bytes));
    sodium_bin2hex(out, WRITE_ID_SIZE, bytes, sizeof(bytes));
}
