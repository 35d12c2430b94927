#include "daemon/stream.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "daemon/answer.h"
#include "daemon/inbound.h"
#include "daemon/target-links.h"
#include "protocol/http-map.h"
#include "protocol/sse-parser.h"

/* A registration ends this long after the caller last renewed it. */
#define REGISTRATION_US (60 * USEC_PER_SEC)
#define NOTIFICATION_MAX_AGE_S 60
#define REOPEN_MIN_US (50 * USEC_PER_MSEC)
#define REOPEN_MAX_US (2 * USEC_PER_SEC)
/* After a planned stop begins, the old registrations go on for this long, so
 * that the callers' new ones overlap with them. */
#define STOP_OVERLAP_US (4 * USEC_PER_SEC)
/* A stream without a byte for this long is opened again: the connection may
 * have gone silent. */
#define SILENT_US (5 * USEC_PER_SEC)
#define OBSERVE_REGISTER 0
#define OBSERVE_SEQUENCE_MASK 0xffffffU /* 24 bits, RFC 7641 section 4.4 */
#define STREAMS_MAX 20000
#define EVENT_ID_TEXT_SIZE 24

struct streams {
    struct data_task *task;
    struct list all; /* struct stream */
    GHashTable *by_caller;
    bool stopping;
    uint64_t stop_us;
};

/* One observation of one caller. */
struct stream {
    struct list link;
    struct streams *streams;
    struct caller caller;
    struct target_state *target; /* with a reference while open */
    struct target_call *call;    /* NULL: to be opened at reopen_us */
    struct sse_parser parser;
    bool answered; /* the registration has got its answer */
    bool wants_token;
    bool broken;        /* the parser failed: to be reopened */
    bool resume;        /* last_id is valid */
    uint64_t last_id;   /* of the last event sent */
    uint16_t notify_id; /* message id of the last notification */
    uint32_t sequence;
    uint32_t service_hash;
    uint64_t expires_us;
    uint64_t heard_us; /* last byte of the target */
    uint64_t reopen_us;
    uint64_t reopen_wait_us;
    char service[ID_SIZE];
    char path[PACKET_PATH_MAX + PACKET_QUERY_MAX + 2];
};

/* An observation is known by the caller's endpoint and CoAP token (RFC 7641
 * section 4.1). */
static guint
stream_hash(gconstpointer key)
{
    const struct caller *caller = key;
    guint hash = caller->addr.addr * 31 + (guint)caller->addr.port * 65537;

    for (size_t i = 0; i < caller->token_len; i++) {
        hash = hash * 33 + caller->token[i];
    }
    return hash;
}

static gboolean
stream_equal(gconstpointer key_a, gconstpointer key_b)
{
    const struct caller *a = key_a;
    const struct caller *b = key_b;

    return a->addr.addr == b->addr.addr && a->addr.port == b->addr.port &&
           a->service_port == b->service_port &&
           a->token_len == b->token_len &&
           memcmp(a->token, b->token, a->token_len) == 0;
}

struct streams *
streams_new(struct data_task *task)
{
    struct streams *streams = calloc(1, sizeof(*streams));

    if (streams == NULL) {
        return NULL;
    }
    streams->task = task;
    list_init(&streams->all);
    streams->by_caller = g_hash_table_new(stream_hash, stream_equal);
    return streams;
}

static void
close_call(struct stream *stream)
{
    if (stream->call != NULL) {
        target_call_cancel(stream->call);
        stream->call = NULL;
    }
    if (stream->target != NULL) {
        stream->target->streams--;
        target_unref(stream->target);
        stream->target = NULL;
    }
}

static void
stream_free(struct stream *stream)
{
    close_call(stream);
    g_hash_table_remove(stream->streams->by_caller, &stream->caller);
    list_remove(&stream->link);
    free(stream);
}

void
streams_destroy(struct streams *streams)
{
    if (streams == NULL) {
        return;
    }
    list_for_each_safe (it, &streams->all) {
        stream_free(container_of(it, struct stream, link));
    }
    g_hash_table_destroy(streams->by_caller);
    free(streams);
}

bool
streams_idle(const struct streams *streams)
{
    return list_empty(&streams->all);
}

/* Writes a number in as few bytes as it needs, big-endian, at least one. */
static void
set_etag(struct packet *answer, uint64_t id)
{
    uint8_t len = 1;

    while (len < 8 && id >> (8 * len) != 0) {
        len++;
    }
    for (uint8_t i = 0; i < len; i++) {
        answer->etag[i] = (uint8_t)(id >> (8 * (len - 1 - i)));
    }
    answer->etag_len = len;
    answer->fields |= FIELD_ETAG;
}

static void
fail_stream(struct stream *stream, enum error_kind kind)
{
    struct packet answer;

    answer_fill_error(&answer, kind, OUTCOME_NONE,
                      kind == ERR_STOPPING ? RETRY_ELSEWHERE_MS
                                           : RETRY_SOON_MS);
    answer.fields &= ~(unsigned)FIELD_OUTCOME;
    if (stream->answered) {
        /* RFC 7641 section 4.2: an error code ends the observation. */
        answer_notify(stream->streams->task, &stream->caller, &answer);
    }
    else {
        answer_send(stream->streams->task, &stream->caller, &answer);
    }
    stream_free(stream);
}

