#include "daemon/command.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "daemon/answer.h"
#include "daemon/inbound.h"
#include "daemon/relay.h"
#include "daemon/work.h"
#include "protocol/http-map.h"
#include "protocol/token.h"
#include "state/body-assembly.h"

#define FLOW_ID_SIZE 48 /* bytes of a flow id as text, with the final NUL */
/* Maximum total size in bytes of the request bodies of which further blocks
 * are expected. */
#define ASSEMBLY_BYTES_MAX (4 * 1048576)

struct commands {
    struct data_task *task;
    struct list running; /* struct command, oldest first */
    struct body_assemblies *bodies;
};

/* A running command. It exists from the delivery of the request until its
 * answer is recorded. */
struct command {
    struct work work;
    struct list link;
    struct commands *commands;
    struct request_record *record; /* in the flow table, which owns it */
    struct caller caller;          /* sender of the latest copy */
    struct packet_block block2;    /* block of the answer to send */
    uint32_t method_code;          /* CoAP method */
    char service[ID_SIZE];
    char tenant[ID_SIZE];
    char flow_id[FLOW_ID_SIZE];
    char path[PACKET_PATH_MAX + PACKET_QUERY_MAX + 2]; /* with the query */
    size_t body_len;
    uint8_t body[];
};

struct commands *
commands_new(struct data_task *task)
{
    struct commands *commands = calloc(1, sizeof(*commands));

    if (commands == NULL) {
        return NULL;
    }
    commands->task = task;
    list_init(&commands->running);
    commands->bodies = body_assemblies_new(ASSEMBLY_BYTES_MAX);
    if (commands->bodies == NULL) {
        free(commands);
        return NULL;
    }
    return commands;
}

static void
command_free(struct command *cmd)
{
    list_remove(&cmd->link);
    free(cmd);
}

void
commands_destroy(struct commands *commands)
{
    if (commands == NULL) {
        return;
    }
    list_for_each_safe (it, &commands->running) {
        struct command *cmd = container_of(it, struct command, link);

        dispatch_cancel(&commands->task->dispatch, &cmd->work.job,
                        clock_monotonic_us());
        command_free(cmd);
    }
    body_assemblies_destroy(commands->bodies);
    free(commands);
}

bool
commands_idle(const struct commands *commands)
{
    return list_empty(&commands->running);
}

/* Sets the payload of an answer to the requested block of a recorded payload.
 * A payload that fits one block is sent without the Block2 option. */
static void
set_payload_block(struct packet *answer,
                  const struct recorded_answer *recorded,
                  const struct packet_block *requested)
{
    uint8_t szx =
        requested->szx > PACKET_SZX_MAX ? PACKET_SZX_MAX : requested->szx;
    size_t block = (size_t)1 << (szx + 4);
    size_t offset = (size_t)requested->num * block;

    if (recorded->payload_len <= block && requested->num == 0) {
        answer->payload = recorded->payload;
        answer->payload_len = recorded->payload_len;
        return;
    }
    if (offset > recorded->payload_len) {
        offset = recorded->payload_len;
    }
    answer->payload = recorded->payload + offset;
    answer->payload_len = recorded->payload_len - offset;
    answer->fields |= FIELD_BLOCK2 | FIELD_SIZE2;
    answer->size2 = (uint32_t)recorded->payload_len;
    answer->block2.num = requested->num;
    answer->block2.szx = szx;
    if (answer->payload_len > block) {
        answer->payload_len = block;
        answer->block2.more = true;
    }
}

static void
send_recorded(struct data_task *task, const struct caller *caller,
              const struct recorded_answer *recorded,
              const struct packet_block *requested)
{
    struct packet answer = {.code = recorded->code};

    if (recorded->outcome != OUTCOME_NONE) {
        answer.fields |= FIELD_OUTCOME;
        answer.outcome = recorded->outcome;
    }
    if (recorded->max_age_s != RECORDED_NO_MAX_AGE) {
        answer.fields |= FIELD_MAX_AGE;
        answer.max_age_s = recorded->max_age_s;
    }
    if (recorded->content_format != RECORDED_NO_FORMAT) {
        answer.fields |= FIELD_CONTENT_FORMAT;
        answer.content_format = recorded->content_format;
    }
    set_payload_block(&answer, recorded, requested);
    answer_send(task, caller, &answer);
}

