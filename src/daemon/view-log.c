#include "daemon/view-log.h"

#include <stdio.h>

#define LOG_MODULE "view"
#include "base/clock.h"
#include "base/log.h"

static const char *
member_state_name(enum member_state state)
{
    static const char *const names[] = {
        [MEMBER_ALIVE] = "alive",
        [MEMBER_SUSPECT] = "suspect",
        [MEMBER_DEAD] = "dead",
        [MEMBER_LEFT] = "left",
    };

    return names[state];
}

void
view_log_member(const struct member *m)
{
    log_fields(LOG_LEVEL_INFO, LOG_MODULE,
               LOG_FIELDS({"host", m->info.id},
                          {"state", member_state_name(m->info.state)}),
               "peer_changed");
}

void
view_log_new_era(const struct forward_view *view,
                 struct store_position position)
{
    char era[24];
    char held[24];
    struct store_position routes = forward_view_routes_position(view);

    snprintf(era, sizeof(era), "%u", (unsigned)position.era);
    snprintf(held, sizeof(held), "%zu", forward_view_held_count(view));
    log_fields(
        LOG_LEVEL_WARN, LOG_MODULE,
        LOG_FIELDS({"era", era},
                   {"revision", store_position_format(position).text},
                   {"older_targets", held},
                   {"routes", routes.era == position.era ? "read" : "kept"}),
        "store_restored");
}

void
view_log_sharing(const char *service, bool sharing, double utilization)
{
    char text[24];

    snprintf(text, sizeof(text), "%.2f", utilization);
    log_fields(LOG_LEVEL_INFO, LOG_MODULE,
               LOG_FIELDS({"service", service},
                          {"new_flows", sharing ? "shared" : "own domain"},
                          {"utilization", text}),
               "sharing_changed");
}

void
view_log_domain(const struct forward_domain *domain)
{
    log_fields(LOG_LEVEL_WARN, LOG_MODULE,
               LOG_FIELDS({"domain", domain->name},
                          {"state", domain->emptied ? "emptied" : "in use"},
                          {"revision",
                           store_position_format(domain->emptied_by).text}),
               "domain_changed");
}

static const char *
target_state_name(const struct forward_target *target)
{
    static const char *const names[] = {
        [TARGET_PRESENT] = "ready",
        [TARGET_LAPSED] = "lapsed",
        [TARGET_GONE] = "gone",
    };

    if (forward_target_is_replaced(target)) {
        return "replaced";
    }
    if (target->presence == TARGET_PRESENT && target->record.draining) {
        return "draining";
    }
    return names[target->presence];
}

void
view_log_target(const struct forward_target *target)
{
    struct store_position_text revision =
        store_position_format(target->record.position);

    log_fields(LOG_LEVEL_INFO, LOG_MODULE,
               LOG_FIELDS({"target", target->record.id},
                          {"state", target_state_name(target)},
                          {"domain", forward_target_domain_name(target)},
                          {"revision", revision.text}),
               "target_changed");
    if (target->cookie_form > 0) {
        LOG_INFO("target %s has a cookie of form %u: the hash of its id is "
                 "that of another target",
                 target->record.id, (unsigned)target->cookie_form);
    }
}

void
view_log_claim(const char *target_id, enum cold_claim_action action,
               const struct status *st)
{
    static const char *const actions[] = {
        [COLD_CLAIM_WRITE] = "write",
        [COLD_CLAIM_READ] = "read",
        [COLD_CLAIM_REMOVE] = "remove",
    };

    log_fields(
        LOG_LEVEL_INFO, LOG_MODULE,
        LOG_FIELDS({"target", target_id}, {"call", actions[action]},
                   {"result", st->kind == ERR_NONE ? "done" : st->message}),
        "cold_claim");
}

void
view_log_watch(struct store_position position, uint64_t age_us)
{
    char age[24] = "unknown";

    if (age_us != UINT64_MAX) {
        snprintf(age, sizeof(age), "%llu", age_us / USEC_PER_MSEC);
    }
    log_fields(LOG_LEVEL_INFO, LOG_MODULE, LOG_FIELDS({"view_age_ms", age}),
               "watching the store from revision %s",
               store_position_format(position).text);
}

void
view_log_changes(struct store_position position, size_t count,
                 uint64_t asked_us)
{
    char changes[24];
    char asked[24];

    snprintf(changes, sizeof(changes), "%zu", count);
    snprintf(asked, sizeof(asked), "%llu", asked_us / USEC_PER_MSEC);
    log_fields(LOG_LEVEL_INFO, LOG_MODULE,
               LOG_FIELDS({"revision", store_position_format(position).text},
                          {"changes", changes}, {"asked_ms_ago", asked}),
               "store_changes");
}
