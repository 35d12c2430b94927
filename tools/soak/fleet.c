#include "fleet.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "child.h"
#include "directory.h"
#include "platform-text.h"
#include "router.h"

#define ARGUMENTS_MAX (8 + 4 * SOAK_BALANCERS_MAX)
/* The load: flows of a few seconds with short requests, so that each fault
 * meets flows that are open and flows that open. A target works for 5 ms, a
 * caller pauses for 60 ms and waits for 3 s, and a flow has 40 requests; there
 * are more requests than any soak has time for. */
#define WORK_MS "5"
#define GAP_MS "60"
#define DEADLINE_MS "3000"
#define FLOW_REQUESTS "40"
#define REQUESTS "1000000"
/* A target goes on serving for so long after its bound: longer than a balancer
 * in time, with some to spare. */
#define DRAIN_LINGER_MS 2500
/* A host's supervisor starts a process anew after a short delay. */
#define RESTART_MS 100

/* A program of the build folder, with options. */
struct command {
    char *argv[ARGUMENTS_MAX];
    size_t count;
};

static void
command_add(struct command *cmd, char *text)
{
    g_assert(cmd->count + 1 < ARGUMENTS_MAX);
    cmd->argv[cmd->count] = text;
    cmd->count++;
}

static void
command_init(struct command *cmd, const struct soak *soak, const char *program)
{
    memset(cmd, 0, sizeof(*cmd));
    command_add(cmd, g_strdup_printf("%s/%s", soak->options.build, program));
}

static void __attribute__((format(printf, 3, 4)))
command_option(struct command *cmd, const char *name, const char *format, ...)
{
    va_list args;

    command_add(cmd, g_strdup(name));
    va_start(args, format);
    command_add(cmd, g_strdup_vprintf(format, args));
    va_end(args);
}

static void
command_start(struct command *cmd, struct soak *soak, struct child *child,
              const char *settings)
{
    child_start(soak, child, cmd->argv, settings);
    for (size_t i = 0; i < cmd->count; i++) {
        g_free(cmd->argv[i]);
    }
}

static void
start_store(struct soak *soak)
{
    char address[INET_ADDRSTRLEN];
    struct command cmd;

    command_init(&cmd, soak, "tests/standins/standin-platform");
    soak_address(soak, NET_STORE, 0, address);
    command_option(&cmd, "--listen", "%s:%u", address, PORT_STORE);
    snprintf(soak->store.name, sizeof(soak->store.name), "store");
    command_start(&cmd, soak, &soak->store, NULL);
}

static void
start_links(struct soak *soak)
{
    char store[INET_ADDRSTRLEN];
    char from[INET_ADDRSTRLEN];
    char to[INET_ADDRSTRLEN];
    struct command cmd;

    command_init(&cmd, soak, "tests/standins/standin-link");
    soak_address(soak, NET_STORE, 0, store);
    command_option(&cmd, "--control", "%s:%u", store, PORT_LINKS);
    for (unsigned i = 0; i < soak->balancer_count; i++) {
        soak_address(soak, NET_STORE_LINK, i, from);
        command_option(&cmd, "--tcp", "%s:%u=%s:%u", from, PORT_STORE, store,
                       PORT_STORE);
        soak_address(soak, NET_GOSSIP_LINK, i, from);
        soak_address(soak, NET_BALANCER, i, to);
        command_option(&cmd, "--tcp", "%s:%u=%s:%u", from, PORT_GOSSIP, to,
                       PORT_GOSSIP);
    }
    snprintf(soak->links.name, sizeof(soak->links.name), "links");
    command_start(&cmd, soak, &soak->links, NULL);
}

static void
settings_path(const struct balancer *b, char *out, size_t size)
{
    snprintf(out, size, "%s/%s.json", b->child.soak->work, b->child.name);
}

