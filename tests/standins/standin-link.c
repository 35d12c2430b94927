#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>

#include "base/clock.h"
#include "base/list.h"
#include "standin-common.h"

enum cut_mode {
    CUT_NO,
    CUT_SILENT, /* nothing passes; connections stay open */
    CUT_UP,     /* nothing passes from those that connect */
    CUT_DOWN,   /* nothing passes to them */
    CUT_CLOSED, /* connections are closed, new ones too */
};

/* Bytes on their way through a pipe. */
struct parcel {
    struct list link;
    uint64_t due_us;
    struct evbuffer *data;
};

/* One direction of a connection. */
struct pipe {
    struct connection *conn;
    struct bufferevent *from;
    struct bufferevent *to;
    struct list parcels;
    struct event *timer;
};

/* A TCP connection through a link. */
struct connection {
    struct list link;
    struct tcp_link *owner;
    struct pipe up;
    struct pipe down;
    char from[INET_ADDRSTRLEN];
    struct pipe
        *last;   /* one end has closed; what it sent is still passed on */
    bool silent; /* for good */
};

/* A forwarded address. */
struct tcp_link {
    struct list link;
    struct standin_endpoint listen;
    struct standin_endpoint target;
    struct list connections;
    enum cut_mode cut;
    GHashTable *cut_from; /* address that connects -> enum cut_mode */
    double delay_ms;
};

static struct event_base *base;
static struct list links = {&links, &links};

static void
pipe_clear(struct pipe *pipe)
{
    list_for_each_safe (it, &pipe->parcels) {
        struct parcel *parcel = container_of(it, struct parcel, link);

        list_remove(&parcel->link);
        evbuffer_free(parcel->data);
        g_free(parcel);
    }
    event_free(pipe->timer);
}

static void
connection_destroy(struct connection *conn)
{
    list_remove(&conn->link);
    pipe_clear(&conn->up);
    pipe_clear(&conn->down);
    bufferevent_free(conn->up.from);
    bufferevent_free(conn->down.from);
    g_free(conn);
}

/* What cuts a connection: the link's own mode goes first. */
static enum cut_mode
connection_cut(const struct connection *conn)
{
    const struct tcp_link *owner = conn->owner;

    if (conn->silent) {
        return CUT_SILENT;
    }
    if (owner->cut != CUT_NO) {
        return owner->cut;
    }
    return (enum cut_mode)GPOINTER_TO_INT(
        g_hash_table_lookup(owner->cut_from, conn->from));
}

static bool
pipe_is_paused(const struct pipe *pipe)
{
    enum cut_mode cut = connection_cut(pipe->conn);

    return cut == CUT_SILENT ||
           cut == (pipe == &pipe->conn->up ? CUT_UP : CUT_DOWN);
}

static void
parcel_deliver(struct pipe *pipe, struct parcel *parcel)
{
    list_remove(&parcel->link);
    bufferevent_write_buffer(pipe->to, parcel->data);
    evbuffer_free(parcel->data);
    g_free(parcel);
}

/* Delivers the bytes that are due, and waits for the next. */
static void
pipe_due(evutil_socket_t fd, short what, void *ctx)
{
    struct pipe *pipe = ctx;
    uint64_t now = clock_monotonic_us();

    if (pipe_is_paused(pipe)) {
        return;
    }
    list_for_each_safe (it, &pipe->parcels) {
        struct parcel *parcel = container_of(it, struct parcel, link);

        if (parcel->due_us > now) {
            uint64_t us = parcel->due_us - now;
            struct timeval delay = {(time_t)(us / USEC_PER_SEC),
                                    (suseconds_t)(us % USEC_PER_SEC)};

            evtimer_add(pipe->timer, &delay);
            return;
        }
        parcel_deliver(pipe, parcel);
    }
}

static void
pipe_read(struct bufferevent *bev, void *ctx)
{
    struct connection *conn = ctx;
    struct pipe *pipe = bev == conn->up.from ? &conn->up : &conn->down;
    struct parcel *parcel = g_new0(struct parcel, 1);

    parcel->data = evbuffer_new();
    parcel->due_us = clock_monotonic_us() +
                     (uint64_t)(conn->owner->delay_ms * USEC_PER_MSEC);
    bufferevent_read_buffer(bev, parcel->data);
    list_push_back(&pipe->parcels, &parcel->link);
    pipe_due(-1, 0, pipe);
}

