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

/* Bodies and answers of requests that may not be repeated, in blocks. */

#define COUNT(array) (sizeof(array) / sizeof(*(array)))
#define SEED 20261203
#define ACK_TIMEOUT_MS 15
#define BODY_MAX 20000U

struct block_case {
    const char *name;
    size_t body_len;
    size_t answer_len;
    struct fake_faults faults;
    uint8_t szx_less;       /* the server asks for smaller blocks */
    unsigned lose_at_block; /* 4.08 in place of this block, once */
    bool always_lose;       /* 4.08 each time */
    size_t limit;           /* 4.13 over this, 0: none */
    bool forget_answer;     /* the second block of the answer is not there */
    bool ignores_block1;    /* takes the first block for the whole body */
    /* expected */
    enum call_outcome outcome;
    uint8_t code; /* 0: 2.04 */
    bool not_whole;
    bool not_run;
};

static const struct block_case cases[] = {
    {.name = "one datagram", .body_len = 1024, .answer_len = 10},
    {.name = "two blocks", .body_len = 1025},
    {.name = "many blocks", .body_len = 10000, .answer_len = 5000},
    {.name = "full blocks", .body_len = 4096, .answer_len = 4096},
    {.name = "smaller blocks", .body_len = 5000, .szx_less = 3},
    {.name = "faults",
     .body_len = 10000,
     .answer_len = 10000,
     .faults = {10, 20, 30, 15}},
    {.name = "blocks lost by the home", .body_len = 5000, .lose_at_block = 3},
    {.name = "last block lost by the home",
     .body_len = 5000,
     .lose_at_block = 4},
    {.name = "blocks lost again and again",
     .body_len = 5000,
     .lose_at_block = 2,
     .always_lose = true,
     .code = CODE_INCOMPLETE,
     .not_run = true},
    {.name = "over the limit",
     .body_len = 5000,
     .limit = 3000,
     .code = CODE_TOO_LARGE,
     .not_run = true},
    {.name = "answer forgotten",
     .body_len = 10,
     .answer_len = 5000,
     .forget_answer = true,
     .not_whole = true},
    {.name = "a server that takes a block for the whole",
     .body_len = 5000,
     .ignores_block1 = true,
     .outcome = CALL_OUTCOME_UNKNOWN},
};

struct world {
    const struct block_case *c;
    struct event_base *base;
    struct random random;
    struct fake_server *server;
    struct client *client;
    struct client_flow *flow;

    uint8_t body[BODY_MAX]; /* assembled */
    size_t body_len;
    unsigned losses;
    unsigned runs;
    uint8_t answer[BODY_MAX];

    bool ended;
    enum call_outcome outcome;
    uint8_t code;
    bool whole;
};

static uint8_t
pattern(size_t i)
{
    return (uint8_t)(i * 13 + i / 256);
}

/* Runs the request when its body is there, once. */
static void
run(struct world *w)
{
    if (w->runs > 0) {
        return;
    }
    w->runs++;
    if (w->c->ignores_block1) {
        return;
    }
    assert_int_equal(w->body_len, w->c->body_len);
    for (size_t i = 0; i < w->body_len; i++) {
        assert_int_equal(w->body[i], pattern(i));
    }
}

static void
fill_answer(struct world *w, const struct packet *p, struct packet *answer)
{
    size_t offset = (size_t)p->block2.num * 1024;
    size_t left = w->c->answer_len - offset;

    answer->code = CODE_CHANGED;
    answer->payload = w->answer + offset;
    answer->payload_len = left < 1024 ? left : 1024;
    if (w->c->answer_len > 1024) {
        answer->fields |= FIELD_BLOCK2 | FIELD_SIZE2;
        answer->block2.num = p->block2.num;
        answer->block2.more = left > 1024;
        answer->block2.szx = 6;
        answer->size2 = (uint32_t)w->c->answer_len;
    }
    if (offset > 0 && w->c->forget_answer) {
        answer->fields = FIELD_OUTCOME;
        answer->code = CODE_GATEWAY_TIMEOUT;
        answer->outcome = OUTCOME_UNKNOWN;
        answer->payload_len = 0;
    }
}

