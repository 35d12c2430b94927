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

/* Requests that may not be repeated, over a network that loses, duplicates,
 * delays and reorders, to homes that die. Each runs at most once; each that
 * is reported answered ran; each that is reported not run did not. */

#define COUNT(array) (sizeof(array) / sizeof(*(array)))
#define CALLS 120
#define HOMES_MAX 200
#define IDS_MAX 256
#define ACK_TIMEOUT_MS 15
#define ACKED_TIMEOUT_MS 45
#define DEADLINE_MS 2000
#define SPACING_US 4000

enum fate { FATE_NEW, FATE_RUN, FATE_REFUSED };

/* One home's records, as a balancer keeps them. */
struct home {
    bool dead;
    enum fate ids[IDS_MAX];
    uint8_t call[IDS_MAX]; /* number of the call that ran */
};

struct fault_case {
    const char *name;
    uint64_t seed;
    struct fake_faults faults;
    unsigned home_dies_percent; /* with each request under its token */
    unsigned refuse_percent;    /* of the new requests, as not run */
    unsigned late_percent;      /* answered after an empty ACK */
    unsigned unanswered_most;   /* besides those that a dead home held */
};

static const struct fault_case cases[] = {
    {"no faults", 1, {0, 0, 0, 0}, 0, 0, 0, 0},
    {"loss", 2, {20, 0, 0, 0}, 0, 0, 20, CALLS / 10},
    {"duplicates", 3, {0, 50, 0, 0}, 0, 0, 20, 0},
    {"reordering", 4, {0, 20, 50, 30}, 0, 0, 20, 0},
    {"refusals", 5, {5, 10, 20, 10}, 0, 30, 20, CALLS / 10},
    {"homes die", 6, {5, 10, 20, 10}, 8, 10, 20, CALLS / 10},
    {"everything", 7, {15, 20, 30, 30}, 4, 20, 30, CALLS / 10},
};

struct world {
    const struct fault_case *c;
    struct event_base *base;
    struct random random;
    struct fake_server *server;
    struct client *client;
    struct client_flow *flow;
    struct event *next;
    struct home homes[HOMES_MAX];
    unsigned home_count;
    unsigned started;
    unsigned ended;
    unsigned runs[CALLS];
    enum call_outcome outcomes[CALLS];
    unsigned ends[CALLS];
    unsigned counts[CALL_CANCELLED + 1];
};

struct call_ctx {
    struct world *w;
    unsigned number;
};

static void
reply(struct world *w, const struct endpoint *to, const struct packet *request,
      struct packet *answer)
{
    answer->type = PACKET_ACK;
    answer->message_id = request->message_id;
    answer->token_len = request->token_len;
    memcpy(answer->token, request->token, sizeof(answer->token));
    if (random_below(&w->random, 100) < w->c->late_percent) {
        fake_server_ack(w->server, to, request);
        answer->type = PACKET_CON;
        answer->message_id = (uint16_t)random_next(&w->random);
    }
    fake_server_send(w->server, to, answer);
}

static void
challenge(struct world *w, const struct endpoint *to,
          const struct packet *request)
{
    struct packet answer = {.code = CODE_UNAUTHORIZED, .fields = FIELD_ECHO};

    assert_in_range(w->home_count, 0, HOMES_MAX - 1);
    answer.echo[0] = (uint8_t)w->home_count;
    answer.echo_len = 1;
    w->home_count++;
    reply(w, to, request, &answer);
}

static void
say_unknown(struct world *w, const struct endpoint *to,
            const struct packet *request)
{
    struct packet answer = {.code = CODE_GATEWAY_TIMEOUT,
                            .fields = FIELD_OUTCOME,
                            .outcome = OUTCOME_UNKNOWN};

    reply(w, to, request, &answer);
}

/* Decides on a new id, and repeats the decision for an old one. */
static void
serve(struct world *w, struct home *home, const struct endpoint *to,
      const struct packet *request)
{
    uint64_t id = packet_request_id(request);
    unsigned number = request->payload[0];
    struct packet answer = {.code = CODE_CHANGED};

    assert_in_range(id, 1, IDS_MAX - 1);
    if (home->ids[id] == FATE_NEW) {
        home->ids[id] = FATE_RUN;
        if (random_below(&w->random, 100) < w->c->refuse_percent) {
            home->ids[id] = FATE_REFUSED;
        }
        else {
            w->runs[number]++;
            home->call[id] = (uint8_t)number;
        }
    }
    if (home->ids[id] == FATE_REFUSED) {
        answer = (struct packet){.code = CODE_UNAVAILABLE,
                                 .fields = FIELD_OUTCOME | FIELD_MAX_AGE,
                                 .outcome = OUTCOME_NOT_RUN};
    }
    else {
        /* An id names one request only. */
        assert_int_equal(home->call[id], number);
    }
    reply(w, to, request, &answer);
}

