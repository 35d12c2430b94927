#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "target.h"

#define ETAG_SIZE 48                       /* bytes */
#define BUNDLE_SIZE_MAX (64 * 1024 * 1024) /* bytes */
#define STREAM_RATE_DEFAULT 10             /* readings a second */
#define STREAM_RATE_MAX 1000               /* readings a second */
/* Maximum number of past readings that a client can request. */
#define STREAM_BACKLOG_MAX 10000
/* Printable ASCII characters. */
#define PRINTABLE_FIRST 0x20
#define PRINTABLE_COUNT 95

/* A stream of Server-Sent Events, one for each reading. */
struct stream {
    struct target *target;
    struct target_conn *conn;
    struct evhttp_request *req;
    struct event *timer; /* next reading */
    char *name;
    uint64_t interval_us; /* between two readings */
    uint64_t next;        /* number of the next reading to send */
};

/* The byte of a bundle at a position. All targets have the same bytes for the
 * same version. */
static char
bundle_byte(unsigned version, size_t position)
{
    struct standin_random random = {((uint64_t)version << 48) ^
                                    (uint64_t)(position / 8)};
    uint64_t word = standin_random_next(&random);

    word >>= position % 8 * 8;
    return (char)(PRINTABLE_FIRST + (word & 0xff) % PRINTABLE_COUNT);
}

/* Reads the header "Range: bytes=FIRST-LAST" or "bytes=FIRST-" for a body of
 * "size" bytes. LAST is limited to the end of the body. Returns false, with
 * the whole body as the range, if there is no such header. */
static bool
parse_range(struct evhttp_request *req, size_t size, size_t *first,
            size_t *last)
{
    const char *text =
        evhttp_find_header(evhttp_request_get_input_headers(req), "Range");
    size_t a;
    size_t b;
    int n;

    *first = 0;
    *last = size == 0 ? 0 : size - 1;
    if (text == NULL) {
        return false;
    }
    /* NOLINTNEXTLINE(cert-err34-c): an overflow gives an invalid range. */
    n = sscanf(text, "bytes=%zu-%zu", &a, &b);
    if (n < 1) {
        return false;
    }
    *first = a;
    if (n == 2 && b < *last) {
        *last = b;
    }
    return true;
}

/* Answers with "size" bytes of generated data, or the requested range of
 * them. */
static void
answer_bundle(struct target *target, struct work *work, size_t size)
{
    struct evkeyvalq *out = evhttp_request_get_output_headers(work->req);
    const char *if_match = evhttp_find_header(
        evhttp_request_get_input_headers(work->req), "If-Match");
    struct evbuffer *body = evbuffer_new();
    char etag[ETAG_SIZE];
    char content_range[ETAG_SIZE * 2];
    size_t first;
    size_t last;
    bool partial = parse_range(work->req, size, &first, &last);
    int code = partial ? HTTP_PARTIAL : HTTP_OK;

    snprintf(etag, sizeof(etag), "\"v%u-%zu\"", target->bundle_version, size);
    evhttp_add_header(out, "ETag", etag);
    evhttp_add_header(out, "Content-Type", "application/octet-stream");
    if (if_match != NULL && strcmp(if_match, etag) != 0) {
        code = HTTP_PRECONDITION;
    }
    else if (partial && first >= size) {
        snprintf(content_range, sizeof(content_range), "bytes */%zu", size);
        evhttp_add_header(out, "Content-Range", content_range);
        code = HTTP_BAD_RANGE;
    }
    else {
        for (size_t i = first; size > 0 && i <= last; i++) {
            char byte = bundle_byte(target->bundle_version, i);

            evbuffer_add(body, &byte, 1);
        }
    }
    if (code == HTTP_PARTIAL) {
        snprintf(content_range, sizeof(content_range), "bytes %zu-%zu/%zu",
                 first, last, size);
        evhttp_add_header(out, "Content-Range", content_range);
    }
    target_reply(target, work->req, code, body);
    evbuffer_free(body);
}

/* Answers with a description of the request. */
static void
answer_echo(struct target *target, struct work *work)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(work->req);
    struct evbuffer *body = evbuffer_new();
    json_t *answer =
        json_pack("{s:s, s:s, s:s, s:s, s:s, s:I}", "target", target->id,
                  "service", target->service, "method", work->method, "path",
                  work->path, "request_id", work->request_id, "body_bytes",
                  (json_int_t)evbuffer_get_length(in));
    char *text = json_dumps(answer, JSON_COMPACT);

    evbuffer_add_printf(body, "%s", text);
    evhttp_add_header(evhttp_request_get_output_headers(work->req),
                      "Content-Type", "application/json");
    target_reply(target, work->req, HTTP_OK, body);
    evbuffer_free(body);
    free(text);
    json_decref(answer);
}

