#include "directory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "platform-text.h"
#include "transport/http-call.h"

/* Stand-ins answer in milliseconds; a machine that has no time for them for so
 * long is no place for a soak. */
#define ORDER_TIMEOUT_US (5 * USEC_PER_SEC)
#define ORDER_ANSWER_MAX 4096 /* bytes; a revision or less */
/* Requests that a target of the users runs at once. */
#define TARGET_SLOTS 2

/* Runs when the store has taken an order. */
typedef void (*order_cb)(struct soak *soak, unsigned number);

struct order {
    struct list link;
    struct http_call *call;
    struct soak *soak;
    order_cb cb;
    unsigned number;
};

static void
on_ordered(void *ctx, const struct http_call_answer *answer)
{
    struct order *order = ctx;

    if (answer->outcome != HTTP_CALL_ANSWERED || answer->status != 200) {
        fprintf(stderr, "soak: a stand-in did not take an order\n");
        exit(2);
    }
    list_remove(&order->link);
    if (order->cb != NULL) {
        order->cb(order->soak, order->number);
    }
    g_free(order);
}

void
directory_close(struct soak *soak)
{
    list_for_each_safe (it, &soak->orders) {
        struct order *order = container_of(it, struct order, link);

        list_remove(&order->link);
        http_call_cancel(order->call);
        g_free(order);
    }
}

static void
send_order(struct soak *soak, enum soak_net net, uint16_t port,
           const char *json, order_cb cb, unsigned number)
{
    struct order *order = g_new0(struct order, 1);
    char address[INET_ADDRSTRLEN];
    const struct http_call_request request = {
        .address = address,
        .port = port,
        .method = EVHTTP_REQ_POST,
        .path = "/control/order",
        .body = json,
        .body_len = strlen(json),
        .timeout_us = ORDER_TIMEOUT_US,
        .answer_max = ORDER_ANSWER_MAX,
    };

    order->soak = soak;
    order->cb = cb;
    order->number = number;
    soak_address(soak, net, 0, address);
    list_push_back(&soak->orders, &order->link);
    order->call =
        http_call_start(soak->base, &request, NULL, on_ordered, order);
}

void
directory_order(struct soak *soak, const char *json)
{
    send_order(soak, NET_STORE, PORT_STORE, json, NULL, 0);
}

void
links_order(struct soak *soak, const char *listen, const char *json)
{
    char *text = g_strdup_printf("{\"%s\":%s}", listen, json);

    send_order(soak, NET_STORE, PORT_LINKS, text, NULL, 0);
    g_free(text);
}

/* Sends a write of a key; "value" is taken. */
static void
put(struct soak *soak, const char *key, json_t *value, order_cb cb,
    unsigned number)
{
    char *text = json_dumps(value, JSON_COMPACT);
    json_t *order = json_pack("{s:s,s:s}", "put", key, "value", text);
    char *body = json_dumps(order, JSON_COMPACT);

    send_order(soak, NET_STORE, PORT_STORE, body, cb, number);
    free(body);
    free(text);
    json_decref(order);
    json_decref(value);
}

static void
on_config_taken(struct soak *soak, unsigned version)
{
    soak_note(soak, "version %u is acknowledged", version);
    checker_config_acked(soak->checker, version, soak_now_ms());
}

void
directory_write_config(struct soak *soak)
{
    json_t *routes = json_array();
    GString *text = g_string_new("");

    for (unsigned i = 0; i < CHECKER_ROUTES_MAX; i++) {
        g_string_append_printf(text, " %d", soak->services[i]);
        if (soak->services[i] != CHECKER_NO_SERVICE) {
            json_array_append_new(
                routes, platform_text_route(ROUTE_HOST,
                                            (uint16_t)(ROUTE_FIRST_PORT + i),
                                            soak_service(soak->services[i])));
        }
    }
    soak->config_version = checker_config_sent(soak->checker, soak->services);
    soak_note(soak, "version %u is written, services%s", soak->config_version,
              text->str);
    g_string_free(text, TRUE);
    put(soak, PLATFORM_TEXT_CONFIG_KEY,
        platform_text_config(soak->config_version + 1, routes),
        on_config_taken, soak->config_version);
}

static void
on_registered(struct soak *soak, unsigned number)
{
    soak_note(soak, "target=%u is registered", number);
    checker_calm(soak->checker, SUBJECT_TARGET, number, soak_now_ms());
}

static void
on_leaving(struct soak *soak, unsigned number)
{
    soak_note(soak, "target=%u is leaving, acknowledged", number);
    checker_target_leaving(soak->checker, number, soak_now_ms());
}

/* Until its entry is taken, a target counts as disturbed. */
void
directory_register(struct target_process *t)
{
    struct soak *soak = t->child.soak;
    char endpoint[SOAK_ENDPOINT];
    const struct platform_text_target target = {
        .service = soak_service(t->service),
        .endpoint = endpoint,
        /* Both services are in both domains. */
        .domain = soak_domain(t->place->index / SOAK_SERVICES),
        .slots = TARGET_SLOTS,
        .draining = t->draining,
    };
    char *key = platform_text_target_key(t->id);

    soak_endpoint(soak, NET_TARGET_LINK, t->place->index, PORT_TARGET,
                  endpoint);
    if (!t->draining) {
        checker_disturb(soak->checker, SUBJECT_TARGET, t->number,
                        soak_now_ms());
        checker_target_ready(soak->checker, t->number, t->service,
                             soak_now_ms());
    }
    t->registered = true;
    put(soak, key, platform_text_target(&target),
        t->draining ? on_leaving : on_registered, t->number);
    g_free(key);
}

void
directory_remove(struct target_process *t, bool for_good)
{
    struct soak *soak = t->child.soak;
    char *key = platform_text_target_key(t->id);
    char *body = g_strdup_printf("{\"delete\":\"%s\"}", key);

    t->registered = false;
    send_order(soak, NET_STORE, PORT_STORE, body, for_good ? on_leaving : NULL,
               t->number);
    g_free(body);
    g_free(key);
}
