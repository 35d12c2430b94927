#include "daemon/stream.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "daemon/answer.h"
#include "daemon/inbound.h"
#include "daemon/target-clients.h"
#include "protocol/http-map.h"
#include "protocol/sse-parser.h"

/* Time after which a registration that the caller does not renew ends. */
#define REGISTRATION_LIFETIME_US (60 * USEC_PER_SEC)
/* Max-Age of a notification, within which the caller expects the next one or
 * registers again (RFC 7641 section 4.3.1). */
#define NOTIFICATION_MAX_AGE_S 60
/* Bounds of the maximum of the random delay before a stream is opened again at
 * a target. The maximum begins at the first value, doubles with each attempt
 * up to the second, and returns to the first when data arrives. */
#define REOPEN_DELAY_MIN_US (50 * USEC_PER_MSEC)
#define REOPEN_DELAY_MAX_US (2 * USEC_PER_SEC)
/* Time for which existing registrations continue after streams_stop(), so that
 * they overlap with the callers' registrations at other balancers. */
#define STOP_OVERLAP_US (4 * USEC_PER_SEC)
/* Time without a byte from the target after which a stream is opened again,
 * because its connection may be dead without having been closed. */
#define SILENCE_TIMEOUT_US (5 * USEC_PER_SEC)
#define OBSERVE_REGISTER                                                      \
    0 /* value of the Observe option, RFC 7641 section 2 */
#define OBSERVE_SEQUENCE_MASK 0xffffffU /* 24 bits, RFC 7641 section 4.4 */
/* Maximum number of observations at a time. */
#define STREAMS_MAX 20000
#define EVENT_ID_TEXT_SIZE 24 /* bytes of a decimal event id, with the NUL */

struct streams {
    struct data_task *task;
    struct list all;        /* struct stream */
    GHashTable *by_caller;  /* struct caller -> struct stream */
    bool stopping;          /* new registrations are refused */
    uint64_t stop_begun_us; /* when "stopping" was last set */
};

/* One observation of one caller. */
struct stream {
    struct list link;
    struct streams *streams;
    struct caller caller;
    struct target_state *target; /* holds a reference; NULL while closed */
    struct target_call *call;    /* NULL: to be opened at reopen_us */
    struct sse_parser parser;
    bool answered;            /* the last registration was answered */
    bool needs_token;         /* the registration came without a flow token */
    bool parse_failed;        /* the parser failed: reopen the stream */
    bool has_last_id;         /* last_id is valid */
    uint64_t last_id;         /* event after which the stream continues */
    uint16_t last_message_id; /* message id of the last notification */
    uint32_t sequence; /* value of the next Observe option, before masking */
    uint32_t service_hash;
    uint64_t expires_us;   /* end of the registration unless it is renewed */
    uint64_t last_data_us; /* when the target last sent data */
    uint64_t reopen_us;    /* when to open the stream while "call" is NULL */
    uint64_t reopen_delay_us; /* upper bound of the next random delay */
    char service[ID_SIZE];
    char path[PACKET_PATH_MAX + PACKET_QUERY_MAX + 2]; /* with the query */
};

/* An observation is identified by the caller's endpoint and CoAP token
 * (RFC 7641 section 4.1). */
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

/* Closes the connection to the target, if any, and releases the target. */
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

/* Sets the ETag of an answer to an event id, big-endian and without leading
 * zero bytes, but at least one byte long. */
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

/* Sends an error to the caller and ends the observation. */
static void
end_with_error(struct stream *stream, enum error_kind kind)
{
    struct packet answer;

    answer_fill_error(&answer, kind, OUTCOME_NONE,
                      kind == ERR_STOPPING ? RETRY_ELSEWHERE_MS
                                           : RETRY_SOON_MS);
    answer.fields &= ~(unsigned)FIELD_OUTCOME;
    if (stream->answered) {
        /* A notification with an error code ends the observation (RFC 7641
         * section 4.2). */
        answer_notify(stream->streams->task, &stream->caller, &answer);
    }
    else {
        answer_send(stream->streams->task, &stream->caller, &answer);
    }
    stream_free(stream);
}

/* Sends an event of the target to the caller: as the answer to a registration
 * that is not answered yet, else as a notification. */
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
        stream->has_last_id = true;
    }
    data_count(task, COUNTER_STREAM_FRAMES);
    if (stream->answered) {
        answer_notify(task, &stream->caller, &answer);
        stream->last_message_id = answer.message_id;
        return;
    }
    stream->answered = true;
    if (stream->needs_token) {
        answer_add_token(task, &answer, stream->service_hash,
                         clock_monotonic_us());
    }
    answer_send(task, &stream->caller, &answer);
}

static void
on_data(void *ctx, const uint8_t *data, size_t size)
{
    struct stream *stream = ctx;

    stream->reopen_delay_us = REOPEN_DELAY_MIN_US;
    stream->last_data_us = clock_monotonic_us();
    if (!stream->parse_failed &&
        !sse_parser_feed(&stream->parser, data, size, on_event, stream)) {
        stream->parse_failed = true;
    }
}

/* Schedules the next attempt to open a stream after a random delay and doubles
 * the upper bound of the delay. */
static void
schedule_reopen(struct stream *stream, uint64_t now)
{
    stream->reopen_us =
        now + random_below(&stream->streams->task->random,
                           (uint32_t)stream->reopen_delay_us + 1);
    stream->reopen_delay_us *= 2;
    if (stream->reopen_delay_us > REOPEN_DELAY_MAX_US) {
        stream->reopen_delay_us = REOPEN_DELAY_MAX_US;
    }
}

