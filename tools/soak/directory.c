#include "directory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "platform-text.h"
#include "transport/http-call.h"

/* Timeout of a control request. Stand-ins answer within milliseconds; if a
 * machine is so busy that one needs 5 s, the results of a soak are useless. */
#define CONTROL_TIMEOUT_US (5 * USEC_PER_SEC)
/* Bytes; answers contain a revision at most. */
#define CONTROL_ANSWER_MAX_SIZE 4096
/* Number of requests that a target of the users runs at the same time. */
#define TARGET_SLOTS 2

/* Called when a stand-in has carried out a control request. "number" is the
 * argument of send_control(): a version or the number of a target. */
typedef void (*control_cb)(struct soak *soak, unsigned number);

/* A control request in progress. */
struct control_request {
    struct list link;
    struct http_call *call;
    struct soak *soak;
    control_cb cb; /* NULL: nothing to call */
    unsigned number;
    uint16_t port;
    char *body; /* for logs */
};

static void
control_request_free(struct control_request *control)
{
    g_free(control->body);
    g_free(control);
}

static void
on_control_answer(void *ctx, const struct http_call_answer *answer)
{
    struct control_request *control = ctx;

    list_remove(&control->link);
    if (answer->outcome != HTTP_CALL_ANSWERED || answer->status != 200) {
        soak_fail(control->soak,
                  "port %u of the stand-ins did not accept a control request "
                  "(%s, status %d): %s",
                  control->port,
                  answer->outcome == HTTP_CALL_ANSWERED ? "answered"
                                                        : "no answer",
                  answer->status, control->body);
    }
    else if (control->cb != NULL) {
        control->cb(control->soak, control->number);
    }
    control_request_free(control);
}

void
directory_cancel_requests(struct soak *soak)
{
    list_for_each_safe (it, &soak->control_requests) {
        struct control_request *control =
            container_of(it, struct control_request, link);

        list_remove(&control->link);
        http_call_cancel(control->call);
        control_request_free(control);
    }
}

/* Sends a control request to a stand-in at the first address of "net". */
static void
send_control(struct soak *soak, enum soak_net net, uint16_t port,
             const char *json, control_cb cb, unsigned number)
{
    struct control_request *control = g_new0(struct control_request, 1);
    char address[INET_ADDRSTRLEN];
    const struct http_call_request request = {
        .address = address,
        .port = port,
        .method = EVHTTP_REQ_POST,
        .path = "/control/order",
        .body = json,
        .body_len = strlen(json),
        .timeout_us = CONTROL_TIMEOUT_US,
        .answer_max = CONTROL_ANSWER_MAX_SIZE,
    };

    control->soak = soak;
    control->cb = cb;
    control->number = number;
    control->port = port;
    control->body = g_strdup(json);
    soak_address(soak, net, 0, address);
    list_push_back(&soak->control_requests, &control->link);
    control->call = http_call_start(soak->base, &request, NULL,
                                    on_control_answer, control);
}

void
directory_control_store(struct soak *soak, const char *json)
{
    send_control(soak, NET_STORE, PORT_STORE, json, NULL, 0);
}

void
directory_control_links(struct soak *soak, const char *listen,
                        const char *json)
{
    char *text = g_strdup_printf("{\"%s\":%s}", listen, json);

    send_control(soak, NET_STORE, PORT_LINK_CONTROL, text, NULL, 0);
    g_free(text);
}

/* Writes a key to the store. Takes ownership of "value". */
static void
put_key(struct soak *soak, const char *key, json_t *value, control_cb cb,
        unsigned number)
{
    char *text = json_dumps(value, JSON_COMPACT);
    json_t *write = json_pack("{s:s,s:s}", "put", key, "value", text);
    char *body = json_dumps(write, JSON_COMPACT);

    send_control(soak, NET_STORE, PORT_STORE, body, cb, number);
    free(body);
    free(text);
    json_decref(write);
    json_decref(value);
}

static void
on_config_written(struct soak *soak, unsigned version)
{
    soak_log(soak, "version %u is acknowledged", version);
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
    soak_log(soak, "version %u is sent, services by route:%s",
             soak->config_version, text->str);
    g_string_free(text, TRUE);
    put_key(soak, PLATFORM_TEXT_CONFIG_KEY,
            platform_text_config(soak->config_version + 1, routes),
            on_config_written, soak->config_version);
}

static void
on_target_registered(struct soak *soak, unsigned number)
{
    soak_log(soak, "target=%u is registered in the store", number);
    checker_fault_ended(soak->checker, SUBJECT_TARGET, number, soak_now_ms());
}

static void
on_target_leaving(struct soak *soak, unsigned number)
{
    soak_log(soak, "target=%u is leaving, as the store has acknowledged",
             number);
    checker_target_leaving(soak->checker, number, soak_now_ms());
}

/* Until the store has its entry, a target counts as affected by a fault:
 * on_target_registered() ends that. */
