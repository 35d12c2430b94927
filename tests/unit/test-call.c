#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "client/call-action.h"
#include "client/client-flow.h"
#include "client/client.h"
#include "fake-server.h"

#define COUNT(array) (sizeof(array) / sizeof(*(array)))
#define SEED 20261203
#define ACK_TIMEOUT_MS 20
#define ACKED_TIMEOUT_MS 60
#define STEPS_MAX 7
#define NO_MAX_AGE (-1)

/* What the scripted server expects of one exchange and how it answers. */
struct step {
    unsigned echo; /* number of the token expected, 0: none */
    unsigned id;   /* request id expected under a token */
    uint8_t code;  /* of the answer; CODE_EMPTY: no answer */
    int max_age_s;
    enum packet_outcome outcome;
    unsigned new_echo; /* number of a token that the answer brings */
    bool separate;     /* an empty ACK first, the answer as a CON */
};

struct script {
    const char *name;
    uint32_t deadline_ms;
    uint8_t method;
    uint8_t code; /* of the answer reported, CODE_EMPTY: none */
    enum call_outcome outcome;
    unsigned step_count;
    struct step steps[STEPS_MAX];
};

#define CHALLENGE(n)                                                          \
    {                                                                         \
        .code = CODE_UNAUTHORIZED, .max_age_s = NO_MAX_AGE, .new_echo = (n)   \
    }
#define ANSWER(e, i, c)                                                       \
    {                                                                         \
        .echo = (e), .id = (i), .code = (c), .max_age_s = NO_MAX_AGE          \
    }
#define REFUSAL(e, i, c, age, out)                                            \
    {                                                                         \
        .echo = (e), .id = (i), .code = (c), .max_age_s = (age),              \
        .outcome = (out)                                                      \
    }

