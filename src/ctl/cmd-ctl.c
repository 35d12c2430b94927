#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

#include "base/clock.h"
#include "ctl/ctl.h"
#include "daemon/subcommands.h"

#define API_DEFAULT "127.0.0.1:7403"
#define API_ENV_VARIABLE "PIMENTOHAVEN_API"
#define TIMEOUT_DEFAULT_S 30

/* Parsed command line. Strings are NULL, and numbers 0, for options that are
 * not given, except that the timeout has a default. */
struct arguments {
    char *api;
    char *output;
    char *file;
    gboolean wait;
    gboolean follow;
    gboolean retire;
    gint timeout_s;
    gint64 after;
    gint64 retire_after_s;
    char **words; /* the verb and its argument; NULL without a verb */
};

struct verb {
    const char *name;
    const char *argument; /* its name in usage messages, NULL: no argument */
    /* After success, --wait waits until the write is in effect. False for
     * rotate-keys, which waits in any case. */
    bool writes;
    enum ctl_exit (*run)(struct ctl *ctl, const struct arguments *args);
};

static enum ctl_exit
run_get(struct ctl *ctl, const struct arguments *args)
{
    return ctl_get(ctl, args->words[1]);
}

static enum ctl_exit
run_apply(struct ctl *ctl, const struct arguments *args)
{
    if (args->file == NULL) {
        fprintf(stderr, "pimentohaven ctl: apply: -f is required\n");
        return CTL_USAGE;
    }
    return ctl_apply(ctl, args->file);
}

static enum ctl_exit
run_delete(struct ctl *ctl, const struct arguments *args)
{
    return ctl_delete(ctl, args->words[1]);
}

static enum ctl_exit
run_drain(struct ctl *ctl, const struct arguments *args)
{
    return ctl_set_state(ctl, args->words[1], ADMIN_DRAINING);
}

static enum ctl_exit
run_activate(struct ctl *ctl, const struct arguments *args)
{
    return ctl_set_state(ctl, args->words[1], ADMIN_ACTIVE);
}

static enum ctl_exit
run_status(struct ctl *ctl, const struct arguments *args)
{
    return ctl_status(ctl);
}

static enum ctl_exit
run_events(struct ctl *ctl, const struct arguments *args)
{
    return ctl_events(ctl, (uint64_t)args->after, args->follow);
}

static enum ctl_exit
run_metrics(struct ctl *ctl, const struct arguments *args)
{
    return ctl_metrics(ctl);
}

static enum ctl_exit
run_rotate_keys(struct ctl *ctl, const struct arguments *args)
{
    if (args->retire) {
        return ctl_retire_keys(ctl);
    }
    return ctl_rotate_keys(ctl, (uint64_t)args->retire_after_s);
}

static const struct verb verbs[] = {
    {"get", "WHAT", false, run_get},
    {"apply", NULL, true, run_apply},
    {"delete", "NAME", true, run_delete},
    {"drain", "NAME", true, run_drain},
    {"activate", "NAME", true, run_activate},
    {"status", NULL, false, run_status},
    {"events", NULL, false, run_events},
    {"metrics", NULL, false, run_metrics},
    {"rotate-keys", NULL, false, run_rotate_keys},
};

static const char description[] =
    "Verbs:\n"
    "  get services|targets[/SERVICE]|hosts|key-rings|NAME\n"
    "  apply -f FILE\n"
    "  delete NAME\n"
    "  drain NAME, activate NAME\n"
    "  status\n"
    "  events\n"
    "  metrics\n"
    "  rotate-keys\n\n"
    "A NAME is service/ID, target/SERVICE/ID, host/ID or key_ring/tokens.\n"
    "pimentohaven-ctl(1) describes all of it.\n";

