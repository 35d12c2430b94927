#include "daemon/forward-log.h"

#include <inttypes.h>
#include <stdio.h>

#define LOG_MODULE "forward"
#include "base/address.h"
#include "base/clock.h"
#include "base/log.h"

/* Maximum lines per second of each kind. Operators look for flows that were
 * not served more often than for flows that were placed as usual. */
#define PLACED_PER_SECOND_MAX 20
#define MOVED_PER_SECOND_MAX 50
#define RESET_PER_SECOND_MAX 100
#define DROPPED_PER_SECOND_MAX 20
#define COOKIE_PER_SECOND_MAX 20
#define SLOW_PER_SECOND_MAX 3

#define FLOW_TEXT_SIZE 64
#define NUMBER_TEXT_SIZE 24

static const char *const kind_names[] = {
    [FORWARD_LOG_PLACED] = "flow_placed",
    [FORWARD_LOG_MOVED] = "flow_moved",
    [FORWARD_LOG_RESET] = "flow_reset",
    [FORWARD_LOG_ENDED] = "flow_reset",
    [FORWARD_LOG_COOKIE] = "flow_cookie_changed",
    [FORWARD_LOG_SLOW] = "target_slow",
    [FORWARD_LOG_FAILING] = "target_failing",
    [FORWARD_LOG_DEAD] = "target_dead",
    [FORWARD_LOG_DROPPED] = "packet_dropped",
};

void
forward_log_init(struct forward_log *log)
{
    *log = (struct forward_log){
        .rate_limits = {
            [FORWARD_LOG_PLACED] = {.per_second = PLACED_PER_SECOND_MAX},
            [FORWARD_LOG_MOVED] = {.per_second = MOVED_PER_SECOND_MAX},
            [FORWARD_LOG_RESET] = {.per_second = RESET_PER_SECOND_MAX},
            [FORWARD_LOG_ENDED] = {.per_second = RESET_PER_SECOND_MAX},
            [FORWARD_LOG_COOKIE] = {.per_second = COOKIE_PER_SECOND_MAX},
            [FORWARD_LOG_SLOW] = {.per_second = SLOW_PER_SECOND_MAX},
            [FORWARD_LOG_FAILING] = {.per_second = SLOW_PER_SECOND_MAX},
            [FORWARD_LOG_DEAD] = {.per_second = SLOW_PER_SECOND_MAX},
            [FORWARD_LOG_DROPPED] = {.per_second = DROPPED_PER_SECOND_MAX}}};
}

/* Formats the id of a flow: address and port of the caller and of the route.
 */
static void
format_flow(const struct flow_packet *packet, char out[FLOW_TEXT_SIZE])
{
    char caller[ADDRESS_TEXT_SIZE];
    char route[ADDRESS_TEXT_SIZE];

    address_format(packet->src_addr, caller);
    address_format(packet->dst_addr, route);
    snprintf(out, FLOW_TEXT_SIZE, "%s:%u>%s:%u", caller, packet->src_port,
             route, packet->dst_port);
}

/* Formats the age of a view in milliseconds. */
static void
format_age(uint64_t age_us, char out[NUMBER_TEXT_SIZE])
{
    if (age_us == UINT64_MAX) {
        snprintf(out, NUMBER_TEXT_SIZE, "unknown");
        return;
    }
    snprintf(out, NUMBER_TEXT_SIZE, "%" PRIu64,
             age_us / (uint64_t)USEC_PER_MSEC);
}

void
forward_log_placed(struct forward_log *log, const struct flow_packet *packet,
                   const struct forward_target *target, double load,
                   const struct forward_view_info *view_info, uint64_t now)
{
    enum forward_log_kind kind =
        packet->ack == 0 ? FORWARD_LOG_PLACED : FORWARD_LOG_MOVED;
    char flow[FLOW_TEXT_SIZE];
    char copy[NUMBER_TEXT_SIZE];
    char load_text[NUMBER_TEXT_SIZE];
    struct store_position_text revision =
        store_position_format(view_info->position);
    char age[NUMBER_TEXT_SIZE];

    if (!log_rate_limit_allow(&log->rate_limits[kind], now)) {
        return;
    }
    format_flow(packet, flow);
    snprintf(copy, sizeof(copy), "%u", packet->ack);
    snprintf(load_text, sizeof(load_text), "%.1f", load);
    format_age(view_info->age_us, age);
    log_fields(LOG_LEVEL_INFO, LOG_MODULE,
               LOG_FIELDS({"flow", flow}, {"target", target->record.id},
                          {"service", target->record.service},
                          {"domain", forward_target_domain_name(target)},
                          {"copy", copy}, {"load", load_text},
                          {"revision", revision.text}, {"view_age_ms", age}),
               "%s", kind_names[kind]);
}