/* The first two are the seeds of all. */
void
fleet_write_settings(struct balancer *b)
{
    struct soak *soak = b->child.soak;
    char packets[SOAK_ENDPOINT];
    char ready[SOAK_ENDPOINT];
    char store[SOAK_ENDPOINT];
    char seeds[2][SOAK_ENDPOINT];
    const char *const seed_list[] = {seeds[0], seeds[1]};
    const struct platform_text_host host = {
        .id = b->child.name,
        .domain = soak_domain(b->index),
        .packets = packets,
        .ready = ready,
        .store = store,
        .seeds = seed_list,
        .seed_count = 2,
        .gossip_port = PORT_GOSSIP,
        .change_bound_ms = CHANGE_MS,
        .drain_bound_ms = DRAIN_MS,
        .grace_s = GRACE_S,
        .flow_max_s = FLOW_MAX_S,
    };
    char path[SOAK_PATH + 64];

    soak_endpoint(soak, NET_BALANCER, b->index, PORT_PACKETS, packets);
    soak_endpoint(soak, NET_BALANCER, b->index, PORT_READY, ready);
    soak_endpoint(soak, NET_STORE_LINK, b->index, PORT_STORE, store);
    soak_endpoint(soak, NET_GOSSIP_LINK, 0, PORT_GOSSIP, seeds[0]);
    soak_endpoint(soak, NET_GOSSIP_LINK, 1, PORT_GOSSIP, seeds[1]);
    settings_path(b, path, sizeof(path));
    if (!platform_text_write_settings(path, &host)) {
        fprintf(stderr, "soak: %s cannot be written\n", path);
        exit(2);
    }
}

static void
restart_balancer(void *ctx)
{
    struct balancer *b = ctx;

    if (b->child.pid == 0 && b->restarts_held == 0 && !b->child.soak->ending) {
        fleet_start_balancer(b);
    }
}

static void
on_balancer_exit(struct child *child)
{
    soak_after(child->soak, RESTART_MS, restart_balancer, child->owner, NULL);
}

void
fleet_start_balancer(struct balancer *b)
{
    struct soak *soak = b->child.soak;
    char address[INET_ADDRSTRLEN];
    char path[SOAK_PATH + 64];
    struct command cmd;

    memset(&cmd, 0, sizeof(cmd));
    if (soak->options.program != NULL) {
        command_add(&cmd, g_strdup(soak->options.program));
    }
    else {
        command_init(&cmd, soak, "src/pimentohaven");
    }
    command_add(&cmd, g_strdup("forward"));
    soak_address(soak, NET_GOSSIP_LINK, b->index, address);
    command_option(&cmd, "--gossip-address", "%s:%u", address, PORT_GOSSIP);
    settings_path(b, path, sizeof(path));
    b->child.on_exit = on_balancer_exit;
    b->child.owner = b;
    b->paused = false;
    checker_balancer_started(soak->checker, b->index, soak_now_ms());
    command_start(&cmd, soak, &b->child, path);
}

/* Reads "ADDRESS:PORT:ROUTE-PORT". */
static bool
read_key(const char *text, struct checker_flow_key *key)
{
    unsigned caller;
    unsigned port;
    unsigned route;

    if (sscanf(text, "%x:%u:%u", &caller, &port, &route) != 3) {
        return false;
    }
    *key = (struct checker_flow_key){caller, (uint16_t)port,
                                     (uint16_t)(route - ROUTE_FIRST_PORT)};
    return true;
}

/* A line of a target's journal: time, what, service, id, request, flow. */
static void
on_target_line(struct child *child, const char *line)
{
    struct target_process *t = child->owner;
    struct checker *c = child->soak->checker;
    struct checker_flow_key key;
    char what[32];
    char request[64];
    char flow[64];
    uint64_t at;

    if (sscanf(line, "%lu %31s %*s %*s %63s %63s", &at, what, request, flow) !=
            4 ||
        !read_key(flow, &key)) {
        soak_note(child->soak, "target=%u says: %s", t->number, line);
        return;
    }
    soak_note(child->soak, "flow=%08x:%u:%u target=%u %s %s", key.caller,
              key.port, key.route, t->number, what, request);
    if (strcmp(what, "open") == 0) {
        checker_opened(c, &key, t->number, at);
    }
    else if (strcmp(what, "run") == 0) {
        checker_ran(c, &key, t->number, request, request[0] == 'u', at);
    }
    else if (strcmp(what, "unknown-flow") == 0) {
        checker_stray(c, &key, t->number, at);
    }
}

