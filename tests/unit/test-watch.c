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
#include "client/watch.h"
#include "fake-server.h"

#define COUNT(array) (sizeof(array) / sizeof(*(array)))
#define SEED 20261203
#define ACK_TIMEOUT_MS 20
#define FRAME_US 4000
#define REGISTRATIONS_MAX 64
#define RESUME_FRAMES 1000 /* that the source keeps */

struct watch_case {
    const char *name;
    unsigned frames; /* to receive */
    struct fake_faults faults;
    uint32_t silence_ms;
    unsigned silent_after;  /* frames of the first registration, 0: never */
    unsigned stop_after;    /* frames: Max-Age 0, later an error */
    unsigned lose;          /* a frame of the first registration, 0: none */
    unsigned refuse;        /* registrations refused at first */
    unsigned forget_before; /* frames below are not kept by the source */
    unsigned renumber_at;   /* the source begins anew after this frame */
    uint64_t resume;        /* the caller has these frames */
    uint32_t max_age_s;     /* of notifications, 0: 60 */
    bool challenge;
    uint8_t error; /* answered to a registration */
    bool not_observable;
    uint32_t timeout_ms;
    /* expected */
    unsigned lost; /* frames reported lost */
    unsigned resets;
    unsigned moves_least;
    unsigned repairs_most; /* 0: any */
    bool ends;             /* by itself */
    uint8_t code;
    enum call_outcome outcome;
};

static const struct watch_case cases[] = {
    {.name = "plain", .frames = 100},
    {.name = "resumed", .frames = 50, .resume = 20},
    {.name = "asked for a fresh Echo", .frames = 20, .challenge = true},
    {.name = "loss", .frames = 200, .faults = {8, 0, 0, 0}},
    {.name = "duplicates", .frames = 200, .faults = {0, 40, 0, 0}},
    {.name = "reordering", .frames = 200, .faults = {0, 0, 60, 25}},
    {.name = "all faults", .frames = 200, .faults = {5, 20, 40, 25}},
    {.name = "balancer goes silent",
     .frames = 100,
     .silent_after = 30,
     .silence_ms = 150,
     .moves_least = 1},
    {.name = "balancer goes silent, with loss",
     .frames = 100,
     .silent_after = 30,
     .silence_ms = 150,
     .faults = {5, 5, 20, 10},
     .moves_least = 1},
    {.name = "balancer stops",
     .frames = 200,
     .stop_after = 30,
     .moves_least = 1},
    /* The answer to the repair of the lost frame has a Max-Age as usual, which
     * must not put the move off. */
    {.name = "balancer stops while a frame is repaired",
     .frames = 200,
     .stop_after = 30,
     .lose = 32,
     .moves_least = 1},
    {.name = "balancer stops, with loss",
     .frames = 200,
     .stop_after = 30,
     .faults = {5, 5, 20, 10},
     .moves_least = 1},
    {.name = "refused at first", .frames = 20, .refuse = 3, .moves_least = 3},
    {.name = "frames that are gone",
     .frames = 40,
     .resume = 10,
     .forget_before = 15,
     .lost = 4,
     .repairs_most = 1},
    {.name = "source begins anew",
     .frames = 150,
     .renumber_at = 60,
     .silence_ms = 100,
     .resets = 1,
     .moves_least = 2},
    {.name = "renewal", .frames = 500, .max_age_s = 1},
    {.name = "not found",
     .error = CODE_NOT_FOUND,
     .ends = true,
     .code = CODE_NOT_FOUND},
    {.name = "not a stream",
     .not_observable = true,
     .ends = true,
     .code = CODE_CONTENT},
    {.name = "silence to the end",
     .faults = {100, 0, 0, 0},
     .silence_ms = 50,
     .timeout_ms = 300,
     .ends = true,
     .outcome = CALL_TIMEOUT,
     .moves_least = 3},
};

/* A registration as a balancer holds it. */
struct registration {
    uint64_t token;
    struct endpoint to;
    uint64_t next; /* frame to send */
    unsigned sent;
    bool first;   /* the one that goes silent or stops */
    bool stopped; /* ended */
    bool lost;    /* the frame that is to be lost was */
    bool answered;
    uint16_t message_id; /* of the request to answer */
};

