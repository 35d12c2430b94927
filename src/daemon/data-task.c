#include "daemon/data-task.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#define LOG_MODULE "data"
#include "base/clock.h"
#include "base/log.h"
#include "daemon/answer.h"
#include "daemon/command.h"
#include "daemon/data.h"
#include "daemon/fetch.h"
#include "daemon/messages.h"
#include "daemon/probe.h"
#include "daemon/relay.h"
#include "daemon/service-ports.h"
#include "daemon/stream.h"
#include "daemon/target-clients.h"
#include "daemon/work.h"
#include "protocol/token.h"

/* Interval between two ticks of all parts except the dispatcher and the
 * relays, which run on every tick. */
#define SLOW_TICK_INTERVAL_US (50 * USEC_PER_MSEC)
/* Minimum delay before the next tick. */
#define TICK_DELAY_MIN_US (1 * USEC_PER_MSEC)
/* Minimum gap between two iterations of the event loop that counts as a pause
 * of the process. The loop normally iterates at least every 200 ms. */
#define PAUSE_MIN_US (1 * USEC_PER_SEC)
/* Maximum time after a pause for which the delivery of requests to targets
 * waits for the view to be refreshed. */
#define STALE_MAX_US (2 * USEC_PER_SEC)
/* Time without any use of a flow after which a planned stop need not wait for
 * callers. Callers discard a token that they have not used for 60 s, and their
 * last requests are answered or have timed out within this time. */
#define FLOWS_IDLE_MIN_US (90 * USEC_PER_SEC)
/* Size of the random number that distinguishes this run of the process from
 * others; flow tokens carry it in 5 bytes. */
#define INCARNATION_BITS 40
/* Maximum total size in bytes of the recorded answers, which are sent again
 * when a late duplicate of their request arrives. */
#define RECORDED_ANSWERS_SIZE_MAX (16 * 1048576)

/* Serves a GET or FETCH request on this balancer: with the Observe option as a
 * stream, otherwise as a fetch. */
static void
serve_repeatable(struct data_task *task, const struct inbound *in)
{
    if ((in->packet.fields & FIELD_OBSERVE) != 0) {
        streams_handle(task->streams, in);
        return;
    }
    fetches_handle(task->fetches, in);
}

static bool
is_home_of_token(const struct data_task *task, const struct inbound *in)
{
    return in->token.home_addr == task->home.addr &&
           in->token.home_port == task->home.port;
}

/* Whether a read must be relayed to its flow's home: it has a token of this
 * service, another balancer is its home, and the home may keep state for it (a
 * cached chunk of a download, for a request with Block2, or an observation). A
 * read that was relayed here is not relayed again. */
static bool
needs_relay_to_home(const struct data_task *task, const struct inbound *in)
{
    unsigned fields = FIELD_BLOCK2 | FIELD_OBSERVE;

    return in->has_token && !in->caller.relayed &&
           (in->packet.fields & fields) != 0 && !is_home_of_token(task, in) &&
           in->token.service == in->port->view->hash;
}

static void
handle_request(struct data_task *task, struct inbound *in)
{
    if (task->home.stopping && !in->has_token && !in->caller.relayed &&
        task->peers.count > 0) {
        /* No flow can be opened here any more, so a peer takes the request. */
        relays_forward_to_peer(task->relays, in);
        return;
    }
    if (in->packet.code != CODE_GET && in->packet.code != CODE_FETCH) {
        commands_handle(task->commands, in);
        return;
    }
    if (needs_relay_to_home(task, in)) {
        relays_forward_to_home(task->relays, in);
        return;
    }
    serve_repeatable(task, in);
}

/* Verifies the flow token in the Echo option, and sets whether the caller's
 * address is verified. Without the option it returns true and sets no token.
 * Returns false for a token that does not verify; the request must then be
 * dropped, because a challenge would let the caller send again a request that
 * may have run under that token. */