/* Records the answer of a command, sends it and frees the command. The answer
 * is recorded first: a caller may act on a refusal as soon as it arrives, and
 * from then on no copy of the request may run. */
static void
record_and_send(struct command *cmd, const struct recorded_answer *recorded)
{
    struct data_task *task = cmd->commands->task;

    flow_table_finish(task->home.flows, cmd->record, recorded);
    send_recorded(task, &cmd->caller, recorded, &cmd->block2);
    command_free(cmd);
}

/* Fills the answer to record for a command that ends with an error. "not_run"
 * says that no target has run it; otherwise its outcome is unknown. */
static void
fill_refusal(struct recorded_answer *recorded, enum error_kind kind,
             bool not_run, uint32_t retry_after_ms)
{
    struct packet answer;

    answer_fill_error(&answer, kind,
                      not_run ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN,
                      retry_after_ms);
    memset(recorded, 0, sizeof(*recorded));
    recorded->code = answer.code;
    recorded->outcome = answer.outcome;
    recorded->max_age_s = (answer.fields & FIELD_MAX_AGE) != 0
                              ? answer.max_age_s
                              : RECORDED_NO_MAX_AGE;
    recorded->content_format = RECORDED_NO_FORMAT;
    recorded->payload = (uint8_t *)answer.payload;
    recorded->payload_len = answer.payload_len;
}

static void
on_failed(struct work *work, enum error_kind kind, bool not_run,
          uint32_t retry_after_ms)
{
    struct command *cmd = container_of(work, struct command, work);
    struct recorded_answer recorded;

    data_count_error(cmd->commands->task, kind);
    fill_refusal(&recorded, kind, not_run, retry_after_ms);
    record_and_send(cmd, &recorded);
}

static void
on_response(void *ctx, enum error_kind kind, bool sent,
            const struct target_response *response)
{
    struct work *work = ctx;
    struct command *cmd = container_of(work, struct command, work);
    struct recorded_answer recorded = {.max_age_s = RECORDED_NO_MAX_AGE};
    int format = -1;

    if (!work_report_result(cmd->commands->task, work, kind, sent, response)) {
        return;
    }
    work_record_times(cmd->commands->task, work);
    if (response->content_type != NULL) {
        format = http_map_content_format(response->content_type);
    }
    recorded.code =
        http_map_status(response->http_status, (uint8_t)cmd->method_code);
    recorded.content_format =
        format < 0 ? RECORDED_NO_FORMAT : (uint16_t)format;
    recorded.payload = (uint8_t *)response->body;
    recorded.payload_len = response->body_len;
    record_and_send(cmd, &recorded);
}

static bool
on_send(struct work *work)
{
    struct command *cmd = container_of(work, struct command, work);
    struct target_request request = {
        .method = http_map_method((uint8_t)cmd->method_code),
        .path = cmd->path,
        .service = cmd->service,
        .request_id = cmd->record->id,
        .flow_id = cmd->flow_id,
        .deadline_ms = work_deadline_ms(work, clock_monotonic_us()),
        .body = cmd->body,
        .body_len = cmd->body_len,
    };

    return work_send_request(cmd->commands->task, work, &request, on_response);
}

static const struct work_ops command_ops = {
    .send = on_send,
    .failed = on_failed,
};

static struct command *
command_new(struct commands *commands, const struct inbound *in,
            struct request_record *record)
{
    const struct packet *p = &in->packet;
    struct command *cmd = calloc(1, sizeof(*cmd) + p->payload_len);

