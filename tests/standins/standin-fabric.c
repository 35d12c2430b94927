/* A network between callers and entry hosts: sends each datagram of a caller
 * to a random entry host and the answers back to the caller, and delays,
 * drops, duplicates or reorders datagrams as configured. */

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base/clock.h"
#include "delay-line.h"
#include "standin-common.h"

#define DATAGRAM_SIZE_MAX 65536 /* size of a receive buffer, bytes */
#define ENTRIES_MAX 64
#define PORTS_MAX 64
#define BATCH_MAX 64 /* datagrams read before other events are handled */
#define SOCKET_BUFFER_SIZE (4 * 1024 * 1024) /* bytes */
/* Time after its last datagram at which a caller is removed, by default. */
#define CALLER_IDLE_DEFAULT_S 300
/* Interval between two searches for idle callers. */
#define IDLE_CHECK_INTERVAL_S 10
/* Additional delay of a datagram that others are to overtake. */
#define REORDER_DELAY_MS 20.0

/* An entry host, one of those that receive the callers' datagrams. */
struct entry {
    struct in_addr addr;
    bool cut;           /* datagrams to and from this host are dropped */
    double delay_ms;    /* added to the delay of the network */
    uint64_t forwarded; /* datagrams sent to this host */
};

/* An address of a service that callers send to. */
struct service_port {
    struct standin_endpoint endpoint;
    int fd;
};

struct caller_key {
    uint32_t addr; /* address and port are in network byte order */
    uint16_t port;
    uint16_t service; /* index of the service port */
};

/* A caller at a service port. Its datagrams to the entry hosts are sent from
 * its own socket, at which it can receive answers from any entry host. */
struct caller {
    struct caller_key key;
    struct sockaddr_in addr;
    struct service_port *service;
    int fd;
    struct event *event;
    uint64_t last_us; /* time of its last datagram in either direction */
};

/* Datagrams since the start. */
struct fabric_counts {
    uint64_t up;   /* from callers, with those dropped but without those cut */
    uint64_t down; /* from entry hosts, likewise */
    uint64_t dropped;
    uint64_t duplicated;
    uint64_t reordered;
    uint64_t cut; /* dropped because the entry host is cut off */
};

struct fabric {
    struct event_base *base;
    struct delay_line *line;
    struct standin_random random;
    struct entry entries[ENTRIES_MAX];
    size_t entry_count;
    struct service_port ports[PORTS_MAX];
    size_t port_count;
    GHashTable *callers; /* struct caller_key -> struct caller */
    struct fabric_counts counts;

    double drop; /* probability that a datagram is lost, as for the next two */
    double duplicate;
    double reorder;
    double delay_ms;  /* in one direction */
    double jitter_ms; /* maximum of the random delay added to it */
    int idle_s;       /* time after which an idle caller is removed */
};

static struct fabric fabric;

static guint
caller_hash(gconstpointer data)
{
    const struct caller_key *key = data;

    return key->addr * 31 + key->port * 7919U + key->service;
}

static gboolean
caller_equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, sizeof(struct caller_key)) == 0;
}

static void
caller_destroy(void *data)
{
    struct caller *caller = data;

    delay_line_cancel_fd(fabric.line, caller->fd);
    event_free(caller->event);
    close(caller->fd);
    g_free(caller);
}

/* Returns true with the given probability. */
static bool
chance(double probability)
{
    return probability > 0 &&
           standin_random_unit(&fabric.random) < probability;
}

/* Forwards a datagram with the configured delay, loss, duplication and
 * reordering. */
static void
forward_datagram(int fd, const struct sockaddr_in *to, const void *data,
                 size_t size, double entry_delay_ms)
{
    double delay_ms = fabric.delay_ms + entry_delay_ms;

    if (chance(fabric.drop)) {
        fabric.counts.dropped++;
        return;
    }
    if (fabric.jitter_ms > 0) {
        delay_ms += standin_random_unit(&fabric.random) * fabric.jitter_ms;
    }
    if (chance(fabric.reorder)) {
        fabric.counts.reordered++;
        delay_ms += REORDER_DELAY_MS;
    }
    delay_line_send(fabric.line, fd, to, data, size, delay_ms);
    if (chance(fabric.duplicate)) {
        fabric.counts.duplicated++;
        delay_line_send(fabric.line, fd, to, data, size,
                        delay_ms + standin_random_unit(&fabric.random) *
                                       REORDER_DELAY_MS);
    }
}