static void
write_drop_or_reset(struct forward_log *log, enum forward_log_kind kind,
                    const struct flow_packet *packet, const char *cause,
                    const struct forward_view_info *view_info, uint64_t now)
{
    char flow[FLOW_TEXT_SIZE];
    struct store_position_text revision =
        store_position_format(view_info->position);
    char age[NUMBER_TEXT_SIZE];

    if (!log_rate_limit_allow(&log->rate_limits[kind], now)) {
        return;
    }
    format_flow(packet, flow);
    format_age(view_info->age_us, age);
    log_fields(LOG_LEVEL_INFO, LOG_MODULE,
               LOG_FIELDS({"flow", flow}, {"cause", cause},
                          {"revision", revision.text}, {"view_age_ms", age}),
               "%s", kind_names[kind]);
}

void
forward_log_reset(struct forward_log *log, const struct flow_packet *packet,
                  const char *cause, const struct forward_view_info *view_info,
                  uint64_t now)
{
    write_drop_or_reset(log, FORWARD_LOG_RESET, packet, cause, view_info, now);
}

void
forward_log_dropped(struct forward_log *log, const struct flow_packet *packet,
                    const char *cause,
                    const struct forward_view_info *view_info, uint64_t now)
{
    write_drop_or_reset(log, FORWARD_LOG_DROPPED, packet, cause, view_info,
                        now);
}

/* Formats a number. */
static void
format_number(uint64_t value, char out[NUMBER_TEXT_SIZE])
{
    snprintf(out, NUMBER_TEXT_SIZE, "%" PRIu64, value);
}

/* What forward_evidence and forward_flow_state say, as texts. */
struct evidence_text {
    char alive[NUMBER_TEXT_SIZE];
    char verdict[NUMBER_TEXT_SIZE];
    char misses[NUMBER_TEXT_SIZE];
};

struct flow_state_text {
    char repeats[NUMBER_TEXT_SIZE];
    char sent[NUMBER_TEXT_SIZE];
    char open[NUMBER_TEXT_SIZE];
};

static void
format_evidence(const struct forward_evidence *evidence,
                struct evidence_text *out)
{
    format_age(evidence->alive_age_us, out->alive);
    format_age(evidence->verdict_age_us, out->verdict);
    format_number(evidence->misses, out->misses);
}

static void
format_flow_state(const struct forward_flow_state *state,
                  struct flow_state_text *out)
{
    format_number(state->repeats, out->repeats);
    format_age(state->sent_age_us, out->sent);
    format_age(state->open_age_us, out->open);
}

void
forward_log_ended(struct forward_log *log, const struct flow_packet *packet,
                  const struct forward_evidence *evidence,
                  const struct forward_flow_state *state,
                  const struct forward_view_info *view_info, uint64_t now)
{
    char flow[FLOW_TEXT_SIZE];
    struct evidence_text e;
    struct flow_state_text s;
    struct store_position_text revision =
        store_position_format(view_info->position);
    char age[NUMBER_TEXT_SIZE];

    if (!log_rate_limit_allow(&log->rate_limits[FORWARD_LOG_ENDED], now)) {
        return;
    }
    format_flow(packet, flow);
    format_evidence(evidence, &e);
    format_flow_state(state, &s);
    format_age(view_info->age_us, age);
    log_fields(
        LOG_LEVEL_WARN, LOG_MODULE,
        LOG_FIELDS(
            {"flow", flow}, {"cause", evidence->cause},
            {"target", evidence->target}, {"reach", evidence->reach},
            {"misses", e.misses}, {"verdict_age_ms", e.verdict},
            {"alive_age_ms", e.alive}, {"first", state->first ? "yes" : "no"},
            {"waiting", state->waiting ? "yes" : "no"}, {"repeats", s.repeats},
            {"sent_age_ms", s.sent}, {"open_age_ms", s.open},
            {"revision", revision.text}, {"view_age_ms", age}),
        "%s", kind_names[FORWARD_LOG_ENDED]);
}

