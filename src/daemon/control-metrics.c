#include "daemon/control.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "daemon/control-api.h"
#include "daemon/messages.h"

#define OWN_SIZE 8192 /* bytes of the control task's own metrics */

/* Metrics text being written; what does not fit is left out by the line. */
struct text {
    char *data;
    size_t size;
    size_t len;
};

static void put(struct text *text, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
put(struct text *text, const char *fmt, ...)
{
    size_t room = text->size - text->len;
    va_list args;
    int len;

    va_start(args, fmt);
    len = vsnprintf(text->data + text->len, room, fmt, args);
    va_end(args);
    if (len > 0 && (size_t)len < room) {
        text->len += (size_t)len;
    }
}

static void
put_value(struct text *text, const char *type, const char *name,
          uint64_t value)
{
    put(text,
        "# TYPE pimentohaven_%s %s\n"
        "pimentohaven_%s %" PRIu64 "\n",
        name, type, name, value);
}

static void
put_members(struct text *text, const struct member_table *table)
{
    static const struct {
        enum member_state state;
        const char *name;
    } states[] = {
        {MEMBER_ALIVE, "alive"},
        {MEMBER_SUSPECT, "suspect"},
        {MEMBER_DEAD, "dead"},
        {MEMBER_LEFT, "left"},
    };

    put(text, "# TYPE pimentohaven_members gauge\n");
    for (size_t i = 0; i < sizeof(states) / sizeof(*states); i++) {
        put(text,
            "pimentohaven_members{state=\"%s\",scope=\"domain\"} %zu\n"
            "pimentohaven_members{state=\"%s\",scope=\"other\"} %zu\n",
            states[i].name, member_table_count(table, states[i].state, true),
            states[i].name, member_table_count(table, states[i].state, false));
    }
}

static void
put_floors(struct text *text, const struct domain_floors *floors)
{
    put(text, "# TYPE pimentohaven_domain_revision gauge\n");
    for (size_t i = 0; i < floors->count; i++) {
        put(text, "pimentohaven_domain_revision{domain=\"%s\"} %" PRIu64 "\n",
            floors->floors[i].domain, floors->floors[i].revision);
    }
}

static void
put_gossip(struct text *text, const struct gossip_endpoint_counters *counters)
{
    put_value(text, "counter", "gossip_bytes_in_total", counters->bytes_in);
    put_value(text, "counter", "gossip_bytes_out_total", counters->bytes_out);
    put_value(text, "counter", "gossip_messages_in_total",
              counters->messages_in);
    put_value(text, "counter", "gossip_messages_out_total",
              counters->messages_out);
    put_value(text, "counter", "gossip_dropped_total", counters->dropped);
}

static void
put_own(struct text *text, struct control_task *task)
{
    uint64_t now = clock_monotonic_us();

    put_value(text, "gauge", "config_resources",
              config_store_count(task->config));
    put_value(text, "gauge", "config_bytes", config_store_bytes(task->config));
    put_value(text, "gauge", "config_revision",
              config_store_revision(task->config));
    put_value(text, "gauge", "config_applied_revision", task->applied);
    put_value(text, "counter", "config_older_total",
              config_store_older_count(task->config));
    put_value(text, "gauge", "targets_quarantined", task->quarantined);
    put_value(text, "counter", "store_calls_total",
              store_client_calls(task->store));
    put_value(text, "gauge", "store_reachable",
              store_reader_is_reachable(task->reader) ? 1 : 0);
    put_value(text, "gauge", "store_watcher",
              spread_is_watcher(task->spread, now) ? 1 : 0);
    put_gossip(text, gossip_endpoint_counters(task->gossip));
    put_members(text, membership_table(task->members));
    put_floors(text, &task->floors);
}

void
control_metrics_ask(struct control_task *task, uint64_t id)
{
    if (task->metrics_asked_count == CONTROL_METRICS_MAX) {
        return;
    }
    task->metrics_asked[task->metrics_asked_count] = id;
    task->metrics_asked_count++;
    mailbox_send(task->data, MSG_METRICS_ASK, NULL, 0);
}

/* Answers one question with a text of its own. */
static void
reply(struct control_task *task, uint64_t id, const char *data, size_t size)
{
    struct text text = {.size = OWN_SIZE + size};
    struct msg_api_answer answer = {.id = id};

    text.data = malloc(text.size);
    if (text.data == NULL) {
        return;
    }
    if (size > 0) {
        memcpy(text.data, data, size);
        text.len = size;
    }
    put_own(&text, task);
    answer.text = text.data;
    answer.text_len = text.len;
    if (!mailbox_send(task->api, MSG_API_ANSWER, &answer, sizeof(answer))) {
        free(text.data);
    }
}

/* The data task's text answers all that have asked so far. */
void
control_metrics_text(struct control_task *task, const char *data, size_t size)
{
    for (size_t i = 0; i < task->metrics_asked_count; i++) {
        reply(task, task->metrics_asked[i], data, size);
    }
    task->metrics_asked_count = 0;
}