static const struct script scripts[] = {
    {"GET answered",
     500,
     CODE_GET,
     CODE_CONTENT,
     CALL_ANSWERED,
     1,
     {ANSWER(0, 0, CODE_CONTENT)}},
    {"GET answered separately",
     500,
     CODE_GET,
     CODE_CONTENT,
     CALL_ANSWERED,
     1,
     {{.code = CODE_CONTENT, .max_age_s = NO_MAX_AGE, .separate = true}}},
    {"GET not found",
     500,
     CODE_GET,
     CODE_NOT_FOUND,
     CALL_ANSWERED,
     1,
     {ANSWER(0, 0, CODE_NOT_FOUND)}},
    {"GET without an answer",
     100,
     CODE_GET,
     CODE_EMPTY,
     CALL_TIMEOUT,
     1,
     {ANSWER(0, 0, CODE_EMPTY)}},
    {"GET refused, comes back",
     1000,
     CODE_GET,
     CODE_CONTENT,
     CALL_ANSWERED,
     3,
     {REFUSAL(0, 0, CODE_UNAVAILABLE, 0, OUTCOME_NONE),
      REFUSAL(0, 0, CODE_TOO_MANY_REQUESTS, 0, OUTCOME_NONE),
      ANSWER(0, 0, CODE_CONTENT)}},
    {"GET refused for longer than the deadline",
     500,
     CODE_GET,
     CODE_UNAVAILABLE,
     CALL_ANSWERED,
     1,
     {REFUSAL(0, 0, CODE_UNAVAILABLE, 1, OUTCOME_NONE)}},
    {"PUT answered",
     500,
     CODE_PUT,
     CODE_CHANGED,
     CALL_ANSWERED,
     2,
     {CHALLENGE(1), ANSWER(1, 1, CODE_CHANGED)}},
    {"PUT whose home is lost goes to another",
     2000,
     CODE_PUT,
     CODE_CHANGED,
     CALL_ANSWERED,
     4,
     {CHALLENGE(1),
      REFUSAL(1, 1, CODE_GATEWAY_TIMEOUT, NO_MAX_AGE, OUTCOME_NONE),
      CHALLENGE(2), ANSWER(2, 1, CODE_CHANGED)}},
    {"PUT whose home was restarted uses its new token",
     2000,
     CODE_PUT,
     CODE_CHANGED,
     CALL_ANSWERED,
     3,
     {CHALLENGE(1),
      {.echo = 1,
       .id = 1,
       .code = CODE_GATEWAY_TIMEOUT,
       .max_age_s = NO_MAX_AGE,
       .new_echo = 2},
      ANSWER(2, 1, CODE_CHANGED)}},
    {"GET whose target was lost",
     2000,
     CODE_GET,
     CODE_CONTENT,
     CALL_ANSWERED,
     2,
     {REFUSAL(0, 0, CODE_BAD_GATEWAY, NO_MAX_AGE, OUTCOME_NONE),
      ANSWER(0, 0, CODE_CONTENT)}},
    {"GET whose targets stay lost",
     2000,
     CODE_GET,
     CODE_BAD_GATEWAY,
     CALL_ANSWERED,
     3,
     {REFUSAL(0, 0, CODE_BAD_GATEWAY, NO_MAX_AGE, OUTCOME_NONE),
      REFUSAL(0, 0, CODE_BAD_GATEWAY, NO_MAX_AGE, OUTCOME_NONE),
      REFUSAL(0, 0, CODE_BAD_GATEWAY, NO_MAX_AGE, OUTCOME_NONE)}},
    {"POST whose home was restarted is not asked for again",
     2000,
     CODE_POST,
     CODE_GATEWAY_TIMEOUT,
     CALL_OUTCOME_UNKNOWN,
     2,
     {CHALLENGE(1),
      {.echo = 1,
       .id = 1,
       .code = CODE_GATEWAY_TIMEOUT,
       .max_age_s = NO_MAX_AGE,
       .outcome = OUTCOME_UNKNOWN,
       .new_echo = 2}}},
    {"POST answered",
     500,
     CODE_POST,
     CODE_CHANGED,
     CALL_ANSWERED,
     2,
     {CHALLENGE(1), ANSWER(1, 1, CODE_CHANGED)}},
    {"POST that was never sent whole",
     100,
     CODE_POST,
     CODE_EMPTY,
     CALL_TIMEOUT,
     1,
     {ANSWER(0, 0, CODE_EMPTY)}},
    {"POST without an answer",
     200,
     CODE_POST,
     CODE_EMPTY,
     CALL_OUTCOME_UNKNOWN,
     2,
     {CHALLENGE(1), ANSWER(1, 1, CODE_EMPTY)}},
    {"POST under a lost token is not sent under the new one",
     500,
     CODE_POST,
     CODE_UNAUTHORIZED,
     CALL_OUTCOME_UNKNOWN,
     2,
     {CHALLENGE(1),
      {.echo = 1,
       .id = 1,
       .code = CODE_UNAUTHORIZED,
       .max_age_s = NO_MAX_AGE,
       .new_echo = 2}}},
    {"POST not run, told with a new token",
     500,
     CODE_POST,
     CODE_CHANGED,
     CALL_ANSWERED,
     3,
     {CHALLENGE(1),
      {.echo = 1,
       .id = 1,
       .code = CODE_UNAUTHORIZED,
       .max_age_s = NO_MAX_AGE,
       .outcome = OUTCOME_NOT_RUN,
       .new_echo = 2},
      ANSWER(2, 1, CODE_CHANGED)}},
    {"POST refused as not run goes again under a new id",
     3000,
     CODE_POST,
     CODE_CHANGED,
     CALL_ANSWERED,
     3,
     {CHALLENGE(1), REFUSAL(1, 1, CODE_UNAVAILABLE, 1, OUTCOME_NOT_RUN),
      ANSWER(1, 2, CODE_CHANGED)}},
    {"POST refused with no time to wait looks for another home",
     1000,
     CODE_POST,
     CODE_CHANGED,
     CALL_ANSWERED,
     4,
     {CHALLENGE(1), REFUSAL(1, 1, CODE_UNAVAILABLE, 0, OUTCOME_NOT_RUN),
      CHALLENGE(2), ANSWER(2, 1, CODE_CHANGED)}},
    {"POST refused without a time looks for another home",
     1000,
     CODE_POST,
     CODE_CHANGED,
     CALL_ANSWERED,
     4,
     {CHALLENGE(1),
      REFUSAL(1, 1, CODE_UNAVAILABLE, NO_MAX_AGE, OUTCOME_NOT_RUN),
      CHALLENGE(2), ANSWER(2, 1, CODE_CHANGED)}},
    {"POST refused twice looks for another home",
     5000,
     CODE_POST,
     CODE_CHANGED,
     CALL_ANSWERED,
     5,
     {CHALLENGE(1), REFUSAL(1, 1, CODE_UNAVAILABLE, 1, OUTCOME_NOT_RUN),
      REFUSAL(1, 2, CODE_UNAVAILABLE, 1, OUTCOME_NOT_RUN), CHALLENGE(2),
      ANSWER(2, 1, CODE_CHANGED)}},
    {"POST refused as not run for good",
     500,
     CODE_POST,
     CODE_UNAVAILABLE,
     CALL_NOT_RUN,
     2,
     {CHALLENGE(1), REFUSAL(1, 1, CODE_UNAVAILABLE, 9, OUTCOME_NOT_RUN)}},
    {"POST refused without a word on its outcome",
     500,
     CODE_POST,
     CODE_UNAVAILABLE,
     CALL_ANSWERED,
     2,
     {CHALLENGE(1), REFUSAL(1, 1, CODE_UNAVAILABLE, 0, OUTCOME_NONE)}},
    {"POST too large",
     500,
     CODE_POST,
     CODE_TOO_LARGE,
     CALL_NOT_RUN,
     2,
     {CHALLENGE(1),
      REFUSAL(1, 1, CODE_TOO_LARGE, NO_MAX_AGE, OUTCOME_NOT_RUN)}},
    {"POST whose target was lost",
     500,
     CODE_POST,
     CODE_BAD_GATEWAY,
     CALL_OUTCOME_UNKNOWN,
     2,
     {CHALLENGE(1),
      REFUSAL(1, 1, CODE_BAD_GATEWAY, NO_MAX_AGE, OUTCOME_UNKNOWN)}},
    {"POST asked for again after a relay lost the home",
     2000,
     CODE_POST,
     CODE_CHANGED,
     CALL_ANSWERED,
     3,
     {CHALLENGE(1),
      REFUSAL(1, 1, CODE_GATEWAY_TIMEOUT, NO_MAX_AGE, OUTCOME_UNKNOWN),
      ANSWER(1, 1, CODE_CHANGED)}},
    {"POST whose home stays lost",
     2000,
     CODE_POST,
     CODE_GATEWAY_TIMEOUT,
     CALL_OUTCOME_UNKNOWN,
     4,
     {CHALLENGE(1),
      REFUSAL(1, 1, CODE_GATEWAY_TIMEOUT, NO_MAX_AGE, OUTCOME_UNKNOWN),
      REFUSAL(1, 1, CODE_GATEWAY_TIMEOUT, NO_MAX_AGE, OUTCOME_UNKNOWN),
      REFUSAL(1, 1, CODE_GATEWAY_TIMEOUT, NO_MAX_AGE, OUTCOME_UNKNOWN)}},
    {"POST that is refused by one home after the other was not run",
     4000,
     CODE_POST,
     CODE_UNAUTHORIZED,
     CALL_NOT_RUN,
     7,
     {CHALLENGE(1), REFUSAL(1, 1, CODE_UNAVAILABLE, 0, OUTCOME_NOT_RUN),
      CHALLENGE(2), REFUSAL(2, 1, CODE_UNAVAILABLE, 0, OUTCOME_NOT_RUN),
      CHALLENGE(3), REFUSAL(3, 1, CODE_UNAVAILABLE, 0, OUTCOME_NOT_RUN),
      CHALLENGE(4)}},
    {"POST asked for again may be challenged, and stays unknown",
     2000,
     CODE_POST,
     CODE_UNAUTHORIZED,
     CALL_OUTCOME_UNKNOWN,
     3,
     {CHALLENGE(1),
      REFUSAL(1, 1, CODE_GATEWAY_TIMEOUT, NO_MAX_AGE, OUTCOME_UNKNOWN),
      {.echo = 1,
       .id = 1,
       .code = CODE_UNAUTHORIZED,
       .max_age_s = NO_MAX_AGE,
       .new_echo = 2}}},
};

