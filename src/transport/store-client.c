#include "transport/store-client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

#define LOG_MODULE "store-client"
#include "base/address.h"
#include "base/clock.h"
#include "base/list.h"
#include "base/log.h"
#include "transport/http-call.h"
#include "transport/store-dialect.h"
#include "transport/store-era.h"

/* Defaults of the fields of struct store_client_options. */
#define CALL_TIMEOUT_US (2 * USEC_PER_SEC)
#define WATCH_IDLE_TIMEOUT_US (3 * USEC_PER_SEC)
#define WATCH_WAIT_US (1 * USEC_PER_SEC)
#define BACKOFF_MIN_US (50 * USEC_PER_MSEC)
#define BACKOFF_MAX_US (2 * USEC_PER_SEC)
#define ATTEMPTS_MAX 3

/* HTTP 410 Gone, for which <event2/http.h> has no name: the start revision of
 * a watch was compacted. */
#define STATUS_GONE 410
/* Maximum number of keys in a page of a read. */
#define PAGE_KEYS_MAX 500
/* Maximum size of an answer, and of one line of a watch, in bytes. */
#define ANSWER_SIZE_MAX (64U << 20)
#define LINE_SIZE_MAX ANSWER_SIZE_MAX

struct store_endpoint {
    char address[ADDRESS_TEXT_SIZE];
    uint16_t port;
};

/* A read or a write in progress. */
struct operation {
    struct list link;
    struct store_client *sc;
    struct http_call *call;       /* current attempt; NULL between attempts */
    struct event *retry;          /* starts the next attempt */
    struct store_request request; /* sent by each attempt */
    unsigned attempts_left;       /* of the write or of the current page */
    size_t endpoint;              /* index of the current attempt's endpoint */
    bool is_cas;                  /* false: a read */
    bool outdated; /* the condition of a write is of another era */
    void *ctx;
    store_cas_cb on_cas;
    store_range_cb on_range;
    /* The fields below are those of a read. */
    char key[STORE_KEY_SIZE];
    bool prefix;
    bool stale;
    uint64_t revision; /* see update_complete_revision(); 0 at first */
    /* Era of the pages read so far, or of the condition of a write. */
    uint64_t era;
    /* Newest position when the current attempt began. */
    struct store_position newest_at_start;
    struct store_entries entries; /* of all pages read so far */
    GHashTable *page_keys;        /* set of GBytes: keys after which pages
                                   * have begun */
};

struct watch {
    struct store_client *sc;
    struct http_call *call; /* NULL until started and between polls */
    struct event *start;    /* starts the watch, or the next poll */
    size_t endpoint;        /* index of the endpoint that is watched */
    char prefix[STORE_KEY_SIZE];
    /* All changes up to this position are reported. */
    struct store_position reported;
    bool era_announced; /* the last answer to a poll had a header with it */
    char *buf;          /* received bytes not yet handled as lines */
    size_t len;         /* bytes used in "buf" */
    size_t size;        /* bytes allocated for "buf" */
    store_watch_cb cb;
    void *ctx;
};

struct store_client {
    struct event_base *base;
    const struct store_dialect *dialect;
    struct store_client_options options;
    struct store_endpoint *endpoints;
    size_t endpoint_count;
    size_t next_endpoint;   /* index of the next attempt's endpoint */
    struct backoff backoff; /* shared by all operations and the watch */
    struct random random;
    uint64_t calls;         /* HTTP requests started */
    struct list operations; /* struct operation */
    struct watch *watch;    /* NULL if there is none */
    /* Incremented when a watch starts or stops, so that a function can detect
     * that a callback has freed the watch it works on. */
    uint64_t watch_sequence;
    struct store_position newest; /* that the store has reported */
    uint64_t dropped_answers;     /* of earlier eras */
    uint64_t item_faults;         /* see store_client_item_faults() */
};

void
store_client_options_default(struct store_client_options *options)
{
    *options = (struct store_client_options){
        .call_timeout_us = CALL_TIMEOUT_US,
        .watch_idle_timeout_us = WATCH_IDLE_TIMEOUT_US,
        .watch_wait_us = WATCH_WAIT_US,
        .backoff_min_us = BACKOFF_MIN_US,
        .backoff_max_us = BACKOFF_MAX_US,
        .attempts = ATTEMPTS_MAX,
    };
    randombytes_buf(&options->random_seed, sizeof(options->random_seed));
}

