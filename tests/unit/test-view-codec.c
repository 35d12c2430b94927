#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <msgpack.h>

#include "base/random.h"
#include "protocol/view-codec.h"
#include "route-fixture.h"

#define SEED 20261203
#define MUTATION_COUNT 20000
#define LONG_NAME_LENGTH 300

static struct view_message message;

static int
setup(void **state)
{
    struct route_record route = {
        .addr = 0xc6120001,
        .port = 8080,
        .timeout_ms = 600,
        .latency_objective_ms = 120,
        .priority = 1,
        .repeatable = true,
    };
    const struct route_share shares[] = {{g_intern_string("s"), 90},
                                         {g_intern_string("t"), 10}};
    struct target_record target = {
        .id = "i-0123456789",
        .service = g_intern_string("s"),
        .domain = g_intern_string("a"),
        .tag = {0, 0, 0, 1, 2, 3, 4, 5},
        .addr = 0x0a010203,
        .port = 8081,
        .slots = 2,
        .draining = true,
        .cold_ms = 1500,
        .created = {.era = 1, .revision = 40},
        .position = {.era = 2, .revision = 50},
        .born = 17,
        .sequence = 18,
    };

    memset(&message, 0, sizeof(message));
    message.kind = VIEW_DELTA;
    message.sender_addr = 0x0a010101;
    message.sender_port = 7720;
    message.relay_to_neighbors = true;
    message.confirmed = true;
    message.age_us = 1234;
    message.position = 77;
    view_delta_init(&message.delta);
    message.delta.from.revision = 40;
    message.delta.to = (struct store_position){.era = 2, .revision = 50};
    message.delta.routes_base.revision = 30;
    message.delta.routes_position =
        (struct store_position){.era = 1, .revision = STORE_REVISION_MAX};
    message.delta.routes_version = 12;
    message.delta.targets_complete = true;
    route_record_add_share(&route, &shares[0]);
    route_record_add_share(&route, &shares[1]);
    view_delta_add_route(&message.delta, &route);
    route.port = 8081;
    route.removed = true;
    g_array_append_val(message.delta.routes, route);
    g_array_append_val(message.delta.targets, target);
    message.observation_count = 1;
    message.observations[0] = (struct observation_record){7, 2, 250000};
    return 0;
}

static int
teardown(void **state)
{
    view_delta_clear(&message.delta);
    return 0;
}

static bool
decode(const uint8_t *data, size_t size, struct view_message *m)
{
    memset(m, 0, sizeof(*m));
    view_delta_init(&m->delta);
    return view_decode(m, data, size);
}

static void
assert_records_equal(const struct view_delta *a, const struct view_delta *b)
{
    assert_int_equal(a->routes->len, b->routes->len);
    for (guint i = 0; i < a->routes->len; i++) {
        assert_true(route_record_equal(
            &g_array_index(a->routes, struct route_record, i),
            &g_array_index(b->routes, struct route_record, i)));
    }
    assert_int_equal(a->targets->len, b->targets->len);
    for (guint i = 0; i < a->targets->len; i++) {
        assert_memory_equal(
            &g_array_index(a->targets, struct target_record, i),
            &g_array_index(b->targets, struct target_record, i),
            sizeof(struct target_record));
    }
}

static void
test_round_trip(void **state)
{
    struct view_message m;
    size_t size;
    uint8_t *data = view_encode(&message, &size);

    assert_non_null(data);
    assert_true(view_is_message(data, size));
    assert_true(decode(data, size, &m));
    assert_int_equal(m.kind, message.kind);
    assert_int_equal(m.sender_addr, message.sender_addr);
    assert_int_equal(m.sender_port, message.sender_port);
    assert_true(m.relay_to_neighbors && m.confirmed);
    assert_int_equal(m.age_us, message.age_us);
    assert_int_equal(m.position, message.position);
    assert_true(store_position_equal(m.delta.from, message.delta.from));
    assert_true(store_position_equal(m.delta.to, message.delta.to));
    assert_true(
        store_position_equal(m.delta.routes_base, message.delta.routes_base));
    assert_true(store_position_equal(m.delta.routes_position,
                                     message.delta.routes_position));
    assert_int_equal(m.delta.routes_version, message.delta.routes_version);
    assert_false(m.delta.routes_complete);
    assert_true(m.delta.targets_complete);
    assert_records_equal(&m.delta, &message.delta);
    assert_int_equal(m.observation_count, 1);
    assert_memory_equal(m.observations, message.observations,
                        sizeof(*m.observations));
    view_delta_clear(&m.delta);
    free(data);
}

