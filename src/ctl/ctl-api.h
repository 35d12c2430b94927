#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base/random.h"
#include "base/status.h"
#include "state/resource.h"

/* The operators' API as the ctl command calls it: one request at a time, on
 * another balancer when one does not answer, until a time limit. */

#define CTL_ENDPOINTS_MAX 16

struct ctl_endpoint {
    char address[16]; /* dotted IPv4 */
    uint16_t port;
};

struct ctl_api {
    size_t endpoint_count;
    struct ctl_endpoint endpoints[CTL_ENDPOINTS_MAX];
    size_t current;
    uint64_t deadline; /* monotonic, us: requests are not repeated after it */
    struct random random;
};

/* Reads "ADDR:PORT,ADDR:PORT". */
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
    const char *body;     /* NULL for none */
    const char *match;    /* If-Match, NULL for none */
    bool create;          /* If-None-Match: * */
    const char *write_id; /* of a PUT or DELETE, so that it can be repeated */
};

struct ctl_answer {
    int http_status;
    uint64_t version; /* of the ETag, 0: none */
    char *text;       /* body, ended by a NUL */
    json_t *json;     /* NULL when the body is not JSON */
    bool maybe_done;  /* an earlier attempt was sent, and its answer lost */
};

/* Sends a request. Returns false when no balancer answers in time, with
 * ERR_STORE_DOWN when none got the request, else with ERR_STORE_UNKNOWN. An
 * answer with an error is an answer. A 503 is waited out. */
bool ctl_api_call(struct ctl_api *api, const struct ctl_request *request,
                  struct ctl_answer *answer, struct status *st);
/* Stays with the balancer that answered last. */
void ctl_api_pin(struct ctl_api *api);
void ctl_answer_clear(struct ctl_answer *answer);

/* Message of an answer with an error. */
const char *ctl_answer_message(const struct ctl_answer *answer);

void ctl_new_write_id(char out[WRITE_ID_SIZE]);
