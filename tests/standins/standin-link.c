/* Forwards TCP connections with a delay, and cuts them in one or both
 * directions on command. */

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
    CUT_SILENT, /* no bytes are forwarded; connections stay open */
    CUT_UP,     /* no bytes are forwarded from client to server */
    CUT_DOWN,   /* no bytes are forwarded from server to client */
    CUT_CLOSED, /* open connections are closed; on a cut link, new ones too */
};

/* Bytes that a pipe received and has not delivered yet. */
struct chunk {
    struct list link;
    uint64_t due_us; /* monotonic time of the delivery */
    struct evbuffer *data;
};

/* One direction of a connection. The pipe owns "from": the two pipes of a
 * connection share their bufferevents. */
struct pipe {
    struct connection *conn;
    struct bufferevent *from;
    struct bufferevent *to;
    struct list chunks;  /* struct chunk, by time of arrival */
    struct event *timer; /* next delivery */
};

/* A TCP connection through a link, from a client to the link's target. */
struct connection {
    struct list link;
    struct tcp_link *owner;
    struct pipe up;             /* from client to server */
    struct pipe down;           /* from server to client */
    char from[INET_ADDRSTRLEN]; /* address of the client */
    /* Pipe whose sender has closed the connection; its remaining bytes are
     * delivered before the connection ends. NULL while both ends are open. */
    struct pipe *closing_pipe;
    bool silent; /* no bytes are forwarded any more, whatever the cuts */
};

/* A listening address whose connections are forwarded to a target. */
struct tcp_link {
    struct list link;
    struct standin_endpoint listen;
    struct standin_endpoint target;
    struct list connections;
    enum cut_mode cut;
    GHashTable *cut_from; /* address of a client -> enum cut_mode */
    double delay_ms;      /* in one direction */
};

static struct event_base *base;
static struct list links = {&links, &links};

static void
pipe_clear(struct pipe *pipe)
{
    list_for_each_safe (it, &pipe->chunks) {
        struct chunk *chunk = container_of(it, struct chunk, link);

        list_remove(&chunk->link);
        evbuffer_free(chunk->data);
        g_free(chunk);
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

/* The cut that applies to a connection. A cut of the whole link takes
 * precedence over one for the client's address. */
static enum cut_mode
connection_cut_mode(const struct connection *conn)
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
pipe_is_cut(const struct pipe *pipe)
{
    enum cut_mode cut = connection_cut_mode(pipe->conn);

    return cut == CUT_SILENT ||
           cut == (pipe == &pipe->conn->up ? CUT_UP : CUT_DOWN);
}

static void
chunk_deliver(struct pipe *pipe, struct chunk *chunk)
{
    list_remove(&chunk->link);
    bufferevent_write_buffer(pipe->to, chunk->data);
    evbuffer_free(chunk->data);
    g_free(chunk);
}

/* Delivers the bytes that are due and starts the timer for the next ones. */
static void
pipe_deliver_due(evutil_socket_t fd, short what, void *ctx)
{
    struct pipe *pipe = ctx;
    uint64_t now = clock_monotonic_us();

    if (pipe_is_cut(pipe)) {
        return;
    }
    list_for_each_safe (it, &pipe->chunks) {
        struct chunk *chunk = container_of(it, struct chunk, link);

        if (chunk->due_us > now) {
            uint64_t us = chunk->due_us - now;
            struct timeval delay = {(time_t)(us / USEC_PER_SEC),
                                    (suseconds_t)(us % USEC_PER_SEC)};

            evtimer_add(pipe->timer, &delay);
            return;
        }
        chunk_deliver(pipe, chunk);
    }
}

static void
pipe_read(struct bufferevent *bev, void *ctx)
{
    struct connection *conn = ctx;
    struct pipe *pipe = bev == conn->up.from ? &conn->up : &conn->down;
    struct chunk *chunk = g_new0(struct chunk, 1);

    chunk->data = evbuffer_new();
    chunk->due_us = clock_monotonic_us() +
                    (uint64_t)(conn->owner->delay_ms * USEC_PER_MSEC);
    bufferevent_read_buffer(bev, chunk->data);
    list_push_back(&pipe->chunks, &chunk->link);
    pipe_deliver_due(-1, 0, pipe);
}

static bool
pipe_is_empty(const struct pipe *pipe)
{
    return list_empty(&pipe->chunks) &&
           evbuffer_get_length(bufferevent_get_output(pipe->to)) == 0;
}

/* One end has closed the connection, or the connection failed. After a close,
 * the bytes sent before it are still delivered to the other end. */
static void
pipe_event(struct bufferevent *bev, short what, void *ctx)
{
    struct connection *conn = ctx;

    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    if (conn->closing_pipe == NULL && (what & BEV_EVENT_EOF) != 0) {
        conn->closing_pipe = bev == conn->up.from ? &conn->up : &conn->down;
        if (!pipe_is_empty(conn->closing_pipe)) {
            return;
        }
    }
    connection_destroy(conn);
}

/* Ends a connection that one end has closed, once the bytes sent before the
 * close have been written to the other end. */
static void
pipe_written(struct bufferevent *bev, void *ctx)
{
    struct connection *conn = ctx;

    if (conn->closing_pipe != NULL && conn->closing_pipe->to == bev &&
        pipe_is_empty(conn->closing_pipe)) {
        connection_destroy(conn);
    }
}

static void
pipe_apply_cut(struct pipe *pipe)
{
    if (pipe_is_cut(pipe)) {
        bufferevent_disable(pipe->from, EV_READ);
        bufferevent_disable(pipe->to, EV_WRITE);
        return;
    }
    bufferevent_enable(pipe->from, EV_READ);
    bufferevent_enable(pipe->to, EV_WRITE);
    pipe_deliver_due(-1, 0, pipe);
}

/* Pauses or resumes both directions according to the current cuts. */
static void
connection_apply_cut(struct connection *conn)
{
    pipe_apply_cut(&conn->up);
    pipe_apply_cut(&conn->down);
}

static void
pipe_init(struct pipe *pipe, struct connection *conn, struct bufferevent *from,
          struct bufferevent *to)
{
    pipe->conn = conn;
    pipe->from = from;
    pipe->to = to;
    list_init(&pipe->chunks);
    pipe->timer = evtimer_new(base, pipe_deliver_due, pipe);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int len, void *ctx)
{
    struct tcp_link *owner = ctx;
    struct connection *conn;
    struct bufferevent *client;
    struct bufferevent *server;
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
    client = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    server = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    pipe_init(&conn->up, conn, client, server);
    pipe_init(&conn->down, conn, server, client);
    bufferevent_setcb(client, pipe_read, pipe_written, pipe_event, conn);
    bufferevent_setcb(server, pipe_read, pipe_written, pipe_event, conn);
    standin_endpoint_sockaddr(&owner->target, &target);
    bufferevent_socket_connect(server, (struct sockaddr *)&target,
                               sizeof(target));
    connection_apply_cut(conn);
}

/* Closes the connections to which CUT_CLOSED applies. */
static void
close_cut_connections(struct tcp_link *owner)
{
    list_for_each_safe (it, &owner->connections) {
        struct connection *conn = container_of(it, struct connection, link);

        if (connection_cut_mode(conn) == CUT_CLOSED) {
            connection_destroy(conn);
        }
    }
}

/* Sets the cut of a link or, if "from" is not NULL, of its connections from
 * that address. */
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
        connection_apply_cut(container_of(it, struct connection, link));
    }
    close_cut_connections(owner);
}

