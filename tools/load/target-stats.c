#include "target-stats.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"

#define REQUEST_TIMEOUT_S 1

struct stats_request {
    struct event_base *base;
    struct target_stats *stats; /* filled in from the answer */
    size_t *pending;            /* requests in progress, shared by all */
};

static void
copy_text(char *out, size_t size, const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));

    snprintf(out, size, "%s", text != NULL ? text : "");
}

static void
parse_stats(struct target_stats *stats, const json_t *body)
{
    copy_text(stats->service, sizeof(stats->service), body, "service");
    copy_text(stats->id, sizeof(stats->id), body, "target");
    stats->busy_s = json_number_value(json_object_get(body, "busy_us")) /
                    (double)USEC_PER_SEC;
    stats->begun = json_number_value(json_object_get(body, "begun"));
    stats->shed = json_number_value(json_object_get(body, "shed"));
    stats->started_us = json_number_value(json_object_get(body, "started_us"));
    stats->known = true;
}

static void
on_answer(struct evhttp_request *req, void *ctx)
{
    struct stats_request *stats_request = ctx;

    if (req != NULL && evhttp_request_get_response_code(req) == HTTP_OK) {
        struct evbuffer *in = evhttp_request_get_input_buffer(req);
        size_t size = evbuffer_get_length(in);
        json_t *body =
            json_loadb((const char *)evbuffer_pullup(in, -1), size, 0, NULL);

        if (json_is_object(body)) {
            parse_stats(stats_request->stats, body);
        }
        json_decref(body);
    }
    (*stats_request->pending)--;
    if (*stats_request->pending == 0) {
        event_base_loopbreak(stats_request->base);
    }
}

static struct evhttp_connection *
send_request(struct stats_request *stats_request, const char *endpoint)
{
    char **parts = g_strsplit(endpoint, ":", 2);
    struct evhttp_connection *conn = evhttp_connection_base_new(
        stats_request->base, NULL, parts[0],
        (uint16_t)strtoul(parts[1] != NULL ? parts[1] : "0", NULL, 10));
    struct evhttp_request *req = evhttp_request_new(on_answer, stats_request);

    evhttp_connection_set_timeout(conn, REQUEST_TIMEOUT_S);
    evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
                      "control");
    evhttp_make_request(conn, req, EVHTTP_REQ_GET, "/control/stats");
    g_strfreev(parts);
    return conn;
}

void
target_stats_read(struct event_base *base, char *const *endpoints,
                  size_t count, struct target_stats *stats)
{
    struct stats_request requests[TARGETS_MAX];
    struct evhttp_connection *conns[TARGETS_MAX];
    size_t pending = count;

    memset(stats, 0, count * sizeof(*stats));
    for (size_t i = 0; i < count; i++) {
        requests[i] = (struct stats_request){base, &stats[i], &pending};
        conns[i] = send_request(&requests[i], endpoints[i]);
    }
    if (pending > 0) {
        event_base_dispatch(base);
    }
    for (size_t i = 0; i < count; i++) {
        evhttp_connection_free(conns[i]);
    }
}

void
target_stats_subtract(struct target_stats *after,
                      const struct target_stats *before, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        after[i].known = after[i].known && before[i].known &&
                         after[i].started_us == before[i].started_us;
        after[i].busy_s -= before[i].busy_s;
        after[i].begun -= before[i].begun;
        after[i].shed -= before[i].shed;
    }
}
