#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <cmocka.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <jansson.h>
#include <sodium.h>

#include "base/clock.h"
#include "transport/store-client.h"

#define SEED 20260104U
#define LIMIT_US (10 * USEC_PER_SEC) /* of one case */
#define NO_PORT 1                    /* nothing listens there */

#define HELD_MAX 16

/* What the responder does with a call. */
enum reply {
    REPLY_BODY,   /* 200 with the body */
    REPLY_ERROR,  /* the HTTP status */
    REPLY_NEVER,  /* takes the request and stays silent */
    REPLY_CUT,    /* takes the request and closes the connection */
    REPLY_STREAM, /* 200, the body as one chunk, then silence */
    REPLY_PIECES, /* 200, the body in chunks of three bytes */
};

struct step {
    enum reply reply;
    int status;
    const char *body;
};

struct fixture {
    struct event_base *base;
    struct evhttp *http;
    struct store_client *sc;
    uint16_t port;
    const struct step *steps;
    size_t step_count;
    size_t calls;
    /* Requests without an end; evhttp leaves them to us once the client has
     * closed their connection. */
    struct evhttp_request *held[HELD_MAX];
    size_t held_count;
    char last_body[4096];

    bool done;
    unsigned callbacks;
    enum error_kind kind;
    char message[STATUS_MESSAGE_SIZE];
    uint64_t revision;
    size_t count;
    char keys[256];
    char values[256];
};

static void
cut(struct evhttp_request *req)
{
    struct evhttp_connection *conn = evhttp_request_get_connection(req);
    struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);

    shutdown(bufferevent_getfd(bev), SHUT_RDWR);
}

static void
stream(struct evhttp_request *req, const char *body, size_t piece)
{
    struct evbuffer *out = evbuffer_new();
    size_t len = strlen(body);

    evhttp_send_reply_start(req, HTTP_OK, NULL);
    for (size_t i = 0; i < len; i += piece) {
        evbuffer_add(out, body + i, len - i < piece ? len - i : piece);
        evhttp_send_reply_chunk(req, out);
    }
    evbuffer_free(out);
}

static void
on_request(struct evhttp_request *req, void *ctx)
{
    struct fixture *f = ctx;
    size_t index = f->calls < f->step_count ? f->calls : f->step_count - 1;
    const struct step *step = &f->steps[index];
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    ev_ssize_t len = evbuffer_copyout(in, f->last_body, 4095);

    f->last_body[len] = '\0';
    f->calls++;
    if (step->reply != REPLY_BODY && step->reply != REPLY_ERROR) {
        assert_in_range(f->held_count, 0, HELD_MAX - 1);
        f->held[f->held_count++] = req;
    }
    switch (step->reply) {
    case REPLY_BODY:
        evbuffer_add(evhttp_request_get_output_buffer(req), step->body,
                     strlen(step->body));
        evhttp_send_reply(req, HTTP_OK, NULL, NULL);
        break;
    case REPLY_ERROR:
        evhttp_send_error(req, step->status, NULL);
        break;
    case REPLY_NEVER:
        break;
    case REPLY_CUT:
        cut(req);
        break;
    case REPLY_STREAM:
        stream(req, step->body, strlen(step->body));
        break;
    case REPLY_PIECES:
        stream(req, step->body, 3);
        break;
    }
}

static int
setup(void **state)
{
    static struct fixture f;
    struct evhttp_bound_socket *sock;
    struct sockaddr_in addr = {.sin_port = 0};
    socklen_t len = sizeof(addr);

    memset(&f, 0, sizeof(f));
    f.base = event_base_new();
    f.http = evhttp_new(f.base);
    sock = evhttp_bind_socket_with_handle(f.http, "127.0.0.1", 0);
    getsockname(evhttp_bound_socket_get_fd(sock), (struct sockaddr *)&addr,
                &len);
    f.port = ntohs(addr.sin_port);
    evhttp_set_gencb(f.http, on_request, &f);
    *state = &f;
    return 0;
}

