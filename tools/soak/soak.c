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

/* After the last fault has ended: the users' bound, and as long again to
 * count. */
#define COUNT_MS 8000
/* The longest fault of a plan, see plan.c, and what follows a target's death.
 * Rolls and releases that go on for longer stop there. */
#define LAST_FAULT_MS 16000
#define REAP_MS                                                               \
    20              /* between looks for ended processes: far below the grace \
                     */
#define POLL_MS 500 /* the routers of the users ask twice a second */
#define SIZE_CHECK_MS 1000 /* memory grows over seconds */
/* Of the requests after the recovery, the share that has to be answered. All
 * of them on a calm fleet; a process of a busy machine may be late for a
 * few. */
#define RECOVERED_SHARE 0.99
/* Lines kept for the report, some minutes of a medium fleet, and shown of
 * them: a screen. */
#define LINES_MAX 60000
#define SHOWN_MAX 25

struct soak_size {
    const char *name;
    size_t balancers;
    size_t places;
    size_t callers;
    unsigned flows;
};

static const struct soak_size sizes[] = {
    {"small", 3, 8, 4, 8},
    {"medium", 8, 16, 8, 12},
    {"large", 96, 60, 16, 12},
};

/* A call that is due later. */
struct later {
    struct list link;
    struct event *timer;
    void (*cb)(void *ctx);
    void *ctx;
    GDestroyNotify drop;
};

uint64_t
soak_now_ms(void)
{
    return clock_monotonic_us() / USEC_PER_MSEC;
}

