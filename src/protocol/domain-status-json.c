#include "protocol/domain-status-json.h"

#include <stdio.h>
#include <string.h>

#include <jansson.h>

static const char *const member_state_names[] = {
    [MEMBER_ALIVE] = "alive",
    [MEMBER_SUSPECT] = "suspect",
    [MEMBER_DEAD] = "vanished",
    [MEMBER_LEFT] = "left",
};

static json_t *
build_waiting_hosts(const struct domain_status *status)
{
    json_t *list = json_array();

    for (size_t i = 0; i < status->waiting_count; i++) {
        const struct report_waiting_host *w = &status->waiting[i];

        json_array_append_new(
            list, json_pack("{s:s, s:s, s:b, s:I, s:I}", "host", w->host,
                            "state", member_state_names[w->state], "reported",
                            w->reported, "applied", (json_int_t)w->applied,
                            "since_us", (json_int_t)w->since_us));
    }
    return list;
}

char *
domain_status_json_build(const struct domain_status *status)
{
    json_t *json = json_pack(
        "{s:s, s:s, s:I, s:I, s:I, s:I, s:i, s:i, s:o}", "domain",
        status->domain, "writer", status->writer, "time_us",
        (json_int_t)status->time_us, "floor", (json_int_t)status->floor,
        "others", (json_int_t)status->others, "revision",
        (json_int_t)status->revision, "members", (int)status->members,
        "waiting_more", (int)status->waiting_more, "waiting",
        build_waiting_hosts(status));
    char *text = json_dumps(json, JSON_COMPACT);

    json_decref(json);
    return text;
}

/* Returns 0 for a member that is missing, negative or not an integer. */
static uint64_t
get_number(const json_t *json, const char *key)
{
    json_int_t value = json_integer_value(json_object_get(json, key));

    return value < 0 ? 0 : (uint64_t)value;
}

/* Copies a string, truncated to ID_SIZE - 1 bytes; "" if it is missing. */
static void
get_text(const json_t *json, const char *key, char out[ID_SIZE])
{
    const char *text = json_string_value(json_object_get(json, key));

    snprintf(out, ID_SIZE, "%s", text == NULL ? "" : text);
}

static enum member_state
get_state(const json_t *json)
{
    char name[ID_SIZE];

    get_text(json, "state", name);
    for (int i = MEMBER_ALIVE; i <= MEMBER_LEFT; i++) {
        if (strcmp(member_state_names[i], name) == 0) {
            return (enum member_state)i;
        }
    }
    /* Unknown, perhaps written by a newer release: the host may not be alive.
     */
    return MEMBER_DEAD;
}

static void
parse_waiting_host(struct domain_status *status, const json_t *item)
{
    struct report_waiting_host *w;

    if (status->waiting_count == REPORT_WAITING_MAX) {
        status->waiting_more++;
        return;
    }
    w = &status->waiting[status->waiting_count];
    status->waiting_count++;
    get_text(item, "host", w->host);
    w->state = get_state(item);
    w->reported = json_is_true(json_object_get(item, "reported"));
    w->applied = get_number(item, "applied");
    w->since_us = get_number(item, "since_us");
}

bool
domain_status_json_parse(struct domain_status *status, const char *text,
                         size_t len)
{
    json_t *json = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
    json_t *waiting = json_object_get(json, "waiting");
    bool valid = json_is_string(json_object_get(json, "domain")) &&
                 json_is_integer(json_object_get(json, "floor")) &&
                 json_is_array(waiting);

    memset(status, 0, sizeof(*status));
    if (valid) {
        get_text(json, "domain", status->domain);
        get_text(json, "writer", status->writer);
        status->time_us = get_number(json, "time_us");
        status->floor = get_number(json, "floor");
        status->others = get_number(json, "others");
        status->revision = get_number(json, "revision");
        status->members = (uint32_t)get_number(json, "members");
        status->waiting_more = (uint32_t)get_number(json, "waiting_more");
        for (size_t i = 0; i < json_array_size(waiting); i++) {
            parse_waiting_host(status, json_array_get(waiting, i));
        }
    }
    json_decref(json);
    return valid;
}