static void
make_client(struct fixture *f, bool dead_first)
{
    char live[32];
    char dead[32];
    const char *endpoints[2] = {live, dead};
    struct store_client_options options;
    struct status st;

    snprintf(live, sizeof(live), "127.0.0.1:%u", f->port);
    snprintf(dead, sizeof(dead), "127.0.0.1:%u", NO_PORT);
    f->sc = store_client_new(f->base, dead_first ? endpoints + 1 : endpoints,
                             1, &st);
    assert_non_null(f->sc);
    store_client_options_default(&options);
    options.call_timeout_us = 200 * USEC_PER_MSEC;
    options.watch_idle_timeout_us = 200 * USEC_PER_MSEC;
    options.backoff_min_us = 1 * USEC_PER_MSEC;
    options.backoff_max_us = 5 * USEC_PER_MSEC;
    options.random_seed = SEED;
    store_client_set_options(f->sc, &options);
}

static int
teardown(void **state)
{
    struct fixture *f = *state;

    struct timeval tick = {0, 20000};

    store_client_destroy(f->sc);
    event_base_loopexit(f->base, &tick);
    event_base_dispatch(f->base);
    for (size_t i = 0; i < f->held_count; i++) {
        if (evhttp_request_get_connection(f->held[i]) == NULL) {
            evhttp_request_free(f->held[i]);
        }
    }
    evhttp_free(f->http);
    event_base_free(f->base);
    return 0;
}

static void
run(struct fixture *f)
{
    uint64_t end = clock_monotonic_us() + LIMIT_US;
    struct timeval tick = {0, 20000};

    while (!f->done && clock_monotonic_us() < end) {
        event_base_loopexit(f->base, &tick);
        event_base_dispatch(f->base);
    }
    assert_true(f->done);
    /* Nothing may come after the one callback. */
    event_base_loopexit(f->base, &tick);
    event_base_dispatch(f->base);
}

static void
note(struct fixture *f, const struct status *st, uint64_t revision)
{
    f->done = true;
    f->callbacks++;
    f->kind = st->kind;
    snprintf(f->message, sizeof(f->message), "%s", st->message);
    f->revision = revision;
}

static void
on_cas(void *ctx, const struct status *st, uint64_t revision)
{
    note(ctx, st, revision);
}

static void
append(char *text, size_t size, const char *word)
{
    size_t len = strlen(text);

    snprintf(text + len, size - len, "%s ", word);
}

static void
note_entries(struct fixture *f, const struct store_entry *entries,
             size_t count)
{
    for (size_t i = 0; i < count; i++) {
        append(f->keys, sizeof(f->keys), entries[i].key);
        append(f->values, sizeof(f->values),
               entries[i].value == NULL ? "-" : entries[i].value);
    }
    f->count += count;
}

static void
on_range(void *ctx, const struct status *st, uint64_t revision,
         const struct store_entry *entries, size_t count)
{
    note(ctx, st, revision);
    note_entries(ctx, entries, count);
}

/* Ends with the first failure. */
static void
on_watch(void *ctx, const struct status *st, uint64_t revision,
         const struct store_entry *entries, size_t count)
{
    struct fixture *f = ctx;

    note_entries(f, entries, count);
    if (st->kind != ERR_NONE) {
        note(f, st, f->revision);
        return;
    }
    f->revision = revision;
}

#define SUCCEEDED "{\"header\":{\"revision\":\"7\"},\"succeeded\":true}"
#define CHANGED "{\"header\":{\"revision\":\"7\"}}"

struct cas_case {
    const char *name;
    struct step steps[3];
    size_t step_count;
    enum error_kind kind;
    uint64_t revision;
    size_t calls; /* that reach the responder: a lost one is not repeated */
};

static const struct cas_case cas_cases[] = {
    {"written", {{REPLY_BODY, 0, SUCCEEDED}}, 1, ERR_NONE, 7, 1},
    {"changed", {{REPLY_BODY, 0, CHANGED}}, 1, ERR_CONFLICT, 0, 1},
    {"cut", {{REPLY_CUT}}, 1, ERR_STORE_UNKNOWN, 0, 1},
    {"silent", {{REPLY_NEVER}}, 1, ERR_STORE_UNKNOWN, 0, 1},
    {"malformed", {{REPLY_BODY, 0, "{"}}, 1, ERR_STORE_UNKNOWN, 0, 1},
    {"no header", {{REPLY_BODY, 0, "{}"}}, 1, ERR_STORE_UNKNOWN, 0, 1},
    {"503", {{REPLY_ERROR, 503}}, 1, ERR_STORE_UNKNOWN, 0, 1},
    {"429", {{REPLY_ERROR, 429}}, 1, ERR_STORE_DOWN, 0, 1},
};

