#include "runner.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/list.h"
#include "base/random.h"
#include "client/client-flow.h"
#include "client/client.h"

#define LATE_ARRIVAL_US 5000              /* before the tool counts as slow */
#define DRAIN_SPARE_US (2 * USEC_PER_SEC) /* on top of the deadline */
#define PATH_SIZE 96
#define COMMAND_BODY "quantity=1"

/* A caller's endpoint and flow towards one service. */
struct line_to_service {
    struct client *client;
    struct client_flow *flow;
};

struct session {
    struct line_to_service *lines; /* one for each entry */
    bool used;
    bool broken;
};

struct runner {
    struct event_base *base;
    const struct runner_options *options;
    struct tally *tallies;
    struct verify *verify;
    struct session *sessions;
    struct plan plan;
    struct arrival next;
    bool more; /* "next" is valid */
    struct random random;
    struct event *timer;
    uint64_t started_us;
    uint64_t delayed;
    size_t open; /* requests without an end */
    struct list requests;
};

/* One request on its way. */
struct request {
    struct list link;
    struct runner *runner;
    struct session *session;
    const struct traffic *traffic;
    struct tally *tally;
    char path[PATH_SIZE];
    uint64_t sent_us;
};

static size_t
entry_of(const struct runner *runner, const char *service)
{
    for (size_t i = 0; i < runner->options->entry_count; i++) {
        if (strcmp(runner->options->entries[i].service, service) == 0) {
            return i;
        }
    }
    assert(!"checked by main");
    return 0;
}

static struct line_to_service *
session_line(struct runner *runner, struct session *session, size_t entry)
{
    struct line_to_service *line = &session->lines[entry];
    const struct client_options options = {
        .via = &runner->options->entries[entry].via,
        .via_count = 1,
        .random = &runner->random,
    };
    struct status st;

    if (line->client != NULL) {
        return line;
    }
    line->client = client_new(runner->base, &options, &st);
    if (line->client == NULL) {
        fprintf(stderr, "%s\n", st.message);
        exit(EXIT_FAILURE);
    }
    line->flow = client_flow_new(line->client);
    session->used = true;
    return line;
}

/* True when an answer names the path and the service of its request. */
static bool
answer_is_ours(const struct request *rq, const struct packet *answer)
{
    char *text = g_strndup((const char *)answer->payload, answer->payload_len);
    char *path = g_strdup_printf("\"path\":\"%s\"", rq->path);
    char *service =
        g_strdup_printf("\"service\":\"%s\"", rq->traffic->service);
    bool ours = strstr(text, path) != NULL && strstr(text, service) != NULL;

    g_free(text);
    g_free(path);
    g_free(service);
    return ours;
}

static enum result
judge(const struct request *rq, const struct call_result *result)
{
    switch (result->outcome) {
    case CALL_ANSWERED:
        if (result->answer->code >> 5 != 2) {
            return RESULT_ERROR;
        }
        return answer_is_ours(rq, result->answer) ? RESULT_ANSWERED
                                                  : RESULT_WRONG;
    case CALL_NOT_RUN:
        return RESULT_NOT_RUN;
    case CALL_UNKNOWN:
        return RESULT_UNKNOWN;
    default:
        return RESULT_TIMEOUT;
    }
}

/* Notes the end of a request and frees it. */
static void
request_end(struct request *rq, enum result result)
{
    struct runner *runner = rq->runner;

    tally_add(rq->tally, result, clock_monotonic_us() - rq->sent_us,
              rq->traffic->deadline_ms * USEC_PER_MSEC);
    if (rq->traffic->kind == TRAFFIC_POST) {
        verify_told(runner->verify, rq->path, result);
    }
    if (result == RESULT_UNKNOWN || result == RESULT_TIMEOUT ||
        result == RESULT_WRONG) {
        rq->session->broken = true;
    }
    list_remove(&rq->link);
    runner->open--;
    if (runner->open == 0 && !runner->more) {
        event_base_loopbreak(runner->base);
    }
    g_free(rq);
}

static void
on_call_end(void *ctx, const struct call_result *result)
{
    struct request *rq = ctx;

    request_end(rq, judge(rq, result));
}

static struct request *
request_new(struct runner *runner, const struct arrival *arrival)
{
    struct request *rq = g_new0(struct request, 1);
    const char *folder;

    rq->runner = runner;
    rq->session = &runner->sessions[arrival->session];
    rq->traffic = &runner->options->traffic[arrival->traffic];
    rq->tally = &runner->tallies[arrival->traffic];
    rq->sent_us = clock_monotonic_us();
    folder = rq->traffic->kind == TRAFFIC_POST ? "run" : "echo";
    snprintf(rq->path, sizeof(rq->path), "/%s/%" PRIu64 "-%" PRIu64, folder,
             runner->options->seed, arrival->number);
    list_push_back(&runner->requests, &rq->link);
    runner->open++;
    rq->tally->started++;
    return rq;
}

