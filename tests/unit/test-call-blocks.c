#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "client/client-flow.h"
#include "client/client.h"
#include "fake-server.h"

/* Transfers in blocks (CoAP Block1 and Block2, RFC 7959) the bodies and the
 * answers of requests that may not be repeated, between a client and a server
 * that acts as the home of the flow. */

#define COUNT(array) (sizeof(array) / sizeof(*(array)))
#define SEED 20261203
#define ACK_TIMEOUT_MS 15
#define BODY_MAX 20000U

struct block_case {
    const char *name;
    size_t body_len;
    size_t answer_len;
    struct fake_faults faults;
    /* Behavior of the server */
    uint8_t szx_decrease;   /* it asks for a block size whose SZX is lower than
                             * that of 1024 bytes by this number */
    unsigned lose_at_block; /* it answers this block with 4.08 and drops the
                             * body, once; 0: never */
    bool loses_each_time; /* it drops the body each time it gets this block */
    size_t body_limit;    /* it answers a longer body with 4.13; 0: no limit */
    bool forgets_answer;  /* it sends only the first block of the answer */
    bool ignores_block1;  /* it takes the first block for the whole body */
    /* Expected result */
    enum call_outcome outcome;
    uint8_t code;           /* 0: 2.04 */
    bool answer_incomplete; /* the call reports no whole answer */
    bool not_run;           /* the server has not run the request */
};

static const struct block_case cases[] = {
    {.name = "one datagram", .body_len = 1024, .answer_len = 10},
    {.name = "two blocks", .body_len = 1025},
    {.name = "many blocks", .body_len = 10000, .answer_len = 5000},
    {.name = "full blocks", .body_len = 4096, .answer_len = 4096},
    {.name = "server asks for smaller blocks",
     .body_len = 5000,
     .szx_decrease = 3},
    {.name = "lost, duplicate and delayed datagrams",
     .body_len = 10000,
     .answer_len = 10000,
     .faults = {10, 20, 30, 15}},
    {.name = "home lost the first blocks",
     .body_len = 5000,
     .lose_at_block = 3},
    {.name = "home lost the blocks before the last",
     .body_len = 5000,
     .lose_at_block = 4},
    {.name = "home loses the blocks each time",
     .body_len = 5000,
     .lose_at_block = 2,
     .loses_each_time = true,
     .code = CODE_INCOMPLETE,
     .not_run = true},
    {.name = "body exceeds the limit",
     .body_len = 5000,
     .body_limit = 3000,
     .code = CODE_TOO_LARGE,
     .not_run = true},
    {.name = "rest of the answer is gone",
     .body_len = 10,
     .answer_len = 5000,
     .forgets_answer = true,
     .answer_incomplete = true},
    {.name = "server takes the first block for the whole body",
     .body_len = 5000,
     .ignores_block1 = true,
     .outcome = CALL_OUTCOME_UNKNOWN},
};

struct fixture {
    const struct block_case *c;
    struct event_base *base;
    struct random random;
    struct fake_server *server;
    struct client *client;
    struct client_flow *flow;

    /* Server */
    uint8_t body[BODY_MAX]; /* body received so far */
    size_t body_len;
    unsigned losses; /* number of times that the body was dropped */
    unsigned runs;   /* number of times that the request was run */
    uint8_t answer[BODY_MAX];

    /* Result that the client reported */
    bool ended;
    enum call_outcome outcome;
    uint8_t code;
    bool whole;
};

/* Returns byte i of the request's body. */
static uint8_t
body_byte(size_t i)
{
    return (uint8_t)(i * 13 + i / 256);
}

/* Runs the request if it has not run yet, and checks its complete body. */
static void
run_request(struct fixture *f)
{
    if (f->runs > 0) {
        return;
    }
    f->runs++;
    if (f->c->ignores_block1) {
        return;
    }
    assert_int_equal(f->body_len, f->c->body_len);
    for (size_t i = 0; i < f->body_len; i++) {
        assert_int_equal(f->body[i], body_byte(i));
    }
}

/* Fills in the block of the answer that the request asks for. */
static void
fill_answer(struct fixture *f, const struct packet *p, struct packet *answer)
{
    size_t offset = (size_t)p->block2.num * 1024;
    size_t left = f->c->answer_len - offset;

    answer->code = CODE_CHANGED;
    answer->payload = f->answer + offset;
    answer->payload_len = left < 1024 ? left : 1024;
    if (f->c->answer_len > 1024) {
        answer->fields |= FIELD_BLOCK2 | FIELD_SIZE2;
        answer->block2.num = p->block2.num;
        answer->block2.more = left > 1024;
        answer->block2.szx = 6;
        answer->size2 = (uint32_t)f->c->answer_len;
    }
    if (offset > 0 && f->c->forgets_answer) {
        answer->fields = FIELD_OUTCOME;
        answer->code = CODE_GATEWAY_TIMEOUT;
        answer->outcome = OUTCOME_UNKNOWN;
        answer->payload_len = 0;
    }
}

