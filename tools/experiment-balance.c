#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "balance-model.h"
#include "base/clock.h"
#include "state/resource.h"

/* Measures target selection, slot windows and admission under load, in
 * simulations of the current deployments (balance-model.h). Prints the results
 * as tables and, with --json, also writes them to a file. */

#define SEEDS_MAX 20 /* maximum value of --seeds */
#define SESSION_COUNT 400

/* The current deployments, in the order of deployment_names */
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

/* Settings of the balancers that are compared with each other. */
struct variant {
    const char *name;   /* column "choice" of the table */
    const char *policy; /* for balance_init() */
    /* false: slot windows do not limit the requests in flight */
    bool use_windows;
    bool follow_bound; /* see struct balance */
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

#define VARIANT_COUNT (sizeof(variants) / sizeof(*variants))
/* Number of variants at the head of the table that compare flows without and
 * with a bound target */
#define BOUND_VARIANT_COUNT 2
/* Number of variants with windows, which are at the head of the table */
#define WINDOW_VARIANT_COUNT 6

static const char *const fault_names[] = {
    [FAULT_NONE] = "none",
    [FAULT_STALE_LOAD] = "stale load",
    [FAULT_LYING_LOAD] = "lying load",
    [FAULT_DEAD_TARGET] = "dead target",
    [FAULT_COLD_START] = "cold start",
    [FAULT_SLOW_TARGET] = "slow target",
    [FAULT_NO_LOAD] = "no load report",
};

#define FAULT_COUNT (sizeof(fault_names) / sizeof(*fault_names))

struct options {
    int seeds;       /* number of seeds per row */
    int seconds;     /* simulated time after the warm-up */
    char *json_path; /* NULL: no JSON */
    char *section;   /* NULL: all */
    char *choice;    /* name of the variant to run; NULL: all */
};

/* A row of a table. The results are means over the seeds, except for
 * goodput_min. For their meanings see struct model_result. */
struct row {
    const char *deployment;
    const struct variant *variant;
    struct model_config config;
    double goodput;
    double goodput_min; /* of the seed with the lowest goodput */
    double refused;     /* share of the requests */
    double late;        /* share of the answered requests */
    double unknown;     /* share of the requests */
    double sheds;       /* refusals by targets per request */
    double busiest_over_mean;
    double variation;
    double idle;
    double wasted;
    double p50_ms;
    double p99_ms;
    double p99_interactive_ms;
    double window_sum;
    double refused_spread;
};

/* Returns 0 when "whole" is 0. */
static double
ratio(uint64_t part, uint64_t whole)
{
    return whole > 0 ? (double)part / (double)whole : 0;
}

static void
add_result(struct row *row, const struct model_result *r, double weight)
{
    row->goodput += weight * r->goodput;
    row->goodput_min = fmin(row->goodput_min, r->goodput);
    row->refused += weight * ratio(r->refused, r->offered);
    row->late += weight * ratio(r->late, r->good + r->late);
    row->unknown += weight * ratio(r->unknown, r->offered);
    row->sheds += weight * ratio(r->sheds, r->offered);
    row->busiest_over_mean += weight * r->busiest_over_mean;
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
           r->sheds, r->busiest_over_mean, r->variation, r->idle, r->wasted,
           r->p50_ms, r->p99_ms, r->window_sum, r->refused_spread);
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
        r->unknown, "sheds", r->sheds, "busiest_over_mean",
        r->busiest_over_mean, "variation", r->variation, "idle", r->idle,
        "wasted", r->wasted, "p50_ms", r->p50_ms, "p99_ms", r->p99_ms,
        "p99_interactive_ms", r->p99_interactive_ms, "window_sum",
        r->window_sum, "refused_spread", r->refused_spread);
}

/* Simulates one row with each seed, prints it and adds it to the JSON array
 * "rows". Does nothing when --choice names another variant. Ends the program
 * when the simulation fails. */
static void
run_row(const struct options *o, json_t *rows, size_t deployment,
        const struct variant *variant, struct model_config c)
{
    struct row row = {
        .deployment = deployment_names[deployment],
        .variant = variant,
        .goodput_min = INFINITY,
    };

    if (o->choice != NULL && strcmp(o->choice, variant->name) != 0) {
        return;
    }
    c.policy = variant->policy;
    c.use_windows = variant->use_windows;
    c.follow_bound = variant->follow_bound;
    c.sessions = SESSION_COUNT;
    c.warmup_us = 10 * USEC_PER_SEC;
    c.duration_us = (uint64_t)o->seconds * USEC_PER_SEC;
    row.config = c;
    for (int i = 0; i < o->seeds; i++) {
        struct model_result result;

        c.seed = (uint64_t)i + 1;
        if (!model_run(&c, &result)) {
            fprintf(stderr,
                    "experiment-balance: simulation failed: out of memory or "
                    "too many requests\n");
            exit(1);
        }
        add_result(&row, &result, 1.0 / o->seeds);
    }
    print_row(&row);
    json_array_append_new(rows, row_to_json(&row));
}

/* Runs every deployment at each load with each variant. */
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
            for (size_t v = 0; v < VARIANT_COUNT; v++) {
                run_row(o, rows, d, &variants[v], c);
            }
        }
    }
}

/* Runs two deployments with each fault of the targets or of their load
 * reports, at two loads, with each variant. */
static void
run_faults(const struct options *o, json_t *rows)
{
    static const double loads[] = {0.9, 2.0};

    print_header("Faults", o);
    for (size_t d = 0; d < 4; d += 2) {
        for (size_t f = 0; f < FAULT_COUNT * 2; f++) {
            struct model_config c = deployments[d];

            c.load = loads[f % 2];
            c.target_queue = c.slots;
            c.fault = (enum model_fault)(f / 2);
            for (size_t v = 0; v < VARIANT_COUNT; v++) {
                run_row(o, rows, d, &variants[v], c);
            }
        }
    }
}

/* Runs the first deployment with different lengths of the queue at the targets
 * and both distributions of service times, with the variants that use
 * windows. */
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
                for (size_t v = 0; v < WINDOW_VARIANT_COUNT; v++) {
                    run_row(o, rows, 0, &variants[v], c);
                }
            }
        }
    }
}

static bool
section_is_selected(const struct options *o, const char *name)
{
    return o->section == NULL || strcmp(o->section, name) == 0;
}

static bool
parse_options(int argc, char **argv, struct options *o)
{
    GOptionEntry entries[] = {
        {"seeds", 0, 0, G_OPTION_ARG_INT, &o->seeds, "Number of seeds per row",
         "N"},
        {"seconds", 0, 0, G_OPTION_ARG_INT, &o->seconds,
         "Simulated time after the warm-up, in seconds", "S"},
        {"json", 0, 0, G_OPTION_ARG_FILENAME, &o->json_path,
         "Write the results to a file as JSON", "FILE"},
        {"section", 0, 0, G_OPTION_ARG_STRING, &o->section,
         "Run only one section: loads, faults or targets", "NAME"},
        {"choice", 0, 0, G_OPTION_ARG_STRING, &o->choice,
         "Run only the rows of one choice, named as in the table", "NAME"},
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
        fprintf(stderr,
                "experiment-balance: --seeds must be 1 to 20 and --seconds at "
                "least 1\n");
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
    if (section_is_selected(&o, "loads")) {
        run_loads(&o, rows);
    }
    if (section_is_selected(&o, "faults")) {
        run_faults(&o, rows);
    }
    if (section_is_selected(&o, "targets")) {
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
    g_free(o.choice);
    return rc;
}
