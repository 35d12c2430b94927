#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/bufferevent.h>

#include "transport/target-client.h"

#define LOOPBACK 0x7f000001
#define BODY_MAX 64       /* maximum length of an answer's body, in bytes */
#define CONNECTIONS_MAX 8 /* connections accepted in one case, at most */
#define RUN_TIMEOUT_S 5   /* maximum duration of one run of the event loop */

/* A server that sends the same bytes in answer to every request, and may then
 * close the connection. */
struct server {
    struct event_base *base;
    struct evconnlistener *listener;
    const char *answer;       /* NULL: never answers */
    bool closes_after_answer; /* closes each connection after an answer */
    unsigned connections;     /* accepted so far */
    /* By order of acceptance; NULL when closed. */
    struct bufferevent *open_connections[CONNECTIONS_MAX];
    uint16_t port;
};

/* How a call ended. */
struct outcome {
    struct event_base *base;
    unsigned end_count; /* number of calls of on_end() */
    enum error_kind kind;
    bool sent;
    int http_status;
    size_t body_len;
};

static void
close_connection(struct server *server, struct bufferevent *bev)
{
    for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
        if (server->open_connections[i] == bev) {
            server->open_connections[i] = NULL;
        }
    }
    bufferevent_free(bev);
}

static void
on_written(struct bufferevent *bev, void *ctx)
{
    struct server *server = ctx;

    if (server->closes_after_answer) {
        close_connection(server, bev);
    }
}

static void
on_request(struct bufferevent *bev, void *ctx)
{
    struct server *server = ctx;
    struct evbuffer *input = bufferevent_get_input(bev);

    evbuffer_drain(input, evbuffer_get_length(input));
    if (server->closes_after_answer && server->answer[0] == '\0') {
        close_connection(server, bev);
    }
    else if (server->answer != NULL) {
        bufferevent_write(bev, server->answer, strlen(server->answer));
    }
}

static void
on_connection_event(struct bufferevent *bev, short what, void *ctx)
{
    close_connection(ctx, bev);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *addr, int len, void *ctx)
{
    struct server *server = ctx;
    struct bufferevent *bev =
        bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);

    assert_true(server->connections < CONNECTIONS_MAX);
    server->open_connections[server->connections] = bev;
    server->connections++;
    bufferevent_setcb(bev, on_request, on_written, on_connection_event,
                      server);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void
start_server(struct server *server, struct event_base *base)
{
    struct sockaddr_in sin = {.sin_family = AF_INET};
    socklen_t len = sizeof(sin);

    sin.sin_addr.s_addr = htonl(LOOPBACK);
    server->base = base;
    server->listener =
        evconnlistener_new_bind(base, on_accept, server, LEV_OPT_CLOSE_ON_FREE,
                                -1, (struct sockaddr *)&sin, sizeof(sin));
    assert_non_null(server->listener);
    getsockname(evconnlistener_get_fd(server->listener),
                (struct sockaddr *)&sin, &len);
    server->port = ntohs(sin.sin_port);
}

/* Frees the client, the server and the event loop of a case. The loop runs
 * once more before it is freed, because libevent frees connections in it. */
static void
destroy_case(struct server *server, struct target_client *tc)
{
    target_client_destroy(tc);
    for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
        if (server->open_connections[i] != NULL) {
            bufferevent_free(server->open_connections[i]);
        }
    }
    if (server->listener != NULL) {
        evconnlistener_free(server->listener);
    }
    event_base_loop(server->base, EVLOOP_NONBLOCK);
    event_base_free(server->base);
}

static void
on_end(void *ctx, enum error_kind kind, bool sent,
       const struct target_response *response)
{
    struct outcome *out = ctx;

    out->end_count++;
    out->kind = kind;
    out->sent = sent;
    if (response != NULL) {
        out->http_status = response->http_status;
        out->body_len = response->body_len;
    }
    event_base_loopbreak(out->base);
}

static void
run_loop(struct event_base *base, int seconds)
{
    struct timeval limit = {.tv_sec = seconds};

    event_base_loopexit(base, &limit);
    event_base_dispatch(base);
}

