#include "daemon/cmd-call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

#include "base/clock.h"
#include "daemon/subcommands.h"

#define DEFAULT_DEADLINE_MS 10000
#define DEFAULT_DOWNLOAD_DEADLINE_MS 600000
#define TIMEOUT_MAX_S (UINT32_MAX / 1000)
#define MS_PER_S 1000

struct verb {
    const char *name;
    const char *arguments;
    const char *summary;
    const GOptionEntry *options;
    uint32_t deadline_ms; /* default, 0: none */
    bool takes_body;
    bool (*start)(struct call_run *run);
};

static char *via;
static int deadline_ms;
static char *output;
static int count;
static int timeout_s;
static char *body;

#define COMMON_OPTIONS                                                        \
    {                                                                         \
        "via", 0, 0, G_OPTION_ARG_STRING, &via,                               \
            "Entry addresses of the service", "ADDR:PORT[,...]"               \
    }
#define DEADLINE_OPTION                                                       \
    {                                                                         \
        "deadline", 0, 0, G_OPTION_ARG_INT, &deadline_ms,                     \
            "Time for the whole call, in milliseconds", "MS"                  \
    }
#define OUTPUT_OPTION                                                         \
    {                                                                         \
        "output", 0, 0, G_OPTION_ARG_FILENAME, &output,                       \
            "Write the body to FILE instead of standard output", "FILE"       \
    }

static const GOptionEntry read_options[] = {
    COMMON_OPTIONS, DEADLINE_OPTION, OUTPUT_OPTION, {NULL}};

static const GOptionEntry post_options[] = {
    COMMON_OPTIONS,
    DEADLINE_OPTION,
    {"body", 0, 0, G_OPTION_ARG_STRING, &body, "Same as the argument BODY",
     "BODY"},
    {NULL}};

static const GOptionEntry watch_options[] = {
    COMMON_OPTIONS,
    {"count", 0, 0, G_OPTION_ARG_INT, &count, "End after N frames", "N"},
    {"timeout", 0, 0, G_OPTION_ARG_INT, &timeout_s, "End after S seconds",
     "S"},
    {NULL}};

static const struct verb verbs[] = {
    {"get", "PATH", "read a resource", read_options, DEFAULT_DEADLINE_MS,
     false, call_get},
    {"post", "PATH [BODY]", "send a request that is delivered at most once",
     post_options, DEFAULT_DEADLINE_MS, true, call_post},
    {"watch", "PATH", "follow a live stream", watch_options, 0, false,
     call_watch},
    {"download", "PATH", "read a large resource", read_options,
     DEFAULT_DOWNLOAD_DEADLINE_MS, false, call_download},
};

static void
print_usage(FILE *out)
{
    fprintf(out, "usage: pimentohaven call VERB --via ADDR:PORT[,...] "
                 "[OPTION...] PATH\n\nverbs:\n");
    for (size_t i = 0; i < sizeof(verbs) / sizeof(*verbs); i++) {
        fprintf(out, "  %-10s%s\n", verbs[i].name, verbs[i].summary);
    }
    fprintf(out, "\n\"pimentohaven call VERB --help\" describes a verb.\n");
}

static const struct verb *
find_verb(const char *name)
{
    for (size_t i = 0; i < sizeof(verbs) / sizeof(*verbs); i++) {
        if (strcmp(name, verbs[i].name) == 0) {
            return &verbs[i];
        }
    }
    return NULL;
}

/* Reads "ADDR:PORT". */
static bool
parse_endpoint(const char *text, struct endpoint *ep)
{
    const char *colon = strrchr(text, ':');
    char *addr;
    guint64 port;
    bool ok;

    if (colon == NULL || !g_ascii_string_to_unsigned(
                             colon + 1, 10, 1, UINT16_MAX, &port, NULL)) {
        return false;
    }
    addr = g_strndup(text, (gsize)(colon - text));
    ok = endpoint_parse_addr(addr, &ep->addr);
    g_free(addr);
    ep->port = (uint16_t)port;
    return ok;
}

static bool
parse_via(struct call_options *options)
{
    char **parts;
    bool ok = true;

    if (via == NULL) {
        fprintf(stderr, "pimentohaven call: --via is required\n");
        return false;
    }
    parts = g_strsplit(via, ",", CLIENT_ENTRY_ADDRESSES_MAX + 1);
    for (size_t i = 0; ok && parts[i] != NULL; i++) {
        ok = i < CLIENT_ENTRY_ADDRESSES_MAX &&
             parse_endpoint(parts[i], &options->via[i]);
        options->via_count = i + 1;
    }
    g_strfreev(parts);
    if (!ok || options->via_count == 0) {
        fprintf(stderr,
                "pimentohaven call: --via: \"%s\" is not a list of at "
                "most %d items ADDR:PORT\n",
                via, CLIENT_ENTRY_ADDRESSES_MAX);
        return false;
    }
    return true;
}

