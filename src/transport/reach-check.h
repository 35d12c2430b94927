#pragma once

#include <event2/event.h>

#include "transport/udp-socket.h"

/* Finds out whether a host accepts TCP connections at an address, without
 * sending any data: the kernel of a host answers also when the process that
 * listens stands still. */

enum reach_result {
    REACH_ANSWERED,    /* the host accepted the connection */
    REACH_REFUSED,     /* it is up, and nothing listens there */
    REACH_NO_ANSWER,   /* it has not answered any attempt in time */
    REACH_NOT_CHECKED, /* this host could not try, which was logged */
};

struct reach_check;

typedef void (*reach_check_cb)(void *ctx, enum reach_result result);

/* Starts a check of the address "to". "cb" is called once, later, unless the
 * check is destroyed before; the caller destroys it in either case, not before
 * "cb" has returned. Returns NULL when out of memory. */
struct reach_check *reach_check_new(struct event_base *base,
                                    const struct endpoint *to,
                                    reach_check_cb cb, void *ctx);
/* Does nothing for NULL. */
void reach_check_destroy(struct reach_check *check);
const char *reach_result_name(enum reach_result result);