void
soak_note(struct soak *soak, const char *format, ...)
{
    va_list args;
    char *text;

    va_start(args, format);
    text = g_strdup_vprintf(format, args);
    va_end(args);
    g_queue_push_tail(
        soak->lines,
        g_strdup_printf("%8.3f %s",
                        (double)(soak_now_ms() - soak->started_ms) / 1000.0,
                        text));
    g_free(text);
    if (g_queue_get_length(soak->lines) > LINES_MAX) {
        g_free(g_queue_pop_head(soak->lines));
    }
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
              uint16_t port, char out[SOAK_ENDPOINT])
{
    char address[INET_ADDRSTRLEN];

    soak_address(soak, net, index, address);
    snprintf(out, SOAK_ENDPOINT, "%s:%u", address, port);
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
    static const char *const names[] = {"domain-0", "domain-1"};

    return names[index % 2];
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
on_later(evutil_socket_t fd, short what, void *ctx)
{
    struct later *later = ctx;

    list_remove(&later->link);
    later->cb(later->ctx);
    event_free(later->timer);
    g_free(later);
}

/* Frees the calls that are not due any more. */
static void
drop_later(struct soak *soak)
{
    list_for_each_safe (it, &soak->later) {
        struct later *later = container_of(it, struct later, link);

        list_remove(&later->link);
        if (later->drop != NULL) {
            later->drop(later->ctx);
        }
        event_free(later->timer);
        g_free(later);
    }
}

void
soak_after(struct soak *soak, uint64_t ms, void (*cb)(void *ctx), void *ctx,
           GDestroyNotify drop)
{
    const struct timeval delay = {(time_t)(ms / 1000),
                                  (suseconds_t)(ms % 1000 * 1000)};
    struct later *later = g_new0(struct later, 1);

    later->cb = cb;
    later->ctx = ctx;
    later->drop = drop;
    list_push_back(&soak->later, &later->link);
    later->timer = event_new(soak->base, -1, 0, on_later, later);
    event_add(later->timer, &delay);
}

/* Whether a line has to do with what is broken: it names the flow, it tells of
 * a process or a target concerned, or of a fault or a version. */
static bool
concerns(const char *line, const char *const *words)
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

/* Prints the last lines that concern it. */
static void
print_lines(const struct soak *soak, const char *const *words)
{
    GQueue shown = G_QUEUE_INIT;

    for (GList *it = soak->lines->tail;
         it != NULL && g_queue_get_length(&shown) < SHOWN_MAX; it = it->prev) {
        if (concerns(it->data, words)) {
            g_queue_push_head(&shown, it->data);
        }
    }
    for (GList *it = shown.head; it != NULL; it = it->next) {
        printf("    %s\n", (const char *)it->data);
    }
    g_queue_clear(&shown);
}

static void
on_broken(void *ctx, enum promise promise, const char *text,
          const char *const *words)
{
    struct soak *soak = ctx;

    soak->broken[promise]++;
    soak_note(soak, "BROKEN: %s: %s", promise_name(promise), text);
    if (soak->broken[promise] > 1) {
        return;
    }
    printf("\nBROKEN: %s: %s\n", promise_name(promise), text);
    print_lines(soak, words);
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
on_size_check(evutil_socket_t fd, short what, void *ctx)
{
    struct soak *soak = ctx;

    for (unsigned i = 0; i < soak->balancer_count; i++) {
        if (soak->balancers[i].child.pid != 0) {
            child_check_size(soak, &soak->balancers[i].child);
        }
    }
    if (isatty(STDOUT_FILENO)) {
        printf("\r%5lu s, %u requests ",
               (soak_now_ms() - soak->started_ms) / 1000, soak->requests);
        fflush(stdout);
    }
}

/* A fault of the plan that is due later. */
struct due_fault {
    struct soak *soak;
    const struct fault *fault;
};

static void
begin_due(void *ctx)
{
    struct due_fault *due = ctx;

    fault_begin(due->soak, due->fault);
    g_free(due);
}

static void
finish(void *ctx)
{
    struct soak *soak = ctx;
    unsigned all = soak->answered + soak->failed;
    char text[SOAK_TEXT];

    soak->ending = true;
    if (all == 0 || soak->answered < (unsigned)(RECOVERED_SHARE * all)) {
        snprintf(text, sizeof(text), "%u of %u requests answered",
                 soak->answered, all);
        checker_report(soak->checker, PROMISE_RECOVER, text, "rotation");
    }
    event_base_loopbreak(soak->base);
}

static void
start_counting(void *ctx)
{
    struct soak *soak = ctx;

    soak_note(soak, "counting begins");
    soak->counting = true;
    soak_after(soak, COUNT_MS, finish, soak, NULL);
}

/* All routes are there again for the count. */
static void
restore_routes(void *ctx)
{
    struct soak *soak = ctx;

    soak->settled = true;
    for (unsigned i = 0; i < CHECKER_ROUTES_MAX; i++) {
        soak->services[i] = (int)i % SOAK_SERVICES;
    }
    directory_write_config(soak);
    soak_after(soak, RECOVERY_MS, start_counting, soak, NULL);
}

static void
schedule(struct soak *soak, const struct plan *plan)
{
    uint64_t last = plan->length_ms;

    for (guint i = 0; i < plan->faults->len; i++) {
        struct due_fault *due = g_new0(struct due_fault, 1);

        due->soak = soak;
        due->fault = &g_array_index(plan->faults, struct fault, i);
        soak_after(soak, due->fault->at_ms, begin_due, due, g_free);
    }
    soak_after(soak, last + LAST_FAULT_MS, restore_routes, soak, NULL);
}

static struct event *
open_timer(struct soak *soak, unsigned ms, event_callback_fn cb)
{
    const struct timeval interval = {ms / 1000, ms % 1000 * 1000};
    struct event *event = event_new(soak->base, -1, EV_PERSIST, cb, soak);

    event_add(event, &interval);
    return event;
}

static void
on_interrupt(evutil_socket_t fd, short what, void *ctx)
{
    struct soak *soak = ctx;

    printf("interrupted\n");
    soak->broken[PROMISE_ALIVE]++;
    event_base_loopbreak(soak->base);
}

static bool
set_size(struct soak *soak, const char *name)
{
    for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
        if (strcmp(name, sizes[i].name) == 0) {
            soak->balancer_count = sizes[i].balancers;
            soak->place_count = sizes[i].places;
            soak->caller_count = sizes[i].callers;
            soak->flows = sizes[i].flows;
            return true;
        }
    }
    return false;
}

static bool
read_options(int argc, char **argv, struct soak_options *options)
{
    const GOptionEntry entries[] = {
        {"seed", 0, 0, G_OPTION_ARG_INT64, &options->seed, "Of the plan", "N"},
        {"minutes", 0, 0, G_OPTION_ARG_DOUBLE, &options->minutes,
         "During which faults begin", "M"},
        {"size", 0, 0, G_OPTION_ARG_STRING, &options->size,
         "small, medium or large", "SIZE"},
        {"build", 0, 0, G_OPTION_ARG_FILENAME, &options->build,
         "Where the programs are", "DIR"},
        {"program", 0, 0, G_OPTION_ARG_FILENAME, &options->program,
         "The balancers' program, if another", "FILE"},
        {"target-option", 0, 0, G_OPTION_ARG_STRING, &options->target_option,
         "An option of the targets, to see that it is caught", "OPTION"},
        {"until-broken", 0, 0, G_OPTION_ARG_STRING, &options->until_broken,
         "Ends when this one is broken", "PROMISE"},
        {"replay", 0, 0, G_OPTION_ARG_FILENAME, &options->replay,
         "A plan that an earlier soak wrote", "FILE"},
        {"keep", 0, 0, G_OPTION_ARG_FILENAME, &options->keep,
         "Folder for plan, lines and logs", "DIR"},
        {"net", 0, 0, G_OPTION_ARG_INT, &options->net, "Uses 127.N.0.0/16",
         "N"},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(
        "- breaks a fleet of forwarders and checks what it promises");
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
open_work(struct soak *soak)
{
    if (soak->options.keep != NULL) {
        snprintf(soak->work, sizeof(soak->work), "%s", soak->options.keep);
        mkdir(soak->work, 0755);
        return;
    }
    snprintf(soak->work, sizeof(soak->work), "%s/pimentohaven-soak-XXXXXX",
             g_get_tmp_dir());
    if (mkdtemp(soak->work) == NULL) {
        perror(soak->work);
        exit(2);
    }
}

/* Writes the plan and the lines to the work folder. */
static void
write_files(const struct soak *soak)
{
    char path[SOAK_PATH + 64];
    FILE *out;

    snprintf(path, sizeof(path), "%s/plan", soak->work);
    out = fopen(path, "w");
    if (out != NULL) {
        plan_write(soak->plan, out);
        fclose(out);
    }
    snprintf(path, sizeof(path), "%s/lines", soak->work);
    out = fopen(path, "w");
    for (GList *it = soak->lines->head; out != NULL && it != NULL;
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
    struct event *reap = open_timer(soak, REAP_MS, on_reap);
    struct event *poll = open_timer(soak, POLL_MS, on_poll);
    struct event *check = open_timer(soak, SIZE_CHECK_MS, on_size_check);
    struct event *interrupt =
        evsignal_new(soak->base, SIGINT, on_interrupt, soak);
    struct event *term = evsignal_new(soak->base, SIGTERM, on_interrupt, soak);

    event_add(interrupt, NULL);
    event_add(term, NULL);
    router_open(soak);
    fleet_start(soak);
    schedule(soak, plan);
    event_base_dispatch(soak->base);
    children_end(soak);
    drop_later(soak);
    directory_close(soak);
    router_close(soak);
    event_free(reap);
    event_free(poll);
    event_free(check);
    event_free(interrupt);
    event_free(term);
}

static int
report(const struct soak *soak)
{
    unsigned broken = 0;

    for (int i = 0; i < PROMISE_COUNT; i++) {
        if (soak->broken[i] > 0) {
            printf("broken %u times: %s\n", soak->broken[i],
                   promise_name((enum promise)i));
        }
        broken += soak->broken[i];
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
        printf("plan, lines and logs are in %s\n", soak->work);
    }
    return broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static void
remove_work(const struct soak *soak)
{
    char *pattern = g_strdup_printf("%s/", soak->work);
    GDir *dir = g_dir_open(soak->work, 0, NULL);
    const char *name;

    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        char *path = g_strconcat(pattern, name, NULL);

        unlink(path);
        g_free(path);
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
    rmdir(soak->work);
    g_free(pattern);
}

/* Returns NULL when the file to replay is no plan. */
static struct plan *
make_plan(const struct soak_options *options)
{
    if (options->replay != NULL) {
        return plan_read(options->replay);
    }
    return plan_new(options->seed, (uint64_t)(options->minutes * 60000));
}

/* The plan stays the caller's. */
static void
soak_init(struct soak *soak, const struct plan *plan)
{
    static const struct checker_bounds bounds = {.change_ms = CHANGE_MS,
                                                 .drain_ms = DRAIN_MS,
                                                 .calm_ms = CALM_MS,
                                                 .slack_ms = SLACK_MS,
                                                 .downgrade_ms = DOWNGRADE_MS,
                                                 .flow_max_ms =
                                                     FLOW_MAX_S * 1000};

    soak->plan = plan;
    random_seed(&soak->choices, plan->seed);
    random_seed(&soak->harm, plan->seed);
    list_init(&soak->later);
    list_init(&soak->orders);
    soak->lines = g_queue_new();
    soak->children = g_ptr_array_new();
    soak->targets = g_ptr_array_new_with_free_func(g_free);
    soak->base = event_base_new();
    soak->delays = delay_line_new(soak->base);
    soak->checker = checker_new(&bounds, on_broken, soak);
    soak->started_ms = soak_now_ms();
    open_work(soak);
}

static void
soak_fini(struct soak *soak)
{
    delay_line_destroy(soak->delays);
    event_base_free(soak->base);
    g_ptr_array_free(soak->children, TRUE);
    g_ptr_array_free(soak->targets, TRUE);
    g_queue_free_full(soak->lines, g_free);
    checker_destroy(soak->checker);
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
        fprintf(stderr, "soak: bad arguments, see --help\n");
        return 2;
    }
    plan = make_plan(&soak.options);
    if (plan == NULL) {
        fprintf(stderr, "soak: %s is no plan\n", soak.options.replay);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    soak_init(&soak, plan);
    run(&soak, plan);
    result = report(&soak);
    if (result == EXIT_SUCCESS && soak.options.keep == NULL) {
        remove_work(&soak);
    }
    soak_fini(&soak);
    plan_destroy(plan);
    return result;
}
