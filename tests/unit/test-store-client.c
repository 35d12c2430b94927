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
/* Maximum duration of one case. */
#define CASE_TIMEOUT_US (10 * USEC_PER_SEC)
#define UNUSED_PORT 1 /* nothing listens on this port */
#define UNFINISHED_MAX 16

/* How the test server treats a request. */
enum reply {
    REPLY_BODY,   /* answers 200 with the body of the step */
    REPLY_ERROR,  /* answers the HTTP status of the step */
    REPLY_NONE,   /* reads the request and does not answer */
    REPLY_CLOSE,  /* reads the request and closes the connection */
    REPLY_STREAM, /* sends 200 and the body as one chunk, without an end */
    REPLY_CHUNKS, /* sends 200 and the body in chunks of three bytes, without
                   * an end */
};

/* Reply to one request. The last step of a case also serves all further
 * requests. */
struct step {
    enum reply reply;
    int status;       /* only for REPLY_ERROR */
    const char *body; /* NULL when the reply has none */
};

struct fixture {
    struct event_base *base;
    struct evhttp *http;
    struct store_client *sc;
    uint16_t port;
    const struct step *steps;
    size_t step_count;
    size_t calls; /* requests that the server received */
    /* Requests whose reply was not finished. When the client closes such a
     * connection, evhttp does not free the request; teardown() does. */
    struct evhttp_request *unfinished[UNFINISHED_MAX];
    size_t unfinished_count;
    char last_body[4096];

    /* What the callbacks of the client received. */
    bool done;
    /* Number of callbacks that ended a call or a watch. on_watch_restart()
     * counts every callback. */
    unsigned callbacks;
    enum error_kind kind;
    char message[STATUS_MESSAGE_SIZE];
    uint64_t revision;
    size_t count;     /* of entries */
    char keys[256];   /* of all entries, each followed by a space */
    char values[256]; /* likewise; "-" for a deleted entry */
};

static struct store_position
at_revision(uint64_t revision)
{
    return (struct store_position){.revision = revision};
}

static void
close_connection(struct evhttp_request *req)
{
    struct evhttp_connection *conn = evhttp_request_get_connection(req);
    struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);

    shutdown(bufferevent_getfd(bev), SHUT_RDWR);
}