void
store_client_set_options(struct store_client *sc,
                         const struct store_client_options *options)
{
    sc->options = *options;
    random_seed(&sc->random, options->random_seed);
    backoff_init(&sc->backoff, options->backoff_min_us,
                 options->backoff_max_us);
}

void
store_client_set_dialect(struct store_client *sc,
                         const struct store_dialect *dialect)
{
    sc->dialect = dialect;
}

void
store_client_set_watch_wait(struct store_client *sc, uint64_t wait_us)
{
    sc->options.watch_wait_us = wait_us;
}

static bool
parse_endpoint(const char *text, struct store_endpoint *endpoint)
{
    uint32_t addr;

    if (!address_parse_endpoint(text, &addr, &endpoint->port)) {
        return false;
    }
    address_format(addr, endpoint->address);
    return true;
}

/* Replaces the endpoints, unless one of them is malformed. */
static bool
set_endpoints(struct store_client *sc, const char *const *endpoints,
              size_t count, struct status *st)
{
    struct store_endpoint *parsed;

    if (count == 0) {
        status_set(st, ERR_INVALID, "store client: no endpoints");
        return false;
    }
    parsed = calloc(count, sizeof(*parsed));
    if (parsed == NULL) {
        status_set(st, ERR_NO_MEMORY, "store client: out of memory");
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        if (!parse_endpoint(endpoints[i], &parsed[i])) {
            status_set(st, ERR_INVALID,
                       "store client: \"%s\" is not an address and port",
                       endpoints[i]);
            free(parsed);
            return false;
        }
    }
    free(sc->endpoints);
    sc->endpoints = parsed;
    sc->endpoint_count = count;
    sc->next_endpoint = random_next(&sc->random) % count;
    status_set_ok(st);
    return true;
}

struct store_client *
store_client_new(struct event_base *base, const char *const *endpoints,
                 size_t endpoint_count, struct status *st)
{
    struct store_client *sc = calloc(1, sizeof(*sc));
    struct store_client_options options;

    if (sc == NULL) {
        status_set(st, ERR_NO_MEMORY, "store client: out of memory");
        return NULL;
    }
    sc->base = base;
    sc->dialect = &store_dialect_etcd_gateway;
    list_init(&sc->operations);
    store_client_options_default(&options);
    store_client_set_options(sc, &options);
    if (!set_endpoints(sc, endpoints, endpoint_count, st)) {
        store_client_destroy(sc);
        return NULL;
    }
    return sc;
}

static void
operation_destroy(struct operation *op)
{
    list_remove(&op->link);
    http_call_cancel(op->call);
    if (op->retry != NULL) {
        event_free(op->retry);
    }
    store_entries_clear(&op->entries);
    store_request_clear(&op->request);
    if (op->page_keys != NULL) {
        g_hash_table_destroy(op->page_keys);
    }
    free(op);
}

void
store_client_destroy(struct store_client *sc)
{
    if (sc == NULL) {
        return;
    }
    store_client_watch_stop(sc);
    list_for_each_safe (it, &sc->operations) {
        operation_destroy(container_of(it, struct operation, link));
    }
    free(sc->endpoints);
    free(sc);
}

uint64_t
store_client_call_count(const struct store_client *sc)
{
    return sc->calls;
}

/* Starts one HTTP call to the client's next endpoint and stores the index of
 * that in "endpoint". Returns NULL if out of memory. */
static struct http_call *
start_call(struct store_client *sc, const struct store_request *to_send,
           uint64_t timeout_us, size_t *endpoint, http_call_chunk_cb on_chunk,
           http_call_cb cb, void *ctx)
{
    static const struct http_call_header headers[] = {
        {"Content-Type", "application/json"},
        {NULL, NULL},
    };
    const struct http_call_request request = {
        .address = sc->endpoints[sc->next_endpoint].address,
        .port = sc->endpoints[sc->next_endpoint].port,
        .method = to_send->method,
        .path = to_send->path,
        .body = to_send->body,
        .body_len = to_send->body == NULL ? 0 : strlen(to_send->body),
        .headers = to_send->body == NULL ? NULL : headers,
        .timeout_us = timeout_us,
        .answer_max = ANSWER_SIZE_MAX,
    };

    *endpoint = sc->next_endpoint;
    sc->calls++;
    return http_call_start(sc->base, &request, on_chunk, cb, ctx);
}