static bool
verify_token(struct data_task *task, struct inbound *in)
{
    if ((in->packet.fields & FIELD_ECHO) == 0) {
        in->caller.verified =
            address_set_contains(task->verified_callers, in->caller.addr.addr,
                                 in->caller.addr.port, in->caller.received_us);
        return true;
    }
    in->has_token = token_open(&in->token, &task->view->keys, in->packet.echo,
                               in->packet.echo_len);
    if (in->has_token) {
        in->caller.verified = true;
        address_set_add(task->verified_callers, in->caller.addr.addr,
                        in->caller.addr.port, in->caller.received_us);
    }
    return in->has_token;
}

static void
copy_request_fields(struct caller *caller, const struct packet *packet)
{
    caller->type = packet->type;
    caller->code = packet->code;
    caller->message_id = packet->message_id;
    memcpy(caller->token, packet->token, packet->token_len);
    caller->token_len = packet->token_len;
}

/* Handles a message that is not a request: an empty ACK or RST. */
static void
handle_empty(struct data_task *task, const struct inbound *in)
{
    const struct packet *p = &in->packet;

    if (p->type == PACKET_ACK || p->type == PACKET_RST) {
        answers_on_ack(task->answers, &in->caller.addr, p->message_id);
    }
    if (p->type == PACKET_RST &&
        address_set_contains(task->verified_callers, in->caller.addr.addr,
                             in->caller.addr.port, in->caller.received_us)) {
        streams_on_reset(task->streams, &in->caller.addr, p->message_id);
    }
}

static void
handle_datagram(struct data_task *task, const struct service_port *port,
                const struct endpoint *from, const uint8_t *raw, size_t size,
                uint64_t received_us, bool relayed)
{
    struct inbound in = {
        .port = port,
        .raw = raw,
        .raw_len = size,
        .caller = {.addr = *from,
                   .service_port = port->port,
                   .request_size = size,
                   .relayed = relayed,
                   .received_us = received_us},
    };
    enum error_kind kind = packet_parse(&in.packet, raw, size);

    data_count(task, COUNTER_PACKETS_RECEIVED);
    if (kind == ERR_BAD_PACKET || port->view == NULL) {
        data_count_error(task, port->view == NULL ? ERR_NO_SERVICE : kind);
        return;
    }
    copy_request_fields(&in.caller, &in.packet);
    if (!packet_is_request(&in.packet)) {
        handle_empty(task, &in);
        return;
    }
    if (kind != ERR_NONE) {
        answer_error(task, &in.caller, kind, OUTCOME_NONE, RETRY_NO_ADVICE_MS);
        return;
    }
    if (!verify_token(task, &in)) {
        data_count_error(task, ERR_BAD_TOKEN);
        return;
    }
    data_count(task, COUNTER_REQUESTS);
    handle_request(task, &in);
}

static const struct data_handlers handlers = {
    .datagram = handle_datagram,
    .serve_repeatable = serve_repeatable,
};

/* Sets whether the view may be out of date. While it may be, no request is
 * delivered to a target. */
static void
set_stale(struct data_task *task, bool stale, uint64_t now)
{
    task->home.stale = stale;
    dispatch_set_suspended(&task->dispatch, stale, now);
}

/* Detects from the time since the previous call whether the process was
 * paused; its view may then be out of date, so delivery stops and a refresh is
 * requested. Must be called first in every callback that handles packets or
 * ticks. Returns the current monotonic time. */
static uint64_t
detect_pause(struct data_task *task)
{
    uint64_t now = clock_monotonic_us();

    if (now - task->last_iteration_us >= PAUSE_MIN_US) {
        set_stale(task, true, now);
        task->stale_until_us = now + STALE_MAX_US;
        data_report_event(task, "paused", task->settings->host.id,
                          "for %llu ms",
                          (unsigned long long)(now - task->last_iteration_us) /
                              USEC_PER_MSEC);
        mailbox_send(task->control, MSG_PAUSED, NULL, 0);
    }
    task->last_iteration_us = now;
    return now;
}

static void
on_service_datagram(void *ctx, const struct endpoint *from, uint8_t *data,
                    size_t size, uint64_t queued_us)
{
    struct service_port *port = ctx;
    uint64_t now = detect_pause(port->task);

    handle_datagram(port->task, port, from, data, size, now - queued_us,
                    false);
}