/* One client and one server in one loop. */
struct world {
    struct event_base *base;
    struct random random;
    struct fake_server *server;
    struct client *client;
    struct client_flow *flow;

    const struct script *script;
    unsigned steps_taken;
    uint64_t last_token;
    bool unexpected;

    unsigned results;
    enum call_outcome outcome;
    uint8_t code;
    bool whole;
};

static void
world_init(struct world *w, fake_server_cb cb, uint64_t seed)
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
    random_seed(&w->random, seed);
    w->base = event_base_new();
    w->server = fake_server_new(w->base, &w->random, cb, w);
    via = fake_server_endpoint(w->server);
    options.via = &via;
    w->client = client_new(w->base, &options, &st);
    assert_non_null(w->client);
    w->flow = client_flow_new(w->client);
    assert_non_null(w->flow);
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
on_result(void *ctx, const struct call_result *result)
{
    struct world *w = ctx;

    w->results++;
    w->outcome = result->outcome;
    w->code = result->answer == NULL ? CODE_EMPTY : result->answer->code;
    w->whole = result->whole;
    event_base_loopbreak(w->base);
}

static struct call *
start_call(struct world *w, uint8_t method, size_t body_len,
           uint32_t deadline_ms)
{
    static uint8_t body[8192];
    const struct call_request request = {
        .method = method,
        .path = "/x",
        .body = body,
        .body_len = body_len,
        .content_format = -1,
        .deadline_ms = deadline_ms,
    };
    struct call *call;

    for (size_t i = 0; i < sizeof(body); i++) {
        body[i] = (uint8_t)(i * 7 + i / 256);
    }
    call = client_flow_call(w->flow, &request, on_result, w);
    assert_non_null(call);
    return call;
}