static struct entry *
entry_find(struct in_addr addr)
{
    for (size_t i = 0; i < fabric.entry_count; i++) {
        if (fabric.entries[i].addr.s_addr == addr.s_addr) {
            return &fabric.entries[i];
        }
    }
    return NULL;
}

/* Forwards datagrams from the entry hosts to the caller. */
static void
on_answer_readable(evutil_socket_t fd, short what, void *ctx)
{
    static unsigned char data[DATAGRAM_SIZE_MAX];
    struct caller *caller = ctx;

    for (int i = 0; i < BATCH_MAX; i++) {
        struct sockaddr_in from;
        socklen_t len = sizeof(from);
        ssize_t n = recvfrom(fd, data, sizeof(data), MSG_DONTWAIT,
                             (struct sockaddr *)&from, &len);
        struct entry *entry;

        if (n < 0) {
            return;
        }
        entry = entry_find(from.sin_addr);
        if (entry != NULL && entry->cut) {
            fabric.counts.cut++;
            continue;
        }
        caller->last_us = clock_monotonic_us();
        fabric.counts.down++;
        forward_datagram(caller->service->fd, &caller->addr, data, (size_t)n,
                         entry != NULL ? entry->delay_ms : 0);
    }
}

static int
udp_socket(const char *address, uint16_t port)
{
    struct standin_endpoint ep = {.port = port};
    struct sockaddr_in sin;
    int size = SOCKET_BUFFER_SIZE;
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    snprintf(ep.address, sizeof(ep.address), "%s", address);
    standin_endpoint_sockaddr(&ep, &sin);
    if (fd < 0 || bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
        fprintf(stderr, "%s:%u: cannot bind the UDP socket: %s\n", address,
                port, strerror(errno));
        exit(EXIT_FAILURE);
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
    return fd;
}

/* Returns the caller that sent a datagram; creates it if it is new. */
static struct caller *
caller_get_or_create(const struct sockaddr_in *from, size_t service)
{
    struct caller_key key = {from->sin_addr.s_addr, from->sin_port,
                             (uint16_t)service};
    struct caller *caller = g_hash_table_lookup(fabric.callers, &key);

    if (caller != NULL) {
        return caller;
    }
    caller = g_new0(struct caller, 1);
    caller->key = key;
    caller->addr = *from;
    caller->service = &fabric.ports[service];
    caller->fd = udp_socket(caller->service->endpoint.address, 0);
    caller->event = event_new(fabric.base, caller->fd, EV_READ | EV_PERSIST,
                              on_answer_readable, caller);
    event_add(caller->event, NULL);
    g_hash_table_insert(fabric.callers, &caller->key, caller);
    return caller;
}

/* Forwards each datagram of a caller to a random entry host. */
static void
on_request_readable(evutil_socket_t fd, short what, void *ctx)
{
    static unsigned char data[DATAGRAM_SIZE_MAX];
    size_t service = (size_t)((struct service_port *)ctx - fabric.ports);

    for (int i = 0; i < BATCH_MAX; i++) {
        struct sockaddr_in from;
        struct sockaddr_in to = {.sin_family = AF_INET};
        socklen_t len = sizeof(from);
        ssize_t n = recvfrom(fd, data, sizeof(data), MSG_DONTWAIT,
                             (struct sockaddr *)&from, &len);
        struct entry *entry;
        struct caller *caller;

        if (n < 0) {
            return;
        }
        if (fabric.entry_count == 0) {
            continue;
        }
        entry = &fabric.entries[standin_random_next(&fabric.random) %
                                fabric.entry_count];
        if (entry->cut) {
            fabric.counts.cut++;
            continue;
        }
        caller = caller_get_or_create(&from, service);
        caller->last_us = clock_monotonic_us();
        fabric.counts.up++;
        entry->forwarded++;
        to.sin_addr = entry->addr;
        to.sin_port = htons(fabric.ports[service].endpoint.port);
        forward_datagram(caller->fd, &to, data, (size_t)n, entry->delay_ms);
    }
}

static gboolean
caller_is_idle(gpointer key, gpointer value, gpointer ctx)
{
    const struct caller *caller = value;
    uint64_t now = clock_monotonic_us();

    return now - caller->last_us > (uint64_t)fabric.idle_s * USEC_PER_SEC;
}

static void
remove_idle_callers(evutil_socket_t fd, short what, void *ctx)
{
    g_hash_table_foreach_remove(fabric.callers, caller_is_idle, NULL);
}

static bool
entry_add(const char *address)
{
    struct in_addr addr;

    if (fabric.entry_count == ENTRIES_MAX ||
        inet_pton(AF_INET, address, &addr) != 1) {
        return false;
    }
    if (entry_find(addr) == NULL) {
        fabric.entries[fabric.entry_count] = (struct entry){.addr = addr};
        fabric.entry_count++;
    }
    return true;
}

static bool
entry_remove(const char *address)
{
    struct in_addr addr;
    struct entry *entry;

    if (inet_pton(AF_INET, address, &addr) != 1) {
        return false;
    }
    entry = entry_find(addr);
    if (entry == NULL) {
        return false;
    }
    fabric.entry_count--;
    *entry = fabric.entries[fabric.entry_count];
    return true;
}

/* Executes {"ADDRESS": {"cut": true, "delay_ms": 5}, ...}, where ADDRESS is
 * that of an entry host. Returns false if an address belongs to no entry host.
 */
static bool
control_entries(const json_t *commands)
{
    const char *address;
    json_t *command;
    bool ok = json_is_object(commands);

    json_object_foreach((json_t *)commands, address, command)
    {
        json_t *cut = json_object_get(command, "cut");
        json_t *delay = json_object_get(command, "delay_ms");
        struct entry *entry = NULL;
        struct in_addr addr;

        if (inet_pton(AF_INET, address, &addr) == 1) {
            entry = entry_find(addr);
        }
        if (entry == NULL) {
            ok = false;
            continue;
        }
        entry->cut = cut != NULL ? json_is_true(cut) : entry->cut;
        entry->delay_ms =
            delay != NULL ? json_number_value(delay) : entry->delay_ms;
    }
    return ok;
}

static bool
control_member(const json_t *command, const char *name, const json_t *value)
{
    const struct {
        const char *name;
        double *number;
    } numbers[] = {
        {"drop", &fabric.drop},           {"duplicate", &fabric.duplicate},
        {"reorder", &fabric.reorder},     {"delay_ms", &fabric.delay_ms},
        {"jitter_ms", &fabric.jitter_ms},
    };

    for (size_t i = 0; i < sizeof(numbers) / sizeof(*numbers); i++) {
        if (strcmp(name, numbers[i].name) == 0 && json_is_number(value)) {
            *numbers[i].number = json_number_value(value);
            return true;
        }
    }
    if (strcmp(name, "entries") == 0) {
        return control_entries(value);
    }
    if (strcmp(name, "add_entry") == 0 && json_is_string(value)) {
        return entry_add(json_string_value(value));
    }
    if (strcmp(name, "remove_entry") == 0 && json_is_string(value)) {
        return entry_remove(json_string_value(value));
    }
    if (strcmp(name, "rebind") == 0 && json_is_true(value)) {
        g_hash_table_remove_all(fabric.callers);
        return true;
    }
    return false;
}

static json_t *
stats_json(void)
{
    const struct fabric_counts *c = &fabric.counts;
    json_t *entries = json_object();

    for (size_t i = 0; i < fabric.entry_count; i++) {
        char address[INET_ADDRSTRLEN];

        inet_ntop(AF_INET, &fabric.entries[i].addr, address, sizeof(address));
        json_object_set_new(
            entries, address,
            json_integer((json_int_t)fabric.entries[i].forwarded));
    }
    return json_pack(
        "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o}", "up", (json_int_t)c->up,
        "down", (json_int_t)c->down, "dropped", (json_int_t)c->dropped,
        "duplicated", (json_int_t)c->duplicated, "reordered",
        (json_int_t)c->reordered, "cut", (json_int_t)c->cut, "callers",
        (json_int_t)g_hash_table_size(fabric.callers), "entries", entries);
}

static void
handle_control(struct evhttp_request *req, void *ctx)
{
    const char *path = evhttp_request_get_uri(req);

    if (strcmp(path, "/control/stats") == 0) {
        standin_reply_json(req, HTTP_OK, stats_json());
        return;
    }
    if (strcmp(path, "/control") != 0) {
        evhttp_send_error(req, HTTP_BADREQUEST, "unknown control path");
        return;
    }
    standin_execute_command(req, control_member);
}

static void
listen_all(char **endpoints)
{
    for (char **e = endpoints; *e != NULL; e++) {
        struct service_port *port = &fabric.ports[fabric.port_count];

        if (fabric.port_count == PORTS_MAX ||
            !standin_endpoint_parse(*e, &port->endpoint)) {
            fprintf(stderr,
                    "%s: not an IPv4 address with a port, or too many "
                    "service addresses\n",
                    *e);
            exit(EXIT_FAILURE);
        }
        port->fd = udp_socket(port->endpoint.address, port->endpoint.port);
        event_add(event_new(fabric.base, port->fd, EV_READ | EV_PERSIST,
                            on_request_readable, port),
                  NULL);
        fabric.port_count++;
    }
}

static void
fabric_run(char **listen, char **entries, const char *control)
{
    const struct timeval interval = {IDLE_CHECK_INTERVAL_S, 0};

    fabric.base = standin_base_new();
    fabric.line = delay_line_new(fabric.base);
    fabric.callers =
        g_hash_table_new_full(caller_hash, caller_equal, NULL, caller_destroy);
    for (char **e = entries; e != NULL && *e != NULL; e++) {
        if (!entry_add(*e)) {
            fprintf(stderr,
                    "%s: not an IPv4 address, or too many entry hosts\n", *e);
            exit(EXIT_FAILURE);
        }
    }
    listen_all(listen);
    if (control != NULL) {
        standin_http_new(fabric.base, control, handle_control, NULL);
    }
    event_add(
        event_new(fabric.base, -1, EV_PERSIST, remove_idle_callers, NULL),
        &interval);
    event_base_dispatch(fabric.base);
}

int
main(int argc, char **argv)
{
    char **listen = NULL;
    char **entries = NULL;
    char *control = NULL;
    gint64 seed = 1;
    const GOptionEntry options[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING_ARRAY, &listen,
         "Service address; may be repeated", "IP:PORT"},
        {"entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &entries,
         "Entry host; may be repeated", "IP"},
        {"control", 0, 0, G_OPTION_ARG_STRING, &control, "Control endpoint",
         "IP:PORT"},
        {"seed", 0, 0, G_OPTION_ARG_INT64, &seed,
         "Seed of the random number generator", "N"},
        {"drop", 0, 0, G_OPTION_ARG_DOUBLE, &fabric.drop,
         "Probability that a datagram is lost", "P"},
        {"duplicate", 0, 0, G_OPTION_ARG_DOUBLE, &fabric.duplicate,
         "Probability that a datagram is duplicated", "P"},
        {"reorder", 0, 0, G_OPTION_ARG_DOUBLE, &fabric.reorder,
         "Probability that later datagrams overtake a datagram", "P"},
        {"delay-ms", 0, 0, G_OPTION_ARG_DOUBLE, &fabric.delay_ms,
         "Delay in one direction", "MS"},
        {"jitter-ms", 0, 0, G_OPTION_ARG_DOUBLE, &fabric.jitter_ms,
         "Maximum of the additional random delay", "MS"},
        {"idle-s", 0, 0, G_OPTION_ARG_INT, &fabric.idle_s,
         "Time after which an idle caller is removed", "S"},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;

    fabric.idle_s = CALLER_IDLE_DEFAULT_S;
    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        listen == NULL) {
        fprintf(stderr, "%s\n",
                error ? error->message : "option --listen is missing");
        return EXIT_FAILURE;
    }
    g_option_context_free(context);
    fabric.random.state = (uint64_t)seed;
    fabric_run(listen, entries, control);
    return EXIT_SUCCESS;
}
