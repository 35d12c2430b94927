#include "daemon/answer.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "daemon/service-ports.h"
#include "protocol/error-table.h"
#include "protocol/token.h"

/* RFC 7252 section 4.8, less the last retransmission: an ACK may be handed to
 * another balancer, so that repeating longer shows nothing. */
#define LATE_ACK_TIMEOUT_US (2 * USEC_PER_SEC)
#define LATE_RETRANSMIT_MAX 3
#define LATE_ANSWERS_MAX 10000
#define NO_TOKEN_RETRY_MS 1000

/* An answer is at most this many times as long as the request of a caller
 * whose address is not verified (RFC 9175 section 2.4). */
#define AMPLIFICATION_MAX 3
/* Bytes that may be answered to any request: with its headers, a smallest
 * Ethernet frame is more than a third of that. Holds a challenge. */
#define UNVERIFIED_ANSWER_BYTES 136

struct answers {
    struct data_task *task;
    struct list late; /* struct late_answer, next due first or nearly so */
    size_t late_count;
    uint16_t message_id;
};

/* A separate answer that is not yet acknowledged. */
struct late_answer {
    struct list link;
    struct endpoint to;
    uint16_t service_port;
    uint16_t message_id;
    unsigned sent_count;
    uint64_t due_us;
    size_t size;
    uint8_t data[];
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
    list_init(&answers->late);
    return answers;
}

static void
late_free(struct answers *answers, struct late_answer *late)
{
    list_remove(&late->link);
    answers->late_count--;
    free(late);
}

void
answers_destroy(struct answers *answers)
{
    if (answers == NULL) {
        return;
    }
    list_for_each_safe (it, &answers->late) {
        late_free(answers, container_of(it, struct late_answer, link));
    }
    free(answers);
}

bool
answers_idle(const struct answers *answers)
{
    return list_empty(&answers->late);
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
keep_late(struct answers *answers, const struct caller *caller,
          uint16_t message_id, const uint8_t *data, size_t size, uint64_t now)
{
    struct late_answer *late;

    if (answers->late_count >= LATE_ANSWERS_MAX) {
        return;
    }
    late = calloc(1, sizeof(*late) + size);
    if (late == NULL) {
        return;
    }
    late->to = caller->addr;
    late->service_port = caller->service_port;
    late->message_id = message_id;
    late->sent_count = 1;
    late->due_us = now + LATE_ACK_TIMEOUT_US;
    late->size = size;
    memcpy(late->data, data, size);
    list_push_back(&answers->late, &late->link);
    answers->late_count++;
}

static void
set_token(struct packet *answer, const struct caller *caller)
{
    memcpy(answer->token, caller->token, caller->token_len);
    answer->token_len = caller->token_len;
}

static void
set_header(struct answers *answers, struct packet *answer,
           const struct caller *caller)
{
    set_token(answer, caller);
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
fits_request(const struct caller *caller, size_t size)
{
    return size <= UNVERIFIED_ANSWER_BYTES ||
           size <= caller->request_size * AMPLIFICATION_MAX;
}

/* Why answer_add_token() failed, and when to come back. */
static enum error_kind
no_token_kind(const struct data_task *task)
{
    return task->home.stopping ? ERR_STOPPING : ERR_OVERLOADED;
}

static uint32_t
no_token_retry_ms(const struct data_task *task)
{
    return task->home.stopping ? RETRY_ELSEWHERE_MS : RETRY_SOON_MS;
}

/* Puts a short answer in the place of one that is too long for a caller whose
 * address is not verified: a challenge, or the word to come back where none
 * can be issued. Only a read gets there, which may be sent again without harm:
 * a request that changed something came with a token. */
static void
shorten(struct data_task *task, const struct caller *caller,
        struct packet *answer)
{
    const struct service_port *port =
        service_ports_find(task->ports, caller->service_port);
    struct packet shorter = {.code = CODE_UNAUTHORIZED};

    if (port == NULL || port->view == NULL ||
        !answer_add_token(task, &shorter, port->view->hash,
                          clock_monotonic_us())) {
        answer_fill_error(&shorter, no_token_kind(task), OUTCOME_NOT_RUN,
                          no_token_retry_ms(task));
    }
    shorter.type = answer->type;
    shorter.message_id = answer->message_id;
    set_token(&shorter, caller);
    *answer = shorter;
}

void
answer_send(struct data_task *task, const struct caller *caller,
            struct packet *answer)
{
    uint8_t data[PACKET_SIZE_MAX];
    size_t size;

    set_header(task->answers, answer, caller);
    size = packet_build(answer, data, sizeof(data));
    if (!caller->verified && !fits_request(caller, size)) {
        shorten(task, caller, answer);
        size = packet_build(answer, data, sizeof(data));
    }
    if (size == 0) {
        return;
    }
    data_count(task, COUNTER_ANSWERS);
    send_raw(task, caller->service_port, &caller->addr, data, size);
    if (answer->type == PACKET_CON) {
        keep_late(task->answers, caller, answer->message_id, data, size,
                  clock_monotonic_us());
    }
}

void
answer_notify(struct data_task *task, const struct caller *caller,
              struct packet *answer)
{
    uint8_t data[PACKET_SIZE_MAX];
    size_t size;

    set_token(answer, caller);
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

/* A request that may be repeated gets no word on its outcome. */
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
    if (packet_method_is_repeatable(caller->code) &&
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
        answer_error(task, &in->caller, no_token_kind(task), OUTCOME_NOT_RUN,
                     no_token_retry_ms(task));
        return;
    }
    answer_send(task, &in->caller, &answer);
}

void
answer_ack(struct data_task *task, struct caller *caller)
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
    list_for_each_safe (it, &answers->late) {
        struct late_answer *late = container_of(it, struct late_answer, link);

        if (late->message_id == message_id && late->to.addr == from->addr &&
            late->to.port == from->port) {
            late_free(answers, late);
            return;
        }
    }
}

/* Retransmits what is due, each time after twice the time before. */
void
answers_tick(struct answers *answers, uint64_t now)
{
    list_for_each_safe (it, &answers->late) {
        struct late_answer *late = container_of(it, struct late_answer, link);

        if (now < late->due_us) {
            continue;
        }
        if (late->sent_count > LATE_RETRANSMIT_MAX) {
            late_free(answers, late);
            continue;
        }
        send_raw(answers->task, late->service_port, &late->to, late->data,
                 late->size);
        late->due_us = now + (LATE_ACK_TIMEOUT_US << late->sent_count);
        late->sent_count++;
    }
}
