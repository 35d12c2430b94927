#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>
#include <zmq.h>

#define LOG_MODULE "serve"
#include "base/log.h"
#include "base/settings.h"
#include "daemon/api-task.h"
#include "daemon/control-task.h"
#include "daemon/data-task.h"
#include "daemon/subcommands.h"

static char *config_path = NULL;

static const GOptionEntry options[] = {
    {"config", 'c', 0, G_OPTION_ARG_FILENAME, &config_path,
     "Settings file of this balancer", "FILE"},
    {NULL},
};

/* The tasks of a balancer. */
struct balancer {
    void *zmq_ctx;
    struct control_task *control;
    struct data_task *data;
    struct api_task *api;
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
        fprintf(stderr, "pimentohaven serve: --config is required\n");
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

/* Creates and starts the tasks. The control task is created first, because it
 * binds the mailboxes that the others connect to. Returns false with the
 * reason in "st"; the tasks that exist are then destroyed by destroy_tasks().
 */
static bool
start_tasks(struct balancer *balancer, const struct settings *settings,
            struct status *st)
{
    balancer->control = control_task_new(balancer->zmq_ctx, settings, st);
    if (balancer->control == NULL) {
        return false;
    }
    balancer->data = data_task_new(balancer->zmq_ctx, settings, st);
    if (balancer->data == NULL) {
        return false;
    }
    balancer->api = api_task_new(balancer->zmq_ctx, settings, st);
    if (balancer->api == NULL) {
        return false;
    }
    return control_task_start(balancer->control, st) &&
           data_task_start(balancer->data, st) &&
           api_task_start(balancer->api, st);
}

static void
destroy_tasks(struct balancer *balancer)
{
    api_task_destroy(balancer->api);
    data_task_destroy(balancer->data);
    control_task_destroy(balancer->control);
}

/* Blocks SIGTERM and SIGINT, which request a planned stop. Called before any
 * thread starts, so that only wait_for_stop() receives them. */
static void
block_signals(sigset_t *signals)
{
    signal(SIGPIPE, SIG_IGN);
    sigemptyset(signals);
    sigaddset(signals, SIGTERM);
    sigaddset(signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, signals, NULL);
}

static void
wait_for_stop(const sigset_t *signals)
{
    int signal_number = 0;

    sigwait(signals, &signal_number);
    LOG_INFO("%s: planned stop begins", strsignal(signal_number));
}

static int
serve(const struct settings *settings)
{
    struct balancer balancer = {0};
    struct status st;
    sigset_t signals;
    bool started;

    block_signals(&signals);
    balancer.zmq_ctx = zmq_ctx_new();
    status_set_ok(&st);
    started = start_tasks(&balancer, settings, &st);
    if (started) {
        LOG_INFO("host %s in failure domain %s is up", settings->host.id,
                 settings->host.domain);
        wait_for_stop(&signals);
        control_task_stop(balancer.control);
        data_task_join(balancer.data);
        control_task_join(balancer.control);
        api_task_stop(balancer.api);
        api_task_join(balancer.api);
        LOG_INFO("stopped");
    }
    else {
        fprintf(stderr, "pimentohaven serve: %s\n", st.message);
    }
    destroy_tasks(&balancer);
    zmq_ctx_term(balancer.zmq_ctx);
    return started ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Runs a balancer until a signal requests a planned stop and the stop is
 * complete. */
int
cmd_serve(int argc, char **argv)
{
    struct settings *settings;
    struct status st;
    int result;

    if (!parse_options(argc, argv)) {
        return 2;
    }
    if (sodium_init() < 0) {
        fprintf(stderr, "pimentohaven serve: cannot initialize libsodium\n");
        return EXIT_FAILURE;
    }
    settings = settings_load(config_path, &st);
    if (settings == NULL) {
        fprintf(stderr, "%s\n", st.message);
        return EXIT_FAILURE;
    }
    init_log(settings);
    result = serve(settings);
    settings_destroy(settings);
    return result;
}
