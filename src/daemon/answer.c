#include "daemon/answer.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "daemon/service-ports.h"
#include "protocol/error-table.h"
#include "protocol/token.h"

/* Time until the first retransmission of a separate answer, doubled after
 * each (RFC 7252 section 4.8), and number of retransmissions. The RFC has one
 * retransmission more. It is left out here: the caller's ACK may be delivered
 * to another balancer, so a missing ACK does not prove that the answer was
 * lost, and waiting for it longer shows nothing more. */
#define SEPARATE_ACK_TIMEOUT_US (2 * USEC_PER_SEC)
#define SEPARATE_RETRANSMIT_MAX 3
/* Maximum number of separate answers that wait for an ACK. Further answers are
 * sent once. */
#define PENDING_ANSWERS_MAX 10000

/* Maximum ratio between the length of an answer and the length of the request,
 * for a caller whose address is not verified (RFC 9175 section 2.4). */
#define AMPLIFICATION_FACTOR_MAX 3
/* Length in bytes up to which an answer to an unverified caller is always sent
 * in full, however short its request was. The smallest Ethernet frame,
 * headers included, is more than a third of it, so the ratio above still holds
 * on the network. A challenge fits into it. */
#define UNVERIFIED_ANSWER_BYTES 136

struct answers {
    struct data_task *task;
    struct list pending; /* struct pending_answer, in order of first sending */
    size_t pending_count;
    uint16_t message_id; /* of the next message that needs a new id */
};

/* A separate answer that the caller has not acknowledged yet. */
struct pending_answer {
    struct list link;
    struct endpoint to;
    uint16_t service_port;
    uint16_t message_id;
    unsigned sent_count;
    uint64_t due_us; /* time of the next retransmission */
    size_t size;
    uint8_t data[]; /* the datagram */
};

struct answers *
answers_new(struct data_task *task)
{
    struct answers *answers = calloc(1, sizeof(*answers));

    if (answers == NULL) {
        return NULL;
    }
    answers->task = task;
    answers->message_id = (uint16_t)random_next(&task->random);
    list_init(&answers->pending);
    return answers;
}

static void
pending_answer_free(struct answers *answers, struct pending_answer *pending)
{
    list_remove(&pending->link);
    answers->pending_count--;
    free(pending);
}

void
answers_destroy(struct answers *answers)
{
    if (answers == NULL) {
        return;
    }
    list_for_each_safe (it, &answers->pending) {
        pending_answer_free(answers,
                            container_of(it, struct pending_answer, link));
    }
    free(answers);
}

bool
answers_idle(const struct answers *answers)
{
    return list_empty(&answers->pending);
}

static void
send_raw(struct data_task *task, uint16_t service_port,
         const struct endpoint *to, const uint8_t *data, size_t size)
{
    const struct service_port *port =
        service_ports_find(task->ports, service_port);

    if (port != NULL) {
        data_count(task, COUNTER_PACKETS_SENT);
        udp_socket_send(port->sock, to, data, size);
    }
}

static void
add_pending_answer(struct answers *answers, const struct caller *caller,
                   uint16_t message_id, const uint8_t *data, size_t size,
                   uint64_t now)
{
    struct pending_answer *pending;

    if (answers->pending_count >= PENDING_ANSWERS_MAX) {
        return;
    }
    pending = calloc(1, sizeof(*pending) + size);
    if (pending == NULL) {
        return;
    }
    pending->to = caller->addr;
    pending->service_port = caller->service_port;
    pending->message_id = message_id;
    pending->sent_count = 1;
    pending->due_us = now + SEPARATE_ACK_TIMEOUT_US;
    pending->size = size;
    memcpy(pending->data, data, size);
    list_push_back(&answers->pending, &pending->link);
    answers->pending_count++;
}

static void
set_coap_token(struct packet *answer, const struct caller *caller)
{
    memcpy(answer->token, caller->token, caller->token_len);
    answer->token_len = caller->token_len;
}

static void
set_header(struct answers *answers, struct packet *answer,
           const struct caller *caller)
{
    set_coap_token(answer, caller);
    if (caller->type == PACKET_CON && !caller->acked) {
        answer->type = PACKET_ACK;
        answer->message_id = caller->message_id;
        return;
    }
    answer->type = caller->type == PACKET_CON ? PACKET_CON : PACKET_NON;
    answer->message_id = answers->message_id;
    answers->message_id++;
}

static bool
is_within_amplification_limit(const struct caller *caller, size_t size)
{
    return size <= UNVERIFIED_ANSWER_BYTES ||
           size <= caller->request_size * AMPLIFICATION_FACTOR_MAX;
}

/* The error kind to report after answer_add_token() failed. */
static enum error_kind
token_failure_kind(const struct data_task *task)
{
    return task->home.stopping ? ERR_STOPPING : ERR_OVERLOADED;
}

/* The delay to advise after answer_add_token() failed, in milliseconds. */
static uint32_t
token_failure_retry_ms(const struct data_task *task)
{
    return task->home.stopping ? RETRY_ELSEWHERE_MS : RETRY_SOON_MS;
}

/* Replaces an answer that is too long for a caller whose address is not
 * verified by a challenge, or by a refusal with a time to retry when no token
 * can be issued. This only happens to reads, which a caller can safely send
 * again: a request that changed something came with a token. */
static void
replace_with_short_answer(struct data_task *task, const struct caller *caller,
                          struct packet *answer)
{
    const struct service_port *port =
        service_ports_find(task->ports, caller->service_port);
    struct packet short_answer = {.code = CODE_UNAUTHORIZED};