static void
test_cas(void **state)
{
    for (size_t i = 0; i < sizeof(cas_cases) / sizeof(*cas_cases); i++) {
        const struct cas_case *c = &cas_cases[i];
        struct fixture *f;

        setup(state);
        f = *state;
        f->steps = c->steps;
        f->step_count = c->step_count;
        make_client(f, false);
        store_client_cas(f->sc, "k", "value", 5, 6, on_cas, f);
        run(f);
        print_message("%s: %s\n", c->name, f->message);
        assert_int_equal(f->kind, c->kind);
        assert_int_equal(f->revision, c->revision);
        assert_int_equal(f->calls, c->calls);
        assert_int_equal(f->callbacks, 1);
        assert_string_equal(
            f->last_body,
            "{\"compare\":[{\"key\":\"aw==\",\"target\":\"MOD\",\"result\":"
            "\"EQUAL\",\"mod_revision\":\"6\"}],\"success\":[{\"request_put\":"
            "{\"key\":\"aw==\",\"value\":\"dmFsdWU=\"}}]}");
        teardown(state);
    }
}

/* Nothing was sent, so the write is tried again and then surely not done. */
static void
test_cas_without_connection(void **state)
{
    struct fixture *f = *state;

    make_client(f, true);
    store_client_cas(f->sc, "k", "value", 5, 6, on_cas, f);
    run(f);
    assert_int_equal(f->kind, ERR_STORE_DOWN);
    assert_int_equal(store_client_call_count(f->sc), 3);
}

/* A dead endpoint is left for a live one. */
static void
test_endpoint_rotation(void **state)
{
    struct fixture *f = *state;
    static const struct step step = {REPLY_BODY, 0, SUCCEEDED};
    char live[32];
    const char *endpoints[] = {"127.0.0.1:1", live, "127.0.0.1:1"};
    struct status st;

    snprintf(live, sizeof(live), "127.0.0.1:%u", f->port);
    f->steps = &step;
    f->step_count = 1;
    f->sc = store_client_new(f->base, endpoints, 3, &st);
    for (int i = 0; i < 4; i++) {
        f->done = false;
        store_client_cas(f->sc, "k", "v", 1, 0, on_cas, f);
        run(f);
        assert_int_equal(f->kind, ERR_NONE);
    }
    assert_int_equal(f->calls, 4);
    /* At most two dead ones come before the live one is found. */
    assert_in_range(store_client_call_count(f->sc), 4, 6);
}

#define PAGE_1                                                                \
    "{\"header\":{\"revision\":\"9\"},\"more\":true,\"kvs\":[{\"key\":"       \
    "\"YQ==\",\"mod_revision\":\"3\",\"value\":\"MQ==\"}]}"
#define PAGE_2                                                                \
    "{\"header\":{\"revision\":\"12\"},\"kvs\":[{\"key\":\"Yg==\","           \
    "\"mod_revision\":4,\"value\":\"Mg==\"}]}"

struct range_case {
    const char *name;
    struct step steps[4];
    size_t step_count;
    enum error_kind kind;
    uint64_t revision;
    const char *keys;
    size_t calls;
};

