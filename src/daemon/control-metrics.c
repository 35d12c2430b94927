#include "daemon/control.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "daemon/control-api.h"
#include "daemon/messages.h"

/* Maximum size in bytes of the control task's own metrics. */
#define OWN_METRICS_SIZE_MAX 8192

/* Buffer for metrics text; a call of buffer_printf() whose text does not fit
 * adds nothing. */
struct text_buffer {
    char *data;
    size_t size; /* bytes allocated */
    size_t len;  /* bytes written */
};

static void buffer_printf(struct text_buffer *text, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
buffer_printf(struct text_buffer *text, const char *fmt, ...)
{
    size_t remaining = text->size - text->len;
    va_list args;
    int len;

    va_start(args, fmt);
    len = vsnprintf(text->data + text->len, remaining, fmt, args);
    va_end(args);
    if (len > 0 && (size_t)len < remaining) {
        text->len += (size_t)len;
    }
}

static void
put_value(struct text_buffer *text, const char *type, const char *name,
          uint64_t value)
{
    buffer_printf(text,
                  "# TYPE pimentohaven_%s %s\n"
                  "pimentohaven_%s %" PRIu64 "\n",
                  name, type, name, value);
}

static void
put_members(struct text_buffer *text, const struct member_table *table)
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

    buffer_printf(text, "# TYPE pimentohaven_members gauge\n");
    for (size_t i = 0; i < sizeof(states) / sizeof(*states); i++) {
        buffer_printf(
            text,
            "pimentohaven_members{state=\"%s\",scope=\"domain\"} %zu\n"
            "pimentohaven_members{state=\"%s\",scope=\"other\"} %zu\n",
            states[i].name, member_table_count(table, states[i].state, true),
            states[i].name, member_table_count(table, states[i].state, false));
    }
}

static void
put_floors(struct text_buffer *text, const struct domain_min_revisions *floors)
{
    buffer_printf(text, "# TYPE pimentohaven_domain_revision gauge\n");
    for (size_t i = 0; i < floors->count; i++) {
        buffer_printf(
            text, "pimentohaven_domain_revision{domain=\"%s\"} %" PRIu64 "\n",
            floors->entries[i].domain, floors->entries[i].revision);
    }
}

static void
put_gossip(struct text_buffer *text,
           const struct gossip_endpoint_counters *counters)
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
put_control_metrics(struct text_buffer *text, struct control_task *task)
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
              store_client_call_count(task->store));
    put_value(text, "gauge", "store_reachable",
              store_reader_is_reachable(task->reader) ? 1 : 0);
    put_value(text, "gauge", "store_watcher",
              config_sync_is_watcher(task->config_sync, now) ? 1 : 0);
    put_gossip(text, gossip_endpoint_counters(task->gossip));
    put_members(text, membership_table(task->members));
    put_floors(text, &task->floors);
}

void
control_metrics_request(struct control_task *task, uint64_t id)
{
    if (task->metrics_request_count == CONTROL_METRICS_REQUESTS_MAX) {
        return;
    }
    task->metrics_requests[task->metrics_request_count] = id;
    task->metrics_request_count++;
    mailbox_send(task->data, MSG_METRICS_REQUEST, NULL, 0);
}

/* Sends one API request its own copy of the data task's text, followed by the
 * control task's metrics. */
static void
send_metrics(struct control_task *task, uint64_t id, const char *data,
             size_t size)
{
    struct text_buffer text = {.size = OWN_METRICS_SIZE_MAX + size};
    struct msg_api_answer answer = {.id = id};

    text.data = malloc(text.size);
    if (text.data == NULL) {
        return;
    }
    if (size > 0) {
        memcpy(text.data, data, size);
        text.len = size;
    }
    put_control_metrics(&text, task);
    answer.text = text.data;
    answer.text_len = text.len;
    if (!mailbox_send(task->api, MSG_API_ANSWER, &answer, sizeof(answer))) {
        free(text.data);
    }
}

void
control_metrics_finish(struct control_task *task, const char *data,
                       size_t size)
{
    for (size_t i = 0; i < task->metrics_request_count; i++) {
        send_metrics(task, task->metrics_requests[i], data, size);
    }
    task->metrics_request_count = 0;
}
