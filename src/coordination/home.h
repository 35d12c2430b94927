#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "state/flow-table.h"
#include "state/flow-token.h"

/* Decides what happens to a request of a flow. The home of a flow is the
 * process incarnation that its flow token names. A request that may not be
 * repeated is delivered only by its home, and at most once. The client carries
 * the location of its state, as in HTTP session replication by cookies; unlike
 * there, no second copy of the state exists, and the loss of a home loses
 * answers but never causes a second run. */

struct home {
    struct flow_table *flows;
    uint32_t addr; /* IPv4, host byte order */
    uint16_t port; /* relay port */
    /* Random number of this process, drawn at its start */
    uint64_t incarnation;
    bool stopping; /* planned stop: new requests are refused */
    /* This process was paused, and its view may be out of date. */
    bool stale;
};

struct home_request {
    /* Hash of the id of the service whose port received the request */
    uint32_t service;
    const struct flow_token *token; /* NULL: there is no valid token */
    /* The token is sealed with a key that is still accepted, but no longer
     * used to seal new tokens. */
    bool old_key;
    uint64_t id; /* request id from Request-Tag; 0: none */
    /* Identifies a request without an id: hash of its message id and token */
    uint32_t single_key;
};

enum home_action {
    HOME_CHALLENGE, /* answer 4.01 with a new token */
    HOME_RELAY,     /* forward the request to the home that the token names */
    HOME_DELIVER,   /* new request: record it and deliver it */
    HOME_IN_PROGRESS, /* copy of a running request */
    /* Copy of an answered request: send the same answer. */
    HOME_REPEAT,
    HOME_UNKNOWN, /* the request may have run before: never deliver it */
    /* New request that cannot be accepted now: record it as not run and answer
     * so. */
    HOME_REFUSE,
    /* The token belongs to another service. */
    HOME_WRONG_SERVICE,
};

struct home_verdict {
    enum home_action action;
    /* Set for DELIVER, REFUSE, IN_PROGRESS and REPEAT */
    struct flow *flow;
    struct request_record *record; /* set for IN_PROGRESS and REPEAT */
    /* Request id to record; set for DELIVER and REFUSE */
    uint64_t id;
};

/* Decides on one request. The first request that is delivered or refused
 * determines the kind of its flow. The caller records the request. */
struct home_verdict home_decide(struct home *home,
                                const struct home_request *request);

/* Opens a flow for a caller and fills its token. "service" and "target" are
 * hashes of ids, "target" is 0 for a flow that is not bound. Returns false
 * when the process is stopping or no flow slot is available. */
bool home_open_flow(struct home *home, uint32_t service, uint32_t target,
                    uint64_t now, struct flow_token *token);