/* Called after a failure of an endpoint: directs the next attempt to the
 * endpoint after it, unless another failure has done so already. */
static void
endpoint_failed(struct store_client *sc, size_t endpoint)
{
    if (sc->next_endpoint == endpoint) {
        sc->next_endpoint = (endpoint + 1) % sc->endpoint_count;
    }
}

static void
schedule_event(struct event *event, uint64_t delay_us)
{
    struct timeval delay = {
        .tv_sec = (time_t)(delay_us / USEC_PER_SEC),
        .tv_usec = (suseconds_t)(delay_us % USEC_PER_SEC),
    };

    event_add(event, &delay);
}

static uint64_t
next_backoff_us(struct store_client *sc)
{
    return backoff_next(&sc->backoff, &sc->random);
}

/* Reports the result of an operation to its callback and frees it. */
static void
operation_end(struct operation *op, const struct status *st,
              struct store_position position)
{
    struct store_entry *items = op->entries.items;
    size_t count = op->entries.count;
    bool ok = st->kind == ERR_NONE;

    list_remove(&op->link);
    if (op->is_cas) {
        op->on_cas(op->ctx, st, position);
    }
    else {
        op->on_range(op->ctx, st, position, ok ? items : NULL, ok ? count : 0);
    }
    operation_destroy(op);
}

static void
operation_fail(struct operation *op, enum error_kind kind, const char *what)
{
    struct status st;

    status_set(&st, kind, "platform store: %s", what);
    operation_end(op, &st, (struct store_position){.era = op->sc->newest.era});
}

static void on_operation_answer(void *ctx,
                                const struct http_call_answer *answer);

static void
operation_attempt(struct operation *op)
{
    struct store_client *sc = op->sc;

    op->attempts_left--;
    op->newest_at_start = sc->newest;
    if (op->is_cas && op->era != sc->newest.era) {
        op->outdated = true;
        schedule_event(op->retry, 0);
        return;
    }
    op->call = start_call(sc, &op->request, sc->options.call_timeout_us,
                          &op->endpoint, NULL, on_operation_answer, op);
    if (op->call == NULL) {
        /* Out of memory: fail from on_retry(), because the callback must not
         * run before the function that started the operation has returned. */
        op->attempts_left = 0;
        schedule_event(op->retry, 0);
    }
}

static void
on_retry(evutil_socket_t fd, short what, void *ctx)
{
    struct operation *op = ctx;

    if (op->outdated) {
        operation_fail(op, ERR_CONFLICT,
                       "the condition of a write is of an earlier era");
        return;
    }
    if (op->attempts_left == 0) {
        operation_fail(op, ERR_STORE_DOWN, "out of memory");
        return;
    }
    operation_attempt(op);
}

/* Called after an attempt that had no effect: tries again after a delay,
 * or fails the operation if no attempts are left. */
static void
operation_retry(struct operation *op, const char *what)
{
    struct store_client *sc = op->sc;
    uint64_t delay = next_backoff_us(sc);

    endpoint_failed(sc, op->endpoint);
    if (op->attempts_left == 0) {
        operation_fail(op, ERR_STORE_DOWN, what);
        return;
    }
    schedule_event(op->retry, delay);
}

static void
note_position(struct store_client *sc, struct store_position position)
{
    if (position.era > sc->newest.era && sc->newest.revision != 0) {
        LOG_WARN("the store has a new era: %u after %u",
                 (unsigned)position.era, (unsigned)sc->newest.era);
    }
    sc->newest = store_position_max(sc->newest, position);
}

/* Returns the text of the header with the era, NULL when there is none. */
static const char *
find_era(const struct store_client *sc, const struct http_call_answer *answer)
{
    const char *name = sc->dialect->era_header;

    return name == NULL || answer->headers == NULL
               ? NULL
               : evhttp_find_header(answer->headers, name);
}

/* Determines the era of an answer. Counts and logs one of an earlier era. */
static enum store_era_result
read_era(struct store_client *sc, const struct http_call_answer *answer,
         uint64_t *era)
{
    enum store_era_result result =
        store_era_read(find_era(sc, answer), sc->newest, era);

    if (result == STORE_ERA_EARLIER) {
        sc->dropped_answers++;
        LOG_WARN("dropping an answer of the store: it is of era %u, and era "
                 "%u is known",
                 (unsigned)*era, (unsigned)sc->newest.era);
    }
    return result;
}

