#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

#include <event2/event.h>
#include <glib.h>

#include "base/clock.h"
#include "coordination/own-delay.h"
#include "daemon/entry-decoder.h"
#include "platform/records.h"

#define COUNT(array) (sizeof(array) / sizeof(*(array)))

/* A configuration of 2,000 routes takes 25 ms of a core, 300 ms of a twelfth
 * of one. */
#define DECODE_US (300 * USEC_PER_MSEC)
#define TICK_US (10 * USEC_PER_MSEC)

struct fixture {
    struct event_base *base;
    struct entry_decoder *decoder;
    struct own_delay delay;
    uint64_t decode_us; /* time that a decoding takes */
    unsigned decoded;   /* number of results */
    guint targets;      /* records in the last result */
    char key[64];       /* key of the last entry that was decoded */
};

/* Decodes entries as a forwarder does. */
static void
decode_records(void *ctx, struct view_delta *delta,
               const struct store_entry *entries, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        platform_add_entry(delta, &entries[i]);
    }
}

/* Adds one target for each entry. */
static void
decode(void *ctx, struct view_delta *delta, const struct store_entry *entries,
       size_t count)
{
    struct fixture *f = ctx;
    const struct timespec time = {.tv_sec = 0,
                                  .tv_nsec = (long)f->decode_us * 1000};

    nanosleep(&time, NULL);
    for (size_t i = 0; i < count; i++) {
        struct target_record target = {.position.revision =
                                           entries[i].modified.revision};

        snprintf(f->key, sizeof(f->key), "%s=%s", entries[i].key,
                 entries[i].value == NULL ? "" : entries[i].value);
        g_array_append_val(delta->targets, target);
    }
}

static void
on_decoded(void *ctx, struct view_delta *delta)
{
    struct fixture *f = ctx;

    f->decoded++;
    f->targets = delta->targets->len;
    event_base_loopbreak(f->base);
}

static void
on_tick(evutil_socket_t fd, short what, void *ctx)
{
    struct fixture *f = ctx;

    own_delay_tick(&f->delay, clock_monotonic_us());
}

static int
setup(void **state)
{
    static struct fixture f;
    struct status st;

    memset(&f, 0, sizeof(f));
    f.base = event_base_new();
    f.decoder = entry_decoder_new(f.base, decode, on_decoded, &f, &st);
    *state = &f;
    return f.decoder == NULL;
}

static int
teardown(void **state)
{
    struct fixture *f = *state;

    entry_decoder_destroy(f->decoder);
    event_base_free(f->base);
    return 0;
}

/* The loop runs on while a large answer is decoded, with less delay than makes
 * callers repeat their packets. The entries are copied. */
static void
test_loop_runs_on(void **state)
{
    struct fixture *f = *state;
    const struct timeval interval = {.tv_usec = TICK_US};
    struct event *tick = event_new(f->base, -1, EV_PERSIST, on_tick, f);
    char key[] = "servers/i-1";
    char value[] = "text";
    struct store_entry entries[] = {
        {.key = key, .modified.revision = 7, .value = value, .value_len = 4},
        {.key = key, .modified.revision = 8, .value = value, .value_len = 4}};

    f->decode_us = DECODE_US;
    event_add(tick, &interval);
    own_delay_init(&f->delay, 0, TICK_US, clock_monotonic_us());
    assert_true(entry_decoder_start(f->decoder, entries, 2));
    memset(key, 'x', sizeof(key) - 1);
    memset(value, 'x', sizeof(value) - 1);
    event_base_dispatch(f->base);
    assert_int_equal(f->decoded, 1);
    assert_int_equal(f->targets, 2);
    assert_string_equal(f->key, "servers/i-1=text");
    assert_true(f->delay.max_lag_us < OWN_DELAY_MIN_US);
    event_free(tick);
}

/* One answer is decoded at a time; after it the next one can be. A removed
 * entry has no value. */
static void
test_one_at_a_time(void **state)
{
    struct fixture *f = *state;
    const struct store_entry removed = {.key = "k", .modified.revision = 9};

    assert_true(entry_decoder_start(f->decoder, &removed, 1));
    assert_false(entry_decoder_start(f->decoder, &removed, 1));
    event_base_dispatch(f->base);
    assert_true(entry_decoder_start(f->decoder, &removed, 1));
    event_base_dispatch(f->base);
    assert_int_equal(f->decoded, 2);
    assert_string_equal(f->key, "k=");
}

/* A decoder that is destroyed while it works drops the result. */
static void
test_destroyed_while_decoding(void **state)
{
    struct fixture *f = *state;
    const struct store_entry entry = {.key = "k", .modified.revision = 9};

    f->decode_us = DECODE_US / 10;
    assert_true(entry_decoder_start(f->decoder, &entry, 1));
    entry_decoder_destroy(f->decoder);
    f->decoder = NULL;
    assert_int_equal(f->decoded, 0);
}

/* Values that are nested deeply do not exhaust the stack of the decoder's
 * thread, which also has the frames of the sanitizers, and the entry after
 * them is decoded. */
static void
test_deep_nesting_does_not_end_the_process(void **state)
{
    static const size_t depths[] = {16, 2000, 2047, 2048, 60000, 1000000};
    struct fixture *f = *state;
    struct status st;
    struct entry_decoder *decoder =
        entry_decoder_new(f->base, decode_records, on_decoded, f, &st);

    assert_non_null(decoder);
    for (size_t i = 0; i < COUNT(depths); i++) {
        static const char target[] =
            "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
            "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
            "\"coldLeftMs\":0,\"sequence\":1}";
        char *open = g_strnfill(depths[i], '[');
        char *close = g_strnfill(depths[i], ']');
        char *object = g_strdup_printf("{\"n\":%s%s}", open, close);
        const struct store_entry entries[] = {{.key = "servers/i-1",
                                               .modified.revision = 7,
                                               .value = open,
                                               .value_len = depths[i]},
                                              {.key = "servers/i-2",
                                               .modified.revision = 8,
                                               .value = object,
                                               .value_len = strlen(object)},
                                              {.key = "op/config",
                                               .modified.revision = 9,
                                               .value = object,
                                               .value_len = strlen(object)},
                                              {.key = "servers/i-3",
                                               .modified.revision = 10,
                                               .value = target,
                                               .value_len = strlen(target)}};

        assert_true(entry_decoder_start(decoder, entries, COUNT(entries)));
        event_base_dispatch(f->base);
        assert_int_equal(f->decoded, i + 1);
        assert_int_equal(f->targets, 3);
        g_free(open);
        g_free(close);
        g_free(object);
    }
    entry_decoder_destroy(decoder);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_loop_runs_on, setup, teardown),
        cmocka_unit_test_setup_teardown(test_one_at_a_time, setup, teardown),
        cmocka_unit_test_setup_teardown(test_destroyed_while_decoding, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(
            test_deep_nesting_does_not_end_the_process, setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
