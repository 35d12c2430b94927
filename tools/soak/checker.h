#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Checks the promises of flow forwarding from what callers, targets, routers
 * and the operator see. It has no clock of its own: times are in ms of the
 * caller's steady clock. */

enum promise {
    PROMISE_ONCE,    /* an unsafe request runs at most once */
    PROMISE_SERVICE, /* no flow opens at another service's target */
    PROMISE_ANSWER,  /* answers are whole and the caller's own */
    PROMISE_FLOW,    /* an open flow of a living target is not ended */
    PROMISE_DRAIN,   /* no new flow at a leaving target past the bound */
    PROMISE_CHANGE,  /* no older configuration past the bound */
    PROMISE_REVERT,  /* none that goes back within a process */
    PROMISE_SERVED,  /* what can be served is not refused */
    PROMISE_RECOVER, /* all is served again within the bound */
    PROMISE_GRACE,   /* a planned stop ends within its grace */
    PROMISE_ALIVE,   /* no process ends by itself */
    PROMISE_BOUNDED, /* memory, descriptors and logs stay within limits */
    PROMISE_COUNT,
};

#define CHECKER_ROUTES_MAX 16
#define CHECKER_NO_SERVICE (-1)
#define CHECKER_NO_BALANCER (-1)

struct checker_bounds {
    uint64_t change_ms;    /* a change is in force */
    uint64_t drain_ms;     /* a leaving target gets no new flow */
    uint64_t calm_ms;      /* without a fault before the bounds count */
    uint64_t slack_ms;     /* of what is seen here */
    uint64_t downgrade_ms; /* after which a process may not go back */
    uint64_t flow_max_ms;  /* older flows may end */
};

/* Who can be disturbed. */
enum checker_subject {
    SUBJECT_STORE,
    SUBJECT_BALANCER,
    SUBJECT_TARGET,
    SUBJECT_COUNT,
};

/* "words" occur in the lines that led to it; NULL ends them. */
typedef void (*checker_broken_cb)(void *ctx, enum promise promise,
                                  const char *text, const char *const *words);

struct checker;

const char *promise_name(enum promise promise);

struct checker *checker_new(const struct checker_bounds *bounds,
                            checker_broken_cb cb, void *ctx);
void checker_destroy(struct checker *c);

/* A fault of a subject begins, or ends; several may overlap. */
void checker_disturb(struct checker *c, enum checker_subject kind,
                     unsigned index, uint64_t now);
void checker_calm(struct checker *c, enum checker_subject kind, unsigned index,
                  uint64_t now);

/* The operator sends a configuration: the service of each route. Returns its
 * number. */
unsigned checker_config_sent(struct checker *c,
                             const int services[CHECKER_ROUTES_MAX]);
void checker_config_acked(struct checker *c, unsigned version, uint64_t now);

/* A process of a balancer starts, or is told to stop. */
void checker_balancer_started(struct checker *c, unsigned balancer,
                              uint64_t now);
void checker_balancer_stopping(struct checker *c, unsigned balancer,
                               uint64_t now);

/* Each start of a target has an index of its own. */
void checker_target_ready(struct checker *c, unsigned target, int service,
                          uint64_t now);
void checker_target_leaving(struct checker *c, unsigned target, uint64_t now);

/* A flow: its caller's address and port, and the route. */
struct checker_flow_key {
    uint32_t caller;
    uint16_t port;
    uint16_t route; /* index */
};

/* The router hands an opening to a balancer. */
void checker_opening(struct checker *c, const struct checker_flow_key *key,
                     unsigned balancer, uint64_t now);
/* A target accepts it. */
void checker_opened(struct checker *c, const struct checker_flow_key *key,
                    unsigned target, uint64_t now);
/* A target runs a request of the flow. */
void checker_ran(struct checker *c, const struct checker_flow_key *key,
                 unsigned target, const char *request, bool unsafe,
                 uint64_t now);
/* A target gets a packet of a flow that it does not hold. */
void checker_stray(struct checker *c, const struct checker_flow_key *key,
                   unsigned target, uint64_t now);
/* A caller gets a reset, from a balancer or else a target. */
void checker_reset(struct checker *c, const struct checker_flow_key *key,
                   int balancer, bool open, uint64_t now);
/* A caller gets an answer that is not its own. */
void checker_wrong_answer(struct checker *c,
                          const struct checker_flow_key *key,
                          const char *request);
/* Something seen elsewhere has broken a promise. */
void checker_report(struct checker *c, enum promise promise, const char *text,
                    const char *word);