/* Returns the position of the answer to a read. Only a current read tells by
 * its revision that the store was restored. */
static struct store_position
range_position(const struct operation *op,
               const struct http_call_answer *answer, uint64_t era,
               uint64_t revision)
{
    const struct store_client *sc = op->sc;
    struct store_position position = {.era = era, .revision = revision};

    if (!op->stale && sc->dialect->era_header != NULL &&
        find_era(sc, answer) == NULL) {
        position = store_era_infer(op->newest_at_start, era, revision);
    }
    if (position.era > era) {
        LOG_WARN("the store's revision has gone back from %llu to %llu",
                 (unsigned long long)op->newest_at_start.revision,
                 (unsigned long long)revision);
    }
    return position;
}

static void
stamp_entries(struct store_entries *entries, size_t first, uint64_t era)
{
    for (size_t i = first; i < entries->count; i++) {
        entries->items[i].modified.era = era;
        entries->items[i].created.era = era;
    }
}

/* Handles an HTTP status other than 200 in the answer to a write. With a
 * client error (4xx) nothing was written; otherwise the outcome is unknown. */
static void
handle_cas_http_error(struct operation *op, int status)
{
    char what[64];

    snprintf(what, sizeof(what), "write answered with HTTP status %d", status);
    endpoint_failed(op->sc, op->endpoint);
    if (status >= HTTP_BADREQUEST && status < HTTP_INTERNAL) {
        operation_fail(op, ERR_STORE_DOWN, what);
        return;
    }
    operation_fail(op, ERR_STORE_UNKNOWN, what);
}

static void
handle_cas_answer(struct operation *op, const struct http_call_answer *answer)
{
    struct store_cas_answer cas;
    struct store_position modified = {.era = op->era};
    struct status st;
    uint64_t era;
    enum store_era_result era_result;

    if (answer->outcome == HTTP_CALL_NOT_SENT) {
        operation_retry(op, "no connection");
        return;
    }
    if (answer->outcome == HTTP_CALL_ANSWER_LOST) {
        endpoint_failed(op->sc, op->endpoint);
        operation_fail(op, ERR_STORE_UNKNOWN, "answer to a write was lost");
        return;
    }
    era_result = read_era(op->sc, answer, &era);
    if (era_result == STORE_ERA_USABLE) {
        note_position(op->sc, (struct store_position){.era = era});
    }
    if (era_result != STORE_ERA_USABLE || era != op->era) {
        operation_fail(op, ERR_STORE_UNKNOWN,
                       era_result != STORE_ERA_USABLE
                           ? store_era_error(era_result)
                           : "a write met a new era");
        return;
    }
    if (answer->status == op->sc->dialect->conflict_status) {
        backoff_reset(&op->sc->backoff);
        operation_fail(op, ERR_CONFLICT, "the key has changed");
        return;
    }
    if (answer->status != HTTP_OK) {
        handle_cas_http_error(op, answer->status);
        return;
    }
    if (!op->sc->dialect->parse_cas(answer->body, answer->body_len, &cas)) {
        operation_fail(op, ERR_STORE_UNKNOWN, "answer to a write malformed");
        return;
    }
    backoff_reset(&op->sc->backoff);
    status_set_ok(&st);
    if (!cas.succeeded) {
        status_set(&st, ERR_CONFLICT, "the key has changed");
    }
    modified.revision = cas.succeeded ? cas.revision : 0;
    note_position(op->sc, modified);
    operation_end(op, &st, modified);
}

/* Returns the key of the last item of the pages read so far, NULL when there
 * is none, and its length in bytes. */
static const char *
last_key(const struct store_entries *entries, size_t *len)
{
    const char *key = entries->odd_key;

    *len = entries->odd_key_len;
    if (key == NULL && entries->count > 0) {
        key = entries->items[entries->count - 1].key;
        *len = strlen(key);
    }
    return key;
}

