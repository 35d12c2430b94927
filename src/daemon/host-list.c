#include "daemon/host-list.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define LOG_MODULE "hosts"
#include "base/address.h"
#include "base/clock.h"
#include "base/log.h"
#include "transport/http-call.h"

/* Time limit of a request for the list. */
#define CALL_TIMEOUT_US (2 * USEC_PER_SEC)
#define ANSWER_SIZE_MAX (16U << 20) /* bytes of the JSON list */
/* Mean interval between two reads while there is no peer, and otherwise. */
#define SEARCH_INTERVAL_US (5 * USEC_PER_SEC)
#define REFRESH_INTERVAL_US (120 * USEC_PER_SEC)
#define HOSTS_PER_LIST_MAX 16 /* hosts chosen at random from each list */
#define HTTP_OK 200

struct host_list {
    struct event_base *base;
    const struct settings *settings;
    struct random *random;
    host_list_cb cb;
    void *ctx;
    struct http_call *call; /* call in progress; NULL: none */
    unsigned next_endpoint; /* endpoint of the next read, modulo their count */
    uint64_t next_read;     /* us; 0: before the first tick */
};

struct host_list *
host_list_new(struct event_base *base, const struct settings *settings,
              struct random *random, host_list_cb cb, void *ctx)
{
    struct host_list *hl = calloc(1, sizeof(*hl));

    if (hl == NULL) {
        return NULL;
    }
    hl->base = base;
    hl->settings = settings;
    hl->random = random;
    hl->cb = cb;
    hl->ctx = ctx;
    return hl;
}

void
host_list_destroy(struct host_list *hl)
{
    if (hl == NULL) {
        return;
    }
    http_call_cancel(hl->call);
    free(hl);
}

/* Reports one host to the callback. Returns false if the entry is invalid or
 * the host is not live. */
static bool
report_host(struct host_list *hl, const json_t *host)
{
    const char *address = json_string_value(json_object_get(host, "address"));
    const char *state = json_string_value(json_object_get(host, "state"));
    json_int_t port = json_integer_value(json_object_get(host, "gossip"));
    uint32_t addr;

    if (address == NULL || state == NULL || strcmp(state, "live") != 0 ||
        port <= 0 || port > UINT16_MAX || !address_parse(address, &addr)) {
        return false;
    }
    hl->cb(hl->ctx, addr, (uint16_t)port);
    return true;
}

static void
on_answer(void *ctx, const struct http_call_answer *answer)
{
    struct host_list *hl = ctx;
    json_t *json = NULL;
    const json_t *hosts;
    size_t count;

    hl->call = NULL;
    if (answer->outcome == HTTP_CALL_ANSWERED && answer->status == HTTP_OK) {
        json = json_loadb(answer->body, answer->body_len, 0, NULL);
    }
    hosts = json_object_get(json, "hosts");
    count = json_array_size(hosts);
    for (size_t i = 0; i < HOSTS_PER_LIST_MAX && count > 0; i++) {
        report_host(hl, json_array_get(
                            hosts, random_below(hl->random, (uint32_t)count)));
    }
    json_decref(json);
}

static void
start_call(struct host_list *hl)
{
    const struct settings *settings = hl->settings;
    const struct settings_endpoint *endpoint;

    if (settings->platform.endpoints_count == 0) {
        return;
    }
    endpoint =
        &settings->platform.endpoints[hl->next_endpoint %
                                      settings->platform.endpoints_count];
    hl->next_endpoint++;
    hl->call = http_call_start(hl->base,
                               &(struct http_call_request){
                                   .address = endpoint->address,
                                   .port = endpoint->port,
                                   .method = EVHTTP_REQ_GET,
                                   .path = "/v1/hosts",
                                   .timeout_us = CALL_TIMEOUT_US,
                                   .answer_max = ANSWER_SIZE_MAX,
                               },
                               NULL, on_answer, hl);
}

void
host_list_tick(struct host_list *hl, bool needed, bool follow, uint64_t now)
{
    uint64_t interval = needed ? SEARCH_INTERVAL_US : REFRESH_INTERVAL_US;

    if (hl->next_read == 0) {
        /* Tries the seeds from the settings first. */
        hl->next_read = now + USEC_PER_SEC;
    }
    if (hl->next_read > now + interval) {
        hl->next_read = now + interval;
    }
    if (hl->call != NULL || now < hl->next_read || !(needed || follow)) {
        return;
    }
    hl->next_read =
        now + interval / 2 + random_below(hl->random, (uint32_t)interval);
    start_call(hl);
}
