#pragma once

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "state/config-store.h"
#include "state/resource.h"

/* Questions of the api task to the control task, over MAILBOX_CONTROL_API:
 * MSG_API_REQUEST carries a struct msg_api_request, MSG_API_ANSWER a struct
 * msg_api_answer with the same id. Each request gets one answer, in any
 * order; the api task gives up on one after a few seconds. */

enum api_query {
    /* One resource from the configuration store: name. ERR_NOT_FOUND when it
     * is unknown or deleted. Text: the resource in the operators' JSON form
     * (protocol/resource-json.h), or of a tombstone kind, id and version. */
    API_QUERY_RESOURCE,
    /* Resources of a kind in the order of their names: kind, after, limit;
     * "name" is a prefix that names must begin with, "" for all. Text:
     * {"items": [resource...], "next": name or null}. */
    API_QUERY_LIST,
    /* What is in force. Text: a JSON object, see docs/design. */
    API_QUERY_STATUS,
    /* Events after a number: since, limit. Text: {"events": [{"number",
     * "time_us", "kind", "subject", "cause"}...], "next": number}. */
    API_QUERY_EVENTS,
    /* Text: Prometheus text of the control and data tasks. */
    API_QUERY_METRICS,
    /* A write was accepted: resource and revision, so that this balancer need
     * not wait for its watch. Text: empty. */
    API_QUERY_WRITTEN,
};

struct msg_api_request {
    uint64_t id;
    enum api_query query;
    enum resource_kind kind;
    char name[RESOURCE_NAME_SIZE];  /* "service/<id>", or a prefix */
    char after[RESOURCE_NAME_SIZE]; /* names greater than this one */
    uint64_t since;                 /* events with a greater number */
    uint32_t limit;                 /* entries, at most */
    struct resource *resource;      /* owned by the receiver; or NULL */
    uint64_t revision;              /* the store's, of that write */
};

struct msg_api_answer {
    uint64_t id;
    enum error_kind kind;
    uint64_t version; /* of the one resource asked for */
    char *text;       /* malloc'd, owned by the receiver; or NULL */
    size_t text_len;
};
