#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "state/flow-table.h"
#include "state/flow-token.h"

/* Decides what happens to a request that needs a home: one that may not be
 * repeated is delivered only by the process incarnation that its flow token
 * names, and at most once. The client carries the location of its state, an
 * idea of HTTP session replication by cookies; unlike there, no second copy
 * of the state exists, and losing the home costs answers, never a second
 * run. */

struct home {
    struct flow_table *flows;
    uint32_t addr; /* IPv4, host byte order */
    uint16_t port; /* relay port */
    uint64_t incarnation;
    bool stopping; /* planned stop: no new work */
    bool stale;    /* paused, and the view is not refreshed yet */
};

struct home_request {
    uint32_t service;               /* hash of the port's service */
    const struct flow_token *token; /* NULL: none that verifies */
    bool old_key;        /* the token's key seals no longer, but still opens */
    uint64_t id;         /* from Request-Tag, 0: none */
    uint32_t single_key; /* hash of message id and token, without an id */
};

enum home_action {
    HOME_CHALLENGE,   /* answer 4.01 with a fresh token */
    HOME_RELAY,       /* hand it to the home that the token names */
    HOME_DELIVER,     /* new: record it and deliver it */
    HOME_IN_PROGRESS, /* a copy of a running request */
    HOME_REPEAT,      /* a copy of an answered request: the same answer */
    HOME_UNKNOWN,     /* it may have run; never deliver it */
    HOME_REFUSE,      /* new, but not now: record "not run" and say so */
    HOME_WRONG_SERVICE,
};

struct home_verdict {
    enum home_action action;
    struct flow *flow;             /* DELIVER, REFUSE and the copies */
    struct request_record *record; /* IN_PROGRESS, REPEAT */
    uint64_t id;                   /* to record under: DELIVER, REFUSE */
};

struct home_verdict home_decide(struct home *home,
                                const struct home_request *request);

/* Opens a flow for a caller and fills its token. Returns false when no slot
 * can be had or the process is stopping. */
bool home_open_flow(struct home *home, uint32_t service, uint32_t target,
                    uint64_t now, struct flow_token *token);