static bool
pipe_is_empty(const struct pipe *pipe)
{
    return list_empty(&pipe->parcels) &&
           evbuffer_get_length(bufferevent_get_output(pipe->to)) == 0;
}

/* Either end has closed: the other one gets what was sent before. */
static void
pipe_event(struct bufferevent *bev, short what, void *ctx)
{
    struct connection *conn = ctx;

    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    if (conn->last == NULL && (what & BEV_EVENT_EOF) != 0) {
        conn->last = bev == conn->up.from ? &conn->up : &conn->down;
        if (!pipe_is_empty(conn->last)) {
            return;
        }
    }
    connection_destroy(conn);
}

static void
pipe_written(struct bufferevent *bev, void *ctx)
{
    struct connection *conn = ctx;

    if (conn->last != NULL && conn->last->to == bev &&
        pipe_is_empty(conn->last)) {
        connection_destroy(conn);
    }
}

static void
pipe_update(struct pipe *pipe)
{
    if (pipe_is_paused(pipe)) {
        bufferevent_disable(pipe->from, EV_READ);
        bufferevent_disable(pipe->to, EV_WRITE);
        return;
    }
    bufferevent_enable(pipe->from, EV_READ);
    bufferevent_enable(pipe->to, EV_WRITE);
    pipe_due(-1, 0, pipe);
}

/* Stops or goes on, as the cuts say. */
static void
connection_update(struct connection *conn)
{
    pipe_update(&conn->up);
    pipe_update(&conn->down);
}

static void
pipe_init(struct pipe *pipe, struct connection *conn, struct bufferevent *from,
          struct bufferevent *to)
{
    pipe->conn = conn;
    pipe->from = from;
    pipe->to = to;
    list_init(&pipe->parcels);
    pipe->timer = evtimer_new(base, pipe_due, pipe);
}

static void
accepted(struct evconnlistener *listener, evutil_socket_t fd,
         struct sockaddr *from, int len, void *ctx)
{
    struct tcp_link *owner = ctx;
    struct connection *conn;
    struct bufferevent *near;
    struct bufferevent *far;
    struct sockaddr_in target;

    if (owner->cut == CUT_CLOSED) {
        evutil_closesocket(fd);
        return;
    }
    conn = g_new0(struct connection, 1);
    conn->owner = owner;
    evutil_inet_ntop(AF_INET, &((struct sockaddr_in *)from)->sin_addr,
                     conn->from, sizeof(conn->from));
    list_push_back(&owner->connections, &conn->link);
    near = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    far = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    pipe_init(&conn->up, conn, near, far);
    pipe_init(&conn->down, conn, far, near);
    bufferevent_setcb(near, pipe_read, pipe_written, pipe_event, conn);
    bufferevent_setcb(far, pipe_read, pipe_written, pipe_event, conn);
    standin_endpoint_sockaddr(&owner->target, &target);
    bufferevent_socket_connect(far, (struct sockaddr *)&target,
                               sizeof(target));
    connection_update(conn);
}

/* Ends the connections that are cut by closing them. */
static void
close_cut(struct tcp_link *owner)
{
    list_for_each_safe (it, &owner->connections) {
        struct connection *conn = container_of(it, struct connection, link);

        if (connection_cut(conn) == CUT_CLOSED) {
            connection_destroy(conn);
        }
    }
}

/* Cuts a link, or only the connections from one address. */
static void
set_cut(struct tcp_link *owner, const char *from, enum cut_mode mode)
{
    if (from == NULL) {
        owner->cut = mode;
    }
    else {
        g_hash_table_insert(owner->cut_from, g_strdup(from),
                            GINT_TO_POINTER(mode));
    }
    list_for_each (it, &owner->connections) {
        connection_update(container_of(it, struct connection, link));
    }
    close_cut(owner);
}

/* Makes the connections of this moment silent for good. */
static void
silence(struct tcp_link *owner)
{
    list_for_each (it, &owner->connections) {
        struct connection *conn = container_of(it, struct connection, link);

        conn->silent = true;
        connection_update(conn);
    }
}

