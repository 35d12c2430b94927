#include "daemon/forward-metrics.h"

#include <inttypes.h>

#include <glib.h>

#include "base/log.h"

static void
add(GString *text, const char *name, const char *label, uint64_t value)
{
    g_string_append_printf(text, "pimentohaven_%s%s %" PRIu64 "\n", name,
                           label, value);
}

static void
add_cause(GString *text, const char *name, const char *cause, uint64_t value)
{
    char *label = g_strdup_printf("{cause=\"%s\"}", cause);

    add(text, name, label, value);
    g_free(label);
}

static void
add_packets(GString *text, const struct forward_counters *c)
{
    add(text, "packets_received_total", "", c->received);
    add(text, "packets_passed_on_total", "", c->passed_on);
    add(text, "openings_total", "", c->openings);
    add(text, "opening_copies_total", "", c->opening_copies);
    add(text, "requests_total", "", c->requests);
    add(text, "request_repeats_total", "", c->repeats);
    for (int i = 0; i < FORWARD_DROP_COUNT; i++) {
        add_cause(text, "packets_dropped_total",
                  forward_drop_name((enum forward_drop)i), c->drops[i]);
    }
    for (int i = 0; i < FORWARD_RESET_COUNT; i++) {
        add_cause(text, "flows_reset_total",
                  forward_reset_name((enum forward_reset)i), c->resets[i]);
    }
    add(text, "log_lines_lost_total", "", log_lines_lost());
}

static void
add_view(GString *text, struct view_task *task)
{
    const struct forward_view *view = view_task_view(task);
    struct view_task_counters c;

    view_task_counters(task, &c);
    add(text, "view_revision", "", forward_view_revision(view));
    add(text, "view_age_microseconds", "", c.view_age_us);
    add(text, "view_routes", "", forward_view_route_count(view));
    add(text, "view_targets", "", forward_view_target_count(view));
    add(text, "members_alive", "", c.members);
    add(text, "store_calls_total", "", c.store_calls);
    add(text, "gossip_messages_sent_total", "", c.gossip_messages_out);
    add(text, "gossip_bytes_sent_total", "", c.gossip_bytes_out);
}

char *
forward_metrics_text(const struct forward_counters *counters,
                     struct view_task *view)
{
    GString *text = g_string_new(NULL);

    add_packets(text, counters);
    add_view(text, view);
    return g_string_free(text, FALSE);
}
