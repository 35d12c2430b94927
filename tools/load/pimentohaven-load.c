#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "report.h"
#include "runner.h"

/* Defaults and bounds of the options. */
#define SESSIONS_DEFAULT 100
#define SESSIONS_MAX 5000
#define DURATION_DEFAULT_S 10
#define DURATION_MAX_S 600
#define SETTLE_DEFAULT_S 1
#define SETTLE_MAX_S 60
#define ACK_TIMEOUT_MAX_MS 60000
#define LOOPBACK_NET 127 /* first octet of 127.0.0.0/8 */

static char **traffic_texts = NULL;
static char **via_texts = NULL;
static char **target_texts = NULL;
static char *journal_path = NULL;
static char *json_path = NULL;
static gint sessions = SESSIONS_DEFAULT;
static gint duration_s = DURATION_DEFAULT_S;
static gint settle_s = SETTLE_DEFAULT_S;
static gint ack_timeout_ms = 0;
static gint64 seed = 1;

static const GOptionEntry options[] = {
    {"traffic", 0, 0, G_OPTION_ARG_STRING_ARRAY, &traffic_texts,
     "Traffic to send: KIND is get, post, download or watch; may be repeated",
     "SERVICE:KIND:RATE:DEADLINE_MS[:SIZE]"},
    {"via", 0, 0, G_OPTION_ARG_STRING_ARRAY, &via_texts,
     "Address to send the requests to a service to; may be repeated",
     "SERVICE=IP:PORT"},
    {"target", 0, 0, G_OPTION_ARG_STRING_ARRAY, &target_texts,
     "Target stand-in to read counters from; may be repeated", "IP:PORT"},
    {"journal", 0, 0, G_OPTION_ARG_FILENAME, &journal_path,
     "Journal of the target stand-ins to compare commands with", "FILE"},
    {"json", 0, 0, G_OPTION_ARG_FILENAME, &json_path,
     "Write the report as JSON", "FILE"},
    {"sessions", 0, 0, G_OPTION_ARG_INT, &sessions, "Callers", "N"},
    {"duration", 0, 0, G_OPTION_ARG_INT, &duration_s,
     "Time during which requests are sent", "S"},
    {"ack-timeout-ms", 0, 0, G_OPTION_ARG_INT, &ack_timeout_ms,
     "Time until callers send a request again", "MS"},
    {"settle", 0, 0, G_OPTION_ARG_INT, &settle_s,
     "Time to wait after the last answer before reading the journal", "S"},
    {"seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Seed of the random arrivals",
     "N"},
    {NULL},
};

static void
die(const char *what, const char *text)
{
    fprintf(stderr, "pimentohaven-load: %s: %s\n", what, text);
    exit(EXIT_FAILURE);
}

static void
parse_options(int argc, char **argv)
{
    GOptionContext *context =
        g_option_context_new("- send load to stand-ins on loopback");
    GError *error = NULL;

    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        die("options", error->message);
    }
    g_option_context_free(context);
    if (traffic_texts == NULL || via_texts == NULL) {
        die("options", "--traffic and --via are required");
    }
    if (sessions < 1 || sessions > SESSIONS_MAX) {
        die("--sessions", "value out of range");
    }
    if (duration_s < 1 || duration_s > DURATION_MAX_S) {
        die("--duration", "value out of range");
    }
    if (ack_timeout_ms < 0 || ack_timeout_ms > ACK_TIMEOUT_MAX_MS) {
        die("--ack-timeout-ms", "value out of range");
    }
    if (settle_s < 0 || settle_s > SETTLE_MAX_S) {
        die("--settle", "value out of range");
    }
}

/* Parses "SERVICE=IP:PORT". Addresses outside of 127.0.0.0/8 are refused,
 * because this tool must only send to stand-ins. */
static void
parse_via(const char *text, struct service_entry *entry)
{
    char **parts = g_strsplit(text, "=", 2);
    char **address =
        parts[1] != NULL ? g_strsplit(parts[1], ":", 2) : g_new0(char *, 1);

    if (address[0] == NULL || address[1] == NULL ||
        strlen(parts[0]) >= sizeof(entry->service) ||
        !endpoint_parse_addr(address[0], &entry->via.addr) ||
        entry->via.addr >> 24 != LOOPBACK_NET) {
        die("--via", text);
    }
    snprintf(entry->service, sizeof(entry->service), "%s", parts[0]);
    entry->via.port = (uint16_t)strtoul(address[1], NULL, 10);
    g_strfreev(address);
    g_strfreev(parts);
}