static void
on_event(void *ctx, const struct sse_event *event)
{
    struct stream *stream = ctx;
    struct data_task *task = stream->streams->task;
    struct packet answer = {.code = CODE_CONTENT};

    answer.fields = FIELD_OBSERVE | FIELD_MAX_AGE;
    answer.observe = stream->sequence & OBSERVE_SEQUENCE_MASK;
    answer.max_age_s = stream->streams->stopping ? 0 : NOTIFICATION_MAX_AGE_S;
    answer.payload = (const uint8_t *)event->data;
    answer.payload_len = event->data_len;
    stream->sequence++;
    if (event->has_id) {
        set_etag(&answer, event->id);
        stream->last_id = event->id;
        stream->resume = true;
    }
    data_count(task, COUNTER_STREAM_FRAMES);
    if (stream->answered) {
        answer_notify(task, &stream->caller, &answer);
        stream->notify_id = answer.message_id;
        return;
    }
    stream->answered = true;
    if (stream->wants_token) {
        answer_add_token(task, &answer, stream->service_hash,
                         clock_monotonic_us());
    }
    answer_send(task, &stream->caller, &answer);
}

static void
on_data(void *ctx, const uint8_t *data, size_t size)
{
    struct stream *stream = ctx;

    stream->reopen_wait_us = REOPEN_MIN_US;
    stream->heard_us = clock_monotonic_us();
    if (!stream->broken &&
        !sse_parser_feed(&stream->parser, data, size, on_event, stream)) {
        stream->broken = true;
    }
}

static void
schedule_reopen(struct stream *stream, uint64_t now)
{
    stream->reopen_us =
        now + random_below(&stream->streams->task->random,
                           (uint32_t)stream->reopen_wait_us + 1);
    stream->reopen_wait_us *= 2;
    if (stream->reopen_wait_us > REOPEN_MAX_US) {
        stream->reopen_wait_us = REOPEN_MAX_US;
    }
}

/* The target ended the stream. It is opened again, at another target if need
 * be, after the last event that was sent. An answer other than a stream goes
 * to the caller. */
static void
on_end(void *ctx, enum error_kind kind, bool sent,
       const struct target_response *response)
{
    struct stream *stream = ctx;

    stream->call = NULL;
    close_call(stream);
    if (kind == ERR_NONE && response->http_status >= 400 &&
        response->http_status < 500) {
        fail_stream(stream, ERR_NOT_FOUND);
        return;
    }
    schedule_reopen(stream, clock_monotonic_us());
}

static void
open_stream(struct stream *stream, uint64_t now)
{
    struct data_task *task = stream->streams->task;
    struct dispatch_service *svc =
        dispatch_find(&task->dispatch, stream->service);
    char last_id[EVENT_ID_TEXT_SIZE];
    struct target_request request = {
        .method = "GET",
        .path = stream->path,
        .service = stream->service,
        .stream = true,
    };
    struct target_client *client;
    struct target_state *t;

    schedule_reopen(stream, now);
    t = svc == NULL
            ? NULL
            : dispatch_pick_stream(&task->dispatch, svc,
                                   stream_hash(&stream->caller), 0, now);
    if (t == NULL) {
        return;
    }
    if (stream->resume) {
        snprintf(last_id, sizeof(last_id), "%" PRIu64, stream->last_id);
        request.last_event_id = last_id;
    }
    client = target_links_get(task->links, t);
    if (client == NULL) {
        return;
    }
    sse_parser_init(&stream->parser);
    stream->broken = false;
    stream->call =
        target_client_call(client, &request, on_end, on_data, stream);
    if (stream->call != NULL) {
        stream->heard_us = now;
        stream->target = target_ref(t);
        t->streams++;
    }
}

/* Reads and takes out the resume position of a caller's query. */
static bool
take_last_event_id(struct packet *p, uint64_t *id)
{
    static const char key[] = "last-event-id=";
    char *at = strstr(p->query, key);
    char *end;

    if (at == NULL || (at != p->query && at[-1] != '&')) {
        return false;
    }
    *id = strtoull(at + sizeof(key) - 1, &end, 10);
    if (*end == '&') {
        end++;
    }
    else if (*end != '\0') {
        return false;
    }
    else if (at != p->query) {
        at--;
    }
    memmove(at, end, strlen(end) + 1);
    return true;
}

static struct stream *
stream_new(struct streams *streams, const struct inbound *in)
{
    struct stream *stream = calloc(1, sizeof(*stream));

    if (stream == NULL) {
        return NULL;
    }
    stream->streams = streams;
    stream->caller = in->caller;
    stream->wants_token = !in->has_token;
    stream->service_hash = in->port->view->hash;
    stream->reopen_wait_us = REOPEN_MIN_US;
    memcpy(stream->service, in->port->service, sizeof(stream->service));
    inbound_path(in, stream->path, sizeof(stream->path));
    list_push_back(&streams->all, &stream->link);
    g_hash_table_insert(streams->by_caller, &stream->caller, stream);
    return stream;
}

