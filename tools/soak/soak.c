#include "soak.h"

#include <arpa/inet.h>

#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <event2/bufferevent.h>

#include "base/clock.h"
#include "child.h"
#include "directory.h"
#include "faults.h"
#include "fleet.h"
#include "router.h"

/* Exit status when no promise could be judged. */
#define EXIT_CANNOT_RUN 2
/* Time for which requests are counted after the recovery bound. */
#define COUNT_DURATION_MS 8000
/* Maximum time from the end of the plan to the end of its last fault: the
 * longest duration in plan.c, and the replacement of a killed target. Rolling
 * restarts and releases that would take longer stop there. */
#define LAST_FAULT_END_MAX_MS 16000
/* Interval between two checks for ended processes. It limits the accuracy of
 * the measured stop times and is far below their limit. */
#define REAP_INTERVAL_MS 20
/* Interval between two readiness checks, the same as in the users' routers. */
#define READY_POLL_INTERVAL_MS 500
/* Interval between two checks of memory, descriptors and logs, which grow over
 * seconds. */
#define LIMIT_CHECK_INTERVAL_MS 1000
/* Minimum share of the requests after recovery that must be answered. On an
 * idle machine all are; on a busy one a process may be late for a few. */
#define RECOVERED_SHARE 0.99
/* Maximum number of event lines that are kept: a few minutes of a soak of size
 * "medium". */
#define EVENT_LINES_MAX 60000
/* Maximum number of event lines that are printed for a broken promise: about
 * one screen. */
#define EVENT_LINES_SHOWN_MAX 25

struct soak_size {
    const char *name;
    size_t balancers;
    size_t target_addrs;
    size_t callers;
    unsigned flows; /* of each caller */
};

static const struct soak_size soak_sizes[] = {
    {"small", 3, 8, 4, 8},
    {"medium", 8, 16, 8, 12},
    {"large", 96, 60, 16, 12},
};

/* A call of soak_after(). */
struct delayed_call {
    struct list link;
    struct event *timer;
    void (*cb)(void *ctx);
    void *ctx;
    GDestroyNotify drop; /* frees "ctx"; NULL: "ctx" need not be freed */
};

uint64_t
soak_now_ms(void)
{
    return clock_monotonic_us() / USEC_PER_MSEC;
}

void
soak_log(struct soak *soak, const char *format, ...)
{
    va_list args;
    char *text;

    va_start(args, format);
    text = g_strdup_vprintf(format, args);
    va_end(args);
    g_queue_push_tail(
        soak->event_lines,
        g_strdup_printf("%8.3f %s",
                        (double)(soak_now_ms() - soak->started_ms) / 1000.0,
                        text));
    g_free(text);
    if (g_queue_get_length(soak->event_lines) > EVENT_LINES_MAX) {
        g_free(g_queue_pop_head(soak->event_lines));
    }
}

void
soak_fail(struct soak *soak, const char *format, ...)
{
    va_list args;
    char *text;

    va_start(args, format);
    text = g_strdup_vprintf(format, args);
    va_end(args);
    soak_log(soak, "cannot run: %s", text);
    if (soak->failure != NULL) {
        g_free(text);
        return;
    }
    soak->failure = text;
    soak->ending = true;
    event_base_loopbreak(soak->base);
}

void
soak_address(const struct soak *soak, enum soak_net net, unsigned index,
             char out[INET_ADDRSTRLEN])
{
    snprintf(out, INET_ADDRSTRLEN, "127.%d.%d.%u", soak->options.net, (int)net,
             index + 1);
}

void
soak_endpoint(const struct soak *soak, enum soak_net net, unsigned index,
              uint16_t port, char out[SOAK_ENDPOINT_SIZE])
{
    char address[INET_ADDRSTRLEN];

    soak_address(soak, net, index, address);
    snprintf(out, SOAK_ENDPOINT_SIZE, "%s:%u", address, port);
}

const char *
soak_service(int service)
{
    static const char *const names[SOAK_SERVICES] = {"live", "export"};

    return names[service];
}

const char *
soak_domain(unsigned index)
{
    static const char *const names[SOAK_DOMAINS] = {"domain-0", "domain-1"};

    return names[index % SOAK_DOMAINS];
}