    if (cmd == NULL) {
        return NULL;
    }
    cmd->work.ops = &command_ops;
    cmd->commands = commands;
    cmd->record = record;
    cmd->caller = in->caller;
    cmd->block2 = p->block2;
    if ((p->fields & FIELD_BLOCK2) == 0) {
        cmd->block2.szx = PACKET_SZX_MAX;
    }
    cmd->method_code = p->code;
    memcpy(cmd->service, in->port->service, sizeof(cmd->service));
    inbound_tenant(in, cmd->tenant);
    inbound_path(in, cmd->path, sizeof(cmd->path));
    snprintf(cmd->flow_id, sizeof(cmd->flow_id),
             "%" PRIx64 ".%" PRIx32 ".%" PRIx32, in->token.incarnation,
             in->token.slot, in->token.generation);
    cmd->body_len = p->payload_len;
    if (p->payload_len > 0) {
        memcpy(cmd->body, p->payload, p->payload_len);
    }
    record->exchange = cmd;
    list_push_back(&commands->running, &cmd->link);
    return cmd;
}

/* Records the request in its flow, so that later copies are recognized, and
 * submits it to the dispatcher. */
static void
deliver(struct commands *commands, const struct inbound *in,
        const struct home_verdict *verdict)
{
    struct data_task *task = commands->task;
    uint64_t now = clock_monotonic_us();
    struct dispatch_service *svc =
        dispatch_find(&task->dispatch, in->port->service);
    struct request_record *record;
    struct command *cmd;

    assert(verdict->flow != NULL);
    record = svc == NULL ? NULL
                         : flow_table_begin(task->home.flows, verdict->flow,
                                            verdict->id);
    if (record == NULL) {
        answer_error(task, &in->caller, ERR_NO_MEMORY, OUTCOME_NONE,
                     RETRY_NO_ADVICE_MS);
        return;
    }
    cmd = command_new(commands, in, record);
    if (cmd == NULL) {
        struct recorded_answer recorded;

        fill_refusal(&recorded, ERR_OVERLOADED, true, RETRY_SOON_MS);
        flow_table_finish(task->home.flows, record, &recorded);
        answer_error(task, &in->caller, ERR_OVERLOADED, OUTCOME_NOT_RUN,
                     RETRY_SOON_MS);
        return;
    }
    cmd->work.job.class = CLASS_COMMAND;
    cmd->work.job.repeatable =
        packet_method_is_idempotent((uint8_t)cmd->method_code);
    cmd->work.job.tenant = cmd->tenant;
    cmd->work.job.deadline_us = inbound_deadline_us(in);
    cmd->work.job.flow_hash = in->token.slot;
    cmd->work.job.bound = verdict->flow->target;
    dispatch_submit(&task->dispatch, svc, &cmd->work.job, now);
}

/* The error kind for a new request that this home refuses. */
static enum error_kind
refusal_kind(const struct home *home)
{
    if (home->stopping) {
        return ERR_STOPPING;
    }
    return home->stale ? ERR_STALE_VIEW : ERR_TOKEN_EXPIRED;
}

/* Refuses a new request. The refusal is recorded in the flow, so that a later
 * copy of the request cannot run. */
static void
refuse(struct commands *commands, const struct inbound *in,
       const struct home_verdict *verdict, enum error_kind kind,
       uint32_t retry_after_ms)
{
    struct data_task *task = commands->task;
    struct packet_block block = {.szx = PACKET_SZX_MAX};
    struct recorded_answer recorded;
    struct request_record *record =
        flow_table_begin(task->home.flows, verdict->flow, verdict->id);

    if (record == NULL) {
        answer_error(task, &in->caller, ERR_NO_MEMORY, OUTCOME_NONE,
                     RETRY_NO_ADVICE_MS);
        return;
    }
    data_count_error(task, kind);
    fill_refusal(&recorded, kind, true, retry_after_ms);
    flow_table_finish(task->home.flows, record, &recorded);
    send_recorded(task, &in->caller, &recorded, &block);
}

/* Answers a block of a request body: with CODE_CONTINUE when the block was
 * accepted, with CODE_INCOMPLETE when an earlier block is missing and the
 * caller has to send the body again (RFC 7959 sections 2.9.1 and 2.9.2). The
 * answer repeats the flow token, because a client may otherwise send the next
 * block without one (RFC 9175 section 2.3). */
