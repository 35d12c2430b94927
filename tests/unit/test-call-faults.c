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
#include "fake-server.h"

/* Sends requests that may not be repeated over a network that loses,
 * duplicates, delays and reorders datagrams, to homes that can die (the home
 * of a flow is the balancer that issued its token). Checks that each request
 * runs at most once, that each one reported as answered ran, and that
 * none reported as not run or timed out did. */

#define COUNT(array) (sizeof(array) / sizeof(*(array)))
#define CALL_COUNT 120 /* calls of each case */
#define HOMES_MAX 200  /* maximum number of homes of a case */
#define IDS_MAX 256    /* request ids of a home are below this */
#define ACK_TIMEOUT_MS 15
#define ACKED_TIMEOUT_MS 45
#define DEADLINE_MS 2000
#define SPACING_US 4000 /* time between the starts of consecutive calls */

enum request_state { REQUEST_NEW, REQUEST_RUN, REQUEST_REFUSED };

/* What a home stores of the requests of its flow, by request id. */
struct home {
    bool dead;
    enum request_state ids[IDS_MAX];
    uint8_t call[IDS_MAX]; /* number of the call that ran under the id */
};

struct fault_case {
    const char *name;
    uint64_t seed;
    struct fake_faults faults;
    unsigned home_dies_percent; /* probability that a home dies when it
                                 * receives a request */
    unsigned refuse_percent;    /* share of new requests refused as not run */
    unsigned separate_percent;  /* share of answers sent as separate responses,
                                 * after an empty ACK */
    unsigned unanswered_max; /* maximum number of calls that are not answered,
                              * not counting those affected by dead homes */
};

static const struct fault_case cases[] = {
    {"no faults", 1, {0, 0, 0, 0}, 0, 0, 0, 0},
    {"loss", 2, {20, 0, 0, 0}, 0, 0, 20, CALL_COUNT / 10},
    {"duplicates", 3, {0, 50, 0, 0}, 0, 0, 20, 0},
    {"reordering", 4, {0, 20, 50, 30}, 0, 0, 20, 0},
    {"refusals", 5, {5, 10, 20, 10}, 0, 30, 20, CALL_COUNT / 10},
    {"dying homes", 6, {5, 10, 20, 10}, 8, 10, 20, CALL_COUNT / 10},
    {"all faults", 7, {15, 20, 30, 30}, 4, 20, 30, CALL_COUNT / 10},
};

struct fixture {
    const struct fault_case *c;
    struct event_base *base;
    struct random random;
    struct fake_server *server;
    struct client *client;
    struct client_flow *flow;
    struct event *next_call_timer; /* starts the next call */
    struct home homes[HOMES_MAX];
    unsigned home_count;
    unsigned started;
    unsigned ended;
    /* Indexed by the number of the call */
    unsigned run_counts[CALL_COUNT]; /* executions of the request */
    enum call_outcome outcomes[CALL_COUNT];
    unsigned result_counts[CALL_COUNT]; /* number of results reported */
    unsigned outcome_counts[CALL_CANCELLED + 1]; /* calls, by outcome */
};

/* Context of one call, freed when it ends. */
struct call_ctx {
    struct fixture *f;
    unsigned number;
};

/* Sends an answer, sometimes as a separate response. */
static void
send_answer(struct fixture *f, const struct endpoint *to,
            const struct packet *request, struct packet *answer)
{
    answer->type = PACKET_ACK;
    answer->message_id = request->message_id;
    answer->token_len = request->token_len;
    memcpy(answer->token, request->token, sizeof(answer->token));
    if (random_below(&f->random, 100) < f->c->separate_percent) {
        fake_server_ack(f->server, to, request);
        answer->type = PACKET_CON;
        answer->message_id = (uint16_t)random_next(&f->random);
    }
    fake_server_send(f->server, to, answer);
}

/* Answers a request without a token with the token of a new home. */
static void
send_challenge(struct fixture *f, const struct endpoint *to,
               const struct packet *request)
{
    struct packet answer = {.code = CODE_UNAUTHORIZED, .fields = FIELD_ECHO};

    assert_in_range(f->home_count, 0, HOMES_MAX - 1);
    answer.echo[0] = (uint8_t)f->home_count;
    answer.echo_len = 1;
    f->home_count++;
    send_answer(f, to, request, &answer);
}

static void
send_outcome_unknown(struct fixture *f, const struct endpoint *to,
                     const struct packet *request)
{
    struct packet answer = {.code = CODE_GATEWAY_TIMEOUT,
                            .fields = FIELD_OUTCOME,
                            .outcome = OUTCOME_UNKNOWN};

    send_answer(f, to, request, &answer);
}

/* Runs or refuses a request with a new id, and answers a request with a known
 * id in the same way as before. */
static void
answer_request(struct fixture *f, struct home *home, const struct endpoint *to,
               const struct packet *request)
{
    uint64_t id = packet_request_id(request);
    unsigned number = request->payload[0];
    struct packet answer = {.code = CODE_CHANGED};

    assert_in_range(id, 1, IDS_MAX - 1);
    if (home->ids[id] == REQUEST_NEW) {
        home->ids[id] = REQUEST_RUN;
        if (random_below(&f->random, 100) < f->c->refuse_percent) {
            home->ids[id] = REQUEST_REFUSED;
        }
        else {
            f->run_counts[number]++;
            home->call[id] = (uint8_t)number;
        }
    }
    if (home->ids[id] == REQUEST_REFUSED) {
        answer = (struct packet){.code = CODE_UNAVAILABLE,
                                 .fields = FIELD_OUTCOME | FIELD_MAX_AGE,
                                 .outcome = OUTCOME_NOT_RUN};
    }
    else {
        /* A client uses an id for one request only. */
        assert_int_equal(home->call[id], number);
    }
    send_answer(f, to, request, &answer);
}