    if (port == NULL || port->view == NULL ||
        !answer_add_token(task, &short_answer, port->view->hash,
                          clock_monotonic_us())) {
        answer_fill_error(&short_answer, token_failure_kind(task),
                          OUTCOME_NOT_RUN, token_failure_retry_ms(task));
    }
    short_answer.type = answer->type;
    short_answer.message_id = answer->message_id;
    set_coap_token(&short_answer, caller);
    *answer = short_answer;
}

void
answer_send(struct data_task *task, const struct caller *caller,
            struct packet *answer)
{
    uint8_t data[PACKET_SIZE_MAX];
    size_t size;

    set_header(task->answers, answer, caller);
    size = packet_build(answer, data, sizeof(data));
    if (!caller->verified && !is_within_amplification_limit(caller, size)) {
        replace_with_short_answer(task, caller, answer);
        size = packet_build(answer, data, sizeof(data));
    }
    if (size == 0) {
        return;
    }
    data_count(task, COUNTER_ANSWERS);
    send_raw(task, caller->service_port, &caller->addr, data, size);
    if (answer->type == PACKET_CON) {
        add_pending_answer(task->answers, caller, answer->message_id, data,
                           size, clock_monotonic_us());
    }
}

void
answer_notify(struct data_task *task, const struct caller *caller,
              struct packet *answer)
{
    uint8_t data[PACKET_SIZE_MAX];
    size_t size;

    set_coap_token(answer, caller);
    answer->type = PACKET_NON;
    answer->message_id = task->answers->message_id;
    task->answers->message_id++;
    size = packet_build(answer, data, sizeof(data));
    if (size > 0) {
        send_raw(task, caller->service_port, &caller->addr, data, size);
    }
}

void
answer_fill_error(struct packet *answer, enum error_kind kind,
                  enum packet_outcome outcome, uint32_t retry_after_ms)
{
    const struct error_answer *row = error_answer(kind);

    memset(answer, 0, sizeof(*answer));
    answer->code = row->coap_code;
    answer->outcome = outcome == OUTCOME_NONE ? row->outcome : outcome;
    if (answer->outcome != OUTCOME_NONE) {
        answer->fields |= FIELD_OUTCOME;
    }
    if (retry_after_ms != RETRY_NO_ADVICE_MS) {
        answer->fields |= FIELD_MAX_AGE;
        answer->max_age_s = (retry_after_ms + 999) / 1000;
    }
    answer->payload = (const uint8_t *)row->text;
    answer->payload_len = strlen(row->text);
}

/* The answer to a request that may be repeated does not say that its outcome
 * is unknown, since the caller can send the request again. */
void
answer_error(struct data_task *task, const struct caller *caller,
             enum error_kind kind, enum packet_outcome outcome,
             uint32_t retry_after_ms)
{
    struct packet answer;

    data_count_error(task, kind);
    answer_fill_error(&answer, kind, outcome, retry_after_ms);
    if (answer.code == CODE_EMPTY) {
        return;
    }
    if (packet_method_is_idempotent(caller->code) &&
        answer.outcome == OUTCOME_UNKNOWN) {
        answer.fields &= ~(unsigned)FIELD_OUTCOME;
    }
    answer_send(task, caller, &answer);
}

bool
answer_add_token(struct data_task *task, struct packet *answer,
                 uint32_t service, uint64_t now)
{
    struct flow_token token;

    if (task->view == NULL || task->view->keys.count == 0 ||
        !home_open_flow(&task->home, service, 0, now, &token)) {
        return false;
    }
    data_count(task, COUNTER_FLOWS_OPENED);
    token_seal(&token, &task->view->keys, answer->echo);
    answer->echo_len = TOKEN_SIZE;
    answer->fields |= FIELD_ECHO;
    return true;
}

void
answer_challenge(struct data_task *task, const struct inbound *in)
{
    struct packet answer = {.code = CODE_UNAUTHORIZED};

    if (!answer_add_token(task, &answer, in->port->view->hash,
                          clock_monotonic_us())) {
        answer_error(task, &in->caller, token_failure_kind(task),
                     OUTCOME_NOT_RUN, token_failure_retry_ms(task));
        return;
    }
    answer_send(task, &in->caller, &answer);
}

void
answer_send_ack(struct data_task *task, struct caller *caller)
{
    struct packet ack = {
        .type = PACKET_ACK,
        .code = CODE_EMPTY,
        .message_id = caller->message_id,
    };
    uint8_t data[8];
    size_t size = packet_build(&ack, data, sizeof(data));

    if (caller->type == PACKET_CON && size > 0) {
        send_raw(task, caller->service_port, &caller->addr, data, size);
        caller->acked = true;
    }
}

void
answers_on_ack(struct answers *answers, const struct endpoint *from,
               uint16_t message_id)
{
    list_for_each_safe (it, &answers->pending) {
        struct pending_answer *pending =
            container_of(it, struct pending_answer, link);

        if (pending->message_id == message_id &&
            pending->to.addr == from->addr && pending->to.port == from->port) {
            pending_answer_free(answers, pending);
            return;
        }
    }
}

/* The delay before the next retransmission doubles each time. */
void
answers_tick(struct answers *answers, uint64_t now)
{
    list_for_each_safe (it, &answers->pending) {
        struct pending_answer *pending =
            container_of(it, struct pending_answer, link);

        if (now < pending->due_us) {
            continue;
        }
        if (pending->sent_count > SEPARATE_RETRANSMIT_MAX) {
            pending_answer_free(answers, pending);
            continue;
        }
        send_raw(answers->task, pending->service_port, &pending->to,
                 pending->data, pending->size);
        pending->due_us =
            now + (SEPARATE_ACK_TIMEOUT_US << pending->sent_count);
        pending->sent_count++;
    }
}