static void
answer_block(struct commands *commands, const struct inbound *in, uint8_t code)
{
    struct packet answer = {
        .code = code,
        .fields = FIELD_BLOCK1 | FIELD_ECHO,
        .block1 = in->packet.block1,
        .echo_len = in->packet.echo_len,
    };

    memcpy(answer.echo, in->packet.echo, in->packet.echo_len);
    answer_send(commands->task, &in->caller, &answer);
}

static void
fill_block(const struct inbound *in, const struct home_verdict *verdict,
           struct body_block *block)
{
    const struct packet *p = &in->packet;

    block->slot = in->token.slot;
    block->generation = in->token.generation;
    block->id = verdict->id;
    block->offset = (uint64_t)p->block1.num << (p->block1.szx + 4);
    block->more = p->block1.more;
    block->data = p->payload;
    block->size = p->payload_len;
    block->limit = in->port->view->service.body_limit;
}

/* Delivers a request after the last block of its body has arrived. */
static void
deliver_body(struct commands *commands, const struct inbound *in,
             const struct home_verdict *verdict,
             const struct body_block *block)
{
    struct inbound assembled = *in;

    assembled.packet.payload = body_assemblies_get(
        commands->bodies, block, &assembled.packet.payload_len);
    deliver(commands, &assembled, verdict);
    body_assemblies_drop(commands->bodies, block);
}

/* Handles one block of a request body. The request is recorded only when its
 * last block has arrived or when it is refused, so a caller may send an
 * unfinished body again from its first block. */
static void
receive_block(struct commands *commands, const struct inbound *in,
              const struct home_verdict *verdict)
{
    struct body_block block;

    if (packet_request_id(&in->packet) == 0) {
        /* Without a request id, blocks of different requests cannot be told
         * apart. */
        refuse(commands, in, verdict, ERR_TOO_LARGE, RETRY_NO_ADVICE_MS);
        return;
    }
    fill_block(in, verdict, &block);
    switch (
        body_assemblies_add(commands->bodies, &block, clock_monotonic_us())) {
    case BODY_MORE:
        answer_block(commands, in, CODE_CONTINUE);
        break;
    case BODY_INCOMPLETE:
        answer_block(commands, in, CODE_INCOMPLETE);
        break;
    case BODY_TOO_LARGE:
        refuse(commands, in, verdict, ERR_TOO_LARGE, RETRY_NO_ADVICE_MS);
        break;
    case BODY_NO_ROOM:
        refuse(commands, in, verdict, ERR_OVERLOADED, RETRY_SOON_MS);
        break;
    case BODY_COMPLETE:
        deliver_body(commands, in, verdict, &block);
        break;
    }
}

static bool
is_part_of_body(const struct packet *p)
{
    return (p->fields & FIELD_BLOCK1) != 0 &&
           (p->block1.more || p->block1.num > 0);
}

/* Delivers or refuses a request that has not been seen before, or handles it
 * as one block of a longer body. */
static void
accept_new(struct commands *commands, const struct inbound *in,
           const struct home_verdict *verdict)
{
    if (is_part_of_body(&in->packet)) {
        receive_block(commands, in, verdict);
        return;
    }
    if (in->packet.payload_len > in->port->view->service.body_limit) {
        refuse(commands, in, verdict, ERR_TOO_LARGE, RETRY_NO_ADVICE_MS);
        return;
    }
    deliver(commands, in, verdict);
}

/* Handles a copy of a request that is running. The answer will be sent to the
 * sender of the latest copy. A retransmission of the same message that was
 * acknowledged before is acknowledged again. */
static void
handle_running_copy(const struct inbound *in,
                    const struct home_verdict *verdict)
{
    struct command *cmd = verdict->record->exchange;
    bool same = cmd->caller.message_id == in->caller.message_id &&
                cmd->caller.addr.addr == in->caller.addr.addr &&
                cmd->caller.addr.port == in->caller.addr.port;
    bool acked = same && cmd->caller.acked;

    data_count(cmd->commands->task, COUNTER_PACKETS_DUPLICATE);
    cmd->caller = in->caller;
    if (acked) {
        answer_send_ack(cmd->commands->task, &cmd->caller);
    }
}