static void
on_packet(void *ctx, struct fake_server *server, const struct endpoint *from,
          const struct packet *p)
{
    struct fixture *f = ctx;
    struct home *home;

    if (!packet_is_request(p)) {
        return;
    }
    if (p->echo_len == 0) {
        send_challenge(f, from, p);
        return;
    }
    home = &f->homes[p->echo[0]];
    if (random_below(&f->random, 100) < f->c->home_dies_percent) {
        home->dead = true;
    }
    if (home->dead) {
        send_outcome_unknown(f, from, p);
        return;
    }
    answer_request(f, home, from, p);
}

static void
on_result(void *arg, const struct call_result *result)
{
    struct call_ctx *ctx = arg;
    struct fixture *f = ctx->f;

    f->outcomes[ctx->number] = result->outcome;
    f->result_counts[ctx->number]++;
    f->outcome_counts[result->outcome]++;
    f->ended++;
    if (f->ended == CALL_COUNT) {
        event_base_loopbreak(f->base);
    }
    free(ctx);
}

static void
start_next_call(evutil_socket_t fd, short what, void *arg)
{
    static const struct timeval spacing = {.tv_usec = SPACING_US};
    struct fixture *f = arg;
    struct call_ctx *ctx = calloc(1, sizeof(*ctx));
    uint8_t body = (uint8_t)f->started;
    const struct call_request request = {
        .method = CODE_POST,
        .path = "/grip",
        .body = &body,
        .body_len = 1,
        .content_format = -1,
        .deadline_ms = DEADLINE_MS,
    };

    ctx->f = f;
    ctx->number = f->started;
    f->started++;
    client_flow_call(f->flow, &request, on_result, ctx);
    if (f->started < CALL_COUNT) {
        event_add(f->next_call_timer, &spacing);
    }
}

static void
fixture_init(struct fixture *f, const struct fault_case *c)
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
    random_seed(&f->random, c->seed);
    f->base = event_base_new();
    f->server = fake_server_new(f->base, &f->random, on_packet, f);
    fake_server_set_faults(f->server, &c->faults);
    via = fake_server_endpoint(f->server);
    options.via = &via;
    f->client = client_new(f->base, &options, &st);
    f->flow = client_flow_new(f->client);
    f->next_call_timer = evtimer_new(f->base, start_next_call, f);
    event_active(f->next_call_timer, EV_TIMEOUT, 0);
}

static void
fixture_fini(struct fixture *f)
{
    event_free(f->next_call_timer);
    client_flow_destroy(f->flow);
    client_destroy(f->client);
    fake_server_destroy(f->server);
    event_base_free(f->base);
}

static void
check_calls(const struct fixture *f)
{
    for (unsigned i = 0; i < CALL_COUNT; i++) {
        enum call_outcome outcome = f->outcomes[i];
        bool must_run = outcome == CALL_ANSWERED;
        bool must_not = outcome == CALL_NOT_RUN || outcome == CALL_TIMEOUT;

        if (f->result_counts[i] != 1 || f->run_counts[i] > 1 ||
            (must_run && f->run_counts[i] == 0) ||
            (must_not && f->run_counts[i] > 0)) {
            fail_msg("%s: call %u: %s, %u results, ran %u times", f->c->name,
                     i, call_outcome_name(outcome), f->result_counts[i],
                     f->run_counts[i]);
        }
    }
}

/* Returns the maximum number of calls that may end without an answer. When a
 * home dies, the outcome of the requests in progress there is unknown, at most
 * CLIENT_FLOW_IN_FLIGHT_MAX; no other request is affected. */
static unsigned
unanswered_max(const struct fixture *f)
{
    unsigned dead = 0;

    for (unsigned i = 0; i < f->home_count; i++) {
        dead += f->homes[i].dead ? 1 : 0;
    }
    return f->c->unanswered_max + CLIENT_FLOW_IN_FLIGHT_MAX * dead;
}

static void
test_at_most_once(void **state)
{
    static const struct timeval limit = {.tv_sec = 30};
    static struct fixture f;

    for (size_t i = 0; i < COUNT(cases); i++) {
        fixture_init(&f, &cases[i]);
        event_base_loopexit(f.base, &limit);
        event_base_dispatch(f.base);
        printf("%s, seed %lu: %u answered, %u not run, %u unknown, "
               "%u timeout, %u homes\n",
               cases[i].name, (unsigned long)cases[i].seed,
               f.outcome_counts[CALL_ANSWERED], f.outcome_counts[CALL_NOT_RUN],
               f.outcome_counts[CALL_OUTCOME_UNKNOWN],
               f.outcome_counts[CALL_TIMEOUT], f.home_count);
        assert_int_equal(f.ended, CALL_COUNT);
        check_calls(&f);
        assert_true(CALL_COUNT - f.outcome_counts[CALL_ANSWERED] <=
                    unanswered_max(&f));
        fixture_fini(&f);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_at_most_once),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