/* Builds the request for the next page of a read. */
static bool
build_page(struct operation *op)
{
    size_t after_len;
    const char *after = last_key(&op->entries, &after_len);
    const struct store_range range = {
        .key = op->key,
        .prefix = op->prefix,
        .after = after,
        .after_len = after_len,
        .revision = op->revision,
        .limit = PAGE_KEYS_MAX,
        .stale = op->stale,
    };

    store_request_clear(&op->request);
    return op->sc->dialect->range(&op->request, &range);
}

static void
read_next_page(struct operation *op)
{
    if (!build_page(op)) {
        operation_fail(op, ERR_STORE_DOWN, "out of memory");
        return;
    }
    op->attempts_left = op->sc->options.attempts;
    operation_attempt(op);
}

/* Updates the revision up to which the entries are complete, after a page
 * whose entries begin at index "first". Without "stale" that is the revision
 * of the first page. A stale page shows the store at some time before the
 * revision that comes with it, so it is only known to be complete up to the
 * newest of its own entries. Pages may be stale by different times, so the
 * lowest such revision of all pages counts. */
static void
update_complete_revision(struct operation *op, size_t first, uint64_t revision)
{
    uint64_t newest = 0;

    if (!op->stale) {
        op->revision = op->revision == 0 ? revision : op->revision;
        return;
    }
    for (size_t i = first; i < op->entries.count; i++) {
        uint64_t revision_of_key = op->entries.items[i].modified.revision;

        newest = revision_of_key > newest ? revision_of_key : newest;
    }
    if (first == 0 || newest < op->revision) {
        op->revision = newest;
    }
}

/* Logs and counts the items with a fault in an answer, after which "before" of
 * them were known. */
static void
note_faults(struct store_client *sc, const struct store_entries *entries,
            size_t before)
{
    static const char *const names[STORE_ITEM_FAULT_COUNT] = {
        [STORE_ITEM_SYNTAX] = "syntax",
        [STORE_ITEM_KEY] = "key",
        [STORE_ITEM_REVISION] = "revision",
        [STORE_ITEM_VALUE] = "value",
    };
    char count[24];

    if (entries->faults == before) {
        return;
    }
    sc->item_faults += entries->faults - before;
    snprintf(count, sizeof(count), "%zu", entries->faults - before);
    log_fields(LOG_LEVEL_WARN, LOG_MODULE,
               LOG_FIELDS({"key", entries->fault_key},
                          {"fault", names[entries->fault]}, {"items", count}),
               "store_item_not_used");
}

/* Begins a read anew when a page is of a later era than those before. */
static void
restart_range(struct operation *op, uint64_t era)
{
    LOG_WARN("reading anew: the store has begun era %u between two pages",
             (unsigned)era);
    store_entries_clear(&op->entries);
    g_hash_table_remove_all(op->page_keys);
    op->revision = 0;
    read_next_page(op);
}

/* Whether the pages that were read tell where the next one begins: after a
 * key that no page has begun after. Else the same pages would be read again
 * and again. */
static bool
goes_on(struct operation *op)
{
    size_t len;
    const char *key = last_key(&op->entries, &len);

    return key != NULL &&
           g_hash_table_add(op->page_keys, g_bytes_new(key, len));
}

static void
handle_range_answer(struct operation *op,
                    const struct http_call_answer *answer)
{
    struct store_range_answer range;
    struct store_position position;
    struct status st;
    size_t old_count = op->entries.count;
    size_t old_faults = op->entries.faults;
    uint64_t era;
    enum store_era_result era_result;

    if (answer->outcome != HTTP_CALL_ANSWERED) {
        operation_retry(op, "no answer to a read");
        return;
    }
    era_result = read_era(op->sc, answer, &era);
    if (era_result != STORE_ERA_USABLE) {
        operation_retry(op, store_era_error(era_result));
        return;
    }
    if (answer->status == HTTP_NOTFOUND) {
        backoff_reset(&op->sc->backoff);
        note_position(op->sc, (struct store_position){.era = era});
        operation_fail(op, ERR_NOT_FOUND, "no such key");
        return;
    }
    if (answer->status != HTTP_OK) {
        operation_retry(op, "read refused");
        return;
    }
    if (!op->sc->dialect->parse_range(answer->body, answer->body_len, &range,
                                      &op->entries)) {
        operation_fail(op, ERR_STORE_DOWN, "answer to a read malformed");
        return;
    }
    backoff_reset(&op->sc->backoff);
    position = range_position(op, answer, era, range.revision);
    note_position(op->sc, position);
    if (old_count > 0 && position.era != op->era) {
        restart_range(op, position.era);
        return;
    }
    op->era = position.era;
    note_faults(op->sc, &op->entries, old_faults);
    stamp_entries(&op->entries, old_count, op->era);
    update_complete_revision(op, old_count, range.revision);
    if (range.more && !goes_on(op)) {
        operation_fail(op, ERR_STORE_DOWN,
                       "a page of a read has no new key to go on from");
        return;
    }
    if (range.more) {
        read_next_page(op);
        return;
    }
    status_set_ok(&st);
    operation_end(
        op, &st,
        (struct store_position){.era = op->era, .revision = op->revision});
}

