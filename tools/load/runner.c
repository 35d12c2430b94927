#include "runner.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "runner-private.h"

/* A request that is sent later than planned by more than this counts as
 * delayed. */
#define ARRIVAL_DELAY_MAX_US 5000
/* How much longer than the longest deadline to wait for the last results. */
#define DRAIN_MARGIN_US (2 * USEC_PER_SEC)
#define COMMAND_BODY "quantity=1" /* body of all POST requests */

static size_t
find_entry(const struct runner *runner, const char *service)
{
    for (size_t i = 0; i < runner->options->entry_count; i++) {
        if (strcmp(runner->options->entries[i].service, service) == 0) {
            return i;
        }
    }
    fprintf(stderr, "no --via address for service %s\n", service);
    exit(EXIT_FAILURE);
}

struct service_client *
session_get_client(struct runner *runner, struct session *session,
                   const char *service)
{
    size_t entry = find_entry(runner, service);
    struct service_client *client = &session->clients[entry];
    const struct client_options options = {
        .via = &runner->options->entries[entry].via,
        .via_count = 1,
        .ack_timeout_ms = runner->options->ack_timeout_ms,
        .random = &runner->random,
    };
    struct status st;

    if (client->client != NULL) {
        return client;
    }
    client->client = client_new(runner->base, &options, &st);
    if (client->client == NULL) {
        fprintf(stderr, "%s\n", st.message);
        exit(EXIT_FAILURE);
    }
    client->flow = client_flow_new(client->client);
    session->used = true;
    return client;
}

/* Whether an answer is to this request: target stand-ins put the path and the
 * service of a request into the body of their answer. */
static bool
answer_matches_request(const struct request *rq, const struct packet *answer)
{
    char *text = g_strndup((const char *)answer->payload, answer->payload_len);
    char *path = g_strdup_printf("\"path\":\"%s\"", rq->path);
    char *service =
        g_strdup_printf("\"service\":\"%s\"", rq->traffic->service);
    bool matches = strstr(text, path) != NULL && strstr(text, service) != NULL;

    g_free(text);
    g_free(path);
    g_free(service);
    return matches;
}

static enum result
classify_result(const struct request *rq, const struct call_result *result)
{
    switch (result->outcome) {
    case CALL_ANSWERED:
        if (result->answer->code >> 5 != 2) {
            rq->tally->codes[result->answer->code]++;
            return RESULT_ERROR;
        }
        return answer_matches_request(rq, result->answer) ? RESULT_ANSWERED
                                                          : RESULT_WRONG;
    case CALL_NOT_RUN:
        return RESULT_NOT_RUN;
    case CALL_OUTCOME_UNKNOWN:
        return RESULT_UNKNOWN;
    default:
        return RESULT_TIMEOUT;
    }
}

static void
stop_loop_if_done(struct runner *runner)
{
    if (runner->over && runner->open == 0) {
        event_base_loopbreak(runner->base);
    }
}

void
request_end(struct request *rq, enum result result)
{
    struct runner *runner = rq->runner;

    tally_add(rq->tally, result, clock_monotonic_us() - rq->sent_us,
              rq->traffic->deadline_ms * USEC_PER_MSEC);
    if (rq->traffic->kind == TRAFFIC_POST) {
        verify_set_result(runner->verify, rq->path, result);
    }
    if (result == RESULT_UNKNOWN || result == RESULT_TIMEOUT ||
        result == RESULT_WRONG) {
        rq->session->broken = true;
    }
    list_remove(&rq->link);
    runner->open--;
    g_free(rq);
    stop_loop_if_done(runner);
}

static void
on_call_end(void *ctx, const struct call_result *result)
{
    struct request *rq = ctx;

    request_end(rq, classify_result(rq, result));
}

