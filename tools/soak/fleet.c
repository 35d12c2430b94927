#include "fleet.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "child.h"
#include "directory.h"
#include "platform-text.h"
#include "router.h"

/* Size of an argument list with its NULL. standin-link has four arguments for
 * each balancer. */
#define ARGUMENTS_MAX (8 + 4 * SOAK_BALANCERS_MAX)
/* The load: flows of a few seconds with short requests, so that during each
 * fault some flows are open and others are being opened. A target takes 5 ms
 * for a request. A caller pauses for 60 ms between requests and waits up to
 * 3 s for an answer. A flow has 40 requests, and a caller has more requests
 * than it can send in any soak. */
#define WORK_MS "5"
#define REQUEST_GAP_MS "60"
#define REQUEST_DEADLINE_MS "3000"
#define FLOW_REQUESTS "40"
#define CALLER_REQUESTS "1000000"
/* A quarter of the callers send requests of many packets, on a flow each. */
#define REQUEST_SIZE "900"
#define UPLOAD_SIZE "20000"
#define UPLOAD_FLOW_REQUESTS "1"
/* Time for which a draining target continues to run after the drain bound: a
 * margin, so that balancers that keep the bound have stopped sending it new
 * flows before it ends. */
#define DRAIN_LINGER_MS 2500
/* Delay until a balancer that ended is restarted, as by the supervisor of a
 * host. */
#define RESTART_DELAY_MS 100

/* Command line of a program. The strings are owned. */
struct command {
    char *argv[ARGUMENTS_MAX];
    size_t count;
};

/* Adds an argument and takes ownership of it. */
static void
command_add(struct command *cmd, char *text)
{
    g_assert(cmd->count + 1 < ARGUMENTS_MAX);
    cmd->argv[cmd->count] = text;
    cmd->count++;
}

/* Starts a command line with the path of a program in the build directory. */
static void
command_init(struct command *cmd, const struct soak *soak, const char *program)
{
    memset(cmd, 0, sizeof(*cmd));
    command_add(cmd, g_strdup_printf("%s/%s", soak->options.build, program));
}

/* Adds an option and its value. */
static void __attribute__((format(printf, 3, 4)))
command_option(struct command *cmd, const char *name, const char *format, ...)
{
    va_list args;

    command_add(cmd, g_strdup(name));
    va_start(args, format);
    command_add(cmd, g_strdup_vprintf(format, args));
    va_end(args);
}

/* Starts the program as a child and frees the command line. */
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
    command_option(&cmd, "--control", "%s:%u", store, PORT_LINK_CONTROL);
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
    snprintf(out, size, "%s/%s.json", b->child.soak->work_dir, b->child.name);
}

/* The first two balancers are the gossip seeds of all. */
void
fleet_write_settings(struct balancer *b)
{
    struct soak *soak = b->child.soak;
    char packets[SOAK_ENDPOINT_SIZE];
    char ready[SOAK_ENDPOINT_SIZE];
    char store[SOAK_ENDPOINT_SIZE];
    char seeds[2][SOAK_ENDPOINT_SIZE];
    const char *const seed_list[] = {seeds[0], seeds[1]};
    const struct platform_text_host host = {
        .id = b->child.name,
        .domain = soak_domain(b->index),
        .packets_endpoint = packets,
        .ready_endpoint = ready,
        .store_endpoint = store,
        .seeds = seed_list,
        .seed_count = 2,
        .gossip_port = PORT_GOSSIP,
        .config_apply_max_ms = CHANGE_BOUND_MS,
        .drain_max_ms = DRAIN_BOUND_MS,
        .stop_timeout_s = STOP_GRACE_S,
        .flow_max_s = FLOW_MAX_S,
    };
    char path[SOAK_PATH_SIZE + 64];

    soak_endpoint(soak, NET_BALANCER, b->index, PORT_PACKETS, packets);
    soak_endpoint(soak, NET_BALANCER, b->index, PORT_READY, ready);
    soak_endpoint(soak, NET_STORE_LINK, b->index, PORT_STORE, store);
    soak_endpoint(soak, NET_GOSSIP_LINK, 0, PORT_GOSSIP, seeds[0]);
    soak_endpoint(soak, NET_GOSSIP_LINK, 1, PORT_GOSSIP, seeds[1]);
    settings_path(b, path, sizeof(path));
    if (!platform_text_write_settings(path, &host)) {
        fprintf(stderr, "soak: cannot write settings file %s\n", path);
        exit(2);
    }
}

