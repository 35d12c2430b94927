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
#define FRAME_US 4000 /* time between two frames of the source */
#define REGISTRATIONS_MAX 64
#define RESUME_FRAMES 1000 /* frames that the source keeps; not used */

/* Behavior of the fake balancer and of the source of frames behind it, and the
 * expected result of a watch. The "first registration" is the first one that
 * the balancer accepts; all later ones are served without its faults. */
struct watch_case {
    const char *name;
    /* Number of frames after which the client stops the watch; 0: never. */
    unsigned frames;
    struct fake_faults faults;
    /* Time without a new frame after which the watch registers at another
     * balancer; 0: 15 s. */
    uint32_t silence_ms;
    /* Number of frames of the first registration after which the balancer
     * sends nothing more; 0: no limit. */
    unsigned silent_after;
    /* Number of frames of the first registration after which the balancer
     * sends Max-Age 0, because it is stopping. 100 frames later it ends the
     * registration with an error. 0: it does not stop. */
    unsigned stop_after;
    unsigned lost_frame; /* frame lost in the first registration; 0: none */
    unsigned refused_requests; /* number of requests refused at first */
    /* Oldest frame that the source still has; 0: it has all. */
    unsigned oldest_kept_frame;
    /* Frame after which the source restarts and numbers its frames from 1
     * again; 0: never. */
    unsigned restart_after_frame;
    uint64_t resume;     /* last frame that the caller has already; 0: none */
    uint32_t max_age_s;  /* of notifications; 0: 60 */
    bool challenge;      /* requests without an Echo option are refused */
    uint8_t error;       /* code of the answer to a registration; 0: none */
    bool not_observable; /* the answer has no Observe option */
    uint32_t timeout_ms; /* timeout_ms of the watch request */
    /* Expected results. */
    unsigned lost;   /* frames reported lost */
    unsigned resets; /* restarts of the source that the watch reports */
    unsigned moves_min;
    unsigned repairs_max; /* 0: any number */
    bool ends;            /* the watch ends before the client stops it */
    uint8_t code;         /* code of the event that ends the watch */
    enum call_outcome outcome;
};

static const struct watch_case cases[] = {
    {.name = "no faults", .frames = 100},
    {.name = "resume after frame 20", .frames = 50, .resume = 20},
    {.name = "Echo required", .frames = 20, .challenge = true},
    {.name = "datagrams lost", .frames = 200, .faults = {8, 0, 0, 0}},
    {.name = "datagrams duplicated", .frames = 200, .faults = {0, 40, 0, 0}},
    {.name = "datagrams reordered", .frames = 200, .faults = {0, 0, 60, 25}},
    {.name = "datagrams lost, duplicated and reordered",
     .frames = 200,
     .faults = {5, 20, 40, 25}},
    {.name = "balancer goes silent",
     .frames = 100,
     .silent_after = 30,
     .silence_ms = 150,
     .moves_min = 1},
    {.name = "balancer goes silent, with loss",
     .frames = 100,
     .silent_after = 30,
     .silence_ms = 150,
     .faults = {5, 5, 20, 10},
     .moves_min = 1},
    {.name = "balancer stops",
     .frames = 200,
     .stop_after = 30,
     .moves_min = 1},
    /* The answer to the repair of the lost frame has an ordinary Max-Age. This
     * must not delay the move to another balancer. */
    {.name = "balancer stops while a frame is repaired",
     .frames = 200,
     .stop_after = 30,
     .lost_frame = 32,
     .moves_min = 1},
    {.name = "balancer stops, with loss",
     .frames = 200,
     .stop_after = 30,
     .faults = {5, 5, 20, 10},
     .moves_min = 1},
    {.name = "first three registrations refused",
     .frames = 20,
     .refused_requests = 3,
     .moves_min = 3},
    {.name = "source no longer has the next frames",
     .frames = 40,
     .resume = 10,
     .oldest_kept_frame = 15,
     .lost = 4,
     .repairs_max = 1},
    {.name = "source restarts its numbers",
     .frames = 150,
     .restart_after_frame = 60,
     .silence_ms = 100,
     .resets = 1,
     .moves_min = 2},
    {.name = "renewal before Max-Age", .frames = 500, .max_age_s = 1},
    {.name = "not found",
     .error = CODE_NOT_FOUND,
     .ends = true,
     .code = CODE_NOT_FOUND},
    {.name = "resource not observable",
     .not_observable = true,
     .ends = true,
     .code = CODE_CONTENT},
    {.name = "no answer until the timeout",
     .faults = {100, 0, 0, 0},
     .silence_ms = 50,
     .timeout_ms = 300,
     .ends = true,
     .outcome = CALL_TIMEOUT,
     .moves_min = 3},
};