void
forward_log_dead(struct forward_log *log,
                 const struct forward_evidence *evidence, uint64_t now)
{
    struct evidence_text e;

    if (!log_rate_limit_allow(&log->rate_limits[FORWARD_LOG_DEAD], now)) {
        return;
    }
    format_evidence(evidence, &e);
    log_fields(
        LOG_LEVEL_WARN, LOG_MODULE,
        LOG_FIELDS({"target", evidence->target}, {"cause", evidence->cause},
                   {"reach", evidence->reach}, {"misses", e.misses},
                   {"verdict_age_ms", e.verdict}, {"alive_age_ms", e.alive}),
        "%s", kind_names[FORWARD_LOG_DEAD]);
}

void
forward_log_cookie_changed(struct forward_log *log,
                           const struct flow_packet *packet,
                           const char *target,
                           const struct forward_flow_state *state,
                           uint64_t now)
{
    char flow[FLOW_TEXT_SIZE];
    char named[NUMBER_TEXT_SIZE];
    struct flow_state_text s;

    if (!log_rate_limit_allow(&log->rate_limits[FORWARD_LOG_COOKIE], now)) {
        return;
    }
    format_flow(packet, flow);
    snprintf(named, sizeof(named), "%08" PRIx32, packet->cookie);
    format_flow_state(state, &s);
    log_fields(LOG_LEVEL_WARN, LOG_MODULE,
               LOG_FIELDS({"flow", flow}, {"target", target}, {"named", named},
                          {"waiting", state->waiting ? "yes" : "no"},
                          {"sent_age_ms", s.sent}, {"open_age_ms", s.open}),
               "%s", kind_names[FORWARD_LOG_COOKIE]);
}

/* Returns who has found out about a target. */
static const char *
told_by(const struct forward_target *target, const struct target_speed *speed)
{
    return target_speed_told_by_peer(speed, target->cookie) ? "peer"
                                                            : "callers";
}

void
forward_log_slow(struct forward_log *log, const struct forward_target *target,
                 const struct target_speed *speed, uint64_t now)
{
    char factor[NUMBER_TEXT_SIZE];

    if (!log_rate_limit_allow(&log->rate_limits[FORWARD_LOG_SLOW], now)) {
        return;
    }
    snprintf(factor, sizeof(factor), "%.1f",
             target_speed_factor(speed, target->cookie, now));
    log_fields(LOG_LEVEL_WARN, LOG_MODULE,
               LOG_FIELDS({"target", target->record.id},
                          {"service", target->record.service},
                          {"factor", factor},
                          {"told_by", told_by(target, speed)}),
               "%s", kind_names[FORWARD_LOG_SLOW]);
}

void
forward_log_failing(struct forward_log *log,
                    const struct forward_target *target,
                    const struct target_speed *speed, uint64_t now)
{
    if (!log_rate_limit_allow(&log->rate_limits[FORWARD_LOG_FAILING], now)) {
        return;
    }
    log_fields(LOG_LEVEL_WARN, LOG_MODULE,
               LOG_FIELDS({"target", target->record.id},
                          {"service", target->record.service},
                          {"told_by", told_by(target, speed)}),
               "%s", kind_names[FORWARD_LOG_FAILING]);
}

void
forward_log_tick(struct forward_log *log)
{
    for (int i = 0; i < FORWARD_LOG_KIND_COUNT; i++) {
        uint32_t suppressed =
            log_rate_limit_take_left_out(&log->rate_limits[i]);
        char count[NUMBER_TEXT_SIZE];

        if (suppressed > 0) {
            snprintf(count, sizeof(count), "%" PRIu32, suppressed);
            log_fields(LOG_LEVEL_INFO, LOG_MODULE,
                       LOG_FIELDS({"kind", kind_names[i]}, {"lines", count}),
                       "log_left_out");
        }
    }
}