/* Orders, regions, limits, forms of cookies and times of answers arrive as
 * they are. */
static void
test_additions(void **state)
{
    struct route_record *route =
        &g_array_index(message.delta.routes, struct route_record, 0);
    struct target_record order = {
        .kind = RECORD_EMPTIED_DOMAIN,
        .service = g_intern_string("-"),
        .domain = g_intern_string("a"),
        .draining = true,
        .created = {.era = 1, .revision = 41},
        .position = {.era = 2, .revision = 51},
    };
    struct view_message m;
    size_t size;
    uint8_t *data;

    route->regions = g_intern_string("north,south");
    g_array_index(route->shares, struct route_share, 1).cold_limit = 6400;
    g_array_index(message.delta.targets, struct target_record, 0).cookie_form =
        2;
    emptied_domain_id("a", order.id);
    g_array_append_val(message.delta.targets, order);
    order.removed = true;
    g_array_append_val(message.delta.targets, order);
    message.answered = (struct clock_time){UINT32_MAX, UINT64_MAX};
    message.sent = (struct clock_time){1, 2};
    data = view_encode(&message, &size);
    assert_true(decode(data, size, &m));
    assert_records_equal(&m.delta, &message.delta);
    assert_int_equal(m.answered.clock, UINT32_MAX);
    assert_int_equal(m.answered.us, UINT64_MAX);
    assert_int_equal(m.sent.clock, 1);
    assert_int_equal(m.sent.us, 2);
    assert_int_equal(m.delta.routes_version, message.delta.routes_version);
    assert_int_equal(m.observation_count, 1);
    /* Earlier builds take the last record for the version. */
    assert_int_equal(data[size - 1], message.delta.routes_version);
    view_delta_clear(&m.delta);
    free(data);
}

/* A route with many services, long names and a long list of regions. */
static void
test_large_route(void **state)
{
    char name[LONG_NAME_LENGTH + 8];
    struct route_record route = {.addr = 1, .port = 80};
    struct view_message m;
    size_t size;
    uint8_t *data;

    memset(name, 'n', LONG_NAME_LENGTH);
    for (uint32_t i = 0; i < 90; i++) {
        struct route_share share = {.weight = UINT32_MAX - i, .cold_limit = i};

        snprintf(name + LONG_NAME_LENGTH, 8, "%u", i);
        share.service = g_intern_string(name);
        route_record_add_share(&route, &share);
    }
    route.regions = g_intern_string(name);
    g_array_append_val(message.delta.routes, route);
    g_array_index(message.delta.targets, struct target_record, 0).service =
        g_intern_string(name);
    data = view_encode(&message, &size);
    assert_true(decode(data, size, &m));
    assert_records_equal(&m.delta, &message.delta);
    view_delta_clear(&m.delta);
    free(data);
}

/* A message without orders, regions and limits is byte for byte that of the
 * builds before them. */
