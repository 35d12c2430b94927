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

#define ARRAY_LENGTH(array) (sizeof(array) / sizeof(*(array)))
#define ACK_TIMEOUT_MS 15
#define ACKED_TIMEOUT_MS 45
#define SEED 20261203
#define BODY_MAX 200000U
#define DEFAULT_DEADLINE_MS 10000
/* Expected code when there is no answer */
#define NO_CODE 0xff

struct download_case {
    const char *name;
    uint32_t size;        /* bytes of the body */
    uint32_t deadline_ms; /* 0: the default */
    struct fake_faults faults;
    unsigned version_changes;     /* number of times that the body changes */
    unsigned answers_per_version; /* number of answers between two changes */
    /* Percentage of requests that are answered 5.03 with Max-Age 0 */
    unsigned refuse_percent;
    /* Percentage of the other requests that are answered 5.02 */
    unsigned bad_gateway_percent;
    /* The largest block that the server sends is 1024 >> szx_reduction bytes.
     */
    uint8_t szx_reduction;
    bool without_etag;
    bool without_size;   /* no Size2 in the answers */
    bool challenge;      /* 4.01 to a request without an Echo */
    bool wrong_size;     /* Size2 is one byte more than the body */
    bool mixed_versions; /* half of the answers are of the next version */
    uint8_t error_code;  /* code of the answer to each request, 0: 2.05 */
    bool interactive;    /* the first request is sent without Block2 */
    bool sink_cancels;   /* the sink cancels after the first bytes */
    /* Expected result: */
    enum call_outcome outcome;
    uint8_t code;          /* 0: 2.05, NO_CODE: no answer */
    bool incomplete;       /* the body is not reported as whole */
    unsigned restarts_min; /* minimum number of restarts reported */
};

static const struct download_case cases[] = {
    {.name = "empty body", .size = 0},
    {.name = "one block", .size = 700},
    {.name = "one full block", .size = 1024},
    {.name = "one block and one byte", .size = 1025},
    {.name = "many blocks", .size = 150000},
    {.name = "interactive", .size = 700, .interactive = true},
    {.name = "interactive, several blocks", .size = 5000, .interactive = true},
    {.name = "smaller blocks", .size = 3000, .szx_reduction = 4},
    {.name = "no Size2", .size = 20480, .without_size = true},
    {.name = "Echo challenge", .size = 5000, .challenge = true},
    {.name = "loss", .size = 60000, .faults = {10, 0, 0, 0}},
    {.name = "duplicates", .size = 60000, .faults = {0, 40, 0, 0}},
    {.name = "reordering", .size = 60000, .faults = {0, 10, 60, 20}},
    {.name = "all faults", .size = 60000, .faults = {8, 20, 30, 20}},
    {.name = "some answers 5.03", .size = 30000, .refuse_percent = 20},
    {.name = "some answers 5.02", .size = 30000, .bad_gateway_percent = 20},
    {.name = "version changes",
     .size = 50000,
     .version_changes = 3,
     .answers_per_version = 20,
     .restarts_min = 3},
    {.name = "version changes, with faults",
     .size = 40000,
     .version_changes = 3,
     .answers_per_version = 15,
     .faults = {5, 10, 30, 20},
     .restarts_min = 1},
    {.name = "replicas with different versions",
     .size = 30000,
     .deadline_ms = 60000,
     .mixed_versions = true,
     .incomplete = true,
     .restarts_min = 6},
    {.name = "no ETag",
     .size = 5000,
     .without_etag = true,
     .incomplete = true},
    {.name = "no ETag, one block", .size = 500, .without_etag = true},
    {.name = "Size2 differs from the length",
     .size = 5000,
     .wrong_size = true,
     .incomplete = true,
     .deadline_ms = 30000},
    {.name = "not found",
     .size = 5000,
     .error_code = CODE_NOT_FOUND,
     .code = CODE_NOT_FOUND},
    {.name = "5.03 until the deadline",
     .size = 5000,
     .deadline_ms = 300,
     .refuse_percent = 100,
     .outcome = CALL_ANSWERED,
     .code = CODE_UNAVAILABLE,
     .incomplete = true},
    {.name = "no answer",
     .size = 5000,
     .deadline_ms = 200,
     .faults = {100, 0, 0, 0},
     .outcome = CALL_TIMEOUT,
     .code = NO_CODE,
     .incomplete = true},
    {.name = "sink cancels",
     .size = 50000,
     .sink_cancels = true,
     .outcome = CALL_CANCELLED,
     .code = NO_CODE,
     .incomplete = true},
};

