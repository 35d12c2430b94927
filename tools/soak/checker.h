#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Checks the promises of flow forwarding, using only what callers, targets,
 * routers and the operator observe. The checker reads no clock: all times are
 * passed in, in ms of one monotonic clock. */

enum promise {
    PROMISE_ONCE,    /* an unsafe request runs at most once */
    PROMISE_SERVICE, /* no flow opens at another service's target */
    PROMISE_ANSWER,  /* answers are complete and the caller's own */
    PROMISE_FLOW,    /* an open flow of a running target is not ended */
    PROMISE_DRAIN,   /* a leaving target gets no new flow after the bound */
    PROMISE_EMPTIED, /* an emptied failure domain gets no new flow after the
                        bound */
    PROMISE_CHANGE,  /* no older configuration is used after the bound */
    PROMISE_REVERT,  /* a process does not return to an older configuration */
    PROMISE_SERVED,  /* a flow that can be served is not refused */
    PROMISE_RECOVER, /* all is served again within the bound */
    PROMISE_GRACE,   /* a planned stop ends within its time limit */
    PROMISE_ALIVE,   /* no process ends by itself */
    PROMISE_BOUNDED, /* memory, descriptors and logs stay within limits */
    PROMISE_COUNT,
};

#define CHECKER_ROUTES_MAX 16
#define CHECKER_NO_SERVICE (-1)
#define CHECKER_NO_BALANCER (-1)

struct checker_bounds {
    uint64_t change_ms; /* maximum time from the acknowledgement of a change
                           until it is applied everywhere */
    uint64_t drain_ms;  /* time after which a leaving target gets no new
                           flow */
    uint64_t settle_ms; /* time without a fault until the bounds apply again */
    uint64_t slack_ms;  /* inaccuracy of the observed times */
    uint64_t downgrade_ms; /* time after the first use of a configuration for
                              which a process may still use an older one */
    uint64_t flow_max_ms;  /* age from which an open flow may be ended */
};

/* What a fault can affect. Promises that a fault may excuse are not checked
 * while it affects the subject and for "settle_ms" after that. */
enum checker_subject {
    SUBJECT_STORE, /* index 0 */
    SUBJECT_BALANCER,
    SUBJECT_TARGET,
    SUBJECT_COUNT,
};

/* Reports a broken promise. "words" are search words: event lines that led to
 * it contain one of them. The list ends with NULL. It and "text" are valid
 * during the call only. */
typedef void (*checker_broken_cb)(void *ctx, enum promise promise,
                                  const char *text, const char *const *words);

struct checker;

/* The text of a promise, as reports and mutant patches name it. */
const char *promise_name(enum promise promise);

/* Creates a checker, to be freed with checker_destroy(). "bounds" is copied.
 */
struct checker *checker_new(const struct checker_bounds *bounds,
                            checker_broken_cb cb, void *ctx);
void checker_destroy(struct checker *c);

/* A fault of a subject starts, or ends. Several faults of one subject may
 * overlap; each start needs an end. */
void checker_fault_started(struct checker *c, enum checker_subject kind,
                           unsigned index, uint64_t now);
void checker_fault_ended(struct checker *c, enum checker_subject kind,
                         unsigned index, uint64_t now);

/* The operator sends a configuration: the service of each route, or
 * CHECKER_NO_SERVICE. Returns its version: 0, 1, 2 and so on. */
unsigned checker_config_sent(struct checker *c,
                             const int services[CHECKER_ROUTES_MAX]);
/* The store acknowledges the write of a version. */
void checker_config_acked(struct checker *c, unsigned version, uint64_t now);

/* A balancer's process starts, or is told to stop. */
void checker_balancer_started(struct checker *c, unsigned balancer,
                              uint64_t now);
void checker_balancer_stopping(struct checker *c, unsigned balancer,
                               uint64_t now);

/* A target is ready, or is leaving. Each start of a target has an index of its
 * own. */
void checker_target_ready(struct checker *c, unsigned target, int service,
                          uint64_t now);
void checker_target_leaving(struct checker *c, unsigned target, uint64_t now);

/* Sets the failure domain of a target; 0 if it is never set. */
void checker_target_domain(struct checker *c, unsigned target,
                           unsigned domain);
/* The operator sends the order to empty a failure domain, and the store
 * acknowledges it; the operator takes it back, and the store acknowledges
 * that. */
void checker_order_sent(struct checker *c, unsigned domain);
void checker_order_acked(struct checker *c, unsigned domain, uint64_t now);
void checker_order_ending(struct checker *c, unsigned domain);
void checker_order_ended(struct checker *c, unsigned domain, uint64_t now);

/* Identifies a flow. Compared bytewise. */
struct checker_flow_key {
    uint32_t caller; /* IPv4 address, host byte order */
    uint16_t port;   /* of the caller */
    uint16_t route;  /* index */
};

/* The router forwards the opening packet (SYN) of a flow to a balancer. */
void checker_opening_forwarded(struct checker *c,
                               const struct checker_flow_key *key,
                               unsigned balancer, uint64_t now);
/* A target accepts a flow. */
void checker_flow_accepted(struct checker *c,
                           const struct checker_flow_key *key, unsigned target,
                           uint64_t now);
/* A target runs a request of a flow. Unsafe requests are those that must not
 * run twice; "request" is unique for each. */
/* The end of the handshake of a flow has reached a target: the flow is open
 * there. */
void checker_flow_established(struct checker *c,
                              const struct checker_flow_key *key,
                              unsigned target);
void checker_request_run(struct checker *c, const struct checker_flow_key *key,
                         unsigned target, const char *request, bool unsafe,
                         uint64_t now);
/* A target receives a packet of a flow that it does not have. */
void checker_stray_packet(struct checker *c,
                          const struct checker_flow_key *key, unsigned target,
                          uint64_t now);
/* A caller receives a reset. "balancer" is its sender, or CHECKER_NO_BALANCER
 * if a target sent it; "open" is false if the flow was not open yet. */
void checker_reset_received(struct checker *c,
                            const struct checker_flow_key *key, int balancer,
                            bool open, uint64_t now);
/* A caller receives an answer that is malformed, from another service or to
 * another request. */
void checker_wrong_answer(struct checker *c,
                          const struct checker_flow_key *key,
                          const char *request);
/* Reports a promise that was seen to be broken outside the checker. "word" is
 * the search word for event lines. */
void checker_report_broken(struct checker *c, enum promise promise,
                           const char *text, const char *word);