static void
on_operation_answer(void *ctx, const struct http_call_answer *answer)
{
    struct operation *op = ctx;

    op->call = NULL;
    if (op->is_cas) {
        handle_cas_answer(op, answer);
    }
    else {
        handle_range_answer(op, answer);
    }
}

static void
abort_out_of_memory(void)
{
    LOG_ERR("out of memory; aborting the process");
    abort();
}

/* Creates an operation and adds it to the client's list; the caller still has
 * to build its request. Aborts the process if out of memory: the failure could
 * only be reported by running the callback from here, which callers do not
 * expect, and a process that lacks the little memory needed here is about to
 * fail anyway. */
static struct operation *
operation_new(struct store_client *sc, void *ctx)
{
    struct operation *op = calloc(1, sizeof(*op));

    if (op == NULL) {
        abort_out_of_memory();
    }
    op->sc = sc;
    op->ctx = ctx;
    op->attempts_left = sc->options.attempts;
    op->retry = event_new(sc->base, -1, 0, on_retry, op);
    list_push_back(&sc->operations, &op->link);
    return op;
}

static void
start_range(struct store_client *sc, const char *key, bool prefix, bool stale,
            store_range_cb cb, void *ctx)
{
    struct operation *op = operation_new(sc, ctx);

    snprintf(op->key, sizeof(op->key), "%s", key);
    op->prefix = prefix;
    op->stale = stale;
    op->on_range = cb;
    op->page_keys = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
                                          (GDestroyNotify)g_bytes_unref, NULL);
    if (!build_page(op)) {
        abort_out_of_memory();
    }
    operation_attempt(op);
}

void
store_client_range(struct store_client *sc, const char *key, bool prefix,
                   store_range_cb cb, void *ctx)
{
    start_range(sc, key, prefix, false, cb, ctx);
}

void
store_client_range_stale(struct store_client *sc, const char *key, bool prefix,
                         store_range_cb cb, void *ctx)
{
    start_range(sc, key, prefix, true, cb, ctx);
}

void
store_client_cas(struct store_client *sc, const char *key, const char *value,
                 size_t value_len, struct store_position expected,
                 store_cas_cb cb, void *ctx)
{
    struct operation *op = operation_new(sc, ctx);

    op->is_cas = true;
    op->on_cas = cb;
    op->era = expected.era;
    if (!sc->dialect->cas(&op->request, key, value, value_len,
                          expected.revision)) {
        abort_out_of_memory();
    }
    operation_attempt(op);
}

void
store_client_remove(struct store_client *sc, const char *key,
                    struct store_position expected, store_cas_cb cb, void *ctx)
{
    store_client_cas(sc, key, NULL, 0, expected, cb, ctx);
}

static void
watch_destroy(struct watch *w)
{
    http_call_cancel(w->call);
    if (w->start != NULL) {
        event_free(w->start);
    }
    free(w->buf);
    free(w);
}

void
store_client_watch_stop(struct store_client *sc)
{
    if (sc->watch != NULL) {
        watch_destroy(sc->watch);
        sc->watch = NULL;
        sc->watch_sequence++;
    }
}

/* Ends the watch and reports the failure to its callback, which may start
 * another watch. */
static void
watch_fail(struct watch *w, enum error_kind kind, const char *what)
{
    store_watch_cb cb = w->cb;
    void *ctx = w->ctx;
    struct store_client *sc = w->sc;
    struct status st;

    if (kind != ERR_NOT_FOUND) {
        endpoint_failed(sc, w->endpoint);
        /* Increases the delay with which the next watch starts. */
        next_backoff_us(sc);
    }
    store_client_watch_stop(sc);
    status_set(&st, kind, "platform store: %s", what);
    cb(ctx, &st, (struct store_position){.era = sc->newest.era}, NULL, 0);
}