static bool
parse_numbers(const struct verb *verb, struct call_options *options)
{
    if (deadline_ms < 0 || count < 0 || timeout_s < 0 ||
        (unsigned)timeout_s > TIMEOUT_MAX_S) {
        fprintf(
            stderr,
            "pimentohaven call: --deadline and --count must be at least 0, "
            "--timeout 0 to 4294967\n");
        return false;
    }
    options->deadline_ms =
        deadline_ms == 0 ? verb->deadline_ms : (uint32_t)deadline_ms;
    options->count = (unsigned)count;
    options->timeout_ms = (uint32_t)timeout_s * MS_PER_S;
    return true;
}

/* Stores the arguments PATH, split at its "?", and BODY. Changes argv[1]. */
static bool
parse_arguments(const struct verb *verb, int argc, char **argv,
                struct call_options *options)
{
    int argc_max = verb->takes_body && body == NULL ? 3 : 2;
    char *query;

    if (argc < 2 || argc > argc_max || argv[1][0] != '/') {
        fprintf(stderr,
                "usage: pimentohaven call %s --via ADDR:PORT[,...] "
                "[OPTION...] %s\n",
                verb->name, verb->arguments);
        return false;
    }
    query = strchr(argv[1], '?');
    if (query != NULL) {
        *query = '\0';
        options->query = query + 1;
    }
    options->path = argv[1];
    options->body = argc == 3 ? argv[2] : body;
    options->output = output;
    return true;
}

static bool
parse(const struct verb *verb, int argc, char **argv,
      struct call_options *options)
{
    GOptionContext *context = g_option_context_new(verb->arguments);
    char *name = g_strconcat("pimentohaven call ", verb->name, NULL);
    GError *error = NULL;
    bool ok;

    g_set_prgname(name);
    g_free(name);
    g_option_context_set_summary(context, verb->summary);
    g_option_context_add_main_entries(context, verb->options, NULL);
    ok = g_option_context_parse(context, &argc, &argv, &error) != 0;
    g_option_context_free(context);
    if (!ok) {
        fprintf(stderr, "pimentohaven call: %s\n", error->message);
        g_error_free(error);
        return false;
    }
    return parse_arguments(verb, argc, argv, options) && parse_via(options) &&
           parse_numbers(verb, options);
}

/* Seeds the generator from the operating system's random numbers, because CoAP
 * tokens should not be guessable (RFC 7252 section 5.3.1). */
static void
seed_random(struct random *random)
{
    uint64_t seed;

    randombytes_buf(&seed, sizeof(seed));
    random_seed(random, seed);
}

static bool
open_client(struct call_run *run)
{
    const struct client_options options = {
        .via = run->options.via,
        .via_count = run->options.via_count,
        .random = &run->random,
    };
    struct status st;

    seed_random(&run->random);
    run->base = event_base_new();
    if (run->base == NULL) {
        return false;
    }
    run->client = client_new(run->base, &options, &st);
    if (run->client == NULL) {
        fprintf(stderr, "pimentohaven call: %s\n", st.message);
        return false;
    }
    run->flow = client_flow_new(run->client);
    return run->flow != NULL;
}

static void
close_client(struct call_run *run)
{
    client_flow_destroy(run->flow);
    client_destroy(run->client);
    if (run->base != NULL) {
        event_base_free(run->base);
    }
}

static int
run_verb(const struct verb *verb, struct call_run *run)
{
    run->exit_status = CALL_EXIT_USAGE;
    if (!open_client(run)) {
        close_client(run);
        return CALL_EXIT_NOT_RUN;
    }
    if (verb->start(run)) {
        event_base_dispatch(run->base);
    }
    else {
        fprintf(stderr, "pimentohaven call: cannot start the request: path "
                        "and query do not fit a request, the output file "
                        "cannot be opened, or out of memory\n");
    }
    close_client(run);
    return run->exit_status;
}

int
cmd_call(int argc, char **argv)
{
    const struct verb *verb = argc < 2 ? NULL : find_verb(argv[1]);
    struct call_run run = {.exit_status = CALL_EXIT_USAGE};

    if (argc >= 2 && strcmp(argv[1], "--help") == 0) {
        print_usage(stdout);
        return EXIT_SUCCESS;
    }
    if (verb == NULL) {
        print_usage(stderr);
        return CALL_EXIT_USAGE;
    }
    if (sodium_init() < 0 || !parse(verb, argc - 1, argv + 1, &run.options)) {
        return CALL_EXIT_USAGE;
    }
    return run_verb(verb, &run);
}