static void
on_target_exit(struct child *child)
{
    struct target_process *t = child->owner;

    if (t->place->target == t) {
        t->place->target = NULL;
    }
}

void
fleet_start_target(struct soak *soak, struct place *place, int service)
{
    struct target_process *t = g_new0(struct target_process, 1);
    char address[INET_ADDRSTRLEN];
    struct command cmd;

    t->number = soak->targets->len;
    g_ptr_array_add(soak->targets, t);
    t->service = service;
    t->place = place;
    place->target = t;
    snprintf(t->id, sizeof(t->id), "i-%010x",
             (unsigned)random_mix(soak->plan->seed, t->number));
    snprintf(t->child.name, sizeof(t->child.name), "target-%u", t->number);
    t->child.owner = t;
    t->child.on_line = on_target_line;
    t->child.on_exit = on_target_exit;
    command_init(&cmd, soak, "tests/standins/standin-flow-target");
    soak_address(soak, NET_TARGET, place->index, address);
    command_option(&cmd, "--listen", "%s:%u", address, PORT_TARGET);
    command_option(&cmd, "--id", "%s", t->id);
    command_option(&cmd, "--service", "%s", soak_service(service));
    command_option(&cmd, "--journal", "/dev/stdout");
    command_option(&cmd, "--caller-port", "%u", PORT_ANSWERS);
    command_option(&cmd, "--work-ms", WORK_MS);
    if (soak->options.target_option != NULL) {
        command_add(&cmd, g_strdup(soak->options.target_option));
    }
    command_start(&cmd, soak, &t->child, NULL);
    soak_note(soak, "target=%u is %s of service %d at address %u", t->number,
              t->id, service, place->index);
    directory_register(t);
}

/* What comes after a target. */
struct succession {
    struct target_process *target;
    int next;
};

static void
start_next(void *ctx)
{
    struct succession *s = ctx;
    struct soak *soak = s->target->child.soak;

    if (!soak->ending && s->next != CHECKER_NO_SERVICE &&
        s->target->place->target == NULL) {
        fleet_start_target(soak, s->target->place, s->next);
    }
    g_free(s);
}

static void
end_drained(void *ctx)
{
    struct succession *s = ctx;
    struct target_process *t = s->target;

    checker_disturb(t->child.soak->checker, SUBJECT_TARGET, t->number,
                    soak_now_ms());
    if (t->child.pid != 0) {
        child_kill(&t->child);
    }
    if (t->registered) {
        directory_remove(t, true);
    }
    soak_after(t->child.soak, ADDRESS_REUSE_MS + SLACK_MS, start_next, s,
               g_free);
}

void
fleet_drain_target(struct target_process *t, int next)
{
    struct succession *s = g_new0(struct succession, 1);

    s->target = t;
    s->next = next;
    t->draining = true;
    t->leaving = true;
    directory_register(t);
    soak_after(t->child.soak, DRAIN_MS + DRAIN_LINGER_MS, end_drained, s,
               g_free);
}

size_t
fleet_targets_of(const struct soak *soak, int service)
{
    size_t count = 0;

    for (size_t i = 0; i < soak->place_count; i++) {
        const struct target_process *t = soak->places[i].target;

        count += t != NULL && t->service == service && !t->leaving &&
                 t->child.pid != 0 && !t->paused;
    }
    return count;
}

static void
count_result(struct soak *soak, bool answered)
{
    soak->requests++;
    if (soak->counting) {
        soak->answered += answered;
        soak->failed += !answered;
    }
}

/* An event of a caller: time, what, flow, sender of the last packet,
 * request. */