bool
store_client_move(struct store_client *sc, const char *const *endpoints,
                  size_t endpoint_count, struct status *st)
{
    if (!set_endpoints(sc, endpoints, endpoint_count, st)) {
        return false;
    }
    if (sc->watch != NULL) {
        watch_fail(sc->watch, ERR_STORE_DOWN, "its endpoints have changed");
    }
    return true;
}

/* Whether a store that could announce its era, but does not, has gone back to
 * a revision before that of the watch. */
static bool
went_back(const struct watch *w, uint64_t revision)
{
    return w->sc->dialect->era_header != NULL && !w->era_announced &&
           store_era_infer(w->reported, w->reported.era, revision).era >
               w->reported.era;
}

/* Passes the changes in one line of a streamed watch, or in the answer to a
 * poll, to the watch's callback. A line that is malformed or that cancels the
 * watch ends it. */
static void
watch_handle_line(struct watch *w, const char *text, size_t len)
{
    struct store_watch_line line = {.revision = 0};
    struct store_entries entries = {.count = 0};
    struct status st;

    if (!w->sc->dialect->parse_watch(text, len, &line, &entries)) {
        watch_fail(w, ERR_STORE_DOWN, "a line of the watch is malformed");
    }
    else if (line.canceled && line.compacted) {
        watch_fail(w, ERR_NOT_FOUND, "the watch's start is compacted");
    }
    else if (line.canceled) {
        watch_fail(w, ERR_STORE_DOWN, "the watch was canceled");
    }
    else if (went_back(w, line.revision)) {
        note_position(w->sc,
                      (struct store_position){.era = w->reported.era + 1});
        watch_fail(w, ERR_NOT_FOUND, "the store's revision has gone back");
    }
    else {
        backoff_reset(&w->sc->backoff);
        note_faults(w->sc, &entries, 0);
        w->reported.revision = line.revision;
        note_position(w->sc, w->reported);
        stamp_entries(&entries, 0, w->reported.era);
        status_set_ok(&st);
        w->cb(w->ctx, &st, w->reported, entries.items, entries.count);
    }
    store_entries_clear(&entries);
}

static bool
watch_append(struct watch *w, const char *data, size_t len)
{
    if (w->len + len > LINE_SIZE_MAX) {
        return false;
    }
    if (w->len + len > w->size) {
        size_t size = 2 * (w->len + len);
        char *buf = realloc(w->buf, size);

        if (buf == NULL) {
            return false;
        }
        w->buf = buf;
        w->size = size;
    }
    memcpy(w->buf + w->len, data, len);
    w->len += len;
    return true;
}

/* Removes the first complete line from the buffer and returns it with its
 * length, without the newline; the caller frees it. Returns NULL if there is
 * no complete line or memory is short. */
static char *
watch_pop_line(struct watch *w, size_t *len)
{
    char *newline = w->len == 0 ? NULL : memchr(w->buf, '\n', w->len);
    char *line;

    if (newline == NULL) {
        return NULL;
    }
    *len = (size_t)(newline - w->buf);
    line = malloc(*len + 1);
    if (line == NULL) {
        return NULL;
    }
    memcpy(line, w->buf, *len);
    line[*len] = '\0';
    w->len -= *len + 1;
    memmove(w->buf, newline + 1, w->len);
    return line;
}

static void
on_watch_chunk(void *ctx, const char *data, size_t len)
{
    struct watch *w = ctx;
    struct store_client *sc = w->sc;
    uint64_t sequence = sc->watch_sequence;
    size_t line_len;
    char *line;

    if (!watch_append(w, data, len)) {
        watch_fail(w, ERR_STORE_DOWN, "a line of the watch is too long");
        return;
    }
    /* The watch's callback may stop the watch or start another, which frees
     * "w". */
    while (sc->watch_sequence == sequence &&
           (line = watch_pop_line(w, &line_len)) != NULL) {
        if (line_len > 0) {
            watch_handle_line(w, line, line_len);
        }
        free(line);
    }
}

/* Passes the answer to a poll to the watch's callback, and polls again unless
 * the watch has failed or the callback has stopped it or started another. */