void
directory_write_target(struct target_process *t)
{
    struct soak *soak = t->child.soak;
    char endpoint[SOAK_ENDPOINT_SIZE];
    const struct platform_text_target target = {
        .service = soak_service(t->service),
        .endpoint = endpoint,
        /* Targets alternate between the services, so the domain changes only
         * every SOAK_SERVICES targets: each service has both domains. */
        .domain = soak_domain(t->target_addr->index / SOAK_SERVICES),
        .slots = TARGET_SLOTS,
        .draining = t->draining,
        .sequence = ++t->writes,
    };
    char *key = platform_text_target_key(t->id);

    soak_endpoint(soak, NET_TARGET_LINK, t->target_addr->index, PORT_TARGET,
                  endpoint);
    if (!t->draining) {
        checker_fault_started(soak->checker, SUBJECT_TARGET, t->number,
                              soak_now_ms());
        checker_target_ready(soak->checker, t->number, t->service,
                             soak_now_ms());
        checker_target_domain(soak->checker, t->number,
                              t->target_addr->index / SOAK_SERVICES %
                                  SOAK_DOMAINS);
    }
    t->registered = true;
    put_key(soak, key, platform_text_target(&target),
            t->draining ? on_target_leaving : on_target_registered, t->number);
    g_free(key);
}

static void
on_order_written(struct soak *soak, unsigned domain)
{
    soak_log(soak, "the order to empty domain=%u is acknowledged", domain);
    if (soak->emptied[domain]) {
        checker_order_acked(soak->checker, domain, soak_now_ms());
    }
}

static void
on_order_removed(struct soak *soak, unsigned domain)
{
    soak_log(soak, "the end of the order to empty domain=%u is acknowledged",
             domain);
    if (!soak->emptied[domain]) {
        checker_order_ended(soak->checker, domain, soak_now_ms());
    }
}

void
directory_write_order(struct soak *soak, unsigned domain)
{
    char *key = platform_text_order_key(soak_domain(domain));

    if (soak->emptied[domain]) {
        checker_order_sent(soak->checker, domain);
        put_key(soak, key, json_object(), on_order_written, domain);
    }
    else {
        char *body = g_strdup_printf("{\"delete\":\"%s\"}", key);

        checker_order_ending(soak->checker, domain);
        send_control(soak, NET_STORE, PORT_STORE, body, on_order_removed,
                     domain);
        g_free(body);
    }
    g_free(key);
}

/* Items as the store shows them, with their length, as some have bytes that
 * are no text; "%R" is the revision. They sort among the entries of targets.
 */
static const struct odd_item {
    const char *key; /* under which the item is written */
    const char *text;
    size_t len;
} odd_items[] = {
#define ODD(key, text)                                                        \
    {                                                                         \
        key, text, sizeof(text) - 1                                           \
    }
    ODD("servers/i-0~", "{\"key\":\"servers/i-0~\\u0000\",\"value\":\"e30=\","
                        "\"revision\":%R,\"created\":%R}"),
    ODD("servers/i-~", "{\"key\":\"servers/i-\xff\xfe\",\"value\":\"e30=\","
                       "\"revision\":%R,\"created\":%R}"),
    ODD("servers/i-0~", "{\"key\":\"servers/i-0~\",\"value\":\"e30=\","
                        "\"revision\":%R,\"lease\":1e999}"),
    ODD("servers/i-0~", "{\"key\":\"servers/i-0~\",\"value\":\"?\","
                        "\"revision\":%R,\"created\":%R}"),
    ODD("servers/i-0~", "{\"key\":\"servers/i-0~\",\"value\":\"W1tb\","
                        "\"revision\":%R,\"created\":%R}"),
    ODD("servers/i-0~", "{\"value\":\"e30=\",\"revision\":%R}"),
#undef ODD
};

void
directory_write_odd_item(struct soak *soak, unsigned kind)
{
    const struct odd_item *odd = &odd_items[kind % G_N_ELEMENTS(odd_items)];
    char *item = g_base64_encode((const guchar *)odd->text, odd->len);
    char *body = g_strdup_printf("{\"put_raw\":\"%s%u\",\"item\":\"%s\"}",
                                 odd->key, kind, item);

    directory_control_store(soak, body);
    g_free(body);
    g_free(item);
}

void
directory_remove_odd_item(struct soak *soak, unsigned kind)
{
    char *body =
        g_strdup_printf("{\"delete\":\"%s%u\"}",
                        odd_items[kind % G_N_ELEMENTS(odd_items)].key, kind);

    directory_control_store(soak, body);
    g_free(body);
}

void
directory_remove_target(struct target_process *t, bool leaving)
{
    struct soak *soak = t->child.soak;
    char *key = platform_text_target_key(t->id);
    char *body = g_strdup_printf("{\"delete\":\"%s\"}", key);

    t->registered = false;
    send_control(soak, NET_STORE, PORT_STORE, body,
                 leaving ? on_target_leaving : NULL, t->number);
    g_free(body);
    g_free(key);
}
