#include "report.h"

#include <string.h>

#include "base/clock.h"

#define P50 0.50
#define P99 0.99

static double
to_ms(uint64_t us)
{
    return (double)us / (double)USEC_PER_MSEC;
}

static double
goodput(const struct report *report, const struct tally *tally)
{
    return (double)tally_in_time(tally) /
           ((double)report->options->duration_us / (double)USEC_PER_SEC);
}

/* Returns the number of errors by response code, as "5.03"; leaves out codes
 * that did not occur. */
static json_t *
codes_json(const struct tally *tally)
{
    json_t *json = json_object();

    for (int code = 0; code <= UINT8_MAX; code++) {
        char name[8];

        if (tally->codes[code] == 0) {
            continue;
        }
        snprintf(name, sizeof(name), "%d.%02d", code >> 5, code & 0x1f);
        json_object_set_new(json, name,
                            json_integer((json_int_t)tally->codes[code]));
    }
    return json;
}

static json_t *
traffic_json(const struct report *report, size_t i)
{
    const struct traffic *traffic = &report->options->traffic[i];
    struct tally *tally = &report->tallies[i];
    json_t *json = json_pack(
        "{s:s, s:s, s:f, s:i, s:I, s:f, s:f, s:f, s:f}", "service",
        traffic->service, "kind", traffic_kind_name(traffic->kind), "rate",
        traffic->rate, "deadline_ms", (int)traffic->deadline_ms, "started",
        (json_int_t)tally->started, "p50_ms",
        to_ms(tally_percentile(tally, P50)), "p99_ms",
        to_ms(tally_percentile(tally, P99)), "late_share",
        tally_late_share(tally), "goodput_per_s", goodput(report, tally));

    for (int r = 0; r < RESULT_COUNT; r++) {
        json_object_set_new(json, result_name((enum result)r),
                            json_integer((json_int_t)tally->results[r]));
    }
    json_object_set_new(json, "error_codes", codes_json(tally));
    return json;
}

static json_t *
commands_json(const struct report *report)
{
    const struct verify_counts *c = &report->commands;

    return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
                     "sent", (json_int_t)c->sent, "ran", (json_int_t)c->ran,
                     "doubled", (json_int_t)c->doubled, "lost",
                     (json_int_t)c->lost, "not_run_true",
                     (json_int_t)c->not_run_true, "not_run_false",
                     (json_int_t)c->not_run_false, "unknown_ran",
                     (json_int_t)c->unknown_ran, "unknown_not_run",
                     (json_int_t)c->unknown_not_run, "foreign",
                     (json_int_t)report->verify->foreign, "misdirected",
                     (json_int_t)report->verify->misdirected);
}

/* Computes how evenly the busy time is spread over the targets of a service,
 * and the number of requests that these refused. Returns the number of
 * targets with known counters. */
static size_t
compute_service_spread(const struct report *report, const char *service,
                       struct spread *spread, double *shed)
{
    double busy[TARGETS_MAX];
    size_t count = 0;

    *shed = 0;
    for (size_t i = 0; i < report->target_count; i++) {
        const struct target_stats *stats = &report->targets[i];

        if (stats->known && strcmp(stats->service, service) == 0) {
            busy[count] = stats->busy_s;
            count++;
            *shed += stats->shed;
        }
    }
    spread_compute(busy, count, spread);
    return count;
}

static json_t *
imbalance_json(const struct report *report)
{
    json_t *json = json_object();

    for (size_t i = 0; i < report->options->entry_count; i++) {
        const char *service = report->options->entries[i].service;
        struct spread spread;
        double shed;
        size_t count = compute_service_spread(report, service, &spread, &shed);

        json_object_set_new(json, service,
                            json_pack("{s:I, s:f, s:f, s:f, s:f}", "targets",
                                      (json_int_t)count, "mean_busy_s",
                                      spread.mean, "busiest_over_mean",
                                      spread.busiest_over_mean, "variation",
                                      spread.variation, "shed", shed));
    }
    return json;
}