static void
set_path(struct request *rq, uint64_t number)
{
    static const char *const path_prefixes[] = {
        [TRAFFIC_GET] = "echo",
        [TRAFFIC_POST] = "run",
    };

    if (rq->traffic->kind == TRAFFIC_DOWNLOAD) {
        snprintf(rq->path, sizeof(rq->path), "/bundle/%" PRIu32,
                 rq->traffic->size);
        return;
    }
    snprintf(rq->path, sizeof(rq->path), "/%s/%" PRIu64 "-%" PRIu64,
             path_prefixes[rq->traffic->kind], rq->runner->options->seed,
             number);
}

static struct request *
request_new(struct runner *runner, const struct arrival *arrival)
{
    struct request *rq = g_new0(struct request, 1);

    rq->runner = runner;
    rq->session = &runner->sessions[arrival->session];
    rq->traffic = &runner->options->traffic[arrival->traffic];
    rq->tally = &runner->tallies[arrival->traffic];
    rq->sent_us = clock_monotonic_us();
    set_path(rq, arrival->number);
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
    struct service_client *client =
        session_get_client(runner, rq->session, rq->traffic->service);

    if (rq->traffic->kind == TRAFFIC_DOWNLOAD) {
        run_download(rq, client->flow);
        return;
    }
    if (is_command) {
        request.body = (const uint8_t *)COMMAND_BODY;
        request.body_len = strlen(COMMAND_BODY);
        verify_add_command(runner->verify, rq->path);
    }
    if (client_flow_call(client->flow, &request, on_call_end, rq) == NULL) {
        fprintf(stderr, "cannot send a request\n");
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

/* Sends all requests that are due and sets the timer for the next one. */
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
        runner->delayed += now - due > ARRIVAL_DELAY_MAX_US;
        request_send(request_new(runner, &runner->next));
        runner->more = plan_next(&runner->plan, &runner->next);
    }
}

/* Runs when the duration has passed: stops the watches, but lets requests in
 * progress continue. */
static void
on_end(evutil_socket_t fd, short what, void *ctx)
{
    struct runner *runner = ctx;

    runner->over = true;
    run_watches_stop(runner);
    stop_loop_if_done(runner);
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
    list_init(&runner->watches);
    random_seed(&runner->random, options->seed);
    runner->sessions = g_new0(struct session, options->sessions);
    for (unsigned i = 0; i < options->sessions; i++) {
        runner->sessions[i].clients =
            g_new0(struct service_client, options->entry_count);
    }
    plan_init(&runner->plan, options->traffic, options->traffic_count,
              options->sessions, options->duration_us, options->seed);
    runner->timer = evtimer_new(base, on_arrival, runner);
    runner->end_timer = evtimer_new(base, on_end, runner);
    return runner;
}

static void
session_clear(struct runner *runner, struct session *session)
{
    for (size_t i = 0; i < runner->options->entry_count; i++) {
        client_flow_destroy(session->clients[i].flow);
        client_destroy(session->clients[i].client);
    }
    g_free(session->clients);
}

void
runner_destroy(struct runner *runner)
{
    if (runner == NULL) {
        return;
    }
    list_for_each_safe (it, &runner->requests) {
        run_download_cancel(container_of(it, struct request, link));
    }
    for (unsigned i = 0; i < runner->options->sessions; i++) {
        session_clear(runner, &runner->sessions[i]);
    }
    event_free(runner->timer);
    event_free(runner->end_timer);
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

static struct timeval
to_timeval(uint64_t us)
{
    return (struct timeval){(time_t)(us / USEC_PER_SEC),
                            (suseconds_t)(us % USEC_PER_SEC)};
}

void
runner_run(struct runner *runner)
{
    uint64_t duration_us = runner->options->duration_us;
    struct timeval duration = to_timeval(duration_us);
    struct timeval limit = to_timeval(
        duration_us + longest_deadline_us(runner) + DRAIN_MARGIN_US);

    runner->started_us = clock_monotonic_us();
    runner->more = plan_next(&runner->plan, &runner->next);
    event_base_loopexit(runner->base, &limit);
    event_add(runner->end_timer, &duration);
    run_watches_start(runner);
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
