#include "daemon/api-write-context.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "daemon/store-reader.h"
#include "transport/http-call.h"

/* Time limit of a request for the host list to one endpoint. */
#define HOST_LIST_TIMEOUT_US (1 * USEC_PER_SEC)
#define HOST_LIST_SIZE_MAX (16U << 20) /* bytes of the answer */
/* Maximum number of failure domains read from the platform's host list;
 * further ones are ignored. */
#define DOMAINS_MAX 256

/* Bit for the platform's host list, in addition to those of enum
 * resource_need. The known failure domains come from this list and from the
 * host resources in the store, so NEED_HOSTS implies it. */
#define NEED_HOST_LIST (1U << 31)

struct api_write_context {
    struct api_task *task;
    api_write_context_cb cb;
    void *ctx;
    unsigned needs_left; /* bits of enum resource_need and NEED_HOST_LIST */
    struct list others;  /* struct resource, owned */
    /* Request for the platform's host list, NULL while none is running. */
    struct http_call *host_list_call;
    unsigned host_list_attempts; /* endpoints asked so far, in their order */
    char domains[DOMAINS_MAX][ID_SIZE];
    size_t domain_count;
};

static void read_next_need(struct api_write_context *c);

static void
finish(struct api_write_context *c, const struct status *st)
{
    const struct resource_context context = {
        .others = &c->others,
        .domains = (const char(*)[ID_SIZE])c->domains,
        .domain_count = c->domain_count,
    };

    c->cb(c->ctx, st, &context);
}

static void
on_resources_read(void *ctx, const struct status *st,
                  struct store_position position,
                  const struct store_entry *entries, size_t count)
{
    struct api_write_context *c = ctx;

    if (st->kind != ERR_NONE) {
        finish(c, st);
        return;
    }
    for (size_t i = 0; i < count; i++) {
        struct resource *r = api_resource_from_entry(&entries[i]);

        if (r != NULL) {
            list_push_back(&c->others, &r->link);
        }
    }
    read_next_need(c);
}

static void
add_domain(struct api_write_context *c, const char *domain)
{
    if (domain == NULL || strlen(domain) >= ID_SIZE ||
        c->domain_count == DOMAINS_MAX) {
        return;
    }
    for (size_t i = 0; i < c->domain_count; i++) {
        if (strcmp(c->domains[i], domain) == 0) {
            return;
        }
    }
    snprintf(c->domains[c->domain_count], ID_SIZE, "%s", domain);
    c->domain_count++;
}

/* Adds the failure domains of the platform's host list, or asks the next
 * endpoint when this one failed. When every endpoint failed, the list of
 * domains stays empty and the rules accept any failure domain. */
static void
on_host_list(void *ctx, const struct http_call_answer *answer)
{
    struct api_write_context *c = ctx;
    json_t *json;
    const json_t *hosts;

    c->host_list_call = NULL;
    if (answer->outcome != HTTP_CALL_ANSWERED || answer->status != HTTP_OK) {
        read_next_need(c);
        return;
    }
    c->needs_left &= ~NEED_HOST_LIST;
    json = json_loadb(answer->body, answer->body_len, 0, NULL);
    hosts = json_object_get(json, "hosts");
    for (size_t i = 0; i < json_array_size(hosts); i++) {
        add_domain(c, json_string_value(json_object_get(
                          json_array_get(hosts, i), "domain")));
    }
    json_decref(json);
    read_next_need(c);
}

static void
read_host_list(struct api_write_context *c)
{
    const struct settings *settings = c->task->settings;
    const struct settings_endpoint *endpoint =
        &settings->platform.endpoints[c->host_list_attempts];
    const struct http_call_request request = {
        .address = endpoint->address,
        .port = endpoint->port,
        .method = EVHTTP_REQ_GET,
        .path = "/v1/hosts",
        .timeout_us = HOST_LIST_TIMEOUT_US,
        .answer_max = HOST_LIST_SIZE_MAX,
    };
    struct status st;

    c->host_list_attempts++;
    c->host_list_call =
        http_call_start(c->task->base, &request, NULL, on_host_list, c);
    if (c->host_list_call == NULL) {
        status_set(&st, ERR_NO_MEMORY, "out of memory");
        finish(c, &st);
    }
}

/* Starts the next read, or reports success when nothing is left to read. */
static void
read_next_need(struct api_write_context *c)
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
        if ((c->needs_left & reads[i].need) != 0) {
            c->needs_left &= ~reads[i].need;
            store_client_range(c->task->store, reads[i].prefix, true,
                               on_resources_read, c);
            return;
        }
    }
    if ((c->needs_left & NEED_HOST_LIST) != 0 &&
        c->host_list_attempts < c->task->settings->platform.endpoints_count) {
        read_host_list(c);
        return;
    }
    status_set_ok(&st);
    finish(c, &st);
}

struct api_write_context *
api_write_context_read(struct api_task *task, unsigned needs,
                       api_write_context_cb cb, void *ctx)
{
    struct api_write_context *c = calloc(1, sizeof(*c));

    if (c == NULL) {
        return NULL;
    }
    c->task = task;
    c->cb = cb;
    c->ctx = ctx;
    list_init(&c->others);
    c->needs_left = needs;
    if ((needs & NEED_HOSTS) != 0) {
        c->needs_left |= NEED_HOST_LIST;
    }
    read_next_need(c);
    return c;
}

void
api_write_context_destroy(struct api_write_context *context)
{
    if (context == NULL) {
        return;
    }
    http_call_cancel(context->host_list_call);
    list_for_each_safe (it, &context->others) {
        free(container_of(it, struct resource, link));
    }
    free(context);
}