/* "/bundle/" may stand anywhere in the path, as a tenant may precede it. */
void
target_answer_work(struct target *target, struct work *work)
{
    const char *bundle = strstr(work->path, "/bundle/");
    unsigned long long size;

    if (bundle == NULL || strcmp(work->method, "GET") != 0) {
        answer_echo(target, work);
        return;
    }
    size = strtoull(bundle + strlen("/bundle/"), NULL, 10);
    answer_bundle(target, work,
                  size < BUNDLE_SIZE_MAX ? size : BUNDLE_SIZE_MAX);
}

void
target_stream_end(struct stream *stream)
{
    stream->target->stream_count--;
    evhttp_send_reply_end(stream->req);
    event_free(stream->timer);
    g_free(stream->name);
    g_free(stream);
}

/* The number of the current reading. It is derived from the wall clock, so
 * that all targets give the same number to the same reading. */
static uint64_t
current_reading(const struct stream *stream)
{
    return clock_wall_us() / stream->interval_us;
}

/* Starts the timer for the next reading. */
static void
stream_start_timer(struct stream *stream)
{
    uint64_t us = stream->interval_us - clock_wall_us() % stream->interval_us;
    struct timeval delay = {(time_t)(us / USEC_PER_SEC),
                            (suseconds_t)(us % USEC_PER_SEC)};

    evtimer_add(stream->timer, &delay);
}

/* Sends the readings that are due and starts the timer for the next one. */
static void
stream_send(evutil_socket_t fd, short what, void *ctx)
{
    struct stream *stream = ctx;
    struct evbuffer *out = evbuffer_new();
    uint64_t now = current_reading(stream);

    for (; stream->next <= now; stream->next++) {
        evbuffer_add_printf(out,
                            "id: %" PRIu64 "\ndata: {\"stream\":\"%s\","
                            "\"reading\":%" PRIu64 "}\n\n",
                            stream->next, stream->name, stream->next);
    }
    if (evbuffer_get_length(out) > 0 && !stream->conn->silent &&
        !stream->target->faults.hang) {
        evhttp_send_reply_chunk(stream->req, out);
    }
    evbuffer_free(out);
    stream_start_timer(stream);
}

/* The first reading to send: the one after Last-Event-ID, but none older than
 * the backlog, or without that header the reading after the current one. */
static uint64_t
first_reading(const struct stream *stream)
{
    uint64_t now = current_reading(stream);
    const char *last = evhttp_find_header(
        evhttp_request_get_input_headers(stream->req), "Last-Event-ID");
    uint64_t next;

    if (last == NULL) {
        return now + 1;
    }
    next = strtoull(last, NULL, 10) + 1;
    return next + STREAM_BACKLOG_MAX < now ? now - STREAM_BACKLOG_MAX : next;
}

/* Reads the interval from the parameter "rate" (readings a second). */
static uint64_t
stream_interval_us(struct evhttp_request *req)
{
    const char *query =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
    struct evkeyvalq args;
    const char *text = NULL;
    int rate = STREAM_RATE_DEFAULT;

    if (query != NULL && evhttp_parse_query_str(query, &args) == 0) {
        text = evhttp_find_header(&args, "rate");
        rate = text != NULL ? atoi(text) : rate;
        evhttp_clear_headers(&args);
    }
    if (rate < 1 || rate > STREAM_RATE_MAX) {
        rate = STREAM_RATE_DEFAULT;
    }
    return USEC_PER_SEC / (uint64_t)rate;
}

/* A GET request whose path contains "/stream/" is answered with Server-Sent
 * Events until its connection closes. Streams take no slot. */
bool
target_stream_start(struct target *target, struct evhttp_request *req)
{
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
    const char *name = path != NULL ? strstr(path, "/stream/") : NULL;
    struct stream *stream;

    if (name == NULL || evhttp_request_get_command(req) != EVHTTP_REQ_GET) {
        return false;
    }
    stream = g_new0(struct stream, 1);
    stream->target = target;
    stream->req = req;
    stream->name = g_strdup(name + strlen("/stream/"));
    stream->interval_us = stream_interval_us(req);
    stream->next = first_reading(stream);
    stream->conn = target_conn_of(target, req);
    stream->conn->stream = stream;
    target->stream_count++;
    target->counts.streams_opened++;
    target_add_load_header(target, req);
    evhttp_add_header(evhttp_request_get_output_headers(req), "X-Target",
                      target->id);
    evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
                      "text/event-stream");
    evhttp_send_reply_start(req, HTTP_OK, NULL);
    stream->timer = evtimer_new(target->base, stream_send, stream);
    stream_send(-1, 0, stream);
    return true;
}
