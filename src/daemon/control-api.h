#pragma once

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "state/config-store.h"
#include "state/resource.h"

/* Requests of the API task to the control task, over MAILBOX_CONTROL_API:
 * MSG_API_REQUEST carries a struct msg_api_request, MSG_API_ANSWER a struct
 * msg_api_answer with the same id. Answers may arrive in any order. A request
 * may stay without an answer, e.g. when memory is short; the API task times it
 * out after a few seconds. */

enum api_query {
    /* One resource from the configuration store. Parameter: name. Error:
     * ERR_NOT_FOUND when the resource is unknown or deleted. Text: the
     * resource in the operators' JSON form (protocol/resource-json.h); of a
     * tombstone only its kind, id and version. */
    API_QUERY_RESOURCE,
    /* Resources of a kind, sorted by name, without tombstones. Parameters:
     * kind, after, limit, and name as the prefix of the names to list ("" for
     * all). Text: {"items": [resource...], "next": name or null}; "next" is
     * the value of "after" for the next page, null on the last one. */
    API_QUERY_LIST,
    /* Status of the failure domains. Text: a JSON object, see docs/design. */
    API_QUERY_STATUS,
    /* Events by ascending number. Parameters: since, limit. Text: {"events":
     * [{"number", "time_us", "kind", "subject", "cause"}...], "next": number};
     * "next" is the value of "since" for the next request. */
    API_QUERY_EVENTS,
    /* Metrics. Text: Prometheus text of the control and data tasks. */
    API_QUERY_METRICS,
    /* The store accepted a write of the API task. Parameters: resource,
     * revision. The control task applies the resource at once instead of
     * waiting for it to arrive by the watch. Text: none. */
    API_QUERY_WRITE_ACCEPTED,
};

struct msg_api_request {
    uint64_t id;
    enum api_query query;
    enum resource_kind kind;
    char name[RESOURCE_NAME_SIZE];  /* "service/<id>", or a prefix */
    char after[RESOURCE_NAME_SIZE]; /* only names greater than this one */
    uint64_t since;                 /* only events with a greater number */
    uint32_t limit;                 /* maximum number of entries */
    struct resource *resource;      /* owned by the receiver; or NULL */
    uint64_t revision;              /* revision of that write in the store */
};

struct msg_api_answer {
    uint64_t id;
    enum error_kind kind;
    uint64_t version; /* of the resource of API_QUERY_RESOURCE */
    char *text;       /* malloc'd, owned by the receiver; or NULL */
    size_t text_len;
};
