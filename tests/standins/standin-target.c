/* A target that answers HTTP requests after a service time, with a limited
 * number of slots and a limited queue. Commands at /control activate
 * failures. */

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base/clock.h"
#include "standin-common.h"
#include "target.h"

#define SLOTS_DEFAULT 2
#define QUEUE_DEFAULT 4
#define CONNECTIONS_DEFAULT 2000
#define SERVICE_TIME_DEFAULT_MS 10.0
/* Interval between two samples of the load. */
#define LOAD_SAMPLE_INTERVAL_MS 100
#define JOURNAL_FILE_MODE 0644 /* permissions of a new journal */

static struct target target;

static const char *
health_state(void)
{
    uint64_t age_ms =
        (clock_monotonic_us() - target.started_us) / USEC_PER_MSEC;

    if (target.faults.lie_health) {
        return "ready";
    }
    if (target.faults.leaving) {
        return "leaving";
    }
    return age_ms < (uint64_t)target.warmup_ms ? "warming" : "ready";
}

static void
handle_health(struct evhttp_request *req)
{
    bool lie = target.faults.lie_health;
    json_t *body = json_pack(
        "{s:s, s:i, s:i, s:i, s:s}", "service", target.service, "running",
        lie ? 0 : target.running_count, "slots", target.slots, "queued",
        lie ? 0 : target.queued_count, "state", health_state());
    char *text = json_dumps(body, JSON_COMPACT);
    struct evbuffer *out = evbuffer_new();

    evbuffer_add_printf(out, "%s\n", text);
    evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
                      "application/json");
    target_reply(&target, req, HTTP_OK, out);
    evbuffer_free(out);
    free(text);
    json_decref(body);
}

static void
handle_stats(struct evhttp_request *req)
{
    const struct target_counts *c = &target.counts;
    json_t *body = json_object();
    const struct {
        const char *name;
        uint64_t value;
    } members[] = {
        {"begun", c->begun},
        {"ended", c->ended},
        {"shed", c->shed},
        {"expired", c->expired},
        {"cancelled", c->cancelled},
        {"misdirected", c->misdirected},
        {"streams_opened", c->streams_opened},
        {"busy_us", c->busy_us},
        {"started_us", target.started_us},
        {"running", (uint64_t)target.running_count},
        {"queued", (uint64_t)target.queued_count},
        {"streams", (uint64_t)target.stream_count},
        {"connections", (uint64_t)target.connection_count},
    };

    json_object_set_new(body, "target", json_string(target.id));
    json_object_set_new(body, "service", json_string(target.service));
    for (size_t i = 0; i < sizeof(members) / sizeof(*members); i++) {
        json_object_set_new(body, members[i].name,
                            json_integer((json_int_t)members[i].value));
    }
    standin_reply_json(req, HTTP_OK, body);
}

/* Sets a failure that is either active or not. Returns false if there is none
 * with this name. */
static bool
control_flag(const char *name, const json_t *value)
{
    const struct {
        const char *name;
        bool *flag;
    } flags[] = {
        {"hang", &target.faults.hang},
        {"reset", &target.faults.reset},
        {"wrong_length", &target.faults.wrong_length},
        {"refuse", &target.faults.refuse},
        {"lie_health", &target.faults.lie_health},
        {"leaving", &target.faults.leaving},
        {"stale_load", &target.faults.stale_load},
    };

    for (size_t i = 0; i < sizeof(flags) / sizeof(*flags); i++) {
        if (strcmp(name, flags[i].name) == 0 && json_is_boolean(value)) {
            *flags[i].flag = json_is_true(value);
            return true;
        }
    }
    return false;
}

static bool
control_member(const json_t *command, const char *name, const json_t *value)
{
    if (control_flag(name, value)) {
        return true;
    }
    if (strcmp(name, "lie_load") == 0 && json_is_string(value)) {
        snprintf(target.faults.lie_load, sizeof(target.faults.lie_load), "%s",
                 json_string_value(value));
        return true;
    }
    if (strcmp(name, "slow") == 0 && json_is_number(value)) {
        target.faults.slow = json_number_value(value);
        return true;
    }
    if (strcmp(name, "silent") == 0 && json_is_true(value)) {
        target_silence(&target);
        return true;
    }
    if (strcmp(name, "service_time_ms") == 0 && json_is_number(value)) {
        target.service_time_ms = json_number_value(value);
        return true;
    }
    if (strcmp(name, "bundle_version") == 0 && json_is_integer(value)) {
        target.bundle_version = (unsigned)json_integer_value(value);
        return true;
    }
    return false;
}

/* True if the Host header of a request does not name this target's service. */
static bool
is_misdirected(struct evhttp_request *req)
{
    const char *host =
        evhttp_find_header(evhttp_request_get_input_headers(req), "Host");
    size_t len = host != NULL ? strcspn(host, ":") : 0;

    return host == NULL || len != strlen(target.service) ||
           strncmp(host, target.service, len) != 0;
}

