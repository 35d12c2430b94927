#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "balance-model.h"
#include "base/clock.h"
#include "state/resource.h"

/* Measures the decisions under load: target choice, slot windows and
 * admission, on the deployments of today. Prints a table and, on request,
 * writes the same figures as JSON. */

#define SEEDS_MAX 20
#define SESSIONS 400

static const struct model_config deployments[] = {
    {.balancers = 8,
     .domains = 4,
     .targets = 14,
     .slots = 2,
     .domain_latency_us = 500,
     .command_share = 0.1,
     .class = CLASS_INTERACTIVE,
     .service_us = 50 * USEC_PER_MSEC,
     .deadline_us = USEC_PER_SEC},
    {.balancers = 8,
     .domains = 4,
     .targets = 4,
     .slots = 2,
     .domain_latency_us = 500,
     .class = CLASS_DOWNLOAD,
     .service_us = 400 * USEC_PER_MSEC,
     .deadline_us = 8 * USEC_PER_SEC},
    {.balancers = 7,
     .domains = 3,
     .targets = 14,
     .slots = 2,
     .domain_latency_us = 1500,
     .command_share = 0.5,
     .class = CLASS_INTERACTIVE,
     .service_us = 40 * USEC_PER_MSEC,
     .deadline_us = USEC_PER_SEC / 2},
    {.balancers = 7,
     .domains = 3,
     .targets = 4,
     .slots = 2,
     .domain_latency_us = 1500,
     .class = CLASS_DOWNLOAD,
     .service_us = 400 * USEC_PER_MSEC,
     .deadline_us = 8 * USEC_PER_SEC},
};

static const char *const deployment_names[] = {
    "jibu-live",
    "jibu-export",
    "rigctl",
    "certdesk",
};

/* A way to decide; without windows a request is sent at once. */
struct variant {
    const char *name;
    const char *policy;
    bool windows;
    bool bound;
};

static const struct variant variants[] = {
    {"load", "load", true, false},
    {"load, bound", "load", true, true},
    {"two choices", "two_choices", true, false},
    {"least local", "least_local", true, false},
    {"round robin", "round_robin", true, false},
    {"random", "random", true, false},
    {"load, no window", "load", false, false},
    {"two choices, no window", "two_choices", false, false},
    {"least local, no window", "least_local", false, false},
    {"round robin, no window", "round_robin", false, false},
    {"random, no window", "random", false, false},
};

#define VARIANTS (sizeof(variants) / sizeof(*variants))
#define BOUND_VARIANTS 2 /* the first ones, for the comparison of binding */
#define WINDOW_VARIANTS 6

static const char *const fault_names[] = {
    [FAULT_NONE] = "none",
    [FAULT_STALE_LOAD] = "stale load",
    [FAULT_LYING_LOAD] = "lying load",
    [FAULT_DEAD_TARGET] = "dead target",
    [FAULT_COLD_START] = "cold start",
    [FAULT_SLOW_TARGET] = "slow target",
    [FAULT_NO_LOAD] = "no load report",
};

#define FAULTS (sizeof(fault_names) / sizeof(*fault_names))

struct options {
    int seeds;
    int seconds;
    char *json_path;
    char *section;
    char *policy;
};

/* A row of the table: means over the seeds. */
struct row {
    const char *deployment;
    const struct variant *variant;
    struct model_config config;
    double goodput;
    double goodput_min;
    double refused;
    double late;
    double unknown;
    double sheds;
    double busiest;
    double variation;
    double idle;
    double wasted;
    double p50_ms;
    double p99_ms;
    double p99_interactive_ms;
    double window_sum;
    double refused_spread;
};

static double
share(uint64_t part, uint64_t whole)
{
    return whole > 0 ? (double)part / (double)whole : 0;
}