struct world {
    const struct watch_case *c;
    struct event_base *base;
    struct random random;
    struct fake_server *server;
    struct client *client;
    struct client_flow *flow;
    struct watch *watch;
    struct event *tick;
    struct registration regs[REGISTRATIONS_MAX];
    unsigned reg_count;
    unsigned requests;
    uint64_t now_frame; /* newest frame of the source */
    unsigned epoch;     /* of its numbers */
    unsigned renewals;
    unsigned deregistered;

    uint64_t last;
    unsigned got;
    unsigned lost;
    unsigned resets;
    bool ended;
    uint8_t code;
    enum call_outcome outcome;
    bool disorder;
    struct watch_counters counters;
    bool errored;           /* the first balancer ended its registration, */
    bool moved_before_that; /* and the watch had moved by then */
};

static void
send_frame(struct world *w, struct registration *reg, uint64_t id)
{
    struct packet p = {.type = PACKET_NON,
                       .code = CODE_CONTENT,
                       .fields = FIELD_OBSERVE | FIELD_ETAG | FIELD_MAX_AGE};
    uint32_t max_age = w->c->max_age_s == 0 ? 60 : w->c->max_age_s;
    bool stopping =
        w->c->stop_after > 0 && reg->first && reg->sent >= w->c->stop_after;

    p.token_len = 8;
    memcpy(p.token, &reg->token, 8);
    p.message_id = (uint16_t)random_next(&w->random);
    if (!reg->answered) {
        p.type = PACKET_ACK;
        p.message_id = reg->message_id;
        reg->answered = true;
    }
    p.observe = reg->sent;
    p.etag[0] = (uint8_t)(id >> 8);
    p.etag[1] = (uint8_t)id;
    p.etag_len = 2;
    p.max_age_s = stopping ? 0 : max_age;
    p.payload = (const uint8_t *)&id;
    p.payload_len = sizeof(id);
    reg->sent++;
    fake_server_send(w->server, &reg->to, &p);
}

static void
send_error(struct world *w, struct registration *reg)
{
    struct packet p = {.type = PACKET_NON,
                       .code = CODE_UNAVAILABLE,
                       .fields = FIELD_MAX_AGE,
                       .max_age_s = 1,
                       .token_len = 8};

    memcpy(p.token, &reg->token, 8);
    reg->stopped = true;
    w->errored = true;
    w->moved_before_that =
        w->watch != NULL && watch_counters(w->watch)->moves > 0;
    fake_server_send(w->server, &reg->to, &p);
}