static bool
read_mode(const char *text, enum cut_mode *mode)
{
    static const char *const modes[] = {[CUT_NO] = "no",
                                        [CUT_SILENT] = "silent",
                                        [CUT_UP] = "up",
                                        [CUT_DOWN] = "down",
                                        [CUT_CLOSED] = "closed"};

    for (size_t i = 0; i < sizeof(modes) / sizeof(*modes); i++) {
        if (strcmp(text, modes[i]) == 0) {
            *mode = (enum cut_mode)i;
            return true;
        }
    }
    return false;
}

static bool
control_link(struct tcp_link *owner, const json_t *order)
{
    const char *cut = json_string_value(json_object_get(order, "cut"));
    const char *from = json_string_value(json_object_get(order, "from"));
    const json_t *delay = json_object_get(order, "delay_ms");
    enum cut_mode mode;

    if (json_is_number(delay)) {
        owner->delay_ms = json_number_value(delay);
    }
    if (json_is_true(json_object_get(order, "silence"))) {
        silence(owner);
    }
    if (cut == NULL) {
        return true;
    }
    if (!read_mode(cut, &mode)) {
        return false;
    }
    set_cut(owner, from, mode);
    return true;
}

/* {"LISTEN": {"cut": "silent", "delay_ms": 5}, ...}, where LISTEN is the
 * address that the link listens on, or "all". */
static bool
control_links(const json_t *orders)
{
    bool ok = json_is_object(orders);
    const char *name;
    json_t *order;

    json_object_foreach((json_t *)orders, name, order)
    {
        bool found = false;

        list_for_each (it, &links) {
            struct tcp_link *owner = container_of(it, struct tcp_link, link);
            char listen[INET_ADDRSTRLEN + 8];

            snprintf(listen, sizeof(listen), "%s:%u", owner->listen.address,
                     owner->listen.port);
            if (strcmp(name, "all") == 0 || strcmp(name, listen) == 0) {
                found = control_link(owner, order);
            }
        }
        ok = ok && found;
    }
    return ok;
}

static void
handle_control(struct evhttp_request *req, void *ctx)
{
    json_t *orders = standin_request_json(req);
    bool ok = control_links(orders);

    json_decref(orders);
    if (!ok) {
        evhttp_send_error(req, HTTP_BADREQUEST, "order not understood");
        return;
    }
    standin_reply_json(req, HTTP_OK, json_pack("{s:b}", "ok", 1));
}

/* Starts a link given as LISTEN=TARGET. */
static bool
link_start(const char *text, double delay_ms)
{
    struct tcp_link *owner = g_new0(struct tcp_link, 1);
    char **parts = g_strsplit(text, "=", 2);
    struct sockaddr_in sin;
    bool ok = parts[0] != NULL && parts[1] != NULL &&
              standin_endpoint_parse(parts[0], &owner->listen) &&
              standin_endpoint_parse(parts[1], &owner->target);

    g_strfreev(parts);
    list_init(&owner->connections);
    owner->cut_from =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    list_push_back(&links, &owner->link);
    owner->delay_ms = delay_ms;
    if (!ok) {
        return false;
    }
    standin_endpoint_sockaddr(&owner->listen, &sin);
    return evconnlistener_new_bind(base, accepted, owner,
                                   LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                   -1, (struct sockaddr *)&sin,
                                   sizeof(sin)) != NULL;
}

int
main(int argc, char **argv)
{
    char **tcp = NULL;
    char *control = NULL;
    double delay_ms = 0;
    const GOptionEntry options[] = {
        {"tcp", 0, 0, G_OPTION_ARG_STRING_ARRAY, &tcp,
         "Address to forward; may be repeated", "IP:PORT=IP:PORT"},
        {"control", 0, 0, G_OPTION_ARG_STRING, &control, "Control endpoint",
         "IP:PORT"},
        {"delay-ms", 0, 0, G_OPTION_ARG_DOUBLE, &delay_ms, "Delay, one way",
         "MS"},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;

    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        tcp == NULL) {
        fprintf(stderr, "%s\n", error ? error->message : "--tcp missing");
        return EXIT_FAILURE;
    }
    g_option_context_free(context);
    base = standin_base_new();
    for (char **t = tcp; *t != NULL; t++) {
        if (!link_start(*t, delay_ms)) {
            fprintf(stderr, "%s: cannot forward\n", *t);
            return EXIT_FAILURE;
        }
    }
    if (control != NULL) {
        standin_http_new(base, control, handle_control, NULL);
    }
    event_base_dispatch(base);
    return EXIT_SUCCESS;
}
