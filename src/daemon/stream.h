#pragma once

#include "daemon/data.h"

/* Streams: observations (RFC 7641) fed by Server-Sent Events of a target.
 * Each notification carries the event's number as its ETag, so that a caller
 * sees a gap and registers again from where it was. */

struct streams *streams_new(struct data_task *task);
void streams_destroy(struct streams *streams);

/* Handles a GET with the Observe option. */
void streams_handle(struct streams *streams, const struct inbound *in);

/* A Reset of a caller ends its observations (RFC 7641 section 3.6). */
void streams_on_reset(struct streams *streams, const struct endpoint *from,
                      uint16_t message_id);
void streams_tick(struct streams *streams, uint64_t now);

/* Begins the planned stop: the notifications ask the callers to register
 * elsewhere, and the registrations end a while after. */
void streams_stop(struct streams *streams, uint64_t now);
/* Takes new registrations again. */
void streams_resume(struct streams *streams);
bool streams_idle(const struct streams *streams);
