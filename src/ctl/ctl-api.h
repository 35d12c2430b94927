#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base/random.h"
#include "base/status.h"
#include "state/resource.h"

/* Client of the balancers' HTTP API for the "ctl" subcommand. Sends one
 * request at a time and retries it on the other balancers, until a time
 * limit, when a balancer does not answer or answers 503. */

#define CTL_ENDPOINTS_MAX 16 /* maximum number of addresses in --api */

struct ctl_endpoint {
    char address[16]; /* dotted IPv4 */
    uint16_t port;
};

struct ctl_api {
    size_t endpoint_count;
    struct ctl_endpoint endpoints[CTL_ENDPOINTS_MAX];
    size_t current;    /* index of the endpoint for the next request */
    uint64_t deadline; /* monotonic time in us; see ctl_api_call() */
    struct random random;
};

/* Parses a list of endpoints "ADDR:PORT[,ADDR:PORT...]" and sets the deadline
 * to "timeout_us" from now. Returns false with ERR_INVALID when the list is
 * empty, too long or malformed. */
bool ctl_api_init(struct ctl_api *api, const char *endpoints,
                  uint64_t timeout_us, struct status *st);

enum ctl_method {
    CTL_GET,
    CTL_PUT,
    CTL_DELETE,
};

struct ctl_request {
    enum ctl_method method;
    const char *path;
    const char *body;  /* NULL for none */
    const char *match; /* value of If-Match, NULL for none */
    bool create;       /* send "If-None-Match: *": only create */
    /* Write-Id of a PUT or DELETE, NULL for none. It makes the request
     * idempotent, so that it can be retried. */
    const char *write_id;
};

struct ctl_answer {
    int http_status;
    uint64_t version; /* resource version from the ETag, 0: no ETag */
    char *text;       /* body, terminated by a NUL; owned */
    json_t *json;     /* parsed body, NULL when it is not JSON; owned */
    /* An earlier attempt was sent but got no answer, so the balancer may have
     * executed it. */
    bool answer_lost;
};

/* Sends a request, and retries it until a balancer answers with a status
 * other than 503 or the deadline passes. Tries each balancer once even after
 * the deadline. Returns true for every HTTP response, also an error; the
 * caller then frees "answer" with ctl_answer_clear(). Returns false when the
 * last attempt got no response: with ERR_STORE_DOWN when no attempt can have
 * been executed, with ERR_STORE_UNKNOWN when one may have been. Also returns
 * false, with ERR_NO_MEMORY, when out of memory. */
bool ctl_api_call(struct ctl_api *api, const struct ctl_request *request,
                  struct ctl_answer *answer, struct status *st);
/* Sends all further requests to the balancer that answered last. */
void ctl_api_pin(struct ctl_api *api);
void ctl_answer_clear(struct ctl_answer *answer);

/* Returns the "message" member of an error response, or a placeholder. The
 * text belongs to the answer. */
const char *ctl_answer_message(const struct ctl_answer *answer);

/* Generates a random id for the Write-Id header. */
void ctl_new_write_id(char out[WRITE_ID_SIZE]);