/* Runs the loop until a call ends, for a bounded time. */
static void
run(struct world *w)
{
    static const struct timeval limit = {.tv_sec = 20};

    event_base_loopexit(w->base, &limit);
    event_base_dispatch(w->base);
}

static uint64_t
token_of(const struct packet *p)
{
    uint64_t token = 0;

    memcpy(&token, p->token, p->token_len);
    return token;
}

static void
send_step(struct world *w, const struct endpoint *from,
          const struct packet *request, const struct step *step)
{
    struct packet answer;

    if (step->code == CODE_EMPTY) {
        return;
    }
    packet_init_answer(&answer, request, step->code, 1);
    if (step->max_age_s != NO_MAX_AGE) {
        answer.fields |= FIELD_MAX_AGE;
        answer.max_age_s = (uint32_t)step->max_age_s;
    }
    if (step->outcome != OUTCOME_NONE) {
        answer.fields |= FIELD_OUTCOME;
        answer.outcome = step->outcome;
    }
    if (step->new_echo != 0) {
        answer.fields |= FIELD_ECHO;
        answer.echo[0] = (uint8_t)step->new_echo;
        answer.echo_len = 1;
    }
    if (step->separate) {
        fake_server_ack(w->server, from, request);
        answer.type = PACKET_CON;
    }
    fake_server_send(w->server, from, &answer);
}

/* Each exchange, known by its CoAP token, takes one step of the script. */
static void
run_script(void *ctx, struct fake_server *server, const struct endpoint *from,
           const struct packet *p)
{
    struct world *w = ctx;
    const struct step *step;

    if (!packet_is_request(p)) {
        return;
    }
    if (w->steps_taken == 0 || token_of(p) != w->last_token) {
        w->last_token = token_of(p);
        w->steps_taken++;
    }
    if (w->steps_taken > w->script->step_count) {
        w->unexpected = true;
        return;
    }
    step = &w->script->steps[w->steps_taken - 1];
    if ((p->echo_len > 0 ? p->echo[0] : 0U) != step->echo ||
        (step->echo != 0 && packet_request_id(p) != step->id)) {
        w->unexpected = true;
    }
    send_step(w, from, p, step);
}