/* A registration that the fake balancer has accepted. */
struct registration {
    uint64_t token;
    struct endpoint to;
    uint64_t next;       /* next frame to send */
    unsigned sent;       /* number of frames sent */
    bool first;          /* the first one that was accepted */
    bool stopped;        /* ended by the client or by an error */
    bool lost;           /* "lost_frame" was left out */
    bool answered;       /* a frame was sent as the answer to the request */
    uint16_t message_id; /* of the last request */
};

struct fixture {
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
    uint64_t newest_frame;    /* newest frame of the source */
    unsigned source_restarts; /* number of restarts of the source */
    unsigned renewals;        /* renewals and repairs that were requested */
    unsigned deregistered;    /* number of deregistrations received */

    /* What the client of the watch received. */
    uint64_t last;     /* newest frame; 0: none */
    unsigned received; /* number of frames */
    unsigned lost;     /* frames reported lost */
    unsigned resets;
    bool ended;
    uint8_t code;
    enum call_outcome outcome;
    bool bad_frame; /* a frame was out of order or had the wrong contents */
    struct watch_counters counters;
    /* The stopping balancer ended the first registration with an error. */
    bool stop_error_sent;
    /* The watch had moved to another balancer before this error. */
    bool moved_before_stop_error;
};

static void
send_frame(struct fixture *f, struct registration *reg, uint64_t id)
{
    struct packet p = {.type = PACKET_NON,
                       .code = CODE_CONTENT,
                       .fields = FIELD_OBSERVE | FIELD_ETAG | FIELD_MAX_AGE};
    uint32_t max_age = f->c->max_age_s == 0 ? 60 : f->c->max_age_s;
    bool stopping =
        f->c->stop_after > 0 && reg->first && reg->sent >= f->c->stop_after;

    p.token_len = 8;
    memcpy(p.token, &reg->token, 8);
    p.message_id = (uint16_t)random_next(&f->random);
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
    fake_server_send(f->server, &reg->to, &p);
}

static void
send_error(struct fixture *f, struct registration *reg)
{
    struct packet p = {.type = PACKET_NON,
                       .code = CODE_UNAVAILABLE,
                       .fields = FIELD_MAX_AGE,
                       .max_age_s = 1,
                       .token_len = 8};

    memcpy(p.token, &reg->token, 8);
    reg->stopped = true;
    f->stop_error_sent = true;
    f->moved_before_stop_error =
        f->watch != NULL && watch_counters(f->watch)->moves > 0;
    fake_server_send(f->server, &reg->to, &p);
}

/* Sends up to 8 frames, so that a resumed registration catches up with the
 * source. */
static void
send_due_frames(struct fixture *f, struct registration *reg)
{
    const struct watch_case *c = f->c;

    for (int i = 0; i < 8 && reg->next <= f->newest_frame; i++) {
        if (reg->stopped || (c->silent_after > 0 && reg->first &&
                             reg->sent >= c->silent_after)) {
            return;
        }
        if (c->stop_after > 0 && reg->first &&
            reg->sent >= c->stop_after + 100) {
            send_error(f, reg);
            return;
        }
        if (!reg->first || c->lost_frame == 0 || reg->next != c->lost_frame ||
            reg->lost) {
            send_frame(f, reg, reg->next);
        }
        else {
            reg->lost = true;
        }
        reg->next++;
    }
}

static void
on_new_frame(evutil_socket_t fd, short what, void *arg)
{
    struct fixture *f = arg;

    f->newest_frame++;
    if (f->source_restarts == 0 && f->c->restart_after_frame > 0 &&
        f->newest_frame > f->c->restart_after_frame) {
        f->source_restarts = 1;
        f->newest_frame = 1;
        for (unsigned i = 0; i < f->reg_count; i++) {
            f->regs[i].next = 1;
        }
    }
    for (unsigned i = 0; i < f->reg_count; i++) {
        send_due_frames(f, &f->regs[i]);
    }
}

/* Returns the last frame that the client of a request has, from its
 * last-event-id or, without one, the newest frame of the source. */