static const struct range_case range_cases[] = {
    {"pages",
     {{REPLY_BODY, 0, PAGE_1}, {REPLY_BODY, 0, PAGE_2}},
     2,
     ERR_NONE,
     9,
     "a b ",
     2},
    {"empty", {{REPLY_BODY, 0, CHANGED}}, 1, ERR_NONE, 7, "", 1},
    {"again after 503 and a cut",
     {{REPLY_ERROR, 503}, {REPLY_CUT}, {REPLY_BODY, 0, PAGE_2}},
     3,
     ERR_NONE,
     12,
     "b ",
     3},
    {"second page lost once",
     {{REPLY_BODY, 0, PAGE_1}, {REPLY_CUT}, {REPLY_BODY, 0, PAGE_2}},
     3,
     ERR_NONE,
     9,
     "a b ",
     3},
    {"down", {{REPLY_ERROR, 503}}, 1, ERR_STORE_DOWN, 0, "", 3},
    {"silent", {{REPLY_NEVER}}, 1, ERR_STORE_DOWN, 0, "", 3},
    {"malformed", {{REPLY_BODY, 0, "[]"}}, 1, ERR_STORE_DOWN, 0, "", 1},
    {"bad base64",
     {{REPLY_BODY, 0,
       "{\"header\":{},\"kvs\":[{\"key\":\"*\",\"value\":\"\"}]}"}},
     1,
     ERR_STORE_DOWN,
     0,
     "",
     1},
};

static void
test_range(void **state)
{
    for (size_t i = 0; i < sizeof(range_cases) / sizeof(*range_cases); i++) {
        const struct range_case *c = &range_cases[i];
        struct fixture *f;

        setup(state);
        f = *state;
        f->steps = c->steps;
        f->step_count = c->step_count;
        make_client(f, false);
        store_client_range(f->sc, "p/", true, on_range, f);
        run(f);
        print_message("%s: %s\n", c->name, f->message);
        assert_int_equal(f->kind, c->kind);
        assert_int_equal(f->revision, c->revision);
        assert_string_equal(f->keys, c->keys);
        assert_int_equal(f->calls, c->calls);
        assert_int_equal(f->callbacks, 1);
        teardown(state);
    }
}

/* The second page starts behind the last key, at the first page's revision. */
static void
test_second_page_request(void **state)
{
    struct fixture *f = *state;

    f->steps = range_cases[0].steps;
    f->step_count = 2;
    make_client(f, false);
    store_client_range(f->sc, "p/", true, on_range, f);
    run(f);
    assert_string_equal(f->last_body,
                        "{\"key\":\"YQE=\",\"range_end\":\"cDA=\","
                        "\"limit\":\"500\",\"revision\":\"9\"}");
}

#define CREATED                                                               \
    "{\"result\":{\"header\":{\"revision\":\"4\"},\"created\":true}}\n"
#define EVENTS                                                                \
    "{\"result\":{\"header\":{\"revision\":\"6\"},\"events\":[{\"kv\":{"      \
    "\"key\":\"YQ==\",\"mod_revision\":\"5\",\"value\":\"MQ==\"}},{\"type\":" \
    "\"DELETE\",\"kv\":{\"key\":\"Yg==\",\"mod_revision\":\"6\"}}]}}\n"
#define COMPACTED                                                             \
    "{\"result\":{\"header\":{\"revision\":\"8\"},\"canceled\":true,"         \
    "\"compact_revision\":\"7\"}}\n"
#define CANCELED "{\"result\":{\"header\":{},\"canceled\":true}}\n"

struct watch_case {
    const char *name;
    struct step step;
    enum error_kind kind;
    uint64_t revision; /* of the last line before the end */
    const char *values;
};

static const struct watch_case watch_cases[] = {
    {"silent at once", {REPLY_NEVER}, ERR_STORE_DOWN, 0, ""},
    {"silent after lines",
     {REPLY_STREAM, 0, CREATED EVENTS},
     ERR_STORE_DOWN,
     6,
     "1 - "},
    {"lines in pieces",
     {REPLY_PIECES, 0, CREATED EVENTS},
     ERR_STORE_DOWN,
     6,
     "1 - "},
    {"half a line",
     {REPLY_STREAM, 0, CREATED "{\"res"},
     ERR_STORE_DOWN,
     4,
     ""},
    {"compacted", {REPLY_STREAM, 0, CREATED COMPACTED}, ERR_NOT_FOUND, 4, ""},
    {"canceled", {REPLY_STREAM, 0, CREATED CANCELED}, ERR_STORE_DOWN, 4, ""},
    {"malformed", {REPLY_STREAM, 0, "x\n"}, ERR_STORE_DOWN, 0, ""},
    {"ended", {REPLY_BODY, 0, CREATED}, ERR_STORE_DOWN, 4, ""},
    {"refused", {REPLY_ERROR, 503}, ERR_STORE_DOWN, 0, ""},
};