static void
on_relay_datagram(void *ctx, const struct endpoint *from, uint8_t *data,
                  size_t size, uint64_t queued_us)
{
    struct data_task *task = ctx;
    uint64_t now = detect_pause(task);

    relays_on_datagram(task->relays, from, data, size, now - queued_us);
}

/* Starts or stops refusing new work. It is refused during a planned stop,
 * which is final, and while the host is declared draining, which an operator
 * may revert. */
static void
update_refusal_of_new_work(struct data_task *task, uint64_t now)
{
    bool stopping = task->stop_requested || task->view->host_draining;

    if (stopping == task->home.stopping) {
        return;
    }
    task->home.stopping = stopping;
    if (stopping) {
        streams_stop(task->streams, now);
    }
    else {
        streams_resume(task->streams);
    }
}

/* Reports an event when the host's declared state has changed. */
static void
report_draining_change(struct data_task *task, bool was_draining)
{
    bool draining = task->view->host_draining;

    if (draining != was_draining) {
        task->drain_reported = false;
        data_report_event(task, draining ? "host_draining" : "host_active",
                          task->settings->host.id, "as declared");
    }
}

static bool
is_idle(const struct data_task *task)
{
    return commands_idle(task->commands) && fetches_idle(task->fetches) &&
           streams_idle(task->streams);
}

/* Reports an event once when a draining host has no work left. */
static void
check_drained(struct data_task *task)
{
    if (task->view != NULL && task->view->host_draining &&
        !task->drain_reported && is_idle(task)) {
        task->drain_reported = true;
        data_report_event(task, "host_drained", task->settings->host.id,
                          "nothing runs here any more");
    }
}

/* Replaces the view by "view" and takes ownership of it. When memory is short,
 * "view" is dropped and the previous view stays in effect. */
static void
apply_view(struct data_task *task, struct config_view *view)
{
    struct msg_view_applied applied = {.sequence = view->sequence};
    uint64_t now = clock_monotonic_us();
    bool was_draining;

    if (!dispatch_apply_view(&task->dispatch, view, now)) {
        LOG_ERR("cannot apply a view: out of memory; keeping the previous "
                "one");
        config_view_destroy(view);
        return;
    }
    service_ports_apply_view(task->ports, view);
    was_draining = task->view != NULL && task->view->host_draining;
    config_view_destroy(task->view);
    task->view = view;
    report_draining_change(task, was_draining);
    update_refusal_of_new_work(task, now);
    mailbox_send(task->control, MSG_VIEW_APPLIED, &applied, sizeof(applied));
}

/* Begins the planned stop: new flows and new requests in existing flows are
 * refused, requests in progress continue. */
static void
begin_stop(struct data_task *task)
{
    uint64_t now = clock_monotonic_us();

    if (task->stop_requested) {
        return;
    }
    task->stop_requested = true;
    task->home.stopping = true;
    task->stop_deadline_us =
        now +
        (uint64_t)task->settings->limits.drain_timeout_ms * USEC_PER_MSEC;
    streams_stop(task->streams, now);
    data_report_event(task, "stop_begun", task->settings->host.id,
                      "planned stop, at most %u ms",
                      task->settings->limits.drain_timeout_ms);
}

static void
send_metrics(struct data_task *task)
{
    size_t len = 0;
    char *text = metrics_text(task->metrics, task->dispatch.targets,
                              clock_monotonic_us(), &len);

    if (text != NULL) {
        mailbox_send(task->control, MSG_METRICS_TEXT, text, len);
    }
    free(text);
}

