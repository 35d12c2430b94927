#include "target-stats.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"

#define ASK_TIMEOUT_S 1

struct question {
    struct event_base *base;
    struct target_stats *stats;
    size_t *open;
};

static void
copy_text(char *out, size_t size, const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));

    snprintf(out, size, "%s", text != NULL ? text : "");
}

static void
take_answer(struct target_stats *stats, const json_t *body)
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
    struct question *question = ctx;

    if (req != NULL && evhttp_request_get_response_code(req) == HTTP_OK) {
        struct evbuffer *in = evhttp_request_get_input_buffer(req);
        size_t size = evbuffer_get_length(in);
        json_t *body =
            json_loadb((const char *)evbuffer_pullup(in, -1), size, 0, NULL);

        if (json_is_object(body)) {
            take_answer(question->stats, body);
        }
        json_decref(body);
    }
    (*question->open)--;
    if (*question->open == 0) {
        event_base_loopbreak(question->base);
    }
}

static struct evhttp_connection *
ask(struct question *question, const char *endpoint)
{
    char **parts = g_strsplit(endpoint, ":", 2);
    struct evhttp_connection *conn = evhttp_connection_base_new(
        question->base, NULL, parts[0],
        (uint16_t)strtoul(parts[1] != NULL ? parts[1] : "0", NULL, 10));
    struct evhttp_request *req = evhttp_request_new(on_answer, question);

    evhttp_connection_set_timeout(conn, ASK_TIMEOUT_S);
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
    struct question questions[TARGETS_MAX];
    struct evhttp_connection *conns[TARGETS_MAX];
    size_t open = count;

    memset(stats, 0, count * sizeof(*stats));
    for (size_t i = 0; i < count; i++) {
        questions[i] = (struct question){base, &stats[i], &open};
        conns[i] = ask(&questions[i], endpoints[i]);
    }
    if (open > 0) {
        event_base_dispatch(base);
    }
    for (size_t i = 0; i < count; i++) {
        evhttp_connection_free(conns[i]);
    }
}

void
target_stats_since(struct target_stats *after,
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