static void
test_unchanged_message(void **state)
{
    static const char expected[] =
        "9f0201ce0a010101cd1e2801cd04d34d28cf00020000000000321ecf0001ffff"
        "ffffffff029298cec6120001cd1f9000cd0258780194a1735aa1740a0198cec6"
        "120001cd1f9101cd0258780194a1735aa1740a01919eac692d30313233343536"
        "373839a173a161c4080000000102030405ce0a010203cd1f91020100cd05dccf"
        "0001000000000028cf00020000000000321112960702ce0003d09000000c";
    size_t size;
    uint8_t *data = view_encode(&message, &size);
    GString *hex = g_string_new(NULL);

    for (size_t i = 0; i < size; i++) {
        g_string_append_printf(hex, "%02x", data[i]);
    }
    assert_string_equal(hex->str, expected);
    g_string_free(hex, TRUE);
    free(data);
}

/* The id of a record tells whether it is an order. One that is neither that of
 * a target nor that of the order for its failure domain is refused, so no
 * record is ever both. */
static void
test_ids_of_orders(void **state)
{
    static const struct {
        const char *domain_of_id; /* NULL: the id is that of a target */
        const char *domain;
        bool accepted;
        enum record_kind kind;
    } cases[] = {
        {NULL, "a", true, RECORD_TARGET},
        {"a", "a", true, RECORD_EMPTIED_DOMAIN},
        {"b", "a", false, RECORD_TARGET},
        {"a", NULL, false, RECORD_TARGET},
    };
    struct target_record *target =
        &g_array_index(message.delta.targets, struct target_record, 0);

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct view_message m;
        size_t size;
        uint8_t *data;

        if (cases[i].domain_of_id != NULL) {
            emptied_domain_id(cases[i].domain_of_id, target->id);
        }
        target->domain = g_intern_string(cases[i].domain);
        data = view_encode(&message, &size);
        assert_int_equal(decode(data, size, &m), cases[i].accepted);
        if (cases[i].accepted) {
            assert_int_equal(
                g_array_index(m.delta.targets, struct target_record, 0).kind,
                cases[i].kind);
        }
        view_delta_clear(&m.delta);
        free(data);
    }
}

/* Makes the message one of slow targets, which has no observations. */
static void
make_slow_targets(void)
{
    message.kind = VIEW_SLOW_TARGETS;
    message.observation_count = 0;
    message.slow_target_count = SLOW_TARGET_RECORDS_MAX;
    for (uint32_t i = 0; i < SLOW_TARGET_RECORDS_MAX; i++) {
        struct slow_target_record *r = &message.slow_targets[i];

        *r = (struct slow_target_record){
            .cookie = UINT32_MAX - i,
            .age_ms = 77 * i,
            .kind = (enum request_outcome)(i % REQUEST_OUTCOME_END)};
        if (r->kind == OUTCOME_ANSWERED || r->kind == OUTCOME_LONG) {
            r->ratio = 100 + 9 * i;
        }
        else {
            r->weight = (uint8_t)(SLOW_TARGET_WEIGHT_MAX - i);
            r->caller = (uint16_t)(UINT16_MAX - i);
        }
    }
}

static void
test_slow_targets(void **state)
{
    struct view_message m;
    size_t size;
    uint8_t *data;

    make_slow_targets();
    data = view_encode(&message, &size);
    assert_true(decode(data, size, &m));
    assert_int_equal(m.kind, VIEW_SLOW_TARGETS);
    assert_int_equal(m.observation_count, 0);
    assert_int_equal(m.slow_target_count, SLOW_TARGET_RECORDS_MAX);
    assert_memory_equal(m.slow_targets, message.slow_targets,
                        sizeof(m.slow_targets));
    view_delta_clear(&m.delta);
    free(data);
}

/* Makes the message one of open flows, which has no observations. */
static void
make_open_flows(void)
{
    message.kind = VIEW_OPEN_FLOWS;
    message.observation_count = 0;
    message.open_flow_count = OPEN_FLOW_RECORDS_MAX;
    for (uint32_t i = 0; i < OPEN_FLOW_RECORDS_MAX; i++) {
        message.open_flows[i] = (struct open_flow_record){
            .caller_addr = UINT32_MAX - i,
            .route_addr = 0xc6120001 + i,
            .caller_port = (uint16_t)(UINT16_MAX - i),
            .route_port = (uint16_t)(443 + i),
            .cookie = 0x80000000U + i,
            .ack = UINT32_MAX - 7 * i};
    }
}