static uint64_t
last_frame_of_client(const struct fixture *f, const struct packet *p)
{
    const char *at = strstr(p->query, "last-event-id=");
    uint64_t after =
        at == NULL ? f->newest_frame : strtoull(at + 14, NULL, 10);

    if (f->source_restarts > 0 && after > f->newest_frame) {
        after = f->newest_frame;
    }
    if (after + 1 < f->c->oldest_kept_frame) {
        after = f->c->oldest_kept_frame - 1;
    }
    return after;
}

static struct registration *
find_registration(struct fixture *f, const struct packet *p)
{
    uint64_t token;

    memcpy(&token, p->token, sizeof(token));
    for (unsigned i = 0; i < f->reg_count; i++) {
        if (f->regs[i].token == token && !f->regs[i].stopped) {
            return &f->regs[i];
        }
    }
    return NULL;
}

static void
add_registration(struct fixture *f, const struct endpoint *from,
                 const struct packet *p)
{
    struct registration *reg = &f->regs[f->reg_count];

    assert_in_range(f->reg_count, 0, REGISTRATIONS_MAX - 1);
    memset(reg, 0, sizeof(*reg));
    memcpy(&reg->token, p->token, 8);
    reg->first = f->reg_count == 0;
    reg->to = *from;
    reg->message_id = p->message_id;
    reg->next = last_frame_of_client(f, p) + 1;
    f->reg_count++;
}

/* Handles another request for an existing registration: a retransmission,
 * which is ignored, a repair, which sends frames again, or a renewal. */
static void
handle_request_again(struct fixture *f, struct registration *reg,
                     const struct packet *p)
{
    struct packet answer;
    uint64_t next = last_frame_of_client(f, p) + 1;

    if (reg->message_id == p->message_id) {
        return;
    }
    f->renewals++;
    reg->message_id = p->message_id;
    if (next < reg->next) {
        reg->next = next;
        reg->answered = false;
        return;
    }
    packet_init_answer(&answer, p, CODE_CONTENT, 0);
    answer.fields = FIELD_OBSERVE | FIELD_ETAG | FIELD_MAX_AGE;
    answer.max_age_s = f->c->max_age_s == 0 ? 60 : f->c->max_age_s;
    answer.etag[0] = (uint8_t)((reg->next - 1) >> 8);
    answer.etag[1] = (uint8_t)(reg->next - 1);
    answer.etag_len = 2;
    fake_server_send(f->server, &reg->to, &answer);
}

/* Answers a request without making a registration, if the case demands it.
 * Returns whether it did. */
static bool
answer_without_registration(struct fixture *f, const struct endpoint *from,
                            const struct packet *p)
{
    struct packet answer;

    packet_init_answer(&answer, p, CODE_CONTENT, 0);
    if (f->c->challenge && p->echo_len == 0) {
        answer.code = CODE_UNAUTHORIZED;
        answer.fields = FIELD_ECHO;
        answer.echo_len = 1;
    }
    else if (f->requests <= f->c->refused_requests) {
        answer.code = CODE_UNAVAILABLE;
        answer.fields = FIELD_MAX_AGE;
    }
    else if (f->c->error != 0) {
        answer.code = f->c->error;
    }
    else if (!f->c->not_observable) {
        return false;
    }
    fake_server_send(f->server, from, &answer);
    return true;
}

static void
on_packet(void *ctx, struct fake_server *server, const struct endpoint *from,
          const struct packet *p)
{
    struct fixture *f = ctx;
    struct registration *reg;

    if (!packet_is_request(p)) {
        return;
    }
    reg = find_registration(f, p);
    f->requests++;
    if (p->observe == 1) {
        f->deregistered++;
        if (reg != NULL) {
            reg->stopped = true;
        }
        return;
    }
    if (reg != NULL) {
        handle_request_again(f, reg, p);
        return;
    }
    if (!answer_without_registration(f, from, p)) {
        add_registration(f, from, p);
    }
}

static bool
on_frame(struct fixture *f, const struct watch_event *event)
{
    uint64_t id;

    memcpy(&id, event->data, sizeof(id));
    if (event->size != sizeof(id) || id != event->id ||
        (f->last != 0 && id != f->last + 1)) {
        f->bad_frame = true;
    }
    f->last = id;
    f->received++;
    if (f->received == f->c->frames) {
        f->counters = *watch_counters(f->watch);
        f->watch = NULL;
        event_base_loopbreak(f->base);
        return false;
    }
    return true;
}