/* A client and a server that serves the body of a case. */
struct fixture {
    const struct download_case *c;
    struct event_base *base;
    struct random random;
    struct fake_server *server;
    struct client *client;
    struct client_flow *flow;
    unsigned version; /* of the body that is served now */
    unsigned answers; /* sent so far */

    uint8_t body[BODY_MAX]; /* received by the sink */
    size_t body_len;
    bool ended;
    struct download_result result;
};

/* Returns the byte at "offset" of the body of a version. The bodies of two
 * versions differ in each block. */
static uint8_t
body_byte(unsigned version, size_t offset)
{
    return (uint8_t)(offset * 31 + offset / 1024 + version * 101);
}

static void
fill_content(struct fixture *f, const struct packet *request,
             struct packet *answer, uint8_t *payload)
{
    const struct download_case *c = f->c;
    bool has_block2 = (request->fields & FIELD_BLOCK2) != 0;
    uint8_t szx_max = (uint8_t)(6 - c->szx_reduction);
    uint8_t szx = has_block2 && request->block2.szx < szx_max
                      ? request->block2.szx
                      : szx_max;
    size_t bytes = (size_t)1 << (szx + 4);
    size_t offset = request->block2.num * bytes;
    unsigned version = f->version;
    size_t remaining;

    if (c->mixed_versions && random_below(&f->random, 2) == 0) {
        version++;
    }
    assert_true(has_block2 == (offset > 0 || !c->interactive));
    assert_true(offset == 0 || offset < c->size);
    remaining = c->size - offset;
    answer->payload_len = remaining < bytes ? remaining : bytes;
    for (size_t i = 0; i < answer->payload_len; i++) {
        payload[i] = body_byte(version, offset + i);
    }
    answer->payload = payload;
    answer->fields |= FIELD_BLOCK2;
    answer->block2.num = request->block2.num;
    answer->block2.more = remaining > bytes;
    answer->block2.szx = szx;
    if (!c->without_etag) {
        answer->fields |= FIELD_ETAG;
        answer->etag[0] = (uint8_t)(version + 1);
        answer->etag_len = 1;
    }
    if (!c->without_size) {
        answer->fields |= FIELD_SIZE2;
        answer->size2 = c->size + (c->wrong_size ? 1 : 0);
    }
}

static uint8_t
choose_code(struct fixture *f, const struct packet *request)
{
    if (f->c->challenge && request->echo_len == 0) {
        return CODE_UNAUTHORIZED;
    }
    if (random_below(&f->random, 100) < f->c->refuse_percent) {
        return CODE_UNAVAILABLE;
    }
    if (random_below(&f->random, 100) < f->c->bad_gateway_percent) {
        return CODE_BAD_GATEWAY;
    }
    return f->c->error_code == 0 ? CODE_CONTENT : f->c->error_code;
}

static void
on_packet(void *ctx, struct fake_server *server, const struct endpoint *from,
          const struct packet *p)
{
    struct fixture *f = ctx;
    struct packet answer;
    uint8_t payload[1024];

    if (!packet_is_request(p)) {
        return;
    }
    packet_init_answer(&answer, p, choose_code(f, p), 1);
    switch (answer.code) {
    case CODE_UNAUTHORIZED:
        answer.fields = FIELD_ECHO;
        answer.echo_len = 1;
        break;
    case CODE_UNAVAILABLE:
        answer.fields = FIELD_MAX_AGE;
        break;
    case CODE_CONTENT:
        fill_content(f, p, &answer, payload);
        break;
    default:
        break;
    }
    fake_server_send(server, from, &answer);
    f->answers++;
    if (f->version < f->c->version_changes &&
        f->answers % f->c->answers_per_version == 0) {
        f->version++;
    }
}

static bool
sink_begin(void *ctx, uint64_t total_len)
{
    struct fixture *f = ctx;

    if (!f->c->without_size && !f->c->wrong_size) {
        assert_int_equal(total_len, f->c->size);
    }
    f->body_len = 0;
    return true;
}