void
soak_sockaddr(const struct soak *soak, enum soak_net net, unsigned index,
              uint16_t port, struct sockaddr_in *sin)
{
    char address[INET_ADDRSTRLEN];

    soak_address(soak, net, index, address);
    memset(sin, 0, sizeof(*sin));
    sin->sin_family = AF_INET;
    sin->sin_port = htons(port);
    inet_pton(AF_INET, address, &sin->sin_addr);
}

static void
on_delayed_call(evutil_socket_t fd, short what, void *ctx)
{
    struct delayed_call *call = ctx;

    list_remove(&call->link);
    call->cb(call->ctx);
    event_free(call->timer);
    g_free(call);
}

/* Drops the calls that are not due yet. */
static void
drop_delayed_calls(struct soak *soak)
{
    list_for_each_safe (it, &soak->delayed_calls) {
        struct delayed_call *call =
            container_of(it, struct delayed_call, link);

        list_remove(&call->link);
        if (call->drop != NULL) {
            call->drop(call->ctx);
        }
        event_free(call->timer);
        g_free(call);
    }
}

void
soak_after(struct soak *soak, uint64_t ms, void (*cb)(void *ctx), void *ctx,
           GDestroyNotify drop)
{
    const struct timeval delay = {(time_t)(ms / 1000),
                                  (suseconds_t)(ms % 1000 * 1000)};
    struct delayed_call *call = g_new0(struct delayed_call, 1);

    call->cb = cb;
    call->ctx = ctx;
    call->drop = drop;
    list_push_back(&soak->delayed_calls, &call->link);
    call->timer = event_new(soak->base, -1, 0, on_delayed_call, call);
    event_add(call->timer, &delay);
}

/* Whether an event line may explain a broken promise: it contains the first
 * search word; or another one and is not about a flow; or it is about a fault
 * or a version of the configuration. */
static bool
is_relevant(const char *line, const char *const *words)
{
    bool of_flow = strstr(line, " flow=") != NULL;

    for (size_t i = 0; words[i] != NULL; i++) {
        if (strstr(line, words[i]) != NULL && (i == 0 || !of_flow)) {
            return true;
        }
    }
    return strstr(line, " fault ") != NULL ||
           strstr(line, " version ") != NULL;
}

/* Prints the latest event lines that are relevant for the search words. */
static void
print_relevant_lines(const struct soak *soak, const char *const *words)
{
    GQueue shown = G_QUEUE_INIT;

    for (GList *it = soak->event_lines->tail;
         it != NULL && g_queue_get_length(&shown) < EVENT_LINES_SHOWN_MAX;
         it = it->prev) {
        if (is_relevant(it->data, words)) {
            g_queue_push_head(&shown, it->data);
        }
    }
    for (GList *it = shown.head; it != NULL; it = it->next) {
        printf("    %s\n", (const char *)it->data);
    }
    g_queue_clear(&shown);
}

/* Prints the first break of each promise, with the event lines that may
 * explain it. Later breaks are counted and logged only. Ends the soak
 * if it was to run until this promise was broken. */
static void
on_broken(void *ctx, enum promise promise, const char *text,
          const char *const *words)
{
    struct soak *soak = ctx;

    soak->broken_counts[promise]++;
    soak_log(soak, "BROKEN: %s: %s", promise_name(promise), text);
    if (soak->broken_counts[promise] > 1) {
        return;
    }
    printf("\nBROKEN: %s: %s\n", promise_name(promise), text);
    print_relevant_lines(soak, words);
    fflush(stdout);
    if (g_strcmp0(soak->options.until_broken, promise_name(promise)) == 0) {
        soak->ending = true;
        event_base_loopbreak(soak->base);
    }
}

static void
on_reap(evutil_socket_t fd, short what, void *ctx)
{
    children_reap(ctx);
}

static void
on_poll(evutil_socket_t fd, short what, void *ctx)
{
    router_poll(ctx);
}