/* Stops forwarding on the connections that are open now. They stay open and
 * cannot be resumed; new connections are not affected. */
static void
silence_connections(struct tcp_link *owner)
{
    list_for_each (it, &owner->connections) {
        struct connection *conn = container_of(it, struct connection, link);

        conn->silent = true;
        connection_apply_cut(conn);
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

/* Executes the members "delay_ms", "silence", "cut" and "from" of a command.
 * Returns false if the cut is unknown. */
static bool
control_link(struct tcp_link *owner, const json_t *command)
{
    const char *cut = json_string_value(json_object_get(command, "cut"));
    const char *from = json_string_value(json_object_get(command, "from"));
    const json_t *delay = json_object_get(command, "delay_ms");
    enum cut_mode mode;

    if (json_is_number(delay)) {
        owner->delay_ms = json_number_value(delay);
    }
    if (json_is_true(json_object_get(command, "silence"))) {
        silence_connections(owner);
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

/* Executes {"LISTEN": {"cut": "silent", "delay_ms": 5}, ...}, where LISTEN is
 * the address that a link listens on, or "all". Returns false if no link has
 * the address or a member is invalid. */
static bool
control_links(const json_t *commands)
{
    bool ok = json_is_object(commands);
    const char *name;
    json_t *command;

    json_object_foreach((json_t *)commands, name, command)
    {
        bool found = false;

        list_for_each (it, &links) {
            struct tcp_link *owner = container_of(it, struct tcp_link, link);
            char listen[INET_ADDRSTRLEN + 8];

            snprintf(listen, sizeof(listen), "%s:%u", owner->listen.address,
                     owner->listen.port);
            if (strcmp(name, "all") == 0 || strcmp(name, listen) == 0) {
                found = control_link(owner, command);
            }
        }
        ok = ok && found;
    }
    return ok;
}

static void
handle_control(struct evhttp_request *req, void *ctx)
{
    json_t *commands = standin_request_json(req);
    bool ok = control_links(commands);

    json_decref(commands);
    if (!ok) {
        evhttp_send_error(req, HTTP_BADREQUEST, "invalid control command");
        return;
    }
    standin_reply_json(req, HTTP_OK, json_pack("{s:b}", "ok", 1));
}

/* Starts a link given as LISTEN=TARGET. Returns false if the text is malformed
 * or the address cannot be listened on. */
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
    return evconnlistener_new_bind(base, on_accept, owner,
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
        {"delay-ms", 0, 0, G_OPTION_ARG_DOUBLE, &delay_ms,
         "Delay in one direction", "MS"},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;

    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        tcp == NULL) {
        fprintf(stderr, "%s\n",
                error ? error->message : "option --tcp is missing");
        return EXIT_FAILURE;
    }
    g_option_context_free(context);
    base = standin_base_new();
    for (char **t = tcp; *t != NULL; t++) {
        if (!link_start(*t, delay_ms)) {
            fprintf(stderr,
                    "%s: malformed, or cannot listen on the first address\n",
                    *t);
            return EXIT_FAILURE;
        }
    }
    if (control != NULL) {
        standin_http_new(base, control, handle_control, NULL);
    }
    event_base_dispatch(base);
    return EXIT_SUCCESS;
}