/* Sends up to a few frames, so that a resumed stream catches up. */
static void
serve(struct world *w, struct registration *reg)
{
    const struct watch_case *c = w->c;

    for (int i = 0; i < 8 && reg->next <= w->now_frame; i++) {
        if (reg->stopped || (c->silent_after > 0 && reg->first &&
                             reg->sent >= c->silent_after)) {
            return;
        }
        if (c->stop_after > 0 && reg->first &&
            reg->sent >= c->stop_after + 100) {
            send_error(w, reg);
            return;
        }
        if (!reg->first || c->lose == 0 || reg->next != c->lose || reg->lost) {
            send_frame(w, reg, reg->next);
        }
        else {
            reg->lost = true;
        }
        reg->next++;
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    struct world *w = arg;

    w->now_frame++;
    if (w->epoch == 0 && w->c->renumber_at > 0 &&
        w->now_frame > w->c->renumber_at) {
        w->epoch = 1;
        w->now_frame = 1;
        for (unsigned i = 0; i < w->reg_count; i++) {
            w->regs[i].next = 1;
        }
    }
    for (unsigned i = 0; i < w->reg_count; i++) {
        serve(w, &w->regs[i]);
    }
}

static uint64_t
position_of(const struct world *w, const struct packet *p)
{
    const char *at = strstr(p->query, "last-event-id=");
    uint64_t after = at == NULL ? w->now_frame : strtoull(at + 14, NULL, 10);

    if (w->epoch > 0 && after > w->now_frame) {
        after = w->now_frame;
    }
    if (after + 1 < w->c->forget_before) {
        after = w->c->forget_before - 1;
    }
    return after;
}

static struct registration *
find(struct world *w, const struct packet *p)
{
    uint64_t token;

    memcpy(&token, p->token, sizeof(token));
    for (unsigned i = 0; i < w->reg_count; i++) {
        if (w->regs[i].token == token && !w->regs[i].stopped) {
            return &w->regs[i];
        }
    }
    return NULL;
}

static void
add(struct world *w, const struct endpoint *from, const struct packet *p)
{
    struct registration *reg = &w->regs[w->reg_count];

    assert_in_range(w->reg_count, 0, REGISTRATIONS_MAX - 1);
    memset(reg, 0, sizeof(*reg));
    memcpy(&reg->token, p->token, 8);
    reg->first = w->reg_count == 0;
    reg->to = *from;
    reg->message_id = p->message_id;
    reg->next = position_of(w, p) + 1;
    w->reg_count++;
}

static void
renew(struct world *w, struct registration *reg, const struct packet *p)
{
    struct packet answer;
    uint64_t next = position_of(w, p) + 1;

    if (reg->message_id == p->message_id) {
        return;
    }
    w->renewals++;
    reg->message_id = p->message_id;
    if (next < reg->next) {
        reg->next = next;
        reg->answered = false;
        return;
    }
    packet_init_answer(&answer, p, CODE_CONTENT, 0);
    answer.fields = FIELD_OBSERVE | FIELD_ETAG | FIELD_MAX_AGE;
    answer.max_age_s = w->c->max_age_s == 0 ? 60 : w->c->max_age_s;
    answer.etag[0] = (uint8_t)((reg->next - 1) >> 8);
    answer.etag[1] = (uint8_t)(reg->next - 1);
    answer.etag_len = 2;
    fake_server_send(w->server, &reg->to, &answer);
}

static bool
answer_otherwise(struct world *w, const struct endpoint *from,
                 const struct packet *p)
{
    struct packet answer;

    packet_init_answer(&answer, p, CODE_CONTENT, 0);
    if (w->c->challenge && p->echo_len == 0) {
        answer.code = CODE_UNAUTHORIZED;
        answer.fields = FIELD_ECHO;
        answer.echo_len = 1;
    }
    else if (w->requests <= w->c->refuse) {
        answer.code = CODE_UNAVAILABLE;
        answer.fields = FIELD_MAX_AGE;
    }
    else if (w->c->error != 0) {
        answer.code = w->c->error;
    }
    else if (!w->c->not_observable) {
        return false;
    }
    fake_server_send(w->server, from, &answer);
    return true;
}

static void
on_packet(void *ctx, struct fake_server *server, const struct endpoint *from,
          const struct packet *p)
{
    struct world *w = ctx;
    struct registration *reg;

    if (!packet_is_request(p)) {
        return;
    }
    reg = find(w, p);
    w->requests++;
    if (p->observe == 1) {
        w->deregistered++;
        if (reg != NULL) {
            reg->stopped = true;
        }
        return;
    }
    if (reg != NULL) {
        renew(w, reg, p);
        return;
    }
    if (!answer_otherwise(w, from, p)) {
        add(w, from, p);
    }
}

static bool
on_frame(struct world *w, const struct watch_event *event)
{
    uint64_t id;

    memcpy(&id, event->data, sizeof(id));
    if (event->size != sizeof(id) || id != event->id ||
        (w->last != 0 && id != w->last + 1)) {
        w->disorder = true;
    }
    w->last = id;
    w->got++;
    if (w->got == w->c->frames) {
        w->counters = *watch_counters(w->watch);
        w->watch = NULL;
        event_base_loopbreak(w->base);
        return false;
    }
    return true;
}

static bool
on_event(void *ctx, const struct watch_event *event)
{
    struct world *w = ctx;

    switch (event->kind) {
    case WATCH_FRAME:
        return on_frame(w, event);
    case WATCH_LOST:
        w->lost += (unsigned)(event->last_id - event->id + 1);
        w->last = event->last_id;
        return true;
    case WATCH_RESET:
        w->resets++;
        w->last = 0;
        return true;
    case WATCH_ENDED:
        break;
    }
    w->counters = *watch_counters(w->watch);
    w->ended = true;
    w->code = event->code;
    w->outcome = event->outcome;
    w->watch = NULL;
    event_base_loopbreak(w->base);
    return true;
}

static void
world_init(struct world *w, const struct watch_case *c)
{
    static const struct timeval period = {.tv_usec = FRAME_US};
    struct client_options options = {.via_count = 1,
                                     .ack_timeout_ms = ACK_TIMEOUT_MS,
                                     .random = &w->random};
    struct endpoint via;
    struct status st;

    memset(w, 0, sizeof(*w));
    w->c = c;
    w->last = c->resume;
    w->now_frame = c->resume == 0 ? 0 : c->resume + 10;
    random_seed(&w->random, SEED);
    w->base = event_base_new();
    w->server = fake_server_new(w->base, &w->random, on_packet, w);
    fake_server_set_faults(w->server, &c->faults);
    via = fake_server_endpoint(w->server);
    options.via = &via;
    w->client = client_new(w->base, &options, &st);
    w->flow = client_flow_new(w->client);
    w->tick = event_new(w->base, -1, EV_PERSIST, on_tick, w);
    event_add(w->tick, &period);
}

static void
world_fini(struct world *w)
{
    if (w->watch != NULL) {
        watch_stop(w->watch);
    }
    event_free(w->tick);
    client_flow_destroy(w->flow);
    client_destroy(w->client);
    fake_server_destroy(w->server);
    event_base_free(w->base);
}

static void
run_case(struct world *w, const struct watch_case *c)
{
    static const struct timeval limit = {.tv_sec = 20};
    const struct watch_request request = {
        .path = "/rig/7/curve",
        .query = "axis=1",
        .resume = c->resume != 0,
        .last_id = c->resume,
        .silence_ms = c->silence_ms,
        .timeout_ms = c->timeout_ms,
    };

    world_init(w, c);
    w->watch = watch_start(w->flow, &request, on_event, w);
    assert_non_null(w->watch);
    event_base_loopexit(w->base, &limit);
    event_base_dispatch(w->base);
}

static void
test_streams(void **state)
{
    static struct world w;

    for (size_t i = 0; i < COUNT(cases); i++) {
        const struct watch_case *c = &cases[i];

        run_case(&w, c);
        printf("%s: %u frames, %u lost, %u duplicates, %u repairs, %u "
               "registrations, %u moves\n",
               c->name, w.got, w.lost, (unsigned)w.counters.duplicates,
               (unsigned)w.counters.repairs,
               (unsigned)w.counters.registrations, (unsigned)w.counters.moves);
        if (w.got != c->frames || w.disorder || w.lost != c->lost ||
            w.resets != c->resets || w.ended != c->ends ||
            w.counters.moves < c->moves_least || w.code != c->code ||
            w.outcome != c->outcome) {
            fail_msg("%s: got %u, disorder %d, ended %d, code %u, %u resets",
                     c->name, w.got, w.disorder, w.ended, w.code, w.resets);
        }
        if (c->stop_after > 0 && w.errored && !w.moved_before_that) {
            fail_msg("%s: told of the stop, and still there at its end",
                     c->name);
        }
        if (c->repairs_most > 0) {
            assert_in_range(w.counters.repairs, 0, c->repairs_most);
        }
        if (c->max_age_s > 0) {
            assert_true(w.renewals > 0);
        }
        world_fini(&w);
    }
}

/* A watch that is stopped deregisters. */
static void
test_deregisters(void **state)
{
    static const struct watch_case c = {.name = "stop", .frames = 5};
    static struct world w;

    run_case(&w, &c);
    event_base_loop(w.base, EVLOOP_NONBLOCK);
    assert_int_equal(w.got, 5);
    assert_int_equal(w.deregistered, 1);
    world_fini(&w);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_streams),
        cmocka_unit_test(test_deregisters),
    };

    printf("seed %d\n", SEED);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
