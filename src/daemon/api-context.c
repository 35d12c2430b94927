#include "daemon/api-context.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "daemon/store-reader.h"
#include "transport/http-call.h"

#define HOSTS_TIMEOUT_US (1 * USEC_PER_SEC)
#define HOSTS_ANSWER_MAX (16U << 20) /* bytes */
#define DOMAINS_MAX 256              /* failure domains taken notice of */

/* The failure domains come from two places: the platform's host list and the
 * hosts that operators have declared. */
#define NEED_HOST_LIST (1U << 31)

struct api_context {
    struct api_task *task;
    api_context_cb cb;
    void *ctx;
    unsigned needs;          /* not read yet */
    struct list others;      /* struct resource, owned */
    struct http_call *hosts; /* reads the platform's host list */
    unsigned hosts_tries;    /* endpoints asked for it */
    char domains[DOMAINS_MAX][ID_SIZE];
    size_t domain_count;
};

static void read_next_need(struct api_context *c);

static void
end(struct api_context *c, const struct status *st)
{
    const struct resource_context context = {
        .others = &c->others,
        .domains = (const char(*)[ID_SIZE])c->domains,
        .domain_count = c->domain_count,
    };

    c->cb(c->ctx, st, &context);
}

static void
on_others_read(void *ctx, const struct status *st, uint64_t revision,
               const struct store_entry *entries, size_t count)
{
    struct api_context *c = ctx;

    if (st->kind != ERR_NONE) {
        end(c, st);
        return;
    }
    for (size_t i = 0; i < count; i++) {
        struct resource *r = api_entry_resource(&entries[i]);

        if (r != NULL) {
            list_push_back(&c->others, &r->link);
        }
    }
    read_next_need(c);
}

static void
add_domain(struct api_context *c, const char *domain)
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

/* Takes the failure domains from the platform's host list. When no endpoint
 * gives it, they are not checked. */
static void
on_hosts(void *ctx, const struct http_call_answer *answer)
{
    struct api_context *c = ctx;
    json_t *json;
    const json_t *hosts;

    c->hosts = NULL;
    if (answer->end != HTTP_CALL_ANSWERED || answer->status != HTTP_OK) {
        read_next_need(c);
        return;
    }
    c->needs &= ~NEED_HOST_LIST;
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
read_host_list(struct api_context *c)
{
    const struct settings *settings = c->task->settings;
    const struct settings_endpoint *endpoint =
        &settings->platform.endpoints[c->hosts_tries];
    const struct http_call_request request = {
        .address = endpoint->address,
        .port = endpoint->port,
        .method = EVHTTP_REQ_GET,
        .path = "/v1/hosts",
        .timeout_us = HOSTS_TIMEOUT_US,
        .answer_max = HOSTS_ANSWER_MAX,
    };
    struct status st;

    c->hosts_tries++;
    c->hosts = http_call_start(c->task->base, &request, NULL, on_hosts, c);
    if (c->hosts == NULL) {
        status_set(&st, ERR_NO_MEMORY, "out of memory");
        end(c, &st);
    }
}

static void
read_next_need(struct api_context *c)
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
        if ((c->needs & reads[i].need) != 0) {
            c->needs &= ~reads[i].need;
            store_client_range(c->task->store, reads[i].prefix, true,
                               on_others_read, c);
            return;
        }
    }
    if ((c->needs & NEED_HOST_LIST) != 0 &&
        c->hosts_tries < c->task->settings->platform.endpoints_count) {
        read_host_list(c);
        return;
    }
    status_ok(&st);
    end(c, &st);
}

struct api_context *
api_context_read(struct api_task *task, unsigned needs, api_context_cb cb,
                 void *ctx)
{
    struct api_context *c = calloc(1, sizeof(*c));

    if (c == NULL) {
        return NULL;
    }
    c->task = task;
    c->cb = cb;
    c->ctx = ctx;
    list_init(&c->others);
    c->needs = needs;
    if ((needs & NEED_HOSTS) != 0) {
        c->needs |= NEED_HOST_LIST;
    }
    read_next_need(c);
    return c;
}

void
api_context_destroy(struct api_context *context)
{
    if (context == NULL) {
        return;
    }
    http_call_cancel(context->hosts);
    list_for_each_safe (it, &context->others) {
        free(container_of(it, struct resource, link));
    }
    free(context);
}
