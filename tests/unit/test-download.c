#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "client/client-flow.h"
#include "client/client.h"
#include "client/download.h"
#include "fake-server.h"

#define COUNT(array) (sizeof(array) / sizeof(*(array)))
#define ACK_TIMEOUT_MS 15
#define ACKED_TIMEOUT_MS 45
#define SEED 20261203
#define BODY_MAX 200000U
#define DEADLINE_MS 10000
#define NO_CODE 0xff

struct download_case {
    const char *name;
    uint32_t size;        /* bytes of the body */
    uint32_t deadline_ms; /* 0: the default */
    struct fake_faults faults;
    unsigned changes;         /* times that the version changes ... */
    unsigned change_every;    /* ... after so many answers */
    unsigned refuse_percent;  /* of the requests, with Max-Age 0 */
    unsigned gateway_percent; /* answered 5.02 */
    uint8_t szx_less;         /* blocks are smaller by this power of two */
    bool without_etag;
    bool without_size;
    bool challenge;      /* 4.01 to a request without an Echo */
    bool size_lies;      /* Size2 is one byte more than the body */
    bool stale_replicas; /* half of the answers are of the next version */
    uint8_t error;       /* answered to each request, 0: none */
    bool interactive;    /* the first request goes without Block2 */
    bool stop_sink;      /* the sink gives up after the first block */
    /* expected */
    enum call_outcome outcome;
    uint8_t code; /* 0: 2.05, NO_CODE: no answer */
    bool not_whole;
    unsigned restarts_least;
};

static const struct download_case cases[] = {
    {.name = "empty body", .size = 0},
    {.name = "one block", .size = 700},
    {.name = "one full block", .size = 1024},
    {.name = "one byte more", .size = 1025},
    {.name = "many blocks", .size = 150000},
    {.name = "interactive", .size = 700, .interactive = true},
    {.name = "interactive, long", .size = 5000, .interactive = true},
    {.name = "smaller blocks", .size = 3000, .szx_less = 4},
    {.name = "length unknown", .size = 20480, .without_size = true},
    {.name = "asked for a fresh Echo", .size = 5000, .challenge = true},
    {.name = "loss", .size = 60000, .faults = {10, 0, 0, 0}},
    {.name = "duplicates", .size = 60000, .faults = {0, 40, 0, 0}},
    {.name = "reordering", .size = 60000, .faults = {0, 10, 60, 20}},
    {.name = "all faults", .size = 60000, .faults = {8, 20, 30, 20}},
    {.name = "refusals", .size = 30000, .refuse_percent = 20},
    {.name = "lost targets", .size = 30000, .gateway_percent = 20},
    {.name = "version changes",
     .size = 50000,
     .changes = 3,
     .change_every = 20,
     .restarts_least = 3},
    {.name = "version changes, with faults",
     .size = 40000,
     .changes = 3,
     .change_every = 15,
     .faults = {5, 10, 30, 20},
     .restarts_least = 1},
    {.name = "replicas that never agree",
     .size = 30000,
     .deadline_ms = 60000,
     .stale_replicas = true,
     .not_whole = true,
     .restarts_least = 6},
    {.name = "no ETag", .size = 5000, .without_etag = true, .not_whole = true},
    {.name = "no ETag, one block", .size = 500, .without_etag = true},
    {.name = "length that does not fit",
     .size = 5000,
     .size_lies = true,
     .not_whole = true,
     .deadline_ms = 30000},
    {.name = "not found",
     .size = 5000,
     .error = CODE_NOT_FOUND,
     .code = CODE_NOT_FOUND},
    {.name = "refused beyond the deadline",
     .size = 5000,
     .deadline_ms = 300,
     .refuse_percent = 100,
     .outcome = CALL_ANSWERED,
     .code = CODE_UNAVAILABLE,
     .not_whole = true},
    {.name = "silence",
     .size = 5000,
     .deadline_ms = 200,
     .faults = {100, 0, 0, 0},
     .outcome = CALL_TIMEOUT,
     .code = NO_CODE,
     .not_whole = true},
    {.name = "sink gives up",
     .size = 50000,
     .stop_sink = true,
     .outcome = CALL_CANCELLED,
     .code = NO_CODE,
     .not_whole = true},
};