static void
add_result(struct row *row, const struct model_result *r, double weight)
{
    row->goodput += weight * r->goodput;
    row->goodput_min = fmin(row->goodput_min, r->goodput);
    row->refused += weight * share(r->refused, r->offered);
    row->late += weight * share(r->late, r->good + r->late);
    row->unknown += weight * share(r->unknown, r->offered);
    row->sheds += weight * share(r->sheds, r->offered);
    row->busiest += weight * r->busiest;
    row->variation += weight * r->variation;
    row->idle += weight * r->idle;
    row->wasted += weight * r->wasted;
    row->p50_ms += weight * r->p50_ms;
    row->p99_ms += weight * r->p99_ms;
    row->p99_interactive_ms += weight * r->p99_interactive_ms;
    row->window_sum += weight * r->window_sum;
    row->refused_spread += weight * r->refused_spread;
}

static void
print_header(const char *title, const struct options *o)
{
    printf("\n%s (%d seeds from 1, %d s each)\n\n", title, o->seeds,
           o->seconds);
    printf("| service | load | fault | queue | times | choice | goodput | "
           "refused | late | unknown | sheds | busiest | CV | idle | "
           "wasted | p50 ms | "
           "p99 ms | windows | refusal spread |\n");
    printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
           "--- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
}

static void
print_row(const struct row *r)
{
    const struct model_config *c = &r->config;

    printf("| %s | %.1f | %s | %u | %s | %s | %.3f | %.3f | %.4f | %.4f | "
           "%.3f | %.3f | %.3f | %.3f | %.3f | %.0f | %.0f | %.2f | %.2f |\n",
           r->deployment, c->load, fault_names[c->fault], c->target_queue,
           c->service_times == SERVICE_LOGNORMAL ? "lognormal" : "bimodal",
           r->variant->name, r->goodput, r->refused, r->late, r->unknown,
           r->sheds, r->busiest, r->variation, r->idle, r->wasted, r->p50_ms,
           r->p99_ms, r->window_sum, r->refused_spread);
    fflush(stdout);
}

static json_t *
row_to_json(const struct row *r)
{
    const struct model_config *c = &r->config;

    return json_pack(
        "{s:s, s:f, s:s, s:i, s:s, s:s, s:f, s:f, s:f, s:f, s:f, s:f, s:f,"
        " s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f}",
        "service", r->deployment, "load", c->load, "fault",
        fault_names[c->fault], "target_queue", (int)c->target_queue,
        "service_times",
        c->service_times == SERVICE_LOGNORMAL ? "lognormal" : "bimodal",
        "choice", r->variant->name, "goodput", r->goodput, "goodput_min",
        r->goodput_min, "refused", r->refused, "late", r->late, "unknown",
        r->unknown, "sheds", r->sheds, "busiest_over_mean", r->busiest,
        "variation", r->variation, "idle", r->idle, "wasted", r->wasted,
        "p50_ms", r->p50_ms, "p99_ms", r->p99_ms, "p99_interactive_ms",
        r->p99_interactive_ms, "window_sum", r->window_sum, "refused_spread",
        r->refused_spread);
}

/* Runs one row over all seeds, prints it and adds it to the JSON array. */
static void
run_row(const struct options *o, json_t *rows, size_t deployment,
        const struct variant *variant, struct model_config c)
{
    struct row row = {
        .deployment = deployment_names[deployment],
        .variant = variant,
        .goodput_min = INFINITY,
    };

    if (o->policy != NULL && strcmp(o->policy, variant->name) != 0) {
        return;
    }
    c.policy = variant->policy;
    c.windows = variant->windows;
    c.bound = variant->bound;
    c.sessions = SESSIONS;
    c.warmup_us = 10 * USEC_PER_SEC;
    c.duration_us = (uint64_t)o->seconds * USEC_PER_SEC;
    row.config = c;
    for (int i = 0; i < o->seeds; i++) {
        struct model_result result;

        c.seed = (uint64_t)i + 1;
        if (!model_run(&c, &result)) {
            fprintf(stderr, "experiment-balance: out of memory\n");
            exit(1);
        }
        add_result(&row, &result, 1.0 / o->seeds);
    }
    print_row(&row);
    json_array_append_new(rows, row_to_json(&row));
}