static void
send_chunks(struct evhttp_request *req, const char *body, size_t chunk_size)
{
    struct evbuffer *out = evbuffer_new();
    size_t len = strlen(body);

    evhttp_send_reply_start(req, HTTP_OK, NULL);
    for (size_t i = 0; i < len; i += chunk_size) {
        evbuffer_add(out, body + i,
                     len - i < chunk_size ? len - i : chunk_size);
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
        assert_in_range(f->unfinished_count, 0, UNFINISHED_MAX - 1);
        f->unfinished[f->unfinished_count++] = req;
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
    case REPLY_NONE:
        break;
    case REPLY_CLOSE:
        close_connection(req);
        break;
    case REPLY_STREAM:
        send_chunks(req, step->body, strlen(step->body));
        break;
    case REPLY_CHUNKS:
        send_chunks(req, step->body, 3);
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

/* Creates a client of the test server, or, if "unreachable", of an endpoint
 * where nothing listens. */
static void
make_client(struct fixture *f, bool unreachable)
{
    char reachable_endpoint[32];
    char unreachable_endpoint[32];
    const char *endpoints[2] = {reachable_endpoint, unreachable_endpoint};
    struct store_client_options options;
    struct status st;

    snprintf(reachable_endpoint, sizeof(reachable_endpoint), "127.0.0.1:%u",
             f->port);
    snprintf(unreachable_endpoint, sizeof(unreachable_endpoint),
             "127.0.0.1:%u", UNUSED_PORT);
    f->sc = store_client_new(f->base, unreachable ? endpoints + 1 : endpoints,
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
    for (size_t i = 0; i < f->unfinished_count; i++) {
        if (evhttp_request_get_connection(f->unfinished[i]) == NULL) {
            evhttp_request_free(f->unfinished[i]);
        }
    }
    evhttp_free(f->http);
    event_base_free(f->base);
    return 0;
}

static void
run(struct fixture *f)
{
    uint64_t end = clock_monotonic_us() + CASE_TIMEOUT_US;
    struct timeval tick = {0, 20000};

    while (!f->done && clock_monotonic_us() < end) {
        event_base_loopexit(f->base, &tick);
        event_base_dispatch(f->base);
    }
    assert_true(f->done);
    /* Lets a second callback run if there is one; the cases check that there
     * is none. */
    event_base_loopexit(f->base, &tick);
    event_base_dispatch(f->base);
}

static void
record_result(struct fixture *f, const struct status *st, uint64_t revision)
{
    f->done = true;
    f->callbacks++;
    f->kind = st->kind;
    snprintf(f->message, sizeof(f->message), "%s", st->message);
    f->revision = revision;
}

static void
on_cas(void *ctx, const struct status *st, struct store_position position)
{
    record_result(ctx, st, position.revision);
}

static void
append_word(char *text, size_t size, const char *word)
{
    size_t len = strlen(text);

    snprintf(text + len, size - len, "%s ", word);
}

static void
record_entries(struct fixture *f, const struct store_entry *entries,
               size_t count)
{
    for (size_t i = 0; i < count; i++) {
        append_word(f->keys, sizeof(f->keys), entries[i].key);
        append_word(f->values, sizeof(f->values),
                    entries[i].value == NULL ? "-" : entries[i].value);
    }
    f->count += count;
}

static void
on_range(void *ctx, const struct status *st, struct store_position position,
         const struct store_entry *entries, size_t count)
{
    record_result(ctx, st, position.revision);
    record_entries(ctx, entries, count);
}

/* Ends the case at the first failure of the watch. */
static void
on_watch(void *ctx, const struct status *st, struct store_position position,
         const struct store_entry *entries, size_t count)
{
    struct fixture *f = ctx;

    record_entries(f, entries, count);
    if (st->kind != ERR_NONE) {
        record_result(f, st, f->revision);
        return;
    }
    f->revision = position.revision;
}

#define SUCCEEDED "{\"header\":{\"revision\":\"7\"},\"succeeded\":true}"
#define HEADER_ONLY "{\"header\":{\"revision\":\"7\"}}"

struct cas_case {
    const char *name;
    struct step steps[3];
    size_t step_count;
    enum error_kind kind;
    uint64_t revision;
    /* Number of requests that reach the server. A write whose answer is lost
     * must not be repeated. */
    size_t calls;
};

static const struct cas_case cas_cases[] = {
    {"written", {{REPLY_BODY, 0, SUCCEEDED}}, 1, ERR_NONE, 7, 1},
    {"key was changed", {{REPLY_BODY, 0, HEADER_ONLY}}, 1, ERR_CONFLICT, 0, 1},
    {"connection closed", {{REPLY_CLOSE}}, 1, ERR_STORE_UNKNOWN, 0, 1},
    {"no answer", {{REPLY_NONE}}, 1, ERR_STORE_UNKNOWN, 0, 1},
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
        store_client_cas(f->sc, "k", "value", 5, at_revision(6), on_cas, f);
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

/* A write that cannot be sent for lack of a connection is tried again. The
 * error is then ERR_STORE_DOWN, which says that nothing was written. */
static void
test_cas_without_connection(void **state)
{
    struct fixture *f = *state;

    make_client(f, true);
    store_client_cas(f->sc, "k", "value", 5, at_revision(6), on_cas, f);
    run(f);
    assert_int_equal(f->kind, ERR_STORE_DOWN);
    assert_int_equal(store_client_call_count(f->sc), 3);
}

/* The client moves from an endpoint where nothing listens to one that
 * answers. */
static void
test_endpoint_rotation(void **state)
{
    struct fixture *f = *state;
    static const struct step step = {REPLY_BODY, 0, SUCCEEDED};
    char reachable_endpoint[32];
    const char *endpoints[] = {"127.0.0.1:1", reachable_endpoint,
                               "127.0.0.1:1"};
    struct status st;

    snprintf(reachable_endpoint, sizeof(reachable_endpoint), "127.0.0.1:%u",
             f->port);
    f->steps = &step;
    f->step_count = 1;
    f->sc = store_client_new(f->base, endpoints, 3, &st);
    for (int i = 0; i < 4; i++) {
        f->done = false;
        store_client_cas(f->sc, "k", "v", 1, at_revision(0), on_cas, f);
        run(f);
        assert_int_equal(f->kind, ERR_NONE);
    }
    assert_int_equal(f->calls, 4);
    /* At most two unreachable endpoints are tried before the reachable one. */
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
    {"empty", {{REPLY_BODY, 0, HEADER_ONLY}}, 1, ERR_NONE, 7, "", 1},
    {"repeated after 503 and a closed connection",
     {{REPLY_ERROR, 503}, {REPLY_CLOSE}, {REPLY_BODY, 0, PAGE_2}},
     3,
     ERR_NONE,
     12,
     "b ",
     3},
    {"connection closed once at the second page",
     {{REPLY_BODY, 0, PAGE_1}, {REPLY_CLOSE}, {REPLY_BODY, 0, PAGE_2}},
     3,
     ERR_NONE,
     9,
     "a b ",
     3},
    {"503 to every request",
     {{REPLY_ERROR, 503}},
     1,
     ERR_STORE_DOWN,
     0,
     "",
     3},
    {"no answer", {{REPLY_NONE}}, 1, ERR_STORE_DOWN, 0, "", 3},
    {"malformed", {{REPLY_BODY, 0, "[]"}}, 1, ERR_STORE_DOWN, 0, "", 1},
    {"unreadable items hide no other",
     {{REPLY_BODY, 0,
       "{\"header\":{\"revision\":\"8\"},\"kvs\":[{\"key\":\"*\",\"value\":"
       "\"\"},"
       "{\"key\":\"YQBi\",\"mod_revision\":\"3\"},{\"key\":\"/w==\"},7,{},"
       "{\"key\":\"eA==\",\"mod_revision\":\"999999999999999999999\"},"
       "{\"key\":\"Yg==\",\"mod_revision\":\"6\",\"value\":\"*\"},"
       "{\"key\":\"Yw==\",\"mod_revision\":\"7\",\"value\":\"MQ==\"}]}"}},
     1,
     ERR_NONE,
     8,
     "b c ",
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

/* The request for the second page starts after the last key of the first page
 * and reads the revision of the first page. */
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
    uint64_t revision; /* in the last line before the watch ended */
    const char *values;
};

static const struct watch_case watch_cases[] = {
    {"no answer", {REPLY_NONE}, ERR_STORE_DOWN, 0, ""},
    {"no more lines after some",
     {REPLY_STREAM, 0, CREATED EVENTS},
     ERR_STORE_DOWN,
     6,
     "1 - "},
    {"lines in chunks of three bytes",
     {REPLY_CHUNKS, 0, CREATED EVENTS},
     ERR_STORE_DOWN,
     6,
     "1 - "},
    {"incomplete line",
     {REPLY_STREAM, 0, CREATED "{\"res"},
     ERR_STORE_DOWN,
     4,
     ""},
    {"compacted", {REPLY_STREAM, 0, CREATED COMPACTED}, ERR_NOT_FOUND, 4, ""},
    {"canceled", {REPLY_STREAM, 0, CREATED CANCELED}, ERR_STORE_DOWN, 4, ""},
    {"malformed", {REPLY_STREAM, 0, "x\n"}, ERR_STORE_DOWN, 0, ""},
    {"unreadable items hide no other",
     {REPLY_STREAM, 0,
      "{\"result\":{\"header\":{\"revision\":\"6\"},\"events\":[{\"kv\":{"
      "\"key\":\"*\",\"mod_revision\":\"4\"}},{\"kv\":7},{\"kv\":{\"key\":"
      "\"YQ==\",\"mod_revision\":\"5\",\"value\":\"MQ==\"}}]}}\n"},
     ERR_STORE_DOWN,
     6,
     "1 "},
    {"end of the answer", {REPLY_BODY, 0, CREATED}, ERR_STORE_DOWN, 4, ""},
    {"503", {REPLY_ERROR, 503}, ERR_STORE_DOWN, 0, ""},
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
        store_client_watch(f->sc, "p/", at_revision(4), on_watch, f);
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
on_watch_restart(void *ctx, const struct status *st,
                 struct store_position position,
                 const struct store_entry *entries, size_t count)
{
    struct fixture *f = ctx;

    f->callbacks++;
    if (f->calls < 3) {
        store_client_watch(f->sc, "p/", at_revision(4), on_watch_restart, f);
        return;
    }
    f->done = true;
}

/* The callback of a watch may start it again, both when it reports a line and
 * when it reports the end of the watch. Further lines of the old watch are not
 * delivered. */
static void
test_watch_restart_in_callback(void **state)
{
    struct fixture *f = *state;
    static const struct step steps[] = {
        {REPLY_STREAM, 0, CREATED EVENTS},
        {REPLY_CLOSE},
        {REPLY_STREAM, 0, CREATED},
    };

    f->steps = steps;
    f->step_count = 3;
    make_client(f, false);
    store_client_watch(f->sc, "p/", at_revision(4), on_watch_restart, f);
    run(f);
    assert_int_equal(f->callbacks, 3);
    assert_int_equal(f->calls, 3);
}

/* A client that is destroyed while a watch, a read and a write are running
 * calls none of their callbacks. */
static void
test_destroy_while_busy(void **state)
{
    struct fixture *f = *state;
    static const struct step step = {REPLY_NONE};
    struct timeval tick = {0, 20000};

    f->steps = &step;
    f->step_count = 1;
    make_client(f, false);
    store_client_watch(f->sc, "p/", at_revision(4), on_watch, f);
    store_client_range(f->sc, "p/", true, on_range, f);
    store_client_cas(f->sc, "k", "v", 1, at_revision(0), on_cas, f);
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

/* Of several changes of a key the newest counts, in whatever order they come.
 */
static void
test_newest_entry(void **state)
{
    static const struct store_entry entries[] = {
        {.key = "a", .modified.revision = 3},
        {.key = "b", .modified.revision = 4},
        {.key = "a", .modified.revision = 9},
        {.key = "a", .modified.revision = 7},
        {.key = "ab", .modified.revision = 10},
    };
    static const struct {
        const char *key;
        size_t count;
        uint64_t revision; /* 0: none */
    } cases[] = {{"a", 5, 9}, {"a", 1, 3},  {"b", 5, 4},
                 {"c", 5, 0}, {"ab", 4, 0}, {"a", 0, 0}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        const struct store_entry *e =
            store_entries_find_newest(entries, cases[i].count, cases[i].key);

        assert_int_equal(e == NULL ? 0 : e->modified.revision,
                         cases[i].revision);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_newest_entry),
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