static void
on_caller_line(struct child *child, const char *line)
{
    struct soak *soak = child->soak;
    struct checker_flow_key key;
    char what[16];
    char flow[64];
    char request[64];
    unsigned sender;
    uint64_t at;
    int balancer;

    if (sscanf(line, "event %lu %15s %63s %x %63s", &at, what, flow, &sender,
               request) != 5 ||
        !read_key(flow, &key)) {
        return;
    }
    balancer = router_balancer_of(soak, sender);
    soak_note(soak, "flow=%08x:%u:%u caller: %s %s by balancer=%d ",
              key.caller, key.port, key.route, request, what, balancer);
    count_result(soak, strcmp(what, "answered") == 0);
    if (strcmp(what, "refused") == 0) {
        checker_reset(soak->checker, &key, balancer, false, at);
    }
    else if (strcmp(what, "reset") == 0) {
        checker_reset(soak->checker, &key, balancer, true, at);
    }
    else if (strcmp(what, "wrong") == 0) {
        checker_wrong_answer(soak->checker, &key, request);
    }
}

static void
start_caller(struct soak *soak, struct caller *caller)
{
    char address[INET_ADDRSTRLEN];
    struct command cmd;

    snprintf(caller->child.name, sizeof(caller->child.name), "caller-%u",
             caller->index);
    caller->child.on_line = on_caller_line;
    caller->child.owner = caller;
    command_init(&cmd, soak, "tests/standins/standin-flow-caller");
    soak_address(soak, NET_CALLER, caller->index, address);
    command_option(&cmd, "--bind", "%s:%u", address, PORT_PACKETS);
    soak_address(soak, NET_ROUTER, 0, address);
    command_option(&cmd, "--via", "%s:%u", address, PORT_PACKETS);
    command_option(&cmd, "--route", "%s:%u", ROUTE_HOST,
                   ROUTE_FIRST_PORT + caller->index % CHECKER_ROUTES_MAX);
    command_option(&cmd, "--label", "%c%u", caller->index % 2 ? 'u' : 's',
                   caller->index);
    command_option(&cmd, "--flows", "%u", soak->flows);
    command_option(&cmd, "--requests", REQUESTS);
    command_option(&cmd, "--flow-requests", FLOW_REQUESTS);
    command_option(&cmd, "--gap-ms", GAP_MS);
    command_option(&cmd, "--deadline-ms", DEADLINE_MS);
    command_option(&cmd, "--retries", "2");
    command_option(&cmd, "--seed", "%u",
                   (unsigned)soak->plan->seed + caller->index);
    command_add(&cmd, g_strdup("--events"));
    command_start(&cmd, soak, &caller->child, NULL);
}

void
fleet_stop_callers(struct soak *soak)
{
    for (size_t i = 0; i < soak->caller_count; i++) {
        child_kill(&soak->callers[i].child);
    }
}

/* Starts what needs the store. */
static void
start_rest(void *ctx)
{
    struct soak *soak = ctx;

    for (unsigned i = 0; i < CHECKER_ROUTES_MAX; i++) {
        soak->services[i] = (int)i % SOAK_SERVICES;
    }
    directory_write_config(soak);
    for (unsigned i = 0; i < soak->place_count; i++) {
        fleet_start_target(soak, &soak->places[i], (int)i % SOAK_SERVICES);
    }
    for (unsigned i = 0; i < soak->balancer_count; i++) {
        struct balancer *b = &soak->balancers[i];

        b->index = i;
        b->child.soak = soak;
        snprintf(b->child.name, sizeof(b->child.name), "host-%u", i);
        fleet_write_settings(b);
        fleet_start_balancer(b);
    }
    for (unsigned i = 0; i < soak->caller_count; i++) {
        start_caller(soak, &soak->callers[i]);
    }
}

/* Time for the stand-ins to listen; they take some ten milliseconds. */
#define STANDINS_MS 500

void
fleet_start(struct soak *soak)
{
    start_store(soak);
    start_links(soak);
    soak_after(soak, STANDINS_MS, start_rest, soak, NULL);
}