static bool
sink_data(void *ctx, const uint8_t *data, size_t size)
{
    struct fixture *f = ctx;

    assert_true(f->body_len + size <= BODY_MAX);
    memcpy(f->body + f->body_len, data, size);
    f->body_len += size;
    return !f->c->sink_cancels;
}

static void
on_result(void *ctx, const struct download_result *result)
{
    struct fixture *f = ctx;

    assert_false(f->ended);
    f->ended = true;
    f->result = *result;
    event_base_loopbreak(f->base);
}

static void
fixture_init(struct fixture *f, const struct download_case *c)
{
    struct client_options options = {
        .via_count = 1,
        .ack_timeout_ms = ACK_TIMEOUT_MS,
        .acked_timeout_ms = ACKED_TIMEOUT_MS,
        .random = &f->random,
    };
    struct endpoint via;
    struct status st;

    memset(f, 0, sizeof(*f));
    f->c = c;
    random_seed(&f->random, SEED + c->size);
    f->base = event_base_new();
    f->server = fake_server_new(f->base, &f->random, on_packet, f);
    fake_server_set_faults(f->server, &c->faults);
    via = fake_server_endpoint(f->server);
    options.via = &via;
    f->client = client_new(f->base, &options, &st);
    f->flow = client_flow_new(f->client);
}

static void
fixture_fini(struct fixture *f)
{
    client_flow_destroy(f->flow);
    client_destroy(f->client);
    fake_server_destroy(f->server);
    event_base_free(f->base);
}

/* Checks that the body is complete and that all its bytes are of one version:
 * the current one, or the one before it. */
static void
check_body(const struct fixture *f)
{
    unsigned version = f->version;

    assert_int_equal(f->body_len, f->c->size);
    assert_int_equal(f->result.size, f->c->size);
    if (f->body_len > 0 && f->body[0] != body_byte(version, 0)) {
        /* The version may have changed after the last block was served. */
        assert_in_range(version, 1, f->c->version_changes);
        version--;
    }
    for (size_t i = 0; i < f->body_len; i++) {
        if (f->body[i] != body_byte(version, i)) {
            fail_msg("%s: byte %zu is not of the expected version", f->c->name,
                     i);
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
    static struct fixture f;
    struct download_sink sink = {sink_begin, sink_data, &f};
    struct download_request request = {.path = "/bundle",
                                       .interactive = c->interactive,
                                       .deadline_ms = c->deadline_ms == 0
                                                          ? DEFAULT_DEADLINE_MS
                                                          : c->deadline_ms};

    fixture_init(&f, c);
    assert_non_null(download_start(f.flow, &request, &sink, on_result, &f));
    event_base_loopexit(f.base, &limit);
    event_base_dispatch(f.base);
    if (!f.ended || f.result.outcome != c->outcome ||
        f.result.code != expected_code(c) || f.result.whole == c->incomplete ||
        f.result.restarts < c->restarts_min) {
        fail_msg("%s: ended %d, %s, code %u, whole %d, %u restarts", c->name,
                 f.ended, call_outcome_name(f.result.outcome), f.result.code,
                 f.result.whole, f.result.restarts);
    }
    if (!c->incomplete && c->code == 0) {
        check_body(&f);
    }
    fixture_fini(&f);
}

static void
test_downloads(void **state)
{
    for (size_t i = 0; i < ARRAY_LENGTH(cases); i++) {
        run_case(&cases[i]);
    }
}

static void
test_cancel(void **state)
{
    static struct fixture f;
    const struct download_case c = {.name = "cancel", .size = 100};
    struct download_sink sink = {sink_begin, sink_data, &f};
    struct download_request request = {.path = "/x", .deadline_ms = 1000};
    struct download *dl;

    fixture_init(&f, &c);
    fake_server_set_silent(f.server, true);
    dl = download_start(f.flow, &request, &sink, on_result, &f);
    event_base_loop(f.base, EVLOOP_NONBLOCK);
    download_cancel(dl);
    assert_true(f.ended);
    assert_int_equal(f.result.outcome, CALL_CANCELLED);
    fixture_fini(&f);
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