static void
on_packet(void *ctx, struct fake_server *server, const struct endpoint *from,
          const struct packet *p)
{
    struct world *w = ctx;
    struct home *home;

    if (!packet_is_request(p)) {
        return;
    }
    if (p->echo_len == 0) {
        challenge(w, from, p);
        return;
    }
    home = &w->homes[p->echo[0]];
    if (random_below(&w->random, 100) < w->c->home_dies_percent) {
        home->dead = true;
    }
    if (home->dead) {
        say_unknown(w, from, p);
        return;
    }
    serve(w, home, from, p);
}

static void
on_result(void *arg, const struct call_result *result)
{
    struct call_ctx *ctx = arg;
    struct world *w = ctx->w;

    w->outcomes[ctx->number] = result->outcome;
    w->ends[ctx->number]++;
    w->counts[result->outcome]++;
    w->ended++;
    if (w->ended == CALLS) {
        event_base_loopbreak(w->base);
    }
    free(ctx);
}

static void
on_next(evutil_socket_t fd, short what, void *arg)
{
    static const struct timeval spacing = {.tv_usec = SPACING_US};
    struct world *w = arg;
    struct call_ctx *ctx = calloc(1, sizeof(*ctx));
    uint8_t body = (uint8_t)w->started;
    const struct call_request request = {
        .method = CODE_POST,
        .path = "/grip",
        .body = &body,
        .body_len = 1,
        .content_format = -1,
        .deadline_ms = DEADLINE_MS,
    };

    ctx->w = w;
    ctx->number = w->started;
    w->started++;
    client_flow_call(w->flow, &request, on_result, ctx);
    if (w->started < CALLS) {
        event_add(w->next, &spacing);
    }
}

static void
world_init(struct world *w, const struct fault_case *c)
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
    random_seed(&w->random, c->seed);
    w->base = event_base_new();
    w->server = fake_server_new(w->base, &w->random, on_packet, w);
    fake_server_set_faults(w->server, &c->faults);
    via = fake_server_endpoint(w->server);
    options.via = &via;
    w->client = client_new(w->base, &options, &st);
    w->flow = client_flow_new(w->client);
    w->next = evtimer_new(w->base, on_next, w);
    event_active(w->next, EV_TIMEOUT, 0);
}

static void
world_fini(struct world *w)
{
    event_free(w->next);
    client_flow_destroy(w->flow);
    client_destroy(w->client);
    fake_server_destroy(w->server);
    event_base_free(w->base);
}

static void
check_calls(const struct world *w)
{
    for (unsigned i = 0; i < CALLS; i++) {
        enum call_outcome outcome = w->outcomes[i];
        bool must_run = outcome == CALL_ANSWERED;
        bool must_not = outcome == CALL_NOT_RUN || outcome == CALL_TIMEOUT;

        if (w->ends[i] != 1 || w->runs[i] > 1 ||
            (must_run && w->runs[i] == 0) || (must_not && w->runs[i] > 0)) {
            fail_msg("%s: call %u: %s, ended %u times, ran %u times",
                     w->c->name, i, call_outcome_name(outcome), w->ends[i],
                     w->runs[i]);
        }
    }
}

/* A home that dies leaves its caller in doubt about the requests that it
 * holds, and about no other. */
static unsigned
unanswered_most(const struct world *w)
{
    unsigned dead = 0;

    for (unsigned i = 0; i < w->home_count; i++) {
        dead += w->homes[i].dead ? 1 : 0;
    }
    return w->c->unanswered_most + CLIENT_FLOW_IN_FLIGHT_MAX * dead;
}

static void
test_at_most_once(void **state)
{
    static const struct timeval limit = {.tv_sec = 30};
    static struct world w;

    for (size_t i = 0; i < COUNT(cases); i++) {
        world_init(&w, &cases[i]);
        event_base_loopexit(w.base, &limit);
        event_base_dispatch(w.base);
        printf("%s, seed %lu: %u answered, %u not run, %u unknown, "
               "%u timeout, %u homes\n",
               cases[i].name, (unsigned long)cases[i].seed,
               w.counts[CALL_ANSWERED], w.counts[CALL_NOT_RUN],
               w.counts[CALL_OUTCOME_UNKNOWN], w.counts[CALL_TIMEOUT],
               w.home_count);
        assert_int_equal(w.ended, CALLS);
        check_calls(&w);
        assert_true(CALLS - w.counts[CALL_ANSWERED] <= unanswered_most(&w));
        world_fini(&w);
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
