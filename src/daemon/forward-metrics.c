#include "daemon/forward-metrics.h"

#include <inttypes.h>

#include <glib.h>

static void
add(GString *text, const char *name, const char *label, uint64_t value)
{
    g_string_append_printf(text, "pimentohaven_%s%s %" PRIu64 "\n", name,
                           label, value);
}

static void
add_packets(GString *text, const struct forward_counters *c)
{
    static const char *const drops[] = {
        [FORWARD_DROP_MALFORMED] = "{cause=\"malformed\"}",
        [FORWARD_DROP_NO_ROUTE] = "{cause=\"no_route\"}",
        [FORWARD_DROP_NO_VIEW] = "{cause=\"no_view\"}",
        [FORWARD_DROP_UNKNOWN] = "{cause=\"unknown_target\"}",
        [FORWARD_DROP_FORGED] = "{cause=\"forged\"}",
        [FORWARD_DROP_NOT_SENT] = "{cause=\"not_sent\"}",
    };
    static const char *const resets[] = {
        [FORWARD_RESET_NO_ROUTE] = "{cause=\"no_route\"}",
        [FORWARD_RESET_NO_TARGET] = "{cause=\"no_target\"}",
        [FORWARD_RESET_TARGET_SILENT] = "{cause=\"target_silent\"}",
    };

    add(text, "packets_received_total", "", c->received);
    add(text, "packets_passed_on_total", "", c->passed_on);
    add(text, "openings_total", "", c->openings);
    add(text, "opening_copies_total", "", c->opening_copies);
    add(text, "requests_total", "", c->requests);
    add(text, "request_repeats_total", "", c->repeats);
    for (int i = 0; i < FORWARD_DROP_COUNT; i++) {
        add(text, "packets_dropped_total", drops[i], c->drops[i]);
    }
    for (int i = 0; i < FORWARD_RESET_COUNT; i++) {
        add(text, "flows_reset_total", resets[i], c->resets[i]);
    }
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