static void
on_message(void *ctx, uint32_t type, const void *data, size_t size)
{
    struct data_task *task = ctx;
    struct msg_config_view view;
    struct msg_members members;

    switch (type) {
    case MSG_CONFIG_VIEW:
        memcpy(&view, data, sizeof(view));
        apply_view(task, view.view);
        break;
    case MSG_VIEW_REFRESHED:
        set_stale(task, false, clock_monotonic_us());
        break;
    case MSG_MEMBERS:
        memcpy(&members, data, sizeof(members));
        task->live_balancers = members.live_balancers;
        break;
    case MSG_PEERS:
        memcpy(&task->peers, data, sizeof(task->peers));
        break;
    case MSG_STOP:
        begin_stop(task);
        break;
    case MSG_METRICS_REQUEST:
        send_metrics(task);
        break;
    default:
        break;
    }
}

/* Whether no caller is expected to use a flow of this process again. */
static bool
flows_are_idle(const struct data_task *task, uint64_t now)
{
    uint64_t last_use_us = flow_table_last_use(task->home.flows);

    return last_use_us == 0 || now - last_use_us >= FLOWS_IDLE_MIN_US;
}

/* Whether the planned stop is complete. Even when no work is left, a stopping
 * balancer answers late duplicates of requests until its deadline, or until
 * its flows are idle, because only this process knows which requests it has
 * delivered. */
static bool
stop_is_complete(struct data_task *task, uint64_t now)
{
    if (!task->stop_requested || !is_idle(task)) {
        return false;
    }
    return now >= task->stop_deadline_us || flows_are_idle(task, now);
}

static void
run_slow_tick(struct data_task *task, uint64_t now)
{
    commands_tick(task->commands, now);
    fetches_tick(task->fetches, now);
    streams_tick(task->streams, now);
    answers_tick(task->answers, now);
    probes_tick(task->probes, now);
    target_clients_free_unused(task->target_clients, now);
    if (task->home.stale && now >= task->stale_until_us) {
        /* Neither a peer nor the store has refreshed the view in time, so
         * delivery resumes with the view as it is. Each target must name its
         * service again in a probe before it is used. */
        probes_restart(task->probes);
        set_stale(task, false, now);
    }
    check_drained(task);
    if (stop_is_complete(task, now)) {
        mailbox_send(task->control, MSG_STOPPED, NULL, 0);
        event_base_loopbreak(task->base);
    }
}

static void
schedule_tick(struct data_task *task, uint64_t now, uint64_t next)
{
    uint64_t wait = next > now ? next - now : 0;
    struct timeval tv;

    if (wait < TICK_DELAY_MIN_US) {
        wait = TICK_DELAY_MIN_US;
    }
    tv.tv_sec = (time_t)(wait / USEC_PER_SEC);
    tv.tv_usec = (suseconds_t)(wait % USEC_PER_SEC);
    event_add(task->tick, &tv);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    struct data_task *task = arg;
    uint64_t now = detect_pause(task);
    uint64_t next = dispatch_tick(&task->dispatch, now);

    relays_tick(task->relays, now);
    if (now >= task->next_slow_tick_us) {
        task->next_slow_tick_us = now + SLOW_TICK_INTERVAL_US;
        run_slow_tick(task, now);
    }
    if (next > task->next_slow_tick_us) {
        next = task->next_slow_tick_us;
    }
    schedule_tick(task, now, next);
}

static void
init_home(struct data_task *task)
{
    const struct settings *settings = task->settings;
    uint64_t seed;

    randombytes_buf(&seed, sizeof(seed));
    random_seed(&task->random, seed);
    randombytes_buf(&task->home.incarnation, sizeof(task->home.incarnation));
    task->home.incarnation &= (1ULL << INCARNATION_BITS) - 1;
    endpoint_parse_addr(settings->host.address, &task->home.addr);
    task->home.port = settings->ports.relay;
    task->host_id_hash = id_hash(settings->host.id);
    task->home.flows =
        flow_table_new(settings->limits.flows, RECORDED_ANSWERS_SIZE_MAX);
}