struct world {
    const struct download_case *c;
    struct event_base *base;
    struct random random;
    struct fake_server *server;
    struct client *client;
    struct client_flow *flow;
    unsigned version;
    unsigned answers;

    uint8_t got[BODY_MAX];
    size_t got_len;
    bool ended;
    struct download_result result;
};

/* The body of a version differs from that of every other in each block. */
static uint8_t
body_byte(unsigned version, size_t offset)
{
    return (uint8_t)(offset * 31 + offset / 1024 + version * 101);
}

static void
fill_content(struct world *w, const struct packet *request,
             struct packet *answer, uint8_t *payload)
{
    const struct download_case *c = w->c;
    bool asked = (request->fields & FIELD_BLOCK2) != 0;
    uint8_t most = (uint8_t)(6 - c->szx_less);
    uint8_t szx =
        asked && request->block2.szx < most ? request->block2.szx : most;
    size_t bytes = (size_t)1 << (szx + 4);
    size_t offset = request->block2.num * bytes;
    unsigned version = w->version;
    size_t left;

    if (c->stale_replicas && random_below(&w->random, 2) == 0) {
        version++;
    }
    assert_true(asked == (offset > 0 || !c->interactive));
    assert_true(offset == 0 || offset < c->size);
    left = c->size - offset;
    answer->payload_len = left < bytes ? left : bytes;
    for (size_t i = 0; i < answer->payload_len; i++) {
        payload[i] = body_byte(version, offset + i);
    }
    answer->payload = payload;
    answer->fields |= FIELD_BLOCK2;
    answer->block2.num = request->block2.num;
    answer->block2.more = left > bytes;
    answer->block2.szx = szx;
    if (!c->without_etag) {
        answer->fields |= FIELD_ETAG;
        answer->etag[0] = (uint8_t)(version + 1);
        answer->etag_len = 1;
    }
    if (!c->without_size) {
        answer->fields |= FIELD_SIZE2;
        answer->size2 = c->size + (c->size_lies ? 1 : 0);
    }
}

static uint8_t
choose_code(struct world *w, const struct packet *request)
{
    if (w->c->challenge && request->echo_len == 0) {
        return CODE_UNAUTHORIZED;
    }
    if (random_below(&w->random, 100) < w->c->refuse_percent) {
        return CODE_UNAVAILABLE;
    }
    if (random_below(&w->random, 100) < w->c->gateway_percent) {
        return CODE_BAD_GATEWAY;
    }
    return w->c->error == 0 ? CODE_CONTENT : w->c->error;
}

static void
on_packet(void *ctx, struct fake_server *server, const struct endpoint *from,
          const struct packet *p)
{
    struct world *w = ctx;
    struct packet answer;
    uint8_t payload[1024];

    if (!packet_is_request(p)) {
        return;
    }
    packet_init_answer(&answer, p, choose_code(w, p), 1);
    switch (answer.code) {
    case CODE_UNAUTHORIZED:
        answer.fields = FIELD_ECHO;
        answer.echo_len = 1;
        break;
    case CODE_UNAVAILABLE:
        answer.fields = FIELD_MAX_AGE;
        break;
    case CODE_CONTENT:
        fill_content(w, p, &answer, payload);
        break;
    default:
        break;
    }
    fake_server_send(server, from, &answer);
    w->answers++;
    if (w->version < w->c->changes && w->answers % w->c->change_every == 0) {
        w->version++;
    }
}

static bool
sink_begin(void *ctx, uint64_t total)
{
    struct world *w = ctx;

    if (!w->c->without_size && !w->c->size_lies) {
        assert_int_equal(total, w->c->size);
    }
    w->got_len = 0;
    return true;
}

static bool
sink_data(void *ctx, const uint8_t *data, size_t size)
{
    struct world *w = ctx;

    assert_true(w->got_len + size <= BODY_MAX);
    memcpy(w->got + w->got_len, data, size);
    w->got_len += size;
    return !w->c->stop_sink;
}