/* Handles a copy of a request whose answer is recorded: sends the block that
 * the copy asks for. */
static void
send_recorded_again(struct commands *commands, const struct inbound *in,
                    const struct home_verdict *verdict)
{
    struct packet_block block = in->packet.block2;

    if ((in->packet.fields & FIELD_BLOCK2) == 0) {
        block.szx = PACKET_SZX_MAX;
    }
    send_recorded(commands->task, &in->caller, &verdict->record->answer,
                  &block);
}

/* Answers a request that may have run under a home that no longer exists. The
 * answer has a new token for the caller's next requests, if one can be
 * issued. */
static void
answer_outcome_unknown(struct commands *commands, const struct inbound *in)
{
    struct packet answer;

    answer_fill_error(&answer, ERR_HOME_LOST, OUTCOME_UNKNOWN,
                      RETRY_NO_ADVICE_MS);
    answer_add_token(commands->task, &answer, in->port->view->hash,
                     clock_monotonic_us());
    answer_send(commands->task, &in->caller, &answer);
}

/* Returns a hash of the message id and the CoAP token, which identifies a
 * request that has no request id. */
static uint32_t
single_key(const struct inbound *in)
{
    const struct packet *p = &in->packet;

    return XXH32(p->token, p->token_len, p->message_id);
}

static struct home_verdict
choose_action(struct commands *commands, const struct inbound *in)
{
    struct home_request request = {
        .service = in->port->view->hash,
        .token = in->has_token ? &in->token : NULL,
        .old_key =
            in->has_token &&
            token_uses_old_key(&commands->task->view->keys, in->packet.echo),
        .id = packet_request_id(&in->packet),
        .single_key = single_key(in),
    };

    return home_decide(&commands->task->home, &request);
}

/* Whether a packet asks for a later block of an answer but has no request id
 * by which to find the recorded answer. Handling the packet as a new request
 * could run the request twice. */
static bool
is_block_without_id(const struct inbound *in)
{
    return (in->packet.fields & FIELD_BLOCK2) != 0 &&
           in->packet.block2.num > 0 && packet_request_id(&in->packet) == 0;
}

void
commands_handle(struct commands *commands, const struct inbound *in)
{
    struct data_task *task = commands->task;
    struct home_verdict verdict;

    if (is_block_without_id(in)) {
        answer_error(task, &in->caller, ERR_BAD_OPTION, OUTCOME_NONE,
                     RETRY_NO_ADVICE_MS);
        return;
    }
    verdict = choose_action(commands, in);
    if (verdict.flow != NULL) {
        flow_table_touch(task->home.flows, verdict.flow, clock_monotonic_us());
    }
    switch (verdict.action) {
    case HOME_CHALLENGE:
        answer_challenge(task, in);
        break;
    case HOME_RELAY:
        relays_forward_to_home(task->relays, in);
        break;
    case HOME_DELIVER:
        accept_new(commands, in, &verdict);
        break;
    case HOME_IN_PROGRESS:
        handle_running_copy(in, &verdict);
        break;
    case HOME_REPEAT:
        send_recorded_again(commands, in, &verdict);
        break;
    case HOME_UNKNOWN:
        answer_outcome_unknown(commands, in);
        break;
    case HOME_REFUSE:
        /* A retry time of 0 makes the caller drop the token and ask another
         * balancer. */
        refuse(commands, in, &verdict, refusal_kind(&task->home),
               RETRY_ELSEWHERE_MS);
        break;
    case HOME_WRONG_SERVICE:
        answer_error(task, &in->caller, ERR_WRONG_SERVICE, OUTCOME_NONE,
                     RETRY_NO_ADVICE_MS);
        break;
    }
}

void
commands_tick(struct commands *commands, uint64_t now)
{
    body_assemblies_expire(commands->bodies, now);
    list_for_each (it, &commands->running) {
        struct command *cmd = container_of(it, struct command, link);

        if (!cmd->caller.acked &&
            now - cmd->caller.received_us >= ANSWER_ACK_DELAY_US) {
            answer_send_ack(commands->task, &cmd->caller);
        }
    }
}