static void
test_open_flows(void **state)
{
    struct view_message m;
    size_t size;
    uint8_t *data;

    make_open_flows();
    data = view_encode(&message, &size);
    assert_true(decode(data, size, &m));
    assert_int_equal(m.kind, VIEW_OPEN_FLOWS);
    assert_int_equal(m.observation_count, 0);
    assert_int_equal(m.open_flow_count, OPEN_FLOW_RECORDS_MAX);
    assert_memory_equal(m.open_flows, message.open_flows,
                        sizeof(m.open_flows));
    view_delta_clear(&m.delta);
    free(data);
}

/* A message that was truncated to any length is refused. */
static void
test_truncated(void **state)
{
    struct view_message m;
    size_t size;
    uint8_t *data = view_encode(&message, &size);

    for (size_t i = 0; i < size; i++) {
        assert_false(decode(data, i, &m));
        view_delta_clear(&m.delta);
    }
    free(data);
}

/* A message in which 1 to 4 random bytes were overwritten is either refused or
 * decodes to counts and a kind that are in range. */
static void
test_mutations(void **state)
{
    struct random random;
    size_t size;
    uint8_t *data = view_encode(&message, &size);
    uint8_t *copy = malloc(size);

    random_seed(&random, SEED);
    for (int i = 0; i < MUTATION_COUNT; i++) {
        struct view_message m;

        memcpy(copy, data, size);
        for (uint32_t n = 1 + random_below(&random, 4); n > 0; n--) {
            copy[random_below(&random, (uint32_t)size)] =
                (uint8_t)random_next(&random);
        }
        if (decode(copy, size, &m)) {
            assert_true(m.kind > 0 && m.kind < VIEW_MESSAGE_KIND_END);
            assert_true(m.observation_count <= VIEW_OBSERVATIONS_MAX);
            assert_true(m.slow_target_count <= SLOW_TARGET_RECORDS_MAX);
            assert_true(m.open_flow_count <= OPEN_FLOW_RECORDS_MAX);
            for (guint j = 0; j < m.delta.routes->len; j++) {
                const struct route_record *r =
                    &g_array_index(m.delta.routes, struct route_record, j);

                for (size_t k = 0; k < route_record_share_count(r); k++) {
                    assert_non_null(route_record_share(r, k)->service);
                }
            }
        }
        view_delta_clear(&m.delta);
    }
    free(copy);
    free(data);
}

static void
test_mutated_slow_targets(void **state)
{
    make_slow_targets();
    test_mutations(state);
}

static void
test_mutated_open_flows(void **state)
{
    make_open_flows();
    test_mutations(state);
}

/* Decodes a target with an empty id, service or failure domain. The library
 * that decodes the message returns a null pointer for an empty text, which
 * fuzz-view found. Only the failure domain may be empty. */
static void
test_empty_names(void **state)
{
    static const struct {
        bool id;      /* empty */
        bool service; /* empty */
        bool domain;  /* empty */
        bool accepted;
    } cases[] = {
        {true, false, false, false},
        {false, true, false, false},
        {false, false, true, true},
    };
    struct target_record *target =
        &g_array_index(message.delta.targets, struct target_record, 0);
    const struct target_record original = *target;

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct view_message m;
        size_t size;
        uint8_t *data;

        *target = original;
        if (cases[i].id) {
            target->id[0] = '\0';
        }
        target->service = cases[i].service ? NULL : original.service;
        target->domain = cases[i].domain ? NULL : original.domain;
        data = view_encode(&message, &size);
        assert_int_equal(decode(data, size, &m), cases[i].accepted);
        view_delta_clear(&m.delta);
        free(data);
    }
}

/* Encodes a message of "count" records of load and "odd" further numbers, the
 * last of which is "last". */
