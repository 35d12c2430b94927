#include "directory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "transport/http-call.h"

#define ORDER_TIMEOUT_US (5 * USEC_PER_SEC)
#define ORDER_ANSWER_MAX 4096

/* Runs when the store has taken an order. */
typedef void (*order_cb)(struct soak *soak, unsigned number);

struct order {
    struct list link;
    struct http_call *call;
    struct soak *soak;
    order_cb cb;
    unsigned number;
};

static const char *const service_names[SOAK_SERVICES] = {"live", "export"};

static void
on_ordered(void *ctx, const struct http_call_answer *answer)
{
    struct order *order = ctx;

    if (answer->end != HTTP_CALL_ANSWERED || answer->status != 200) {
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

static json_t *
route_json(unsigned route, int service)
{
    char prefix[16];
    char name[16];

    snprintf(prefix, sizeof(prefix), "/%u/", ROUTE_FIRST_PORT + route);
    snprintf(name, sizeof(name), "route-%u", route);
    return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s}", "name", name, "host",
                     ROUTE_HOST, "prefix", prefix, "kind", "safe", "timeoutMs",
                     500, "targetLatencyMs", 100, "priority", 1, "service",
                     service_names[service]);
}

void
directory_write_config(struct soak *soak)
{
    json_t *routes = json_array();
    GString *text = g_string_new("");

    for (unsigned i = 0; i < CHECKER_ROUTES_MAX; i++) {
        g_string_append_printf(text, " %d", soak->services[i]);
        if (soak->services[i] != CHECKER_NO_SERVICE) {
            json_array_append_new(routes, route_json(i, soak->services[i]));
        }
    }
    soak->config_version = checker_config_sent(soak->checker, soak->services);
    soak_note(soak, "version %u is written, services%s", soak->config_version,
              text->str);
    g_string_free(text, TRUE);
    put(soak, "op/config",
        json_pack("{s:i,s:o,s:[],s:{s:i}}", "version",
                  (int)soak->config_version + 1, "routes", routes, "services",
                  "limits", "idleTimeoutMs", 15000),
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
    char address[INET_ADDRSTRLEN];
    char endpoint[INET_ADDRSTRLEN + 8];
    char key[64];

    soak_address(soak, NET_TARGET_LINK, t->place->index, address);
    snprintf(endpoint, sizeof(endpoint), "%s:%u", address, PORT_TARGET);
    snprintf(key, sizeof(key), "servers/%s", t->id);
    if (!t->draining) {
        checker_disturb(soak->checker, SUBJECT_TARGET, t->number,
                        soak_now_ms());
        checker_target_ready(soak->checker, t->number, t->service,
                             soak_now_ms());
    }
    t->registered = true;
    put(soak, key,
        json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i}", "service",
                  service_names[t->service], "address", endpoint, "zone",
                  t->place->index / SOAK_SERVICES % 2 == 0 ? "zone-0"
                                                           : "zone-1",
                  "version", "v1", "slots", 2, "state",
                  t->draining ? "draining" : "ready", "coldLeftMs", 0,
                  "sequence", 1),
        t->draining ? on_leaving : on_registered, t->number);
}

void
directory_remove(struct target_process *t, bool for_good)
{
    struct soak *soak = t->child.soak;
    char body[96];

    t->registered = false;
    snprintf(body, sizeof(body), "{\"delete\":\"servers/%s\"}", t->id);
    send_order(soak, NET_STORE, PORT_STORE, body, for_good ? on_leaving : NULL,
               t->number);
}
