#include "daemon/forward-metrics.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "state/metrics-text.h"

#define LABEL_SIZE 64
/* Bytes around the name in the label of a failure domain. */
#define DOMAIN_LABEL_FRAME_SIZE 16

static void
add(FILE *f, const char *name, const char *label, uint64_t value)
{
    fprintf(f, METRICS_PREFIX "%s%s %" PRIu64 "\n", name, label, value);
}

static void
add_cause(FILE *f, const char *name, const char *cause, uint64_t value)
{
    char label[LABEL_SIZE];

    snprintf(label, sizeof(label), "{cause=\"%s\"}", cause);
    add(f, name, label, value);
}

/* Adds the openings refused for lack of room, by priority. */
static void
add_refused(FILE *f, const struct forward_counters *c)
{
    char label[64];

    for (size_t i = 0; i < OPENING_CLASSES; i++) {
        snprintf(label, sizeof(label), "{priority=\"%zu\",repeatable=\"%zu\"}",
                 i / 2, i % 2);
        if (c->refused[i] > 0) {
            add(f, "openings_refused_total", label, c->refused[i]);
        }
    }
}

static void
add_packets(FILE *f, const struct forward_counters *c)
{
    add(f, "packets_received_total", "", c->received);
    add(f, "packets_passed_on_total", "", c->packets_forwarded);
    add(f, "openings_total", "", c->openings);
    add(f, "opening_copies_total", "{copy=\"1\"}", c->opening_copies[0]);
    add(f, "opening_copies_total", "{copy=\"2\"}", c->opening_copies[1]);
    add(f, "openings_to_other_domains_total", "{copy=\"0\"}",
        c->openings_away);
    add(f, "openings_to_other_domains_total", "{copy=\"1\"}", c->copies_away);
    add(f, "opening_repeats_total", "", c->opening_repeats);
    add(f, "flow_cookie_changes_total", "", c->cookie_changes);
    add(f, "flows_told_total", "", c->flows_told);
    add(f, "target_checks_total", "", c->reach_checks);
    add(f, "requests_total", "", c->requests);
    add(f, "request_repeats_total", "", c->repeats);
    for (int i = 0; i < FORWARD_DROP_COUNT; i++) {
        add_cause(f, "packets_dropped_total",
                  forward_drop_name((enum forward_drop)i), c->drops[i]);
    }
    for (int i = 0; i < FORWARD_RESET_COUNT; i++) {
        add_cause(f, "flows_reset_total",
                  forward_reset_name((enum forward_reset)i), c->resets[i]);
        add_cause(f, "open_flows_reset_total",
                  forward_reset_name((enum forward_reset)i), c->ended[i]);
    }
    add_refused(f, c);
    add(f, "log_lines_lost_total", "", log_lines_lost());
}

static void
add_slow_targets(FILE *f, const struct target_speed *speed)
{
    const struct target_speed_counters *c = target_speed_counters(speed);
    uint64_t now = clock_monotonic_us();

    add(f, "slow_targets", "", target_speed_slow_count(speed, now));
    add(f, "failing_targets", "", target_speed_failing_count(speed, now));
    add(f, "slow_target_reports_total", "{direction=\"sent\"}", c->sent);
    add(f, "slow_target_reports_total", "{direction=\"received\"}",
        c->received);
}

static void
add_view(FILE *f, struct view_task *task)
{
    const struct forward_view *view = view_task_view(task);
    struct view_task_counters c;

    view_task_counters(task, &c);
    add(f, "view_revision", "", forward_view_position(view).revision);
    add(f, "store_era", "", c.store_era);
    add(f, "held_records", "", c.held_records);
    add(f, "store_answers_dropped_total", "{cause=\"earlier_era\"}",
        c.dropped_answers);
    add(f, "store_items_not_used_total", "", c.item_faults);
    add(f, "deltas_dropped_total", "{cause=\"earlier_era\"}",
        c.dropped_deltas);
    add(f, "view_age_microseconds", "", c.view_age_us);
    add(f, "view_routes", "", forward_view_route_count(view));
    add(f, "view_targets", "", forward_view_target_count(view));
    add(f, "members_alive", "", c.members);
    add(f, "store_calls_total", "", c.store_calls);
    add(f, "snapshot_writes_total", "", c.snapshot_writes);
    add(f, "cold_claims_held", "", c.cold.held);
    add(f, "cold_claims_total", "{result=\"won\"}", c.cold.won);
    add(f, "cold_claims_total", "{result=\"lost\"}", c.cold.lost);
    add(f, "cold_openings_total", "", c.cold.openings);
    add(f, "cold_openings_withheld_total", "", c.cold.withheld);
    add(f, "loop_lag_max_microseconds", "", c.loop_lag_max_us);
    add(f, "load_messages_sent_total", "", c.load_messages);
    add(f, "load_bytes_sent_total", "", c.load_bytes);
    add(f, "gossip_connections", "", c.gossip_connections);
    add(f, "gossip_messages_sent_total", "", c.gossip_messages_out);
    add(f, "gossip_bytes_sent_total", "", c.gossip_bytes_out);
}

struct domain_output {
    FILE *out;
    const struct forward_task *task;
};

static void
add_emptied_domain(void *ctx, const struct forward_domain *domain)
{
    const struct domain_output *output = ctx;
    char name[METRICS_LABEL_SIZE(ID_SIZE)];
    char label[sizeof(name) + DOMAIN_LABEL_FRAME_SIZE];

    if (!domain->emptied) {
        return;
    }
    snprintf(label, sizeof(label), "{domain=\"%s\"}",
             metrics_escape_label(domain->name, name, sizeof(name)));
    add(output->out, "domain_emptied_seconds", label,
        (clock_monotonic_us() - domain->emptied_at) / USEC_PER_SEC);
    add(output->out, "domain_openings_kept_away", label, domain->kept_away);
    add(output->out, "domain_open_flows", label,
        forward_task_open_flows(output->task, domain));
}

static void
add_domain_load(void *ctx, const struct domain_load_info *info)
{
    FILE *f = ctx;
    const struct {
        const char *name;
        double value;
    } values[] = {
        {"domain_requests_per_second", info->sent},
        {"domain_room_per_second", info->room},
        {"domain_utilization", info->utilization},
        {"domain_share", info->share},
    };
    char service[METRICS_LABEL_SIZE(ID_SIZE)];
    char domain[METRICS_LABEL_SIZE(ID_SIZE)];

    metrics_escape_label(info->service, service, sizeof(service));
    metrics_escape_label(info->domain, domain, sizeof(domain));
    for (size_t i = 0; i < sizeof(values) / sizeof(*values); i++) {
        fprintf(f, METRICS_PREFIX "%s{service=\"%s\",domain=\"%s\"} %.3f\n",
                values[i].name, service, domain, values[i].value);
    }
}

char *
forward_metrics_text(struct forward_task *task, struct view_task *view)
{
    char *text = NULL;
    size_t len;
    FILE *f = open_memstream(&text, &len);

    if (f == NULL) {
        return NULL;
    }
    add_packets(f, forward_task_counters(task));
    add_slow_targets(f, forward_task_speed(task));
    add_view(f, view);
    forward_view_each_domain(view_task_view(view), add_emptied_domain,
                             &(struct domain_output){.out = f, .task = task});
    domain_load_each(view_task_load(view), add_domain_load, f);
    flow_times_print(forward_task_times(task), f);
    if (fclose(f) != 0) {
        free(text);
        return NULL;
    }
    return text;
}