/* Adds a block to the body. Returns the code of the answer. */
static uint8_t
store_block(struct fixture *f, const struct packet *p)
{
    size_t offset = (size_t)p->block1.num << (p->block1.szx + 4);

    if (f->c->ignores_block1) {
        return CODE_CHANGED;
    }
    if (f->c->body_limit > 0 && p->block1.num == 0 &&
        p->size1 > f->c->body_limit) {
        return CODE_TOO_LARGE;
    }
    if (f->c->lose_at_block > 0 && p->block1.num == f->c->lose_at_block &&
        (f->losses == 0 || f->c->loses_each_time)) {
        f->losses++;
        f->body_len = 0;
        return CODE_INCOMPLETE;
    }
    if (offset > f->body_len) {
        return CODE_INCOMPLETE;
    }
    memcpy(f->body + offset, p->payload, p->payload_len);
    if (offset + p->payload_len > f->body_len) {
        f->body_len = offset + p->payload_len;
    }
    return p->block1.more ? CODE_CONTINUE : CODE_CHANGED;
}

/* Fills in the answer to a request that is not for a later block of an answer:
 * a challenge if the request has no token. */
static void
fill_reply(struct fixture *f, const struct packet *p, struct packet *answer)
{
    if (p->echo_len == 0) {
        answer->code = CODE_UNAUTHORIZED;
        answer->fields = FIELD_ECHO;
        answer->echo_len = 1;
        return;
    }
    answer->code = store_block(f, p);
    if ((p->fields & FIELD_BLOCK1) != 0 && !f->c->ignores_block1) {
        answer->fields = FIELD_BLOCK1;
        answer->block1 = p->block1;
        if (answer->block1.szx > 6 - f->c->szx_decrease) {
            answer->block1.szx = (uint8_t)(6 - f->c->szx_decrease);
        }
    }
    if (answer->code == CODE_CHANGED) {
        run_request(f);
        fill_answer(f, p, answer);
    }
}

static void
on_packet(void *ctx, struct fake_server *server, const struct endpoint *from,
          const struct packet *p)
{
    struct fixture *f = ctx;
    struct packet answer;

    if (!packet_is_request(p)) {
        return;
    }
    packet_init_answer(&answer, p, 0, 0);
    if ((p->fields & FIELD_BLOCK2) != 0 && p->block2.num > 0) {
        fill_answer(f, p, &answer);
    }
    else {
        fill_reply(f, p, &answer);
    }
    fake_server_send(server, from, &answer);
}

static void
on_result(void *ctx, const struct call_result *result)
{
    struct fixture *f = ctx;

    f->ended = true;
    f->outcome = result->outcome;
    f->code = result->answer == NULL ? CODE_EMPTY : result->answer->code;
    f->whole = result->whole;
    if (result->whole && f->code == CODE_CHANGED) {
        assert_int_equal(result->answer->payload_len, f->c->answer_len);
        if (f->c->answer_len > 0) {
            assert_memory_equal(result->answer->payload, f->answer,
                                f->c->answer_len);
        }
    }
    event_base_loopbreak(f->base);
}

static void
fixture_init(struct fixture *f, const struct block_case *c)
{
    struct client_options options = {.via_count = 1,
                                     .ack_timeout_ms = ACK_TIMEOUT_MS,
                                     .random = &f->random};
    struct endpoint via;
    struct status st;

    memset(f, 0, sizeof(*f));
    f->c = c;
    for (size_t i = 0; i < BODY_MAX; i++) {
        f->answer[i] = (uint8_t)(body_byte(i) ^ 0x55);
    }
    random_seed(&f->random, SEED);
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

static void
run_case(struct fixture *f, const struct block_case *c)
{
    static const struct timeval time_limit = {.tv_sec = 20};
    static uint8_t body[BODY_MAX];
    const struct call_request request = {
        .method = CODE_POST,
        .path = "/faq",
        .body = body,
        .body_len = c->body_len,
        .content_format = 0,
        .deadline_ms = 10000,
    };

    for (size_t i = 0; i < BODY_MAX; i++) {
        body[i] = body_byte(i);
    }
    fixture_init(f, c);
    assert_non_null(client_flow_call(f->flow, &request, on_result, f));
    event_base_loopexit(f->base, &time_limit);
    event_base_dispatch(f->base);
}

static void
test_block_transfers(void **state)
{
    static struct fixture f;

    for (size_t i = 0; i < COUNT(cases); i++) {
        const struct block_case *c = &cases[i];
        uint8_t code = c->code == 0 ? CODE_CHANGED : c->code;

        run_case(&f, c);
        if (!f.ended || f.outcome != c->outcome || f.code != code ||
            f.whole == c->answer_incomplete ||
            f.runs != (c->not_run ? 0 : 1)) {
            fail_msg("%s: ended %d, %s, code %u, whole %d, %u runs", c->name,
                     f.ended, call_outcome_name(f.outcome), f.code, f.whole,
                     f.runs);
        }
        fixture_fini(&f);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_block_transfers),
    };

    printf("seed %d\n", SEED);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
