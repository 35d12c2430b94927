#pragma once

#include "daemon/data.h"

/* Streams: observations (RFC 7641) whose notifications are the Server-Sent
 * Events of a target. The ETag of a notification is the id of its event, so a
 * caller notices missing events and registers again after the last event that
 * it received. */

/* Allocates the streams of a data task, which must outlive them. Returns NULL
 * when memory is short. */
struct streams *streams_new(struct data_task *task);
/* Closes all streams without a message to their callers. */
void streams_destroy(struct streams *streams);

/* Handles a request with the Observe option: registers, renews or ends an
 * observation. */
void streams_handle(struct streams *streams, const struct inbound *in);

/* Ends the observations of a caller that answered a notification with a Reset
 * (RFC 7641 section 3.6). "message_id" is that of the notification; only the
 * last notification of each observation is known. */
void streams_on_reset(struct streams *streams, const struct endpoint *from,
                      uint16_t message_id);

/* Ends expired observations, opens interrupted streams again and acknowledges
 * registrations that have waited for their answer for ANSWER_ACK_DELAY_US.
 * "now" is in microseconds of the monotonic clock. */
void streams_tick(struct streams *streams, uint64_t now);

/* Stops accepting registrations, for a planned stop or while the host is
 * draining. From now on notifications have a Max-Age of 0, which asks the
 * callers to register with another balancer; after an overlap the remaining
 * observations are ended. */
void streams_stop(struct streams *streams, uint64_t now);

/* Accepts new registrations again after streams_stop(). */
void streams_resume(struct streams *streams);

/* Returns true when there is no observation. */
bool streams_idle(const struct streams *streams);