/* Every deployment at each load with each way to decide. */
static void
run_loads(const struct options *o, json_t *rows)
{
    static const double loads[] = {0.5, 0.9, 1.0, 1.2, 2.0};

    print_header("Loads", o);
    for (size_t d = 0; d < 4; d++) {
        for (size_t l = 0; l < sizeof(loads) / sizeof(*loads); l++) {
            struct model_config c = deployments[d];

            c.load = loads[l];
            c.target_queue = c.slots;
            for (size_t v = 0; v < VARIANTS; v++) {
                run_row(o, rows, d, &variants[v], c);
            }
        }
    }
}

/* Faults of targets and of their reports. */
static void
run_faults(const struct options *o, json_t *rows)
{
    static const double loads[] = {0.9, 2.0};

    print_header("Faults", o);
    for (size_t d = 0; d < 4; d += 2) {
        for (size_t f = 0; f < FAULTS * 2; f++) {
            struct model_config c = deployments[d];

            c.load = loads[f % 2];
            c.target_queue = c.slots;
            c.fault = (enum model_fault)(f / 2);
            for (size_t v = 0; v < VARIANTS; v++) {
                run_row(o, rows, d, &variants[v], c);
            }
        }
    }
}

/* Targets without a queue and with a long one, and other service times. */
static void
run_targets(const struct options *o, json_t *rows)
{
    static const uint32_t queues[] = {0, 2, 8};
    static const double loads[] = {0.9, 2.0};

    print_header("Targets", o);
    for (size_t q = 0; q < 3; q++) {
        for (size_t l = 0; l < 2; l++) {
            for (int times = 0; times < 2; times++) {
                struct model_config c = deployments[0];

                c.load = loads[l];
                c.target_queue = queues[q];
                c.service_times = (enum model_service_times)times;
                for (size_t v = 0; v < WINDOW_VARIANTS; v++) {
                    run_row(o, rows, 0, &variants[v], c);
                }
            }
        }
    }
}

static bool
section_wanted(const struct options *o, const char *name)
{
    return o->section == NULL || strcmp(o->section, name) == 0;
}

static bool
parse_options(int argc, char **argv, struct options *o)
{
    GOptionEntry entries[] = {
        {"seeds", 0, 0, G_OPTION_ARG_INT, &o->seeds, "Seeds a row", "N"},
        {"seconds", 0, 0, G_OPTION_ARG_INT, &o->seconds,
         "Simulated time after the warm-up", "S"},
        {"json", 0, 0, G_OPTION_ARG_FILENAME, &o->json_path,
         "Write the figures to a file", "FILE"},
        {"section", 0, 0, G_OPTION_ARG_STRING, &o->section,
         "Run one of: loads, faults, targets", "NAME"},
        {"choice", 0, 0, G_OPTION_ARG_STRING, &o->policy,
         "Run the rows of one choice", "NAME"},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;
    bool ok;

    g_option_context_add_main_entries(context, entries, NULL);
    ok = g_option_context_parse(context, &argc, &argv, &error);
    if (!ok) {
        fprintf(stderr, "experiment-balance: %s\n", error->message);
        g_error_free(error);
    }
    else if (o->seeds < 1 || o->seeds > SEEDS_MAX || o->seconds < 1) {
        fprintf(stderr, "experiment-balance: bad number\n");
        ok = false;
    }
    g_option_context_free(context);
    return ok;
}

int
main(int argc, char **argv)
{
    struct options o = {.seeds = 5, .seconds = 60};
    json_t *rows = json_array();
    int rc = 0;

    if (!parse_options(argc, argv, &o)) {
        return 2;
    }
    if (section_wanted(&o, "loads")) {
        run_loads(&o, rows);
    }
    if (section_wanted(&o, "faults")) {
        run_faults(&o, rows);
    }
    if (section_wanted(&o, "targets")) {
        run_targets(&o, rows);
    }
    if (o.json_path != NULL &&
        json_dump_file(rows, o.json_path, JSON_INDENT(1)) != 0) {
        fprintf(stderr, "experiment-balance: cannot write %s\n", o.json_path);
        rc = 1;
    }
    json_decref(rows);
    g_free(o.json_path);
    g_free(o.section);
    g_free(o.policy);
    return rc;
}
