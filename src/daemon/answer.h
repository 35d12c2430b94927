#pragma once

#include "base/clock.h"
#include "base/status.h"
#include "daemon/data.h"

/* Answers to callers: piggybacked on the ACK while that is in time, else
 * separate and retransmitted a few times (RFC 7252 section 5.2). */

/* After this time without an answer the caller gets an empty ACK, before its
 * first retransmission is due (RFC 7252 section 4.8: at least 2 s). */
#define ANSWER_ACK_AFTER_US (1200 * USEC_PER_MSEC)

/* Values of "retry_after_ms", the time after which a refused request is worth
 * sending again. */
#define RETRY_ELSEWHERE_MS 0 /* now: another balancer can take it */
#define RETRY_SOON_MS 1000
#define RETRY_NO_ADVICE_MS UINT32_MAX

struct answers *answers_new(struct data_task *task);
void answers_destroy(struct answers *answers);

/* Sends an answer; type, message id and token are filled from "caller". */
void answer_send(struct data_task *task, const struct caller *caller,
                 struct packet *answer);

/* Sends the answer that the error table gives for a kind. "outcome" goes
 * before the table's when it is not OUTCOME_NONE. */
void answer_error(struct data_task *task, const struct caller *caller,
                  enum error_kind kind, enum packet_outcome outcome,
                  uint32_t retry_after_ms);

/* Fills "answer" with what answer_error() would send. The payload points to
 * constant text. */
void answer_fill_error(struct packet *answer, enum error_kind kind,
                       enum packet_outcome outcome, uint32_t retry_after_ms);

/* Adds a fresh token to an answer. Returns false when none can be issued. */
bool answer_add_token(struct data_task *task, struct packet *answer,
                      uint32_t service, uint64_t now);

/* Answers 4.01 with a fresh token, or refuses when none can be issued. */
void answer_challenge(struct data_task *task, const struct inbound *in);

/* Sends an empty ACK so that the caller stops retransmitting. */
void answer_ack(struct data_task *task, struct caller *caller);

/* A notification outside of any exchange: NON with a new message id. */
void answer_notify(struct data_task *task, const struct caller *caller,
                   struct packet *answer);

/* An empty ACK or RST of a caller ends the retransmission of its answer. */
void answers_on_ack(struct answers *answers, const struct endpoint *from,
                    uint16_t message_id);
void answers_tick(struct answers *answers, uint64_t now);
bool answers_idle(const struct answers *answers);
