#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define LOG_MODULE "serve"
#include "base/log.h"
#include "base/settings.h"
#include "daemon/commands.h"

static char *config_path = NULL;

static const GOptionEntry options[] = {
    {"config", 'c', 0, G_OPTION_ARG_FILENAME, &config_path,
     "Settings of this balancer", "FILE"},
    {NULL},
};

static bool
parse_options(int argc, char **argv)
{
    GOptionContext *context = g_option_context_new("- run a balancer");
    GError *error = NULL;
    bool parsed;

    g_option_context_add_main_entries(context, options, NULL);
    parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!parsed) {
        fprintf(stderr, "pimentohaven serve: %s\n", error->message);
        g_error_free(error);
        return false;
    }
    if (config_path == NULL) {
        fprintf(stderr, "pimentohaven serve: --config is needed\n");
        return false;
    }
    return true;
}

static void
init_log(const struct settings *settings)
{
    enum log_level level = LOG_LEVEL_INFO;

    log_level_from_name(settings->log.level, &level);
    log_init(level, strcmp(settings->log.format, "json") == 0
                        ? LOG_FORMAT_JSON
                        : LOG_FORMAT_TEXT);
}

/* Runs a balancer until it is stopped. */
int
cmd_serve(int argc, char **argv)
{
    struct settings *settings;
    struct status st;

    if (!parse_options(argc, argv)) {
        return 2;
    }
    settings = settings_load(config_path, &st);
    if (settings == NULL) {
        fprintf(stderr, "%s\n", st.message);
        return EXIT_FAILURE;
    }
    init_log(settings);
    LOG_INFO("host %s in failure domain %s", settings->host.id,
             settings->host.domain);
    settings_destroy(settings);
    return EXIT_SUCCESS;
}