static void
refuse_misdirected(struct evhttp_request *req)
{
    const char *id = evhttp_find_header(evhttp_request_get_input_headers(req),
                                        "X-Request-Id");
    struct evbuffer *body = evbuffer_new();

    target.counts.misdirected++;
    target_journal(&target, "misdirected", target_method_name(req),
                   id != NULL ? id : "-", evhttp_request_get_uri(req));
    evbuffer_add_printf(body, "this is a target of %s\n", target.service);
    target_reply(&target, req, HTTP_MISDIRECTED, body);
    evbuffer_free(body);
}

static void
handle_request(struct evhttp_request *req, void *ctx)
{
    const char *path = evhttp_request_get_uri(req);
    bool is_health = strcmp(path, "/health") == 0;

    if (strcmp(path, "/control") == 0) {
        standin_execute_command(req, control_member);
    }
    else if (strcmp(path, "/control/stats") == 0) {
        handle_stats(req);
    }
    else if (target.faults.hang && !(is_health && target.faults.lie_health)) {
        target_conn_of(&target, req);
    }
    else if (is_health) {
        handle_health(req);
    }
    else if (is_misdirected(req)) {
        refuse_misdirected(req);
    }
    else if (!target_stream_start(&target, req)) {
        target_work_submit(&target, req);
    }
}

static void
on_load_sample_timer(evutil_socket_t fd, short what, void *ctx)
{
    target_sample_load(&target);
}

static void
set_target_defaults(void)
{
    target.id = NULL;
    target.service = "default";
    target.journal_fd = -1;
    target.slots = SLOTS_DEFAULT;
    target.queue_limit = QUEUE_DEFAULT;
    target.connection_limit = CONNECTIONS_DEFAULT;
    target.service_time_ms = SERVICE_TIME_DEFAULT_MS;
    target.bundle_version = 1;
    list_init(&target.running);
    list_init(&target.queued);
    list_init(&target.connections);
}

static void
target_run(const char *listen)
{
    const struct timeval interval = {0, LOAD_SAMPLE_INTERVAL_MS * 1000};

    target.base = standin_base_new();
    target.started_us = clock_monotonic_us();
    standin_http_new(target.base, listen, handle_request, NULL);
    event_add(
        event_new(target.base, -1, EV_PERSIST, on_load_sample_timer, NULL),
        &interval);
    event_base_dispatch(target.base);
}

int
main(int argc, char **argv)
{
    char *listen = NULL;
    char *journal = NULL;
    char *distribution = NULL;
    gint64 seed = 1;
    set_target_defaults();
    const GOptionEntry options[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address", "IP:PORT"},
        {"id", 0, 0, G_OPTION_ARG_STRING, &target.id, "Name in answers", "ID"},
        {"service", 0, 0, G_OPTION_ARG_STRING, &target.service,
         "Service that requests must name", "ID"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &target.slots,
         "Requests that run at the same time", "N"},
        {"queue", 0, 0, G_OPTION_ARG_INT, &target.queue_limit,
         "Maximum number of requests that wait for a slot", "N"},
        {"connections", 0, 0, G_OPTION_ARG_INT, &target.connection_limit,
         "Maximum number of connections", "N"},
        {"service-time-ms", 0, 0, G_OPTION_ARG_DOUBLE, &target.service_time_ms,
         "Mean service time", "MS"},
        {"distribution", 0, 0, G_OPTION_ARG_STRING, &distribution,
         "Distribution of the service time", "exp|fixed"},
        {"cold-start-ms", 0, 0, G_OPTION_ARG_INT, &target.cold_start_ms,
         "Time after the start in which requests are slow", "MS"},
        {"warmup", 0, 0, G_OPTION_ARG_INT, &target.warmup_ms,
         "Time after the start in which /health reports warming", "MS"},
        {"journal", 0, 0, G_OPTION_ARG_FILENAME, &journal,
         "File that events are appended to", "FILE"},
        {"seed", 0, 0, G_OPTION_ARG_INT64, &seed,
         "Seed of the random number generator", "N"},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;

    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        listen == NULL) {
        fprintf(stderr, "%s\n",
                error ? error->message : "option --listen is missing");
        return EXIT_FAILURE;
    }
    g_option_context_free(context);
    target.id = target.id != NULL ? target.id : listen;
    target.fixed_time =
        distribution != NULL && strcmp(distribution, "fixed") == 0;
    target.random.state = (uint64_t)seed;
    if (journal != NULL) {
        target.journal_fd =
            open(journal, O_WRONLY | O_CREAT | O_APPEND, JOURNAL_FILE_MODE);
        if (target.journal_fd < 0) {
            perror(journal);
            return EXIT_FAILURE;
        }
    }
    target_run(listen);
    return EXIT_SUCCESS;
}