static void
on_limit_check(evutil_socket_t fd, short what, void *ctx)
{
    struct soak *soak = ctx;

    for (unsigned i = 0; i < soak->balancer_count; i++) {
        if (soak->balancers[i].child.pid != 0) {
            child_check_limits(soak, &soak->balancers[i].child);
        }
    }
    if (isatty(STDOUT_FILENO)) {
        printf("\r%5lu s, %u requests ",
               (soak_now_ms() - soak->started_ms) / 1000, soak->requests);
        fflush(stdout);
    }
}

/* A fault of the plan that has not begun yet. */
struct scheduled_fault {
    struct soak *soak;
    const struct fault *fault;
};

static void
begin_scheduled_fault(void *ctx)
{
    struct scheduled_fault *scheduled = ctx;

    fault_begin(scheduled->soak, scheduled->fault);
    g_free(scheduled);
}

/* Ends the soak; checks the share of requests that were answered after
 * recovery. */
static void
finish(void *ctx)
{
    struct soak *soak = ctx;
    unsigned total = soak->answered + soak->failed;
    char text[SOAK_TEXT_SIZE];

    soak->ending = true;
    if (total == 0 || soak->answered < (unsigned)(RECOVERED_SHARE * total)) {
        snprintf(text, sizeof(text), "%u of %u requests answered",
                 soak->answered, total);
        checker_report_broken(soak->checker, PROMISE_RECOVER, text,
                              "rotation");
    }
    event_base_loopbreak(soak->base);
}

static void
start_counting(void *ctx)
{
    struct soak *soak = ctx;

    soak_log(soak, "recovery bound is over, counting of requests begins");
    soak->counting = true;
    soak_after(soak, COUNT_DURATION_MS, finish, soak, NULL);
}

/* Restores the first configuration, with all routes, so that after recovery
 * all requests can be answered. */
static void
restore_routes(void *ctx)
{
    struct soak *soak = ctx;

    soak->recovering = true;
    for (unsigned i = 0; i < CHECKER_ROUTES_MAX; i++) {
        soak->services[i] = (int)i % SOAK_SERVICES;
    }
    directory_write_config(soak);
    soak_after(soak, RECOVERY_BOUND_MS, start_counting, soak, NULL);
}

/* Schedules all faults and the recovery after them. */
static void
schedule_plan(struct soak *soak, const struct plan *plan)
{
    uint64_t last = plan->length_ms;

    for (guint i = 0; i < plan->faults->len; i++) {
        struct scheduled_fault *scheduled = g_new0(struct scheduled_fault, 1);

        scheduled->soak = soak;
        scheduled->fault = &g_array_index(plan->faults, struct fault, i);
        soak_after(soak, scheduled->fault->at_ms, begin_scheduled_fault,
                   scheduled, g_free);
    }
    soak_after(soak, last + LAST_FAULT_END_MAX_MS, restore_routes, soak, NULL);
}

static struct event *
open_interval_timer(struct soak *soak, unsigned ms, event_callback_fn cb)
{
    const struct timeval interval = {ms / 1000, ms % 1000 * 1000};
    struct event *event = event_new(soak->base, -1, EV_PERSIST, cb, soak);

    event_add(event, &interval);
    return event;
}

/* Ends the soak. An interrupted soak must not pass, so the interrupt counts as
 * a broken promise. */
static void
on_interrupt(evutil_socket_t fd, short what, void *ctx)
{
    struct soak *soak = ctx;

    printf("interrupted\n");
    soak->broken_counts[PROMISE_ALIVE]++;
    event_base_loopbreak(soak->base);
}

static bool
set_size(struct soak *soak, const char *name)
{
    for (size_t i = 0; i < sizeof(soak_sizes) / sizeof(*soak_sizes); i++) {
        if (strcmp(name, soak_sizes[i].name) == 0) {
            soak->balancer_count = soak_sizes[i].balancers;
            soak->target_addr_count = soak_sizes[i].target_addrs;
            soak->caller_count = soak_sizes[i].callers;
            soak->flows = soak_sizes[i].flows;
            return true;
        }
    }
    return false;
}