static void
request_send(struct request *rq)
{
    struct runner *runner = rq->runner;
    bool is_command = rq->traffic->kind == TRAFFIC_POST;
    struct call_request request = {
        .method = is_command ? CODE_POST : CODE_GET,
        .path = rq->path,
        .content_format = -1,
        .deadline_ms = rq->traffic->deadline_ms,
    };
    struct line_to_service *line = session_line(
        runner, rq->session, entry_of(runner, rq->traffic->service));

    if (is_command) {
        request.body = (const uint8_t *)COMMAND_BODY;
        request.body_len = strlen(COMMAND_BODY);
        verify_sent(runner->verify, rq->path);
    }
    if (client_flow_call(line->flow, &request, on_call_end, rq) == NULL) {
        fprintf(stderr, "a request could not be sent\n");
        exit(EXIT_FAILURE);
    }
}

static void
wait_for_next(struct runner *runner)
{
    uint64_t due = runner->started_us + runner->next.at_us;
    uint64_t now = clock_monotonic_us();
    uint64_t us = due > now ? due - now : 0;
    struct timeval tv = {(time_t)(us / USEC_PER_SEC),
                         (suseconds_t)(us % USEC_PER_SEC)};

    event_add(runner->timer, &tv);
}

/* Sends all arrivals that are due. */
static void
on_arrival(evutil_socket_t fd, short what, void *ctx)
{
    struct runner *runner = ctx;

    while (runner->more) {
        uint64_t now = clock_monotonic_us();
        uint64_t due = runner->started_us + runner->next.at_us;

        if (due > now) {
            wait_for_next(runner);
            return;
        }
        runner->delayed += now - due > LATE_ARRIVAL_US;
        request_send(request_new(runner, &runner->next));
        runner->more = plan_next(&runner->plan, &runner->next);
    }
    if (runner->open == 0) {
        event_base_loopbreak(runner->base);
    }
}

struct runner *
runner_new(struct event_base *base, const struct runner_options *options,
           struct tally *tallies, struct verify *verify, struct status *st)
{
    struct runner *runner = g_new0(struct runner, 1);

    runner->base = base;
    runner->options = options;
    runner->tallies = tallies;
    runner->verify = verify;
    list_init(&runner->requests);
    random_seed(&runner->random, options->seed);
    runner->sessions = g_new0(struct session, options->sessions);
    for (unsigned i = 0; i < options->sessions; i++) {
        runner->sessions[i].lines =
            g_new0(struct line_to_service, options->entry_count);
    }
    plan_init(&runner->plan, options->traffic, options->traffic_count,
              options->sessions, options->duration_us, options->seed);
    runner->timer = evtimer_new(base, on_arrival, runner);
    return runner;
}

static void
session_clear(struct runner *runner, struct session *session)
{
    for (size_t i = 0; i < runner->options->entry_count; i++) {
        client_flow_destroy(session->lines[i].flow);
        client_destroy(session->lines[i].client);
    }
    g_free(session->lines);
}

void
runner_destroy(struct runner *runner)
{
    if (runner == NULL) {
        return;
    }
    for (unsigned i = 0; i < runner->options->sessions; i++) {
        session_clear(runner, &runner->sessions[i]);
    }
    event_free(runner->timer);
    g_free(runner->sessions);
    g_free(runner);
}

static uint64_t
longest_deadline_us(const struct runner *runner)
{
    uint32_t longest = 0;

    for (size_t i = 0; i < runner->options->traffic_count; i++) {
        if (runner->options->traffic[i].deadline_ms > longest) {
            longest = runner->options->traffic[i].deadline_ms;
        }
    }
    return longest * USEC_PER_MSEC;
}

void
runner_run(struct runner *runner)
{
    uint64_t limit_us = runner->options->duration_us +
                        longest_deadline_us(runner) + DRAIN_SPARE_US;
    struct timeval limit = {(time_t)(limit_us / USEC_PER_SEC),
                            (suseconds_t)(limit_us % USEC_PER_SEC)};

    runner->started_us = clock_monotonic_us();
    runner->more = plan_next(&runner->plan, &runner->next);
    event_base_loopexit(runner->base, &limit);
    on_arrival(-1, 0, runner);
    event_base_dispatch(runner->base);
}

unsigned
runner_broken_sessions(const struct runner *runner)
{
    unsigned count = 0;

    for (unsigned i = 0; i < runner->options->sessions; i++) {
        count += runner->sessions[i].broken;
    }
    return count;
}

unsigned
runner_used_sessions(const struct runner *runner)
{
    unsigned count = 0;

    for (unsigned i = 0; i < runner->options->sessions; i++) {
        count += runner->sessions[i].used;
    }
    return count;
}

uint64_t
runner_delayed_arrivals(const struct runner *runner)
{
    return runner->delayed;
}