json_t *
report_json(const struct report *report)
{
    json_t *traffic = json_array();

    for (size_t i = 0; i < report->options->traffic_count; i++) {
        json_array_append_new(traffic, traffic_json(report, i));
    }
    return json_pack(
        "{s:I, s:f, s:i, s:i, s:i, s:I, s:o, s:o, s:o}", "seed",
        (json_int_t)report->options->seed, "duration_s",
        (double)report->options->duration_us / (double)USEC_PER_SEC,
        "sessions", (int)report->options->sessions, "sessions_used",
        (int)runner_used_sessions(report->runner), "broken_flows",
        (int)runner_broken_sessions(report->runner), "delayed_arrivals",
        (json_int_t)runner_delayed_arrivals(report->runner), "traffic",
        traffic, "commands", commands_json(report), "imbalance",
        imbalance_json(report));
}

static void
print_traffic(const struct report *report, FILE *out)
{
    fprintf(out, "%-12s %-9s %8s %8s %8s %8s %8s %6s %6s %8s %8s %7s %9s\n",
            "service", "kind", "started", "answered", "not_run", "unknown",
            "timeout", "error", "wrong", "p50 ms", "p99 ms", "late %",
            "goodput/s");
    for (size_t i = 0; i < report->options->traffic_count; i++) {
        const struct traffic *traffic = &report->options->traffic[i];
        struct tally *tally = &report->tallies[i];
        const uint64_t *r = tally->results;

        fprintf(out,
                "%-12s %-9s %8llu %8llu %8llu %8llu %8llu %6llu %6llu %8.1f "
                "%8.1f %7.2f %9.1f\n",
                traffic->service, traffic_kind_name(traffic->kind),
                (unsigned long long)tally->started,
                (unsigned long long)r[RESULT_ANSWERED],
                (unsigned long long)r[RESULT_NOT_RUN],
                (unsigned long long)r[RESULT_UNKNOWN],
                (unsigned long long)r[RESULT_TIMEOUT],
                (unsigned long long)r[RESULT_ERROR],
                (unsigned long long)r[RESULT_WRONG],
                to_ms(tally_percentile(tally, P50)),
                to_ms(tally_percentile(tally, P99)),
                tally_late_share(tally) * 100, goodput(report, tally));
    }
}

static void
print_codes(const struct report *report, FILE *out)
{
    for (size_t i = 0; i < report->options->traffic_count; i++) {
        const struct traffic *traffic = &report->options->traffic[i];
        json_t *codes = codes_json(&report->tallies[i]);
        const char *name;
        json_t *value;

        json_object_foreach(codes, name, value)
        {
            fprintf(out, "errors of %s %s: %s %lld\n", traffic->service,
                    traffic_kind_name(traffic->kind), name,
                    (long long)json_integer_value(value));
        }
        json_decref(codes);
    }
}

static void
print_imbalance(const struct report *report, FILE *out)
{
    for (size_t i = 0; i < report->options->entry_count; i++) {
        const char *service = report->options->entries[i].service;
        struct spread spread;
        double shed;
        size_t count = compute_service_spread(report, service, &spread, &shed);

        fprintf(out,
                "targets of %s: %zu, mean busy %.2f s, busiest over mean "
                "%.3f, variation %.3f, shed %.0f\n",
                service, count, spread.mean, spread.busiest_over_mean,
                spread.variation, shed);
    }
}

void
report_print(const struct report *report, FILE *out)
{
    json_t *commands = commands_json(report);
    const char *name;
    json_t *value;

    fprintf(out, "seed %llu, %.0f s, %u of %u sessions used\n",
            (unsigned long long)report->options->seed,
            (double)report->options->duration_us / (double)USEC_PER_SEC,
            runner_used_sessions(report->runner), report->options->sessions);
    print_traffic(report, out);
    print_codes(report, out);
    fprintf(out, "commands:");
    json_object_foreach(commands, name, value)
    {
        fprintf(out, " %s %lld", name, (long long)json_integer_value(value));
    }
    fprintf(out, "\n");
    json_decref(commands);
    print_imbalance(report, out);
    fprintf(out, "broken flows: %u; arrivals sent late by the tool: %llu\n",
            runner_broken_sessions(report->runner),
            (unsigned long long)runner_delayed_arrivals(report->runner));
}