static bool
read_options(int argc, char **argv, struct soak_options *options)
{
    const GOptionEntry entries[] = {
        {"seed", 0, 0, G_OPTION_ARG_INT64, &options->seed, "Seed of the plan",
         "N"},
        {"minutes", 0, 0, G_OPTION_ARG_DOUBLE, &options->minutes,
         "Time during which faults begin", "M"},
        {"size", 0, 0, G_OPTION_ARG_STRING, &options->size,
         "small, medium or large", "SIZE"},
        {"build", 0, 0, G_OPTION_ARG_FILENAME, &options->build,
         "Build directory with the programs", "DIR"},
        {"program", 0, 0, G_OPTION_ARG_FILENAME, &options->program,
         "Program of the balancers, instead of that in the build directory",
         "FILE"},
        {"target-option", 0, 0, G_OPTION_ARG_STRING, &options->target_option,
         "Additional option of all targets that makes them break a promise",
         "OPTION"},
        {"until-broken", 0, 0, G_OPTION_ARG_STRING, &options->until_broken,
         "Ends the soak when this promise is broken", "PROMISE"},
        {"replay", 0, 0, G_OPTION_ARG_FILENAME, &options->replay,
         "Runs the plan of this file, which an earlier soak wrote", "FILE"},
        {"keep", 0, 0, G_OPTION_ARG_FILENAME, &options->keep,
         "Work directory, kept with plan, event lines and logs", "DIR"},
        {"net", 0, 0, G_OPTION_ARG_INT, &options->net,
         "Uses addresses of 127.N.0.0/16", "N"},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(
        "- injects faults into a fleet of balancers and checks its promises");
    GError *error = NULL;
    bool parsed;

    g_option_context_add_main_entries(context, entries, NULL);
    parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!parsed) {
        fprintf(stderr, "soak: %s\n", error->message);
        g_error_free(error);
    }
    return parsed;
}

static void
open_work_dir(struct soak *soak)
{
    if (soak->options.keep != NULL) {
        snprintf(soak->work_dir, sizeof(soak->work_dir), "%s",
                 soak->options.keep);
        mkdir(soak->work_dir, 0755);
        return;
    }
    snprintf(soak->work_dir, sizeof(soak->work_dir),
             "%s/pimentohaven-soak-XXXXXX", g_get_tmp_dir());
    if (mkdtemp(soak->work_dir) == NULL) {
        perror(soak->work_dir);
        exit(2);
    }
}

/* Writes the plan and the event lines to the work directory. */
static void
write_files(const struct soak *soak)
{
    char path[SOAK_PATH_SIZE + 64];
    FILE *out;

    snprintf(path, sizeof(path), "%s/plan", soak->work_dir);
    out = fopen(path, "w");
    if (out != NULL) {
        plan_write(soak->plan, out);
        fclose(out);
    }
    snprintf(path, sizeof(path), "%s/lines", soak->work_dir);
    out = fopen(path, "w");
    for (GList *it = soak->event_lines->head; out != NULL && it != NULL;
         it = it->next) {
        fprintf(out, "%s\n", (const char *)it->data);
    }
    if (out != NULL) {
        fclose(out);
    }
}

static void
run(struct soak *soak, const struct plan *plan)
{
    struct event *reap = open_interval_timer(soak, REAP_INTERVAL_MS, on_reap);
    struct event *poll =
        open_interval_timer(soak, READY_POLL_INTERVAL_MS, on_poll);
    struct event *check =
        open_interval_timer(soak, LIMIT_CHECK_INTERVAL_MS, on_limit_check);
    struct event *interrupt =
        evsignal_new(soak->base, SIGINT, on_interrupt, soak);
    struct event *term = evsignal_new(soak->base, SIGTERM, on_interrupt, soak);

    event_add(interrupt, NULL);
    event_add(term, NULL);
    router_open(soak);
    fleet_start(soak);
    schedule_plan(soak, plan);
    event_base_dispatch(soak->base);
    children_kill(soak);
    drop_delayed_calls(soak);
    directory_cancel_requests(soak);
    router_close(soak);
    event_free(reap);
    event_free(poll);
    event_free(check);
    event_free(interrupt);
    event_free(term);
}

/* Prints the result and returns the exit status. Keeps the files if a promise
 * was broken or the soak could not run. */
