#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "ctl/log-timeline.h"
#include "daemon/subcommands.h"

#define EXIT_NOTHING_FOUND 1
#define EXIT_USAGE 2

struct explain_options {
    char *flow;
    char *target;
    char **files;
};

static bool
parse_options(int argc, char **argv, struct explain_options *options)
{
    const GOptionEntry entries[] = {
        {"flow", 0, 0, G_OPTION_ARG_STRING, &options->flow,
         "Flows to show: CALLER, CALLER:PORT or CALLER:PORT>ROUTE:PORT",
         "FLOW"},
        {"target", 0, 0, G_OPTION_ARG_STRING, &options->target,
         "Id of the target to show", "ID"},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY,
         &options->files, NULL, "[FILE...]"},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(
        "- show the history of a flow or a target from logs");
    GError *error = NULL;
    bool parsed;

    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_summary(
        context, "Reads log lines of forwarders from the files, or from "
                 "standard input.");
    parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!parsed) {
        fprintf(stderr, "pimentohaven explain: %s\n", error->message);
        g_error_free(error);
        return false;
    }
    if ((options->flow == NULL) == (options->target == NULL)) {
        fprintf(stderr,
                "pimentohaven explain: exactly one of --flow and --target is "
                "required\n");
        return false;
    }
    return true;
}

static void
read_lines(struct log_timeline *timeline, FILE *in, const char *source)
{
    char *line = NULL;
    size_t capacity = 0;

    while (getline(&line, &capacity, in) >= 0) {
        log_timeline_add(timeline, source, g_strchomp(line));
    }
    free(line);
}

static bool
read_file(struct log_timeline *timeline, const char *path)
{
    FILE *in = fopen(path, "r");
    char *name;

    if (in == NULL) {
        fprintf(stderr, "pimentohaven explain: %s: %s\n", path,
                strerror(errno));
        return false;
    }
    name = g_path_get_basename(path);
    read_lines(timeline, in, name);
    g_free(name);
    fclose(in);
    return true;
}

static bool
read_all(struct log_timeline *timeline, char **files)
{
    if (files == NULL) {
        read_lines(timeline, stdin, "-");
        return true;
    }
    for (char **path = files; *path != NULL; path++) {
        if (!read_file(timeline, *path)) {
            return false;
        }
    }
    return true;
}

/* Subcommand "explain": prints the log lines about a flow or a target, sorted
 * by time. */
int
cmd_explain(int argc, char **argv)
{
    struct explain_options options = {0};
    struct log_timeline *timeline;
    int result = EXIT_USAGE;

    if (parse_options(argc, argv, &options)) {
        const struct timeline_query query = {options.flow, options.target};

        timeline = log_timeline_new(&query);
        if (read_all(timeline, options.files)) {
            result = log_timeline_print(timeline, stdout) ? EXIT_SUCCESS
                                                          : EXIT_NOTHING_FOUND;
        }
        if (result == EXIT_NOTHING_FOUND) {
            fprintf(stderr, "pimentohaven explain: no log line names %s\n",
                    options.flow != NULL ? options.flow : options.target);
        }
        if (log_timeline_skipped(timeline) > 0) {
            fprintf(stderr,
                    "pimentohaven explain: skipped %zu lines that are not "
                    "log lines\n",
                    log_timeline_skipped(timeline));
        }
        log_timeline_destroy(timeline);
    }
    g_free(options.flow);
    g_free(options.target);
    g_strfreev(options.files);
    return result;
}