/* Handles the end of a stream's request to the target. When the target
 * answered with a client error (4xx), the observation ends with "not found".
 * Otherwise the stream is opened again, possibly at another target, and
 * continues after the last event that was sent to the caller. */
static void
on_end(void *ctx, enum error_kind kind, bool sent,
       const struct target_response *response)
{
    struct stream *stream = ctx;

    stream->call = NULL;
    close_call(stream);
    if (kind == ERR_NONE && response->http_status >= 400 &&
        response->http_status < 500) {
        end_with_error(stream, ERR_NOT_FOUND);
        return;
    }
    schedule_reopen(stream, clock_monotonic_us());
}

/* Opens a stream at a target that the dispatcher chooses. When that fails, the
 * next attempt is scheduled already. */
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
    if (stream->has_last_id) {
        snprintf(last_id, sizeof(last_id), "%" PRIu64, stream->last_id);
        request.last_event_id = last_id;
    }
    client = target_clients_get(task->target_clients, t);
    if (client == NULL) {
        return;
    }
    sse_parser_init(&stream->parser);
    stream->parse_failed = false;
    stream->call =
        target_client_call(client, &request, on_end, on_data, stream);
    if (stream->call != NULL) {
        stream->last_data_us = now;
        stream->target = target_ref(t);
        t->streams++;
    }
}

/* Removes the parameter "last-event-id" from the query of a request and stores
 * its value in "id". Returns false, with the query unchanged, when the
 * parameter is missing or malformed. */
static bool
extract_last_event_id(struct packet *p, uint64_t *id)
{
    static const char key[] = "last-event-id=";
    char *param = strstr(p->query, key);
    char *end;

    if (param == NULL || (param != p->query && param[-1] != '&')) {
        return false;
    }
    *id = strtoull(param + sizeof(key) - 1, &end, 10);
    if (*end == '&') {
        end++;
    }
    else if (*end != '\0') {
        return false;
    }
    else if (param != p->query) {
        param--;
    }
    memmove(param, end, strlen(end) + 1);
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
    stream->needs_token = !in->has_token;
    stream->service_hash = in->port->view->hash;
    stream->reopen_delay_us = REOPEN_DELAY_MIN_US;
    memcpy(stream->service, in->port->service, sizeof(stream->service));
    inbound_path(in, stream->path, sizeof(stream->path));
    list_push_back(&streams->all, &stream->link);
    g_hash_table_insert(streams->by_caller, &stream->caller, stream);
    return stream;
}

/* Handles a registration for an observation that exists. A caller that missed
 * events names the last event that it received; the stream is then opened
 * again after that event. */
static void
renew_registration(struct stream *stream, const struct inbound *in,
                   bool has_id, uint64_t id, uint64_t now)
{
    struct packet answer = {.code = CODE_CONTENT};

    if (stream->caller.message_id == in->caller.message_id) {
        /* The registration was retransmitted. */
        if (stream->caller.acked) {
            answer_send_ack(stream->streams->task, &stream->caller);
        }
        return;
    }
    if (!stream->answered) {
        stream->caller = in->caller;
        return;
    }
    stream->caller = in->caller;
    if (has_id && stream->has_last_id && id < stream->last_id) {
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
    if (stream->has_last_id) {
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
    stream->expires_us = now + REGISTRATION_LIFETIME_US;
    stream->has_last_id = has_id;
    stream->last_id = id;
    open_stream(stream, now);
}

void
streams_handle(struct streams *streams, const struct inbound *in)
{
    struct inbound request = *in;
    uint64_t now = clock_monotonic_us();
    uint64_t id = 0;
    bool has_id = extract_last_event_id(&request.packet, &id);
    struct stream *stream =
        g_hash_table_lookup(streams->by_caller, &in->caller);

    if (in->packet.observe != OBSERVE_REGISTER) {
        deregister(streams, in, stream);
        return;
    }
    if (stream == NULL && !in->caller.verified) {
        /* Notifications are sent without further requests, so the caller must
         * first prove that it receives packets at its address (RFC 9175
         * section 2.4). */
        answer_challenge(streams->task, in);
        return;
    }
    if (stream == NULL) {
        register_new(streams, &request, has_id, id, now);
        return;
    }
    stream->expires_us = now + REGISTRATION_LIFETIME_US;
    renew_registration(stream, &request, has_id, id, now);
}

void
streams_on_reset(struct streams *streams, const struct endpoint *from,
                 uint16_t message_id)
{
    list_for_each_safe (it, &streams->all) {
        struct stream *stream = container_of(it, struct stream, link);

        if (stream->caller.addr.addr == from->addr &&
            stream->caller.addr.port == from->port &&
            stream->last_message_id == message_id) {
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
    if (streams->stopping && now - streams->stop_begun_us >= STOP_OVERLAP_US) {
        end_with_error(stream, ERR_STOPPING);
        return;
    }
    if (!stream->answered && !stream->caller.acked &&
        now - stream->caller.received_us >= ANSWER_ACK_DELAY_US) {
        answer_send_ack(streams->task, &stream->caller);
    }
    if (stream->parse_failed ||
        (stream->call != NULL &&
         now - stream->last_data_us >= SILENCE_TIMEOUT_US)) {
        close_call(stream);
        stream->parse_failed = false;
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
    streams->stop_begun_us = now;
}

void
streams_resume(struct streams *streams)
{
    streams->stopping = false;
}