static void
test_scripts(void **state)
{
    for (size_t i = 0; i < COUNT(scripts); i++) {
        const struct script *script = &scripts[i];
        struct world w;

        world_init(&w, run_script, SEED);
        w.script = script;
        start_call(&w, script->method, 1, script->deadline_ms);
        run(&w);
        if (w.results != 1 || w.outcome != script->outcome ||
            w.code != script->code || w.unexpected ||
            w.steps_taken != script->step_count) {
            fail_msg("%s: %s, code %u, %u steps, unexpected %d", script->name,
                     call_outcome_name(w.outcome), w.code, w.steps_taken,
                     w.unexpected);
        }
        world_fini(&w);
    }
}

/* After an empty ACK whose answer never comes, the request is sent again:
 * the balancer that acknowledged it may be gone. */
static void
ack_only_first(void *ctx, struct fake_server *server,
               const struct endpoint *from, const struct packet *p)
{
    struct world *w = ctx;
    const struct step answer = ANSWER(0, 0, CODE_CONTENT);

    if (!packet_is_request(p)) {
        return;
    }
    w->steps_taken++;
    if (w->steps_taken == 1) {
        fake_server_ack(server, from, p);
        return;
    }
    send_step(w, from, p, &answer);
}

static void
test_acknowledged_and_lost(void **state)
{
    struct world w;

    world_init(&w, ack_only_first, SEED);
    start_call(&w, CODE_GET, 0, 1000);
    run(&w);
    assert_int_equal(w.outcome, CALL_ANSWERED);
    assert_int_equal(w.steps_taken, 2);
    world_fini(&w);
}

static void
ignore_requests(void *ctx, struct fake_server *server,
                const struct endpoint *from, const struct packet *p)
{
}

static void
test_cancel(void **state)
{
    struct world w;
    struct call *call;

    world_init(&w, ignore_requests, SEED);
    call = start_call(&w, CODE_GET, 0, 1000);
    event_base_loop(w.base, EVLOOP_NONBLOCK);
    call_cancel(call);
    assert_int_equal(w.results, 1);
    assert_int_equal(w.outcome, CALL_CANCELLED);
    start_call(&w, CODE_POST, 0, 1000);
    client_flow_destroy(w.flow);
    assert_int_equal(w.results, 2);
    assert_int_equal(w.outcome, CALL_CANCELLED);
    w.flow = NULL;
    world_fini(&w);
}

/* The home of the first token keeps one request and refuses all others, with
 * no time to come back. */
static void
refuse_all_but_one(void *ctx, struct fake_server *server,
                   const struct endpoint *from, const struct packet *p)
{
    const struct step challenges[] = {CHALLENGE(1), CHALLENGE(2)};
    const struct step refusal =
        REFUSAL(1, 0, CODE_UNAVAILABLE, NO_MAX_AGE, OUTCOME_NOT_RUN);
    const struct step answer = ANSWER(2, 0, CODE_CHANGED);
    struct world *w = ctx;

    if (!packet_is_request(p)) {
        return;
    }
    if (p->echo_len == 0) {
        send_step(w, from, p, &challenges[w->steps_taken++ == 0 ? 0 : 1]);
    }
    else if (p->echo[0] == 2) {
        send_step(w, from, p, &answer);
    }
    else if (packet_request_id(p) > 1) {
        send_step(w, from, p, &refusal);
    }
}

/* A request that is stuck under an old token holds no other one back. */
static void
test_stuck_under_old_token(void **state)
{
    struct world w;

    world_init(&w, refuse_all_but_one, SEED);
    start_call(&w, CODE_POST, 0, 8000);
    for (int i = 0; i < 80; i++) {
        start_call(&w, CODE_POST, 0, 2000);
        run(&w);
        assert_int_equal(w.results, i + 1);
        assert_int_equal(w.outcome, CALL_ANSWERED);
    }
    world_fini(&w);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_scripts),
        cmocka_unit_test(test_acknowledged_and_lost),
        cmocka_unit_test(test_cancel),
        cmocka_unit_test(test_stuck_under_old_token),
    };

    printf("seed %d\n", SEED);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