static bool
on_event(void *ctx, const struct watch_event *event)
{
    struct fixture *f = ctx;

    switch (event->kind) {
    case WATCH_FRAME:
        return on_frame(f, event);
    case WATCH_LOST:
        f->lost += (unsigned)(event->last_id - event->id + 1);
        f->last = event->last_id;
        return true;
    case WATCH_RESET:
        f->resets++;
        f->last = 0;
        return true;
    case WATCH_ENDED:
        break;
    }
    f->counters = *watch_counters(f->watch);
    f->ended = true;
    f->code = event->code;
    f->outcome = event->outcome;
    f->watch = NULL;
    event_base_loopbreak(f->base);
    return true;
}

static void
fixture_init(struct fixture *f, const struct watch_case *c)
{
    static const struct timeval period = {.tv_usec = FRAME_US};
    struct client_options options = {.via_count = 1,
                                     .ack_timeout_ms = ACK_TIMEOUT_MS,
                                     .random = &f->random};
    struct endpoint via;
    struct status st;

    memset(f, 0, sizeof(*f));
    f->c = c;
    f->last = c->resume;
    f->newest_frame = c->resume == 0 ? 0 : c->resume + 10;
    random_seed(&f->random, SEED);
    f->base = event_base_new();
    f->server = fake_server_new(f->base, &f->random, on_packet, f);
    fake_server_set_faults(f->server, &c->faults);
    via = fake_server_endpoint(f->server);
    options.via = &via;
    f->client = client_new(f->base, &options, &st);
    f->flow = client_flow_new(f->client);
    f->tick = event_new(f->base, -1, EV_PERSIST, on_new_frame, f);
    event_add(f->tick, &period);
}

static void
fixture_fini(struct fixture *f)
{
    if (f->watch != NULL) {
        watch_stop(f->watch);
    }
    event_free(f->tick);
    client_flow_destroy(f->flow);
    client_destroy(f->client);
    fake_server_destroy(f->server);
    event_base_free(f->base);
}

static void
run_case(struct fixture *f, const struct watch_case *c)
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

    fixture_init(f, c);
    f->watch = watch_start(f->flow, &request, on_event, f);
    assert_non_null(f->watch);
    event_base_loopexit(f->base, &limit);
    event_base_dispatch(f->base);
}

static void
test_streams(void **state)
{
    static struct fixture f;

    for (size_t i = 0; i < COUNT(cases); i++) {
        const struct watch_case *c = &cases[i];

        run_case(&f, c);
        printf("%s: %u frames, %u lost, %u duplicates, %u repairs, %u "
               "registrations, %u moves\n",
               c->name, f.received, f.lost, (unsigned)f.counters.duplicates,
               (unsigned)f.counters.repairs,
               (unsigned)f.counters.registrations, (unsigned)f.counters.moves);
        if (f.received != c->frames || f.bad_frame || f.lost != c->lost ||
            f.resets != c->resets || f.ended != c->ends ||
            f.counters.moves < c->moves_min || f.code != c->code ||
            f.outcome != c->outcome) {
            fail_msg("%s: got %u, bad frame %d, ended %d, code %u, %u resets",
                     c->name, f.received, f.bad_frame, f.ended, f.code,
                     f.resets);
        }
        if (c->stop_after > 0 && f.stop_error_sent &&
            !f.moved_before_stop_error) {
            fail_msg("%s: did not move between Max-Age 0 and the error",
                     c->name);
        }
        if (c->repairs_max > 0) {
            assert_in_range(f.counters.repairs, 0, c->repairs_max);
        }
        if (c->max_age_s > 0) {
            assert_true(f.renewals > 0);
        }
        fixture_fini(&f);
    }
}

/* When the client stops a watch, its registration is removed from the
 * balancer. */
static void
test_stop_deregisters(void **state)
{
    static const struct watch_case c = {.name = "stop", .frames = 5};
    static struct fixture f;

    run_case(&f, &c);
    event_base_loop(f.base, EVLOOP_NONBLOCK);
    assert_int_equal(f.received, 5);
    assert_int_equal(f.deregistered, 1);
    fixture_fini(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_streams),
        cmocka_unit_test(test_stop_deregisters),
    };

    printf("seed %d\n", SEED);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