static bool
create_parts(struct data_task *task)
{
    if (!dispatch_init(&task->dispatch, &work_dispatch_ops, task,
                       &task->random, task->settings->limits.queue)) {
        return false;
    }
    task->udp_batch = udp_batch_new();
    task->ports = service_ports_new(task, on_service_datagram);
    task->metrics = metrics_new();
    task->verified_callers = address_set_new();
    task->target_clients = target_clients_new(task);
    task->answers = answers_new(task);
    task->commands = commands_new(task);
    task->fetches = fetches_new(task);
    task->probes = probes_new(task);
    task->relays = relays_new(task);
    task->streams = streams_new(task);
    return task->udp_batch != NULL && task->ports != NULL &&
           task->metrics != NULL && task->verified_callers != NULL &&
           task->target_clients != NULL && task->answers != NULL &&
           task->commands != NULL && task->fetches != NULL &&
           task->probes != NULL && task->relays != NULL &&
           task->streams != NULL;
}

static bool
open_sockets(struct data_task *task, struct status *st)
{
    struct endpoint local = {
        .addr = task->home.addr,
        .port = task->settings->ports.relay,
    };

    task->control =
        mailbox_new(task->zmq_ctx, task->base, MAILBOX_CONTROL_DATA, false,
                    on_message, task, st);
    if (task->control == NULL) {
        return false;
    }
    task->relay_sock = udp_socket_new(task->base, task->udp_batch, &local,
                                      on_relay_datagram, task, st);
    return task->relay_sock != NULL;
}

struct data_task *
data_task_new(void *zmq_ctx, const struct settings *settings,
              struct status *st)
{
    struct data_task *task = calloc(1, sizeof(*task));

    if (task == NULL) {
        status_set(st, ERR_NO_MEMORY, "data: out of memory");
        return NULL;
    }
    task->zmq_ctx = zmq_ctx;
    task->settings = settings;
    task->handlers = &handlers;
    task->base = event_base_new();
    init_home(task);
    if (task->base == NULL || task->home.flows == NULL ||
        !create_parts(task)) {
        status_set(st, ERR_NO_MEMORY, "data: out of memory");
        data_task_destroy(task);
        return NULL;
    }
    task->tick = event_new(task->base, -1, 0, on_tick, task);
    if (!open_sockets(task, st)) {
        data_task_destroy(task);
        return NULL;
    }
    return task;
}

static void *
run_loop(void *arg)
{
    struct data_task *task = arg;

    task->last_iteration_us = clock_monotonic_us();
    schedule_tick(task, 0, 0);
    event_base_dispatch(task->base);
    return NULL;
}

bool
data_task_start(struct data_task *task, struct status *st)
{
    int err = pthread_create(&task->thread, NULL, run_loop, task);

    if (err != 0) {
        status_set(st, ERR_SYSTEM, "data: cannot create the thread: %s",
                   strerror(err));
        return false;
    }
    task->started = true;
    return true;
}

void
data_task_join(struct data_task *task)
{
    if (task->started) {
        pthread_join(task->thread, NULL);
        task->started = false;
    }
}

/* Frees a view that was still queued when the event loop ended. */
static void
discard_message(void *ctx, uint32_t type, const void *data, size_t size)
{
    struct msg_config_view view;

    if (type == MSG_CONFIG_VIEW) {
        memcpy(&view, data, sizeof(view));
        config_view_destroy(view.view);
    }
}

void
data_task_destroy(struct data_task *task)
{
    if (task == NULL) {
        return;
    }
    data_task_join(task);
    mailbox_drain(task->control, discard_message, task);
    commands_destroy(task->commands);
    fetches_destroy(task->fetches);
    streams_destroy(task->streams);
    probes_destroy(task->probes);
    relays_destroy(task->relays);
    answers_destroy(task->answers);
    target_clients_destroy(task->target_clients);
    if (task->dispatch.services != NULL) {
        dispatch_destroy(&task->dispatch);
    }
    address_set_destroy(task->verified_callers);
    metrics_destroy(task->metrics);
    flow_table_destroy(task->home.flows);
    config_view_destroy(task->view);
    service_ports_destroy(task->ports);
    udp_socket_destroy(task->relay_sock);
    udp_batch_destroy(task->udp_batch);
    mailbox_destroy(task->control);
    if (task->tick != NULL) {
        event_free(task->tick);
    }
    if (task->base != NULL) {
        event_base_free(task->base);
    }
    free(task);
}