static void
on_result(void *ctx, const struct download_result *result)
{
    struct world *w = ctx;

    assert_false(w->ended);
    w->ended = true;
    w->result = *result;
    event_base_loopbreak(w->base);
}

static void
world_init(struct world *w, const struct download_case *c)
{
    struct client_options options = {
        .via_count = 1,
        .ack_timeout_ms = ACK_TIMEOUT_MS,
        .acked_timeout_ms = ACKED_TIMEOUT_MS,
        .random = &w->random,
    };
    struct endpoint via;
    struct status st;

    memset(w, 0, sizeof(*w));
    w->c = c;
    random_seed(&w->random, SEED + c->size);
    w->base = event_base_new();
    w->server = fake_server_new(w->base, &w->random, on_packet, w);
    fake_server_set_faults(w->server, &c->faults);
    via = fake_server_endpoint(w->server);
    options.via = &via;
    w->client = client_new(w->base, &options, &st);
    w->flow = client_flow_new(w->client);
}

static void
world_fini(struct world *w)
{
    client_flow_destroy(w->flow);
    client_destroy(w->client);
    fake_server_destroy(w->server);
    event_base_free(w->base);
}

/* The bytes are those of one version, the one served last. */
static void
check_body(const struct world *w)
{
    unsigned version = w->version;

    assert_int_equal(w->got_len, w->c->size);
    assert_int_equal(w->result.size, w->c->size);
    if (w->got_len > 0 && w->got[0] != body_byte(version, 0)) {
        /* The last change came behind the last block. */
        assert_in_range(version, 1, w->c->changes);
        version--;
    }
    for (size_t i = 0; i < w->got_len; i++) {
        if (w->got[i] != body_byte(version, i)) {
            fail_msg("%s: byte %zu is of another version", w->c->name, i);
        }
    }
}

static uint8_t
expected_code(const struct download_case *c)
{
    if (c->code == NO_CODE) {
        return CODE_EMPTY;
    }
    return c->code == 0 ? CODE_CONTENT : c->code;
}

static void
run_case(const struct download_case *c)
{
    static const struct timeval limit = {.tv_sec = 60};
    static struct world w;
    struct download_sink sink = {sink_begin, sink_data, &w};
    struct download_request request = {
        .path = "/bundle",
        .interactive = c->interactive,
        .deadline_ms = c->deadline_ms == 0 ? DEADLINE_MS : c->deadline_ms};

    world_init(&w, c);
    assert_non_null(download_start(w.flow, &request, &sink, on_result, &w));
    event_base_loopexit(w.base, &limit);
    event_base_dispatch(w.base);
    if (!w.ended || w.result.outcome != c->outcome ||
        w.result.code != expected_code(c) || w.result.whole == c->not_whole ||
        w.result.restarts < c->restarts_least) {
        fail_msg("%s: ended %d, %s, code %u, whole %d, %u restarts", c->name,
                 w.ended, call_outcome_name(w.result.outcome), w.result.code,
                 w.result.whole, w.result.restarts);
    }
    if (!c->not_whole && c->code == 0) {
        check_body(&w);
    }
    world_fini(&w);
}

static void
test_downloads(void **state)
{
    for (size_t i = 0; i < COUNT(cases); i++) {
        run_case(&cases[i]);
    }
}

static void
test_cancel(void **state)
{
    static struct world w;
    const struct download_case c = {.name = "cancel", .size = 100};
    struct download_sink sink = {sink_begin, sink_data, &w};
    struct download_request request = {.path = "/x", .deadline_ms = 1000};
    struct download *dl;

    world_init(&w, &c);
    fake_server_set_silent(w.server, true);
    dl = download_start(w.flow, &request, &sink, on_result, &w);
    event_base_loop(w.base, EVLOOP_NONBLOCK);
    download_cancel(dl);
    assert_true(w.ended);
    assert_int_equal(w.result.outcome, CALL_CANCELLED);
    world_fini(&w);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_downloads),
        cmocka_unit_test(test_cancel),
    };

    printf("seed %d\n", SEED);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