static const struct {
    const char *name;
    const char *answer;
    bool closes_after_answer;
    bool not_listening; /* the server does not listen */
    enum error_kind kind;
    bool sent;
    size_t body_len;
} cases[] = {
    {"complete answer", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
     false, false, ERR_NONE, true, 2},
    {"503 with the outcome not_run",
     "HTTP/1.1 503 No\r\nX-Outcome: not_run\r\nContent-Length: 0\r\n\r\n",
     false, false, ERR_NONE, true, 0},
    {"Content-Length above BODY_MAX",
     "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhi", false, false,
     ERR_TARGET_BAD_ANSWER, true, 0},
    {"body shorter than Content-Length",
     "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi", true, false,
     ERR_TARGET_LOST, true, 0},
    {"not HTTP", "hello\r\n\r\n", false, false, ERR_TARGET_BAD_ANSWER, true,
     0},
    {"connection closed without an answer", "", true, false, ERR_TARGET_LOST,
     true, 0},
    {"connection refused", "", false, true, ERR_TARGET_LOST, false, 0},
};

static void
test_call_ends(void **state)
{
    struct target_request request = {
        .method = "POST", .path = "/run", .service = "rigctl"};

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct event_base *base = event_base_new();
        struct server server = {.answer = cases[i].answer,
                                .closes_after_answer =
                                    cases[i].closes_after_answer};
        struct outcome out = {.base = base};
        struct endpoint server_endpoint = {.addr = LOOPBACK};
        struct target_client *tc;

        print_message("case: %s\n", cases[i].name);
        start_server(&server, base);
        server_endpoint.port = server.port;
        if (cases[i].not_listening) {
            evconnlistener_free(server.listener);
            server.listener = NULL;
        }
        tc = target_client_new(base, &server_endpoint, 4, BODY_MAX);
        assert_non_null(target_client_call(tc, &request, on_end, NULL, &out));
        run_loop(base, RUN_TIMEOUT_S);
        assert_int_equal(out.end_count, 1);
        assert_int_equal(out.kind, cases[i].kind);
        assert_int_equal(out.sent, cases[i].sent);
        assert_int_equal(out.body_len, cases[i].body_len);
        assert_int_equal(target_client_busy_count(tc), 0);
        destroy_case(&server, tc);
    }
}

/* The client reuses its connection for the next call. While all allowed
 * connections are busy it refuses a call. */
static void
test_reuse_and_connection_limit(void **state)
{
    struct event_base *base = event_base_new();
    struct server server = {
        .answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"};
    struct outcome out = {.base = base};
    struct target_request request = {
        .method = "GET", .path = "/", .service = "rigctl"};
    struct endpoint server_endpoint = {.addr = LOOPBACK};
    struct target_client *tc;

    start_server(&server, base);
    server_endpoint.port = server.port;
    tc = target_client_new(base, &server_endpoint, 1, BODY_MAX);
    for (unsigned i = 1; i <= 3; i++) {
        assert_non_null(target_client_call(tc, &request, on_end, NULL, &out));
        assert_null(target_client_call(tc, &request, on_end, NULL, &out));
        run_loop(base, RUN_TIMEOUT_S);
        assert_int_equal(out.end_count, i);
    }
    assert_int_equal(server.connections, 1);
    destroy_case(&server, tc);
}

/* A cancelled call does not run its callback. Its connection is closed and not
 * reused, because the target may have lost the state of this connection. */
static void
test_cancel(void **state)
{
    struct event_base *base = event_base_new();
    struct server server = {.answer = NULL};
    struct outcome out = {.base = base};
    struct target_request request = {
        .method = "POST", .path = "/run", .service = "rigctl"};
    struct endpoint server_endpoint = {.addr = LOOPBACK};
    struct target_client *tc;
    struct target_call *call;

    start_server(&server, base);
    server_endpoint.port = server.port;
    tc = target_client_new(base, &server_endpoint, 4, BODY_MAX);
    call = target_client_call(tc, &request, on_end, NULL, &out);
    run_loop(base, 1);
    assert_int_equal(server.connections, 1);
    target_call_cancel(call);
    assert_int_equal(target_client_open_count(tc), 0);
    server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    assert_non_null(target_client_call(tc, &request, on_end, NULL, &out));
    run_loop(base, RUN_TIMEOUT_S);
    assert_int_equal(out.end_count, 1);
    assert_int_equal(server.connections, 2);
    destroy_case(&server, tc);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_call_ends),
        cmocka_unit_test(test_reuse_and_connection_limit),
        cmocka_unit_test(test_cancel),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