static void
test_watch(void **state)
{
    for (size_t i = 0; i < sizeof(watch_cases) / sizeof(*watch_cases); i++) {
        const struct watch_case *c = &watch_cases[i];
        struct fixture *f;

        setup(state);
        f = *state;
        f->steps = &c->step;
        f->step_count = 1;
        make_client(f, false);
        store_client_watch(f->sc, "p/", 5, on_watch, f);
        run(f);
        print_message("%s: %s\n", c->name, f->message);
        assert_int_equal(f->kind, c->kind);
        assert_int_equal(f->revision, c->revision);
        assert_string_equal(f->values, c->values);
        assert_int_equal(f->callbacks, 1);
        assert_string_equal(f->last_body,
                            "{\"create_request\":{\"key\":\"cC8=\","
                            "\"range_end\":\"cDA=\",\"start_revision\":\"5\","
                            "\"progress_notify\":true}}");
        teardown(state);
    }
}

static void
on_watch_restart(void *ctx, const struct status *st, uint64_t revision,
                 const struct store_entry *entries, size_t count)
{
    struct fixture *f = ctx;

    f->callbacks++;
    if (f->calls < 3) {
        store_client_watch(f->sc, "p/", 5, on_watch_restart, f);
        return;
    }
    f->done = true;
}

/* A callback may start the watch again, from a line as well as from its end;
 * a line of the old watch that follows is not delivered. */
static void
test_watch_restart_in_callback(void **state)
{
    struct fixture *f = *state;
    static const struct step steps[] = {
        {REPLY_STREAM, 0, CREATED EVENTS},
        {REPLY_CUT},
        {REPLY_STREAM, 0, CREATED},
    };

    f->steps = steps;
    f->step_count = 3;
    make_client(f, false);
    store_client_watch(f->sc, "p/", 5, on_watch_restart, f);
    run(f);
    assert_int_equal(f->callbacks, 3);
    assert_int_equal(f->calls, 3);
}

/* A client that is destroyed in the middle of everything runs no callback. */
static void
test_destroy_while_busy(void **state)
{
    struct fixture *f = *state;
    static const struct step step = {REPLY_NEVER};
    struct timeval tick = {0, 20000};

    f->steps = &step;
    f->step_count = 1;
    make_client(f, false);
    store_client_watch(f->sc, "p/", 5, on_watch, f);
    store_client_range(f->sc, "p/", true, on_range, f);
    store_client_cas(f->sc, "k", "v", 1, 0, on_cas, f);
    event_base_loopexit(f->base, &tick);
    event_base_dispatch(f->base);
    assert_int_equal(f->calls, 3);
    store_client_destroy(f->sc);
    f->sc = NULL;
    event_base_loopexit(f->base, &tick);
    event_base_dispatch(f->base);
    assert_int_equal(f->callbacks, 0);
}

static void
test_bad_endpoints(void **state)
{
    static const char *const bad[] = {
        "1.2.3.4", "1.2.3.4:0", "1.2.3.4:65536", "host:80", "1.2.3.4:80x", ""};
    struct fixture *f = *state;
    struct status st;

    for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
        assert_null(store_client_new(f->base, &bad[i], 1, &st));
        assert_int_equal(st.kind, ERR_INVALID);
    }
    assert_null(store_client_new(f->base, NULL, 0, &st));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_cas),
        cmocka_unit_test_setup_teardown(test_cas_without_connection, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_endpoint_rotation, setup,
                                        teardown),
        cmocka_unit_test(test_range),
        cmocka_unit_test_setup_teardown(test_second_page_request, setup,
                                        teardown),
        cmocka_unit_test(test_watch),
        cmocka_unit_test_setup_teardown(test_watch_restart_in_callback, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_destroy_while_busy, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_bad_endpoints, setup, teardown),
    };

    print_message("seed %u\n", SEED);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
