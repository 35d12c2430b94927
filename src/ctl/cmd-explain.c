#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "ctl/log-story.h"
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
         "CALLER, CALLER:PORT or CALLER:PORT>ROUTE:PORT", "FLOW"},
        {"target", 0, 0, G_OPTION_ARG_STRING, &options->target, "Its id",
         "ID"},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY,
         &options->files, NULL, "[FILE...]"},
        {NULL},
    };
    GOptionContext *context =
        g_option_context_new("- tell the story of a flow or a target");
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
        fprintf(
            stderr,
            "pimentohaven explain: one of --flow and --target is needed\n");
        return false;
    }
    return true;
}

static void
read_lines(struct log_story *story, FILE *in, const char *source)
{
    char *line = NULL;
    size_t room = 0;

    while (getline(&line, &room, in) >= 0) {
        log_story_add(story, source, g_strchomp(line));
    }
    free(line);
}

static bool
read_file(struct log_story *story, const char *path)
{
    FILE *in = fopen(path, "r");
    char *name;

    if (in == NULL) {
        fprintf(stderr, "pimentohaven explain: %s: %s\n", path,
                strerror(errno));
        return false;
    }
    name = g_path_get_basename(path);
    read_lines(story, in, name);
    g_free(name);
    fclose(in);
    return true;
}

static bool
read_all(struct log_story *story, char **files)
{
    if (files == NULL) {
        read_lines(story, stdin, "-");
        return true;
    }
    for (char **path = files; *path != NULL; path++) {
        if (!read_file(story, *path)) {
            return false;
        }
    }
    return true;
}

/* Prints what logs tell of a flow or a target, in order of time. */
int
cmd_explain(int argc, char **argv)
{
    struct explain_options options = {0};
    struct log_story *story;
    int result = EXIT_USAGE;

    if (parse_options(argc, argv, &options)) {
        const struct story_query query = {options.flow, options.target};

        story = log_story_new(&query);
        if (read_all(story, options.files)) {
            result = log_story_print(story, stdout) ? EXIT_SUCCESS
                                                    : EXIT_NOTHING_FOUND;
        }
        if (result == EXIT_NOTHING_FOUND) {
            fprintf(stderr, "pimentohaven explain: no line names %s\n",
                    options.flow != NULL ? options.flow : options.target);
        }
        if (log_story_skipped(story) > 0) {
            fprintf(stderr,
                    "pimentohaven explain: %zu lines are no log lines\n",
                    log_story_skipped(story));
        }
        log_story_destroy(story);
    }
    g_free(options.flow);
    g_free(options.target);
    g_strfreev(options.files);
    return result;
}