/* Takes a block of the body. Returns the code to answer with. */
static uint8_t
take_block(struct world *w, const struct packet *p)
{
    size_t offset = (size_t)p->block1.num << (p->block1.szx + 4);

    if (w->c->ignores_block1) {
        return CODE_CHANGED;
    }
    if (w->c->limit > 0 && p->block1.num == 0 && p->size1 > w->c->limit) {
        return CODE_TOO_LARGE;
    }
    if (w->c->lose_at_block > 0 && p->block1.num == w->c->lose_at_block &&
        (w->losses == 0 || w->c->always_lose)) {
        w->losses++;
        w->body_len = 0;
        return CODE_INCOMPLETE;
    }
    if (offset > w->body_len) {
        return CODE_INCOMPLETE;
    }
    memcpy(w->body + offset, p->payload, p->payload_len);
    if (offset + p->payload_len > w->body_len) {
        w->body_len = offset + p->payload_len;
    }
    return p->block1.more ? CODE_CONTINUE : CODE_CHANGED;
}

static void
fill_reply(struct world *w, const struct packet *p, struct packet *answer)
{
    if (p->echo_len == 0) {
        answer->code = CODE_UNAUTHORIZED;
        answer->fields = FIELD_ECHO;
        answer->echo_len = 1;
        return;
    }
    answer->code = take_block(w, p);
    if ((p->fields & FIELD_BLOCK1) != 0 && !w->c->ignores_block1) {
        answer->fields = FIELD_BLOCK1;
        answer->block1 = p->block1;
        if (answer->block1.szx > 6 - w->c->szx_less) {
            answer->block1.szx = (uint8_t)(6 - w->c->szx_less);
        }
    }
    if (answer->code == CODE_CHANGED) {
        run(w);
        fill_answer(w, p, answer);
    }
}

static void
on_packet(void *ctx, struct fake_server *server, const struct endpoint *from,
          const struct packet *p)
{
    struct world *w = ctx;
    struct packet answer;

    if (!packet_is_request(p)) {
        return;
    }
    packet_init_answer(&answer, p, 0, 0);
    if ((p->fields & FIELD_BLOCK2) != 0 && p->block2.num > 0) {
        fill_answer(w, p, &answer);
    }
    else {
        fill_reply(w, p, &answer);
    }
    fake_server_send(server, from, &answer);
}

static void
on_result(void *ctx, const struct call_result *result)
{
    struct world *w = ctx;

    w->ended = true;
    w->outcome = result->outcome;
    w->code = result->answer == NULL ? CODE_EMPTY : result->answer->code;
    w->whole = result->whole;
    if (result->whole && w->code == CODE_CHANGED) {
        assert_int_equal(result->answer->payload_len, w->c->answer_len);
        if (w->c->answer_len > 0) {
            assert_memory_equal(result->answer->payload, w->answer,
                                w->c->answer_len);
        }
    }
    event_base_loopbreak(w->base);
}

static void
world_init(struct world *w, const struct block_case *c)
{
    struct client_options options = {.via_count = 1,
                                     .ack_timeout_ms = ACK_TIMEOUT_MS,
                                     .random = &w->random};
    struct endpoint via;
    struct status st;

    memset(w, 0, sizeof(*w));
    w->c = c;
    for (size_t i = 0; i < BODY_MAX; i++) {
        w->answer[i] = (uint8_t)(pattern(i) ^ 0x55);
    }
    random_seed(&w->random, SEED);
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

static void
run_case(struct world *w, const struct block_case *c)
{
    static const struct timeval limit = {.tv_sec = 20};
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
        body[i] = pattern(i);
    }
    world_init(w, c);
    assert_non_null(client_flow_call(w->flow, &request, on_result, w));
    event_base_loopexit(w->base, &limit);
    event_base_dispatch(w->base);
}

static void
test_blocks(void **state)
{
    static struct world w;

    for (size_t i = 0; i < COUNT(cases); i++) {
        const struct block_case *c = &cases[i];
        uint8_t code = c->code == 0 ? CODE_CHANGED : c->code;

        run_case(&w, c);
        if (!w.ended || w.outcome != c->outcome || w.code != code ||
            w.whole == c->not_whole || w.runs != (c->not_run ? 0 : 1)) {
            fail_msg("%s: ended %d, %s, code %u, whole %d, %u runs", c->name,
                     w.ended, call_outcome_name(w.outcome), w.code, w.whole,
                     w.runs);
        }
        world_fini(&w);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_blocks),
    };

    printf("seed %d\n", SEED);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