static int
report(const struct soak *soak)
{
    unsigned broken = 0;

    if (soak->failure != NULL) {
        write_files(soak);
        printf("seed %lu, %s: cannot run: %s\nplan, event lines and logs are "
               "in %s\n",
               soak->plan->seed, soak->options.size, soak->failure,
               soak->work_dir);
        return EXIT_CANNOT_RUN;
    }
    for (int i = 0; i < PROMISE_COUNT; i++) {
        if (soak->broken_counts[i] > 0) {
            printf("broken %u times: %s\n", soak->broken_counts[i],
                   promise_name((enum promise)i));
        }
        broken += soak->broken_counts[i];
    }
    printf("seed %lu, %s, %zu balancers, %u faults, %u versions, %u starts of "
           "targets, %u requests, after recovery %u of %u answered: %s\n",
           soak->plan->seed, soak->options.size, soak->balancer_count,
           soak->plan->faults->len, soak->config_version + 1,
           soak->targets->len, soak->requests, soak->answered,
           soak->answered + soak->failed,
           broken == 0 ? "all promises kept" : "BROKEN");
    if (broken != 0 || soak->options.keep != NULL) {
        write_files(soak);
        printf("plan, event lines and logs are in %s\n", soak->work_dir);
    }
    return broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static void
remove_work_dir(const struct soak *soak)
{
    char *prefix = g_strdup_printf("%s/", soak->work_dir);
    GDir *dir = g_dir_open(soak->work_dir, 0, NULL);
    const char *name;

    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        char *path = g_strconcat(prefix, name, NULL);

        unlink(path);
        g_free(path);
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
    rmdir(soak->work_dir);
    g_free(prefix);
}

/* Reads the plan to replay or draws a new one; the caller owns it. Returns
 * NULL if the file to replay is not a valid plan. */
static struct plan *
make_plan(const struct soak_options *options)
{
    if (options->replay != NULL) {
        return plan_read(options->replay);
    }
    return plan_new(options->seed, (uint64_t)(options->minutes * 60000));
}

/* Does not take ownership of "plan", which must outlive "soak". */
static void
soak_init(struct soak *soak, const struct plan *plan)
{
    static const struct checker_bounds bounds = {
        .change_ms = CHANGE_BOUND_MS,
        .drain_ms = DRAIN_BOUND_MS,
        .settle_ms = SETTLE_MS,
        .slack_ms = TIMING_SLACK_MS,
        .downgrade_ms = DOWNGRADE_WINDOW_MS,
        .flow_max_ms = FLOW_MAX_S * 1000};

    soak->plan = plan;
    random_seed(&soak->config_random, plan->seed);
    random_seed(&soak->impairment_random, plan->seed);
    list_init(&soak->delayed_calls);
    list_init(&soak->control_requests);
    soak->event_lines = g_queue_new();
    soak->children = g_ptr_array_new();
    soak->targets = g_ptr_array_new_with_free_func(g_free);
    soak->base = event_base_new();
    soak->delays = delay_line_new(soak->base);
    soak->checker = checker_new(&bounds, on_broken, soak);
    soak->started_ms = soak_now_ms();
    open_work_dir(soak);
}

static void
soak_fini(struct soak *soak)
{
    delay_line_destroy(soak->delays);
    event_base_free(soak->base);
    g_ptr_array_free(soak->children, TRUE);
    g_ptr_array_free(soak->targets, TRUE);
    g_queue_free_full(soak->event_lines, g_free);
    checker_destroy(soak->checker);
    g_free(soak->failure);
}

int
main(int argc, char **argv)
{
    static struct soak soak = {.options = {.seed = 1,
                                           .minutes = 1,
                                           .size = "small",
                                           .build = "build",
                                           .net = 90}};
    struct plan *plan;
    int result;

    if (!read_options(argc, argv, &soak.options) ||
        !set_size(&soak, soak.options.size)) {
        fprintf(stderr,
                "soak: invalid arguments or unknown size, see --help\n");
        return 2;
    }
    plan = make_plan(&soak.options);
    if (plan == NULL) {
        fprintf(stderr, "soak: %s is not a readable plan file\n",
                soak.options.replay);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    soak_init(&soak, plan);
    run(&soak, plan);
    result = report(&soak);
    if (result == EXIT_SUCCESS && soak.options.keep == NULL) {
        remove_work_dir(&soak);
    }
    soak_fini(&soak);
    plan_destroy(plan);
    return result;
}