static void
put_load_message(msgpack_sbuffer *buffer, size_t count, size_t odd,
                 uint64_t last)
{
    msgpack_packer pk;
    size_t numbers = 3 * count + odd;

    msgpack_packer_init(&pk, buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&pk, 15);
    msgpack_pack_uint64(&pk, VIEW_FORMAT_VERSION);
    msgpack_pack_uint64(&pk, VIEW_LOAD);
    for (int i = 2; i < 12; i++) {
        msgpack_pack_uint64(&pk, 0);
    }
    msgpack_pack_array(&pk, 0);
    msgpack_pack_array(&pk, 0);
    msgpack_pack_array(&pk, numbers);
    for (size_t i = 0; i < numbers; i++) {
        msgpack_pack_uint64(&pk, i + 1 == numbers ? last : i);
    }
}

/* Which messages of load are accepted. */
static void
test_load_messages(void **state)
{
    static const struct {
        size_t count;
        size_t odd; /* numbers that make up no record */
        uint64_t last;
        bool accepted;
    } cases[] = {
        {0, 0, 0, true},
        {1, 0, UINT32_MAX, true},
        {DOMAIN_LOAD_RECORDS_MAX, 0, 5, true},
        {DOMAIN_LOAD_RECORDS_MAX + 1, 0, 5, false},
        {1, 1, 5, false},
        {1, 2, 5, false},
        {1, 0, (uint64_t)UINT32_MAX + 1, false},
        {100000, 0, 5, false},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct view_message m;
        msgpack_sbuffer buffer;

        msgpack_sbuffer_init(&buffer);
        put_load_message(&buffer, cases[i].count, cases[i].odd, cases[i].last);
        if (decode((const uint8_t *)buffer.data, buffer.size, &m) !=
            cases[i].accepted) {
            fail_msg("case %zu", i);
        }
        if (cases[i].accepted) {
            assert_int_equal(m.load_count, cases[i].count);
            assert_int_equal(m.observation_count, 0);
        }
        view_delta_clear(&m.delta);
        msgpack_sbuffer_destroy(&buffer);
    }
}

static void
test_load_round_trip(void **state)
{
    struct view_message m;
    size_t size;
    uint8_t *data;

    message.kind = VIEW_LOAD;
    message.load_count = 2;
    message.load[0] = (struct domain_load_record){1, 2, 3};
    message.load[1] =
        (struct domain_load_record){UINT32_MAX, UINT32_MAX, UINT32_MAX};
    data = view_encode(&message, &size);
    assert_true(decode(data, size, &m));
    assert_int_equal(m.kind, VIEW_LOAD);
    assert_int_equal(m.load_count, 2);
    assert_memory_equal(m.load, message.load, 2 * sizeof(*m.load));
    view_delta_clear(&m.delta);
    for (size_t cut = 0; cut < size; cut++) {
        assert_false(decode(data, cut, &m));
        view_delta_clear(&m.delta);
    }
    free(data);
}

/* Replaces the records of the message by those of a large configuration, in no
 * particular order, as a hash table returns them. */
static void
fill_large_view(struct random *random, uint32_t routes, uint32_t targets)
{
    struct route_record route = {.timeout_ms = 600,
                                 .latency_objective_ms = 120,
                                 .priority = 1,
                                 .repeatable = true,
                                 .shares = fixture_share("s", 0)};
    struct target_record target =
        g_array_index(message.delta.targets, struct target_record, 0);

    g_array_set_size(message.delta.routes, 0);
    g_array_set_size(message.delta.targets, 0);
    for (uint32_t i = 0; i < routes; i++) {
        route.addr = 0xc6120000U + random_below(random, 1024);
        route.port = (uint16_t)(random_below(random, 2) == 0 ? 443 : 8080);
        view_delta_add_route(&message.delta, &route);
    }
    for (uint32_t i = 0; i < targets; i++) {
        snprintf(target.id, sizeof(target.id), "i-%010llx",
                 (unsigned long long)random_next(random) & 0xffffffffffULL);
        target.addr = 0x0a000000U + random_below(random, 65536);
        target.position.revision = 1 + random_below(random, 2000);
        g_array_append_val(message.delta.targets, target);
    }
}