static void
parse_traffic(struct traffic *traffic, const struct service_entry *entries,
              size_t entry_count, const char *text)
{
    if (!traffic_parse(text, traffic)) {
        die("--traffic", text);
    }
    for (size_t i = 0; i < entry_count; i++) {
        if (strcmp(entries[i].service, traffic->service) == 0) {
            return;
        }
    }
    die("no --via for the service of --traffic", text);
}

static size_t
count_options(char **texts, size_t max, const char *what)
{
    size_t count = texts != NULL ? g_strv_length(texts) : 0;

    if (count > max) {
        die(what, "given too many times");
    }
    return count;
}

static void
write_json(const struct report *report)
{
    json_t *json = report_json(report);

    if (json_path != NULL &&
        json_dump_file(json, json_path, JSON_INDENT(2)) < 0) {
        die(json_path, "cannot write the report");
    }
    json_decref(json);
}

/* Runs the event loop for the settle time, so that commands which targets
 * execute late are in the journal before it is read. */
static void
settle(struct event_base *base)
{
    const struct timeval limit = {settle_s, 0};

    event_base_loopexit(base, &limit);
    event_base_loop(base, EVLOOP_NO_EXIT_ON_EMPTY);
}

/* Reads the targets' counters, runs the plan, reads the counters again, and
 * reports on the run. */
static void
run(struct event_base *base, const struct runner_options *ro)
{
    static struct tally tallies[TRAFFIC_MAX];
    static struct target_stats before[TARGETS_MAX];
    static struct target_stats after[TARGETS_MAX];
    struct verify verify;
    struct status st;
    struct report report = {.options = ro,
                            .tallies = tallies,
                            .verify = &verify,
                            .targets = after};
    struct runner *runner;

    report.target_count = count_options(target_texts, TARGETS_MAX, "--target");
    verify_init(&verify);
    target_stats_read(base, target_texts, report.target_count, before);
    runner = runner_new(base, ro, tallies, &verify, &st);
    if (runner == NULL) {
        die("runner", st.message);
    }
    runner_run(runner);
    settle(base);
    target_stats_read(base, target_texts, report.target_count, after);
    target_stats_subtract(after, before, report.target_count);
    if (journal_path != NULL && !verify_journal(&verify, journal_path)) {
        die(journal_path, "cannot read the journal");
    }
    verify_count(&verify, &report.commands);
    report.runner = runner;
    report_print(&report, stdout);
    write_json(&report);
    runner_destroy(runner);
    verify_clear(&verify);
    for (size_t i = 0; i < ro->traffic_count; i++) {
        tally_clear(&tallies[i]);
    }
}

int
main(int argc, char **argv)
{
    static struct traffic traffic[TRAFFIC_MAX];
    static struct service_entry entries[TRAFFIC_MAX];
    struct runner_options ro = {.traffic = traffic, .entries = entries};
    struct event_base *base;

    parse_options(argc, argv);
    signal(SIGPIPE, SIG_IGN);
    ro.entry_count = count_options(via_texts, TRAFFIC_MAX, "--via");
    ro.traffic_count = count_options(traffic_texts, TRAFFIC_MAX, "--traffic");
    for (size_t i = 0; i < ro.entry_count; i++) {
        parse_via(via_texts[i], &entries[i]);
    }
    for (size_t i = 0; i < ro.traffic_count; i++) {
        parse_traffic(&traffic[i], entries, ro.entry_count, traffic_texts[i]);
    }
    ro.sessions = (unsigned)sessions;
    ro.ack_timeout_ms = (uint32_t)ack_timeout_ms;
    ro.duration_us = (uint64_t)duration_s * USEC_PER_SEC;
    ro.seed = (uint64_t)seed;
    base = event_base_new();
    run(base, &ro);
    event_base_free(base);
    return EXIT_SUCCESS;
}