static bool
parse_options(struct arguments *args, int argc, char **argv)
{
    const GOptionEntry options[] = {
        {"api", 0, 0, G_OPTION_ARG_STRING, &args->api,
         "API addresses of one or more balancers", "ADDR:PORT,..."},
        {"output", 'o', 0, G_OPTION_ARG_STRING, &args->output, "table or json",
         "FORMAT"},
        {"file", 'f', 0, G_OPTION_ARG_FILENAME, &args->file,
         "YAML file with the resources to apply; - for standard input",
         "FILE"},
        {"wait", 'w', 0, G_OPTION_ARG_NONE, &args->wait,
         "Wait until the change is in force in every failure domain", NULL},
        {"timeout", 't', 0, G_OPTION_ARG_INT, &args->timeout_s,
         "Time limit of the whole command", "SECONDS"},
        {"follow", 0, 0, G_OPTION_ARG_NONE, &args->follow,
         "Keep printing new events as they occur", NULL},
        {"after", 0, 0, G_OPTION_ARG_INT64, &args->after,
         "Print only events with a greater number", "NUMBER"},
        {"retire-after", 0, 0, G_OPTION_ARG_INT64, &args->retire_after_s,
         "Retire the old keys after this time", "SECONDS"},
        {"retire", 0, 0, G_OPTION_ARG_NONE, &args->retire,
         "Retire the old keys without adding a key", NULL},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &args->words,
         NULL, "VERB [ARGUMENT]"},
        {NULL},
    };
    GOptionContext *context =
        g_option_context_new("- query and change a deployment");
    GError *error = NULL;
    bool parsed;

    g_option_context_add_main_entries(context, options, NULL);
    g_option_context_set_description(context, description);
    parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!parsed) {
        fprintf(stderr, "pimentohaven ctl: %s\n", error->message);
        g_error_free(error);
    }
    return parsed;
}

/* Finds the verb of the command line and checks its number of arguments.
 * Returns NULL, after printing an error, when either is wrong. */
static const struct verb *
find_verb(const struct arguments *args)
{
    guint count = args->words == NULL ? 0 : g_strv_length(args->words);

    for (size_t i = 0; count > 0 && i < sizeof(verbs) / sizeof(*verbs); i++) {
        const struct verb *verb = &verbs[i];

        if (strcmp(args->words[0], verb->name) != 0) {
            continue;
        }
        if (count != (verb->argument == NULL ? 1 : 2)) {
            fprintf(stderr, "usage: pimentohaven ctl %s %s\n", verb->name,
                    verb->argument == NULL ? "" : verb->argument);
            return NULL;
        }
        return verb;
    }
    fprintf(stderr, "pimentohaven ctl: missing or unknown verb; see --help\n");
    return NULL;
}

static bool
parse_output(struct ctl *ctl, const char *output)
{
    if (output == NULL || strcmp(output, "table") == 0) {
        ctl->output = CTL_TABLE;
        return true;
    }
    if (strcmp(output, "json") == 0) {
        ctl->output = CTL_JSON;
        return true;
    }
    fprintf(stderr, "pimentohaven ctl: --output: expected table or json\n");
    return false;
}

static bool
check_number_options(const struct arguments *args)
{
    if (args->timeout_s > 0 && args->after >= 0 && args->retire_after_s >= 0) {
        return true;
    }
    fprintf(stderr,
            "pimentohaven ctl: --timeout must be at least 1, --after and "
            "--retire-after at least 0\n");
    return false;
}

static enum ctl_exit
run(struct arguments *args)
{
    const char *variable = g_getenv(API_ENV_VARIABLE);
    const char *api = args->api != NULL  ? args->api
                      : variable != NULL ? variable
                                         : API_DEFAULT;
    const struct verb *verb = find_verb(args);
    struct ctl ctl = {.wait = args->wait};
    struct status st;
    enum ctl_exit result;

    if (verb == NULL || !parse_output(&ctl, args->output) ||
        !check_number_options(args)) {
        return CTL_USAGE;
    }
    if (!ctl_api_init(&ctl.api, api, (uint64_t)args->timeout_s * USEC_PER_SEC,
                      &st)) {
        fprintf(stderr, "pimentohaven ctl: %s\n", st.message);
        return CTL_USAGE;
    }
    result = verb->run(&ctl, args);
    if (result == CTL_OK && args->wait && verb->writes) {
        result = ctl_wait_in_effect(&ctl, ctl.revision);
    }
    return result;
}

/* Subcommand "ctl": runs one operator command against the HTTP API of the
 * balancers. */
int
cmd_ctl(int argc, char **argv)
{
    struct arguments args = {.timeout_s = TIMEOUT_DEFAULT_S};
    enum ctl_exit result = CTL_USAGE;

    if (sodium_init() < 0) {
        fprintf(stderr, "pimentohaven ctl: cannot initialize libsodium\n");
        return EXIT_FAILURE;
    }
    if (parse_options(&args, argc, argv)) {
        result = run(&args);
    }
    g_free(args.api);
    g_free(args.output);
    g_free(args.file);
    g_strfreev(args.words);
    return (int)result;
}