/* A balancer with a link of 10 Mbit/s that sends a large view to each of its
 * seven neighbors must not hold up a caller's packet until the caller
 * retransmits it, which it does after 200 ms. */
static void
test_large_view_size(void **state)
{
    static const struct {
        uint32_t routes;
        uint32_t targets;
    } cases[] = {{1712, 0}, {1712, 150}, {1500, 600}};
    const size_t size_max = 10000000 / 8 / 5 / 7;
    struct random random;

    random_seed(&random, SEED);
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct view_message m;
        size_t size;
        uint8_t *data;

        fill_large_view(&random, cases[i].routes, cases[i].targets);
        data = view_encode(&message, &size);
        assert_non_null(data);
        assert_true(view_is_message(data, size));
        print_message("%u routes, %u targets: %zu bytes\n", cases[i].routes,
                      cases[i].targets, size);
        if (size > size_max) {
            fail_msg("case %zu: %zu bytes, at most %zu", i, size, size_max);
        }
        assert_true(decode(data, size, &m));
        assert_records_equal(&m.delta, &message.delta);
        view_delta_clear(&m.delta);
        for (size_t cut = 0; cut < size; cut += 97) {
            assert_false(decode(data, cut, &m));
            view_delta_clear(&m.delta);
        }
        free(data);
    }
}

/* Overwritten bytes of a compressed message never make the decoder read or
 * write outside of its buffers. */
static void
test_compressed_mutations(void **state)
{
    struct random random;
    size_t size;
    uint8_t *data;
    uint8_t *copy;

    random_seed(&random, SEED);
    fill_large_view(&random, 100, 20);
    data = view_encode(&message, &size);
    copy = malloc(size);
    assert_int_equal(data[1], VIEW_FORMAT_COMPRESSED);
    for (int i = 0; i < MUTATION_COUNT; i++) {
        struct view_message m;

        memcpy(copy, data, size);
        copy[random_below(&random, (uint32_t)size)] =
            (uint8_t)random_next(&random);
        if (decode(copy, size, &m)) {
            assert_true(m.kind > 0 && m.kind < VIEW_MESSAGE_KIND_END);
        }
        view_delta_clear(&m.delta);
    }
    free(copy);
    free(data);
}

/* view_encode() refuses a message that is longer than a peer accepts. */
static void
test_too_long(void **state)
{
    struct target_record target =
        g_array_index(message.delta.targets, struct target_record, 0);
    size_t size;

    for (int i = 0; i < 40000; i++) {
        g_array_append_val(message.delta.targets, target);
    }
    assert_null(view_encode(&message, &size));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_round_trip, setup, teardown),
        cmocka_unit_test_setup_teardown(test_additions, setup, teardown),
        cmocka_unit_test_setup_teardown(test_large_route, setup, teardown),
        cmocka_unit_test_setup_teardown(test_unchanged_message, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_ids_of_orders, setup, teardown),
        cmocka_unit_test_setup_teardown(test_truncated, setup, teardown),
        cmocka_unit_test_setup_teardown(test_mutations, setup, teardown),
        cmocka_unit_test_setup_teardown(test_slow_targets, setup, teardown),
        cmocka_unit_test_setup_teardown(test_open_flows, setup, teardown),
        cmocka_unit_test_setup_teardown(test_mutated_open_flows, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_mutated_slow_targets, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_empty_names, setup, teardown),
        cmocka_unit_test(test_load_messages),
        cmocka_unit_test_setup_teardown(test_load_round_trip, setup, teardown),
        cmocka_unit_test_setup_teardown(test_large_view_size, setup, teardown),
        cmocka_unit_test_setup_teardown(test_compressed_mutations, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_too_long, setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