static void
watch_handle_poll(struct watch *w, const struct http_call_answer *answer)
{
    struct store_client *sc = w->sc;
    uint64_t sequence = sc->watch_sequence;
    uint64_t era;
    enum store_era_result era_result = read_era(sc, answer, &era);

    if (era_result != STORE_ERA_USABLE) {
        watch_fail(w, ERR_STORE_DOWN, store_era_error(era_result));
        return;
    }
    if (era != w->reported.era) {
        note_position(sc, (struct store_position){.era = era});
        watch_fail(w, ERR_NOT_FOUND, "the store has a new era");
        return;
    }
    if (answer->status == STATUS_GONE) {
        watch_fail(w, ERR_NOT_FOUND, "the watch's start is compacted");
        return;
    }
    if (answer->status != HTTP_OK) {
        watch_fail(w, ERR_STORE_DOWN, "the watch was refused");
        return;
    }
    w->era_announced = find_era(sc, answer) != NULL;
    watch_handle_line(w, answer->body, answer->body_len);
    if (sc->watch_sequence == sequence) {
        schedule_event(w->start, 0);
    }
}

static void
on_watch_end(void *ctx, const struct http_call_answer *answer)
{
    struct watch *w = ctx;

    w->call = NULL;
    if (answer->outcome == HTTP_CALL_ANSWERED && w->sc->dialect->watch_polls) {
        watch_handle_poll(w, answer);
    }
    else if (answer->outcome == HTTP_CALL_NOT_SENT) {
        watch_fail(w, ERR_STORE_DOWN, "no connection for the watch");
    }
    else if (answer->outcome == HTTP_CALL_ANSWER_LOST) {
        watch_fail(w, ERR_STORE_DOWN, "the watch went silent or was cut");
    }
    else {
        watch_fail(w, ERR_STORE_DOWN, "the watch ended");
    }
}

static void
on_watch_start(evutil_socket_t fd, short what, void *ctx)
{
    struct watch *w = ctx;
    struct store_client *sc = w->sc;
    bool polls = sc->dialect->watch_polls;
    uint64_t wait = polls ? sc->options.watch_wait_us : 0;
    struct store_request request = {.path = NULL};

    if (w->reported.era != sc->newest.era) {
        watch_fail(w, ERR_NOT_FOUND, "the watch's start is of another era");
        return;
    }
    if (sc->dialect->watch(&request, w->prefix, w->reported.revision + 1,
                           wait)) {
        w->call = start_call(
            sc, &request, wait + sc->options.watch_idle_timeout_us,
            &w->endpoint, polls ? NULL : on_watch_chunk, on_watch_end, w);
    }
    store_request_clear(&request);
    if (w->call == NULL) {
        watch_fail(w, ERR_STORE_DOWN, "out of memory");
    }
}

void
store_client_watch(struct store_client *sc, const char *prefix,
                   struct store_position after, store_watch_cb cb, void *ctx)
{
    struct watch *w = calloc(1, sizeof(*w));

    store_client_watch_stop(sc);
    if (w == NULL) {
        abort_out_of_memory();
    }
    w->sc = sc;
    w->cb = cb;
    w->ctx = ctx;
    snprintf(w->prefix, sizeof(w->prefix), "%s", prefix);
    w->reported = after;
    w->start = event_new(sc->base, -1, 0, on_watch_start, w);
    sc->watch = w;
    sc->watch_sequence++;
    schedule_event(w->start, sc->backoff.last_us);
}

struct store_position
store_client_position(const struct store_client *sc)
{
    return sc->newest;
}

void
store_client_expect(struct store_client *sc, struct store_position position)
{
    sc->newest = store_position_max(sc->newest, position);
}

uint64_t
store_client_dropped_answers(const struct store_client *sc)
{
    return sc->dropped_answers;
}

uint64_t
store_client_item_faults(const struct store_client *sc)
{
    return sc->item_faults;
}

const struct store_entry *
store_entries_find_newest(const struct store_entry *entries, size_t count,
                          const char *key)
{
    const struct store_entry *newest = NULL;

    for (size_t i = 0; i < count; i++) {
        if (strcmp(entries[i].key, key) == 0 &&
            (newest == NULL ||
             store_position_is_after(entries[i].modified, newest->modified))) {
            newest = &entries[i];
        }
    }
    return newest;
}