/* A renewal. A caller that missed events names the last one it has, and the
 * stream is opened again after that. */
static void
renew(struct stream *stream, const struct inbound *in, bool has_id,
      uint64_t id, uint64_t now)
{
    struct packet answer = {.code = CODE_CONTENT};

    if (stream->caller.message_id == in->caller.message_id) {
        /* A retransmission of the registration. */
        if (stream->caller.acked) {
            answer_ack(stream->streams->task, &stream->caller);
        }
        return;
    }
    if (!stream->answered) {
        stream->caller = in->caller;
        return;
    }
    stream->caller = in->caller;
    if (has_id && stream->resume && id < stream->last_id) {
        close_call(stream);
        stream->last_id = id;
        stream->answered = false;
        open_stream(stream, now);
        return;
    }
    answer.fields = FIELD_OBSERVE | FIELD_MAX_AGE;
    answer.observe = stream->sequence & OBSERVE_SEQUENCE_MASK;
    answer.max_age_s = NOTIFICATION_MAX_AGE_S;
    stream->sequence++;
    if (stream->resume) {
        set_etag(&answer, stream->last_id);
    }
    answer_send(stream->streams->task, &in->caller, &answer);
}

static void
deregister(struct streams *streams, const struct inbound *in,
           struct stream *stream)
{
    struct packet answer = {.code = CODE_CONTENT};

    if (stream != NULL) {
        stream_free(stream);
    }
    answer_send(streams->task, &in->caller, &answer);
}

static void
register_new(struct streams *streams, const struct inbound *in, bool has_id,
             uint64_t id, uint64_t now)
{
    struct stream *stream;

    if (streams->stopping) {
        answer_error(streams->task, &in->caller, ERR_STOPPING, OUTCOME_NONE,
                     RETRY_ELSEWHERE_MS);
        return;
    }
    if (g_hash_table_size(streams->by_caller) >= STREAMS_MAX) {
        answer_error(streams->task, &in->caller, ERR_OVERLOADED, OUTCOME_NONE,
                     RETRY_SOON_MS);
        return;
    }
    stream = stream_new(streams, in);
    if (stream == NULL) {
        answer_error(streams->task, &in->caller, ERR_NO_MEMORY, OUTCOME_NONE,
                     RETRY_SOON_MS);
        return;
    }
    data_count(streams->task, COUNTER_STREAMS_OPENED);
    stream->expires_us = now + REGISTRATION_US;
    stream->resume = has_id;
    stream->last_id = id;
    open_stream(stream, now);
}

void
streams_handle(struct streams *streams, const struct inbound *in)
{
    struct inbound request = *in;
    uint64_t now = clock_monotonic_us();
    uint64_t id = 0;
    bool has_id = take_last_event_id(&request.packet, &id);
    struct stream *stream =
        g_hash_table_lookup(streams->by_caller, &in->caller);

    if (in->packet.observe != OBSERVE_REGISTER) {
        deregister(streams, in, stream);
        return;
    }
    if (stream == NULL && !in->caller.verified) {
        /* Notifications go on without further requests, so the caller first
         * shows that it receives them (RFC 9175 section 2.4). */
        answer_challenge(streams->task, in);
        return;
    }
    if (stream == NULL) {
        register_new(streams, &request, has_id, id, now);
        return;
    }
    stream->expires_us = now + REGISTRATION_US;
    renew(stream, &request, has_id, id, now);
}

void
streams_on_reset(struct streams *streams, const struct endpoint *from,
                 uint16_t message_id)
{
    list_for_each_safe (it, &streams->all) {
        struct stream *stream = container_of(it, struct stream, link);

        if (stream->caller.addr.addr == from->addr &&
            stream->caller.addr.port == from->port &&
            stream->notify_id == message_id) {
            stream_free(stream);
        }
    }
}

static void
tick_stream(struct stream *stream, uint64_t now)
{
    struct streams *streams = stream->streams;

    if (now >= stream->expires_us) {
        stream_free(stream);
        return;
    }
    if (streams->stopping && now - streams->stop_us >= STOP_OVERLAP_US) {
        fail_stream(stream, ERR_STOPPING);
        return;
    }
    if (!stream->answered && !stream->caller.acked &&
        now - stream->caller.received_us >= ANSWER_ACK_AFTER_US) {
        answer_ack(streams->task, &stream->caller);
    }
    if (stream->broken ||
        (stream->call != NULL && now - stream->heard_us >= SILENT_US)) {
        close_call(stream);
        stream->broken = false;
        schedule_reopen(stream, now);
    }
    if (stream->call == NULL && now >= stream->reopen_us) {
        open_stream(stream, now);
    }
}

void
streams_tick(struct streams *streams, uint64_t now)
{
    list_for_each_safe (it, &streams->all) {
        tick_stream(container_of(it, struct stream, link), now);
    }
}

void
streams_stop(struct streams *streams, uint64_t now)
{
    streams->stopping = true;
    streams->stop_us = now;
}

void
streams_resume(struct streams *streams)
{
    streams->stopping = false;
}