static void
restart_balancer(void *ctx)
{
    struct balancer *b = ctx;

    if (b->child.pid == 0 && b->restart_blocks == 0 &&
        !b->child.soak->ending) {
        fleet_start_balancer(b);
    }
}

static void
on_balancer_exit(struct child *child)
{
    soak_after(child->soak, RESTART_DELAY_MS, restart_balancer, child->owner,
               NULL);
}

void
fleet_start_balancer(struct balancer *b)
{
    struct soak *soak = b->child.soak;
    char address[INET_ADDRSTRLEN];
    char path[SOAK_PATH_SIZE + 64];
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

/* Parses a flow id, "ADDRESS:PORT:ROUTE-PORT" with the address in hexadecimal.
 */
static bool
parse_flow_key(const char *text, struct checker_flow_key *key)
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

/* Handles a line of a target's journal: time in ms, event, service, id,
 * request, flow id. The text of an unsafe request begins with "u". */
static void
on_target_line(struct child *child, const char *line)
{
    struct target_process *t = child->owner;
    struct checker *c = child->soak->checker;
    struct checker_flow_key key;
    char event[32];
    char request[64];
    char flow[64];
    uint64_t at;

    if (sscanf(line, "%lu %31s %*s %*s %63s %63s", &at, event, request,
               flow) != 4 ||
        !parse_flow_key(flow, &key)) {
        soak_log(child->soak,
                 "target=%u printed a line that is not of its journal: %s",
                 t->number, line);
        return;
    }
    soak_log(child->soak, "flow=%08x:%u:%u target=%u %s %s", key.caller,
             key.port, key.route, t->number, event, request);
    if (strcmp(event, "open") == 0) {
        checker_flow_accepted(c, &key, t->number, at);
    }
    else if (strcmp(event, "established") == 0) {
        checker_flow_established(c, &key, t->number);
    }
    else if (strcmp(event, "run") == 0) {
        checker_request_run(c, &key, t->number, request, request[0] == 'u',
                            at);
    }
    else if (strcmp(event, "unknown-flow") == 0) {
        checker_stray_packet(c, &key, t->number, at);
    }
}

static void
on_target_exit(struct child *child)
{
    struct target_process *t = child->owner;

    if (t->target_addr->target == t) {
        t->target_addr->target = NULL;
    }
}

void
fleet_start_target(struct soak *soak, struct target_addr *target_addr,
                   int service)
{
    struct target_process *t = g_new0(struct target_process, 1);
    char address[INET_ADDRSTRLEN];
    struct command cmd;

    t->number = soak->targets->len;
    g_ptr_array_add(soak->targets, t);
    t->service = service;
    t->target_addr = target_addr;
    target_addr->target = t;
    snprintf(t->id, sizeof(t->id), "i-%010x",
             (unsigned)random_mix(soak->plan->seed, t->number));
    snprintf(t->child.name, sizeof(t->child.name), "target-%u", t->number);
    t->child.owner = t;
    t->child.on_line = on_target_line;
    t->child.on_exit = on_target_exit;
    command_init(&cmd, soak, "tests/standins/standin-flow-target");
    soak_address(soak, NET_TARGET, target_addr->index, address);
    command_option(&cmd, "--listen", "%s:%u", address, PORT_TARGET);
    /* Registered under the address of the router, where the process listens
     * for health checks itself. */
    soak_address(soak, NET_TARGET_LINK, target_addr->index, address);
    command_option(&cmd, "--health", "%s:%u", address, PORT_TARGET);
    command_option(&cmd, "--id", "%s", t->id);
    command_option(&cmd, "--service", "%s", soak_service(service));
    command_option(&cmd, "--journal", "/dev/stdout");
    command_option(&cmd, "--caller-port", "%u", PORT_ANSWERS);
    command_option(&cmd, "--work-ms", WORK_MS);
    if (soak->options.target_option != NULL) {
        command_add(&cmd, g_strdup(soak->options.target_option));
    }
    command_start(&cmd, soak, &t->child, NULL);
    soak_log(soak, "target=%u has id %s, service %d and address index %u",
             t->number, t->id, service, target_addr->index);
    directory_write_target(t);
}

/* A target that is drained, and the service of the target that is started at
 * its address afterwards. */
struct replacement {
    struct target_process *target;
    int next_service;
};

static void
start_replacement(void *ctx)
{
    struct replacement *replacement = ctx;
    struct soak *soak = replacement->target->child.soak;

    if (!soak->ending && replacement->next_service != CHECKER_NO_SERVICE &&
        replacement->target->target_addr->target == NULL) {
        fleet_start_target(soak, replacement->target->target_addr,
                           replacement->next_service);
    }
    g_free(replacement);
}

static void
end_drained_target(void *ctx)
{
    struct replacement *replacement = ctx;
    struct target_process *t = replacement->target;

    checker_fault_started(t->child.soak->checker, SUBJECT_TARGET, t->number,
                          soak_now_ms());
    if (t->child.pid != 0) {
        child_kill(&t->child);
    }
    if (t->registered) {
        directory_remove_target(t, true);
    }
    soak_after(t->child.soak, ADDRESS_REUSE_DELAY_MS + TIMING_SLACK_MS,
               start_replacement, replacement, g_free);
}

void
fleet_drain_target(struct target_process *t, int next_service)
{
    struct replacement *replacement = g_new0(struct replacement, 1);

    replacement->target = t;
    replacement->next_service = next_service;
    t->draining = true;
    t->leaving = true;
    directory_write_target(t);
    soak_after(t->child.soak, DRAIN_BOUND_MS + DRAIN_LINGER_MS,
               end_drained_target, replacement, g_free);
}

size_t
fleet_count_targets(const struct soak *soak, int service)
{
    size_t count = 0;

    for (size_t i = 0; i < soak->target_addr_count; i++) {
        const struct target_process *t = soak->target_addrs[i].target;

        count += t != NULL && t->service == service && !t->leaving &&
                 t->child.pid != 0 && !t->paused;
    }
    return count;
}

/* Counts a request that has ended. */
static void
count_result(struct soak *soak, bool answered)
{
    soak->requests++;
    if (soak->counting) {
        soak->answered += answered;
        soak->failed += !answered;
    }
}

/* Handles an event line of a caller: time in ms, result, flow id, address of
 * the sender of the last packet in hexadecimal, request. */
static void
on_caller_line(struct child *child, const char *line)
{
    struct soak *soak = child->soak;
    struct checker_flow_key key;
    char event[16];
    char flow[64];
    char request[64];
    unsigned sender_addr;
    uint64_t at;
    int balancer;

    if (sscanf(line, "event %lu %15s %63s %x %63s", &at, event, flow,
               &sender_addr, request) != 5 ||
        !parse_flow_key(flow, &key)) {
        return;
    }
    balancer = router_balancer_of(soak, sender_addr);
    soak_log(soak, "flow=%08x:%u:%u caller: request %s %s by balancer=%d ",
             key.caller, key.port, key.route, request, event, balancer);
    count_result(soak, strcmp(event, "answered") == 0);
    if (strcmp(event, "refused") == 0) {
        checker_reset_received(soak->checker, &key, balancer, false, at);
    }
    else if (strcmp(event, "reset") == 0) {
        checker_reset_received(soak->checker, &key, balancer, true, at);
    }
    else if (strcmp(event, "wrong") == 0) {
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
    command_option(&cmd, "--requests", CALLER_REQUESTS);
    command_option(&cmd, "--flow-requests",
                   caller->index % 4 == 3 ? UPLOAD_FLOW_REQUESTS
                                          : FLOW_REQUESTS);
    command_option(&cmd, "--request-bytes",
                   caller->index % 4 == 3 ? UPLOAD_SIZE : REQUEST_SIZE);
    command_option(&cmd, "--gap-ms", REQUEST_GAP_MS);
    command_option(&cmd, "--deadline-ms", REQUEST_DEADLINE_MS);
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

/* Writes the first configuration and starts the processes that need the
 * store. */
static void
start_fleet(void *ctx)
{
    struct soak *soak = ctx;

    for (unsigned i = 0; i < CHECKER_ROUTES_MAX; i++) {
        soak->services[i] = (int)i % SOAK_SERVICES;
    }
    directory_write_config(soak);
    for (unsigned i = 0; i < soak->target_addr_count; i++) {
        fleet_start_target(soak, &soak->target_addrs[i],
                           (int)i % SOAK_SERVICES);
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

/* Delay from the start of the store and the links to the start of the
 * processes that connect to them. They need about 10 ms until they listen. */
#define STANDIN_START_MS 500

void
fleet_start(struct soak *soak)
{
    start_store(soak);
    start_links(soak);
    soak_after(soak, STANDIN_START_MS, start_fleet, soak, NULL);
}
