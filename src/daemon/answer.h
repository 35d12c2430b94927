#pragma once

#include "base/clock.h"
#include "base/status.h"
#include "daemon/data.h"

/* Sends CoAP answers to callers. The answer to a confirmable request is
 * piggybacked on the ACK unless an empty ACK was sent already; then it is a
 * separate response, which is retransmitted until the caller acknowledges it
 * or the retransmissions are used up (RFC 7252 section 5.2). */

/* Time after which a request that has no answer yet is acknowledged with an
 * empty ACK. It is shorter than the time after which a caller first
 * retransmits a request (RFC 7252 section 4.8: at least 2 s). */
#define ANSWER_ACK_DELAY_US (1200 * USEC_PER_MSEC)

/* Values of the parameter "retry_after_ms": how long the caller should wait
 * before it sends a refused request again. It is sent as Max-Age, rounded up
 * to seconds. */
#define RETRY_ELSEWHERE_MS 0 /* at once: another balancer can accept it */
#define RETRY_SOON_MS 1000   /* the cause is expected to pass */
#define RETRY_NO_ADVICE_MS UINT32_MAX /* the answer has no Max-Age */

/* Allocates the message ids and the list of unacknowledged answers of a data
 * task, which must outlive them. Returns NULL when memory is short. */
struct answers *answers_new(struct data_task *task);
void answers_destroy(struct answers *answers);

/* Sends an answer. The caller of this function fills the code, the options and
 * the payload; the type, the message id and the CoAP token are set here. A
 * caller whose address is not verified gets a short answer in place of one
 * that is too long compared with its request (RFC 9175 section 2.4). */
void answer_send(struct data_task *task, const struct caller *caller,
                 struct packet *answer);

/* Counts an error and sends the answer that the error table has for its kind,
 * if any. "outcome" replaces the outcome of the table unless it is
 * OUTCOME_NONE. */
void answer_error(struct data_task *task, const struct caller *caller,
                  enum error_kind kind, enum packet_outcome outcome,
                  uint32_t retry_after_ms);

/* Fills "answer" with the answer that the error table has for a kind, without
 * sending it. The payload points to constant text. */
void answer_fill_error(struct packet *answer, enum error_kind kind,
                       enum packet_outcome outcome, uint32_t retry_after_ms);

/* Opens a flow for a service, given by the hash of its id, and adds the flow's
 * token to the answer as its Echo option. "now" is in microseconds of the
 * monotonic clock. Returns false and leaves the answer unchanged when there is
 * no view or no key, when no flow can be opened or while the process is
 * stopping. */
bool answer_add_token(struct data_task *task, struct packet *answer,
                      uint32_t service, uint64_t now);

/* Answers 4.01 (Unauthorized) with a new flow token, which the caller has to
 * repeat. Refuses the request when no token can be issued. */
void answer_challenge(struct data_task *task, const struct inbound *in);

/* Sends an empty ACK for a confirmable request, so that the caller stops
 * retransmitting it, and marks the caller as acknowledged. Does nothing for
 * other requests. */
void answer_send_ack(struct data_task *task, struct caller *caller);

/* Sends a notification of an observation (RFC 7641) as a non-confirmable
 * message with a new message id, which is stored in "answer". */
void answer_notify(struct data_task *task, const struct caller *caller,
                   struct packet *answer);

/* Ends the retransmission of an answer after its receiver sent an empty ACK or
 * RST with the answer's message id. */
void answers_on_ack(struct answers *answers, const struct endpoint *from,
                    uint16_t message_id);

/* Retransmits the answers that are due. "now" is in microseconds of the
 * monotonic clock. */
void answers_tick(struct answers *answers, uint64_t now);

/* Returns true when no answer waits for an acknowledgement. */
bool answers_idle(const struct answers *answers);
