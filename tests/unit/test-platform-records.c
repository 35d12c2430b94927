#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/random.h"
#include "platform/records.h"

#define SEED 20261203
#define MUTATIONS 20000
#define LONG_NAME_LENGTH 300

static struct view_delta delta;

static int
setup(void **state)
{
    view_delta_init(&delta);
    return 0;
}

static int
teardown(void **state)
{
    view_delta_clear(&delta);
    return 0;
}

static bool
add_entry(const char *key, const char *value)
{
    const struct store_entry entry = {
        .key = key,
        .modified.revision = 7,
        .created.revision = 5,
        .value = value,
        .value_len = value == NULL ? 0 : strlen(value),
    };

    return platform_add_entry(&delta, &entry);
}

/* Fills in a name that is longer than most. */
static void
fill_name(char name[LONG_NAME_LENGTH + 1])
{
    memset(name, 'n', LONG_NAME_LENGTH);
    name[LONG_NAME_LENGTH] = '\0';
}

static const char config_value[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"r-1\",\"host\":\"198.18.0.1\",\"prefix\":\"/8080/\","
    "\"kind\":\"unsafe\",\"timeoutMs\":600,\"targetLatencyMs\":120,"
    "\"priority\":1,\"service\":\"huvo11a\",\"maxAttempts\":2},"
    "{\"name\":\"r-2\",\"host\":\"198.18.0.1\",\"prefix\":\"/8443/\","
    "\"split\":[{\"service\":\"huvo11a\",\"weight\":90},"
    "{\"service\":\"wuno96b\",\"weight\":10}]}],"
    "\"services\":[],\"limits\":{\"idleTimeoutMs\":15000}}";

static const char target_value[] =
    "{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\","
    "\"zone\":\"upper-hill\",\"version\":\"v1\",\"slots\":2,"
    "\"state\":\"ready\",\"coldLeftMs\":1500,\"sequence\":4}";

static void
test_config(void **state)
{
    const struct route_record *r;

    assert_true(add_entry("op/config", config_value));
    assert_true(delta.routes_complete);
    assert_int_equal(delta.routes_position.revision, 7);
    assert_int_equal(delta.routes_version, 7);
    assert_int_equal(delta.routes->len, 2);
    r = &g_array_index(delta.routes, struct route_record, 0);
    assert_int_equal(r->addr, 0xc6120001);
    assert_int_equal(r->port, 8080);
    assert_int_equal(r->timeout_ms, 600);
    assert_int_equal(r->latency_objective_ms, 120);
    assert_int_equal(r->priority, 1);
    assert_false(r->repeatable);
    assert_int_equal(route_record_share_count(r), 1);
    assert_string_equal(route_record_share(r, 0)->service, "huvo11a");
    r = &g_array_index(delta.routes, struct route_record, 1);
    assert_int_equal(route_record_share_count(r), 2);
    assert_int_equal(route_record_share(r, 1)->weight, 10);
}

/* Only the kinds whose requests may be repeated make a route repeatable. */
static void
test_kinds(void **state)
{
    static const struct {
        const char *kind;
        bool repeatable;
    } cases[] = {
        {"\"kind\":\"safe\",", true},
        {"\"kind\":\"download\",", true},
        {"\"kind\":\"unsafe\",", false},
        {"\"kind\":\"upload\",", false},
        {"\"kind\":\"whatever\",", false},
        {"\"kind\":7,", false},
        {"", false},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        char value[160];

        snprintf(value, sizeof(value),
                 "{\"routes\":[{%s\"host\":\"1.2.3.4\",\"prefix\":\"/80/\","
                 "\"service\":\"s\"}]}",
                 cases[i].kind);
        assert_true(add_entry("op/config", value));
        assert_int_equal(
            g_array_index(delta.routes, struct route_record, 0).repeatable,
            cases[i].repeatable);
    }
}

/* The regions in which a route may run. A route with a list that cannot be
 * used has no services: without its limits it would run anywhere. */
static void
test_regions(void **state)
{
    char long_name[LONG_NAME_LENGTH + 1];
    char long_list[LONG_NAME_LENGTH + 20];
    char long_regions[LONG_NAME_LENGTH + 20];
    const struct {
        const char *list;
        bool valid;
        const char *regions; /* NULL: any */
    } cases[] = {
        {"[\"north\"]", true, "north"},
        {"[\"north\",\"south\"]", true, "north,south"},
        {"[]", true, NULL},
        {"null", true, NULL},
        {"\"north\"", false, NULL},
        {"{\"north\":1}", false, NULL},
        {"[\"north\",7]", false, NULL},
        {"[\"north\",\"\"]", false, NULL},
        {"[\"north,south\"]", false, NULL},
        {long_list, true, long_regions},
    };

    fill_name(long_name);
    snprintf(long_list, sizeof(long_list), "[\"%s\",\"n\"]", long_name);
    snprintf(long_regions, sizeof(long_regions), "%s,n", long_name);
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        char value[1024];

        snprintf(value, sizeof(value),
                 "{\"routes\":[{\"allowedRegions\":%s,"
                 "\"host\":\"1.2.3.4\",\"prefix\":\"/80/\","
                 "\"service\":\"s\"}]}",
                 cases[i].list);
        assert_int_equal(add_entry("op/config", value), cases[i].valid);
        assert_int_equal(delta.routes->len, 1);
        assert_int_equal(route_record_share_count(&g_array_index(
                             delta.routes, struct route_record, 0)),
                         cases[i].valid);
        if (cases[i].valid) {
            const struct route_record *r =
                &g_array_index(delta.routes, struct route_record, 0);

            assert_ptr_equal(r->regions, g_intern_string(cases[i].regions));
        }
    }
}

/* Review/7: a valid route was left out, which ended its open flows, when its
 * split had more services than a record. */
static void
test_split_of_any_size(void **state)
{
    static const size_t counts[] = {1, 8, 9, 90, 1000};
    char name[LONG_NAME_LENGTH + 1];

    fill_name(name);
    for (size_t i = 0; i < sizeof(counts) / sizeof(*counts); i++) {
        GString *value = g_string_new("{\"routes\":[{\"host\":\"1.2.3.4\","
                                      "\"prefix\":\"/80/\",\"split\":[");
        const struct route_record *r;

        for (size_t k = 0; k < counts[i]; k++) {
            g_string_append_printf(value,
                                   "%s{\"service\":\"%s-%zu\",\"weight\":%zu}",
                                   k == 0 ? "" : ",", name, k, k + 1);
        }
        g_string_append(value, "]}]}");
        assert_true(add_entry("op/config", value->str));
        g_string_free(value, TRUE);
        assert_int_equal(delta.routes->len, 1);
        r = &g_array_index(delta.routes, struct route_record, 0);
        assert_int_equal(route_record_share_count(r), counts[i]);
        assert_int_equal(route_record_share(r, counts[i] - 1)->weight,
                         counts[i]);
    }
}

/* Numbers of a valid route that a record cannot hold as they are. */
static void
test_numbers_out_of_range(void **state)
{
    static const struct {
        const char *weights[2];
        double share; /* of the first service */
        const char *others;
        uint32_t timeout_ms;
        uint8_t priority;
    } cases[] = {
        {{"90", "10"}, 0.9, "\"priority\":2", 0, 2},
        {{"0.9", "0.1"}, 0.9, "\"priority\":300", 0, 255},
        {{"0.0004", "0.0012"}, 0.25, "\"timeoutMs\":1e12", UINT32_MAX, 0},
        {{"1e-12", "1"}, 1e-9, "\"timeoutMs\":600.5", 600, 0},
        {{"3e15", "1e15"}, 0.75, "\"targetLatencyMs\":1e300", 0, 0},
        {{"2.5", "7.5"}, 0.25, "\"priority\":9007199254740993", 0, 255},
        {{"4294967295", "0"}, 1, "\"priority\":0.0", 0, 0},
        {{"4294967296", "0"}, 1, "\"priority\":-0.0", 0, 0},
        {{"5e-324", "5e-324"},
         0.5,
         "\"timeoutMs\":4294967295.5",
         UINT32_MAX,
         0},
        {{"5e-324", "1e308"}, 0, "\"priority\":255", 0, 255},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        const struct route_record *r;
        char value[400];
        double first;
        double second;

        snprintf(value, sizeof(value),
                 "{\"routes\":[{\"host\":\"1.2.3.4\",\"prefix\":\"/80/\",%s,"
                 "\"split\":[{\"service\":\"s\",\"weight\":%s},"
                 "{\"service\":\"t\",\"weight\":%s}]}]}",
                 cases[i].others, cases[i].weights[0], cases[i].weights[1]);
        assert_true(add_entry("op/config", value));
        assert_int_equal(delta.routes->len, 1);
        r = &g_array_index(delta.routes, struct route_record, 0);
        first = route_record_share(r, 0)->weight;
        second = route_record_share(r, 1)->weight;
        assert_float_equal(first / (first + second), cases[i].share, 1e-8);
        assert_true(first > 0);
        assert_int_equal(r->timeout_ms, cases[i].timeout_ms);
        assert_int_equal(r->priority, cases[i].priority);
    }
}

/* Weights that are no numbers of 0 or more. */
static void
test_invalid_weights(void **state)
{
    static const char *const weights[] = {"-1", "\"1\"", "null", "[]"};

    for (size_t i = 0; i < sizeof(weights) / sizeof(*weights); i++) {
        char value[200];

        snprintf(value, sizeof(value),
                 "{\"routes\":[{\"host\":\"1.2.3.4\",\"prefix\":\"/80/\","
                 "\"split\":[{\"service\":\"s\",\"weight\":%s}]}]}",
                 weights[i]);
        assert_false(add_entry("op/config", value));
        assert_int_equal(delta.routes->len, 1);
        assert_int_equal(route_record_share_count(&g_array_index(
                             delta.routes, struct route_record, 0)),
                         0);
    }
}

/* Limits of cold starts, in openings per 1000 s; 0 stands for none. */
static void
test_cold_limits(void **state)
{
    static const struct {
        const char *fields; /* of the service */
        uint32_t limit;
    } cases[] = {
        {"\"coldPerS\":2.5", 2500}, {"\"coldPerS\":4", 4000},
        {"\"coldPerS\":0.0", 0},    {"\"coldStartS\":2.0", 0},
        {"\"coldPerS\":\"4\"", 0},  {"\"coldPerS\":-1", 0},
        {"\"coldPerS\":1e300", 0},  {"\"coldPerS\":0.0004", 1},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        char value[256];

        snprintf(value, sizeof(value),
                 "{\"routes\":[{\"host\":\"1.2.3.4\",\"prefix\":\"/80/\","
                 "\"service\":\"s\"}],"
                 "\"services\":[{\"name\":\"t\",\"coldPerS\":9},"
                 "{\"name\":\"s\",%s}]}",
                 cases[i].fields);
        assert_true(add_entry("op/config", value));
        assert_int_equal(
            route_record_share(
                &g_array_index(delta.routes, struct route_record, 0), 0)
                ->cold_limit,
            cases[i].limit);
    }
}

/* When a delta has two configurations, the later list of routes replaces the
 * earlier one. */
static void
test_later_config_replaces_earlier(void **state)
{
    assert_true(add_entry("op/config", config_value));
    assert_true(add_entry("op/config", "{\"routes\":[]}"));
    assert_true(delta.routes_complete);
    assert_int_equal(delta.routes->len, 0);
}

static void
test_target(void **state)
{
    static const uint8_t tag[] = {0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2};
    static const uint8_t long_tag[] = {0, 0, 0, 0x4d, 0x9c, 0x7e, 0x32, 0x5c};
    const struct target_record *t;

    assert_true(add_entry("servers/i-7f3a91c2", target_value));
    assert_true(add_entry("servers/i-4d9c7e325c", target_value));
    t = &g_array_index(delta.targets, struct target_record, 0);
    assert_string_equal(t->id, "i-7f3a91c2");
    assert_memory_equal(t->tag, tag, sizeof(tag));
    assert_int_equal(t->addr, 0x0a800009);
    assert_int_equal(t->port, 8080);
    assert_int_equal(t->slots, 2);
    assert_int_equal(t->cold_ms, 1500);
    assert_int_equal(t->created.revision, 5);
    assert_int_equal(t->position.revision, 7);
    assert_int_equal(t->sequence, 4);
    assert_int_equal(t->born, 0);
    assert_false(t->draining || t->removed);
    assert_string_equal(t->domain, "upper-hill");
    t = &g_array_index(delta.targets, struct target_record, 1);
    assert_memory_equal(t->tag, long_tag, sizeof(long_tag));
}

/* Numbers by which a target orders its writes. */
static void
test_stated_numbers(void **state)
{
    static const struct {
        const char *fields;
        uint64_t born, sequence;
    } cases[] = {
        {"\"born\":17,\"sequence\":18", 17, 18},
        {"\"sequence\":9007199254740993", 0, 9007199254740993},
        {"\"sequence\":2.5", 0, 2},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        const struct target_record *t;
        char value[200];

        snprintf(value, sizeof(value),
                 "{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
                 "\"zone\":\"z\",\"version\":\"v1\",\"slots\":2,"
                 "\"state\":\"ready\",\"coldLeftMs\":0,%s}",
                 cases[i].fields);
        g_array_set_size(delta.targets, 0);
        assert_true(add_entry("servers/i-1", value));
        t = &g_array_index(delta.targets, struct target_record, 0);
        assert_int_equal(t->born, cases[i].born);
        assert_int_equal(t->sequence, cases[i].sequence);
    }
}

/* Adds an entry, and checks that the target is removed, if it is not used. */
static void
expect_entry(const char *name, const char *key, const char *value, bool used)
{
    const struct target_record *t;

    g_array_set_size(delta.targets, 0);
    if (add_entry(key, value) != used) {
        fail_msg("%s", name);
    }
    assert_int_equal(delta.targets->len, 1);
    t = &g_array_index(delta.targets, struct target_record, 0);
    if (t->removed == used) {
        fail_msg("%s: removed %d", name, t->removed);
    }
    assert_non_null(t->service);
}

/* Names of any length are those of a target and of its service. */
static void
test_long_names(void **state)
{
    char name[LONG_NAME_LENGTH + 1];
    char value[3 * LONG_NAME_LENGTH];
    const struct target_record *t;

    fill_name(name);
    snprintf(value, sizeof(value),
             "{\"service\":\"%s\",\"address\":\"10.0.0.1:80\","
             "\"zone\":\"z%s\",\"version\":\"v1\",\"slots\":2,"
             "\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1}",
             name, name);
    assert_true(add_entry("servers/i-1", value));
    t = &g_array_index(delta.targets, struct target_record, 0);
    assert_false(t->removed);
    assert_string_equal(t->service, name);
    assert_string_equal(t->domain + 1, name);
}

/* An entry of another writer, field by field and type by type, names no target
 * to use. */
static void
test_foreign_entries(void **state)
{
    static const struct {
        const char *name;
        const char *own;    /* value that a target writes */
        const char *others; /* that of another type, or out of range */
    } fields[] = {
        {"service", "\"s\"", "7"},
        {"service", "\"s\"", "\"\""},
        {"address", "\"10.0.0.1:80\"", "[]"},
        {"address", "\"10.0.0.1:80\"", "\"10.0.0.1:0\""},
        {"address", "\"10.0.0.1:80\"", "\"10.0.0.1:99999\""},
        {"address", "\"10.0.0.1:80\"", "\"host:80\""},
        {"zone", "\"z\"", "null"},
        {"version", "\"v1\"", "1"},
        {"slots", "2", "\"x\""},
        {"slots", "2", "-1"},
        {"slots", "2", "1e300"},
        {"slots", "2", "-0.5"},
        {"state", "\"ready\"", "\"resting\""},
        {"state", "\"draining\"", "true"},
        {"coldLeftMs", "0", "\"0\""},
        {"sequence", "4", "1e300"},
        {"sequence", "4", "-0.5"},
        {"sequence", "4", "-1"},
        {"born", "17", "\"x\""},
    };
    static const char *const names[] = {"service",    "address", "zone",
                                        "version",    "slots",   "state",
                                        "coldLeftMs", "sequence"};
    const size_t count = sizeof(fields) / sizeof(*fields);

    for (size_t i = 0; i < count; i++) {
        for (int variant = 0; variant < 3; variant++) {
            GString *value = g_string_new("{\"x\":1");

            for (size_t k = 0; k < sizeof(names) / sizeof(*names); k++) {
                size_t first = 0;

                while (strcmp(fields[first].name, names[k]) != 0) {
                    first++;
                }
                if (strcmp(fields[i].name, names[k]) != 0) {
                    g_string_append_printf(value, ",\"%s\":%s", names[k],
                                           fields[first].own);
                }
            }
            if (variant < 2) {
                g_string_append_printf(value, ",\"%s\":%s", fields[i].name,
                                       variant == 0 ? fields[i].own
                                                    : fields[i].others);
            }
            g_string_append_c(value, '}');
            /* Only the field "born" may be missing. */
            expect_entry(
                value->str, "servers/i-1", value->str,
                variant == 0 ||
                    (variant == 2 && strcmp(fields[i].name, "born") == 0));
            g_string_free(value, TRUE);
        }
    }
}

/* A target whose entry is deleted or cannot be read is added as removed, as is
 * one whose id does not tell it from others in packets. */
static void
test_unreadable_entries(void **state)
{
    static const char *const values[] = {"", "not json", "[]", "{}"};

    for (size_t i = 0; i < sizeof(values) / sizeof(*values); i++) {
        expect_entry(values[i], "servers/i-1", values[i], false);
    }
    expect_entry("an id without digits", "servers/monitor", target_value,
                 false);
    g_array_set_size(delta.targets, 0);
    assert_true(add_entry("servers/i-1", NULL));
    assert_true(g_array_index(delta.targets, struct target_record, 0).removed);
}

/* The key alone orders a failure domain to be emptied, whatever its value. */
static void
test_emptied_domains(void **state)
{
    char long_key[128];
    const struct {
        const char *key;
        const char *value;
        const char *domain; /* NULL: the entry is refused */
        bool removed;
    } cases[] = {
        {"op/evacuate/upper-hill", "{}", "upper-hill", false},
        {"op/evacuate/upper-hill", NULL, "upper-hill", true},
        {"op/evacuate/upper-hill", "", "upper-hill", false},
        {"op/evacuate/upper-hill", "\xff not json", "upper-hill", false},
        {"op/evacuate/upper-hill", "{\"evacuate\":false}", "upper-hill",
         false},
        {"op/evacuate/nowhere", "{}", "nowhere", false},
        {"op/evacuate/a/b", "{}", "a/b", false},
        {"op/evacuate/", "{}", NULL, false},
        {"op/evacuate/", NULL, NULL, false},
        {long_key, "{}", long_key + strlen("op/evacuate/"), false},
    };

    snprintf(long_key, sizeof(long_key), "op/evacuate/%0*d", ID_SIZE, 7);
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        const struct target_record *t;
        char id[TARGET_ID_SIZE];

        g_array_set_size(delta.targets, 0);
        assert_int_equal(add_entry(cases[i].key, cases[i].value),
                         cases[i].domain != NULL);
        assert_int_equal(delta.targets->len, cases[i].domain != NULL);
        if (cases[i].domain == NULL) {
            continue;
        }
        t = &g_array_index(delta.targets, struct target_record, 0);
        emptied_domain_id(cases[i].domain, id);
        assert_string_equal(t->id, id);
        assert_string_equal(t->domain, cases[i].domain);
        assert_int_equal(t->kind, RECORD_EMPTIED_DOMAIN);
        assert_int_equal(t->removed, cases[i].removed);
        assert_int_equal(t->position.revision, 7);
        assert_int_equal(t->created.revision, 5);
    }
}

/* Many orders have an id each, which no entry of a target can have. */
static void
test_many_emptied_domains(void **state)
{
    const unsigned count = 200;
    GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
    char key[64];

    for (unsigned i = 0; i < count; i++) {
        snprintf(key, sizeof(key), "op/evacuate/domain-%u", i);
        assert_true(add_entry(key, "{}"));
    }
    assert_int_equal(delta.targets->len, count);
    for (unsigned i = 0; i < count; i++) {
        g_hash_table_add(
            ids, g_array_index(delta.targets, struct target_record, i).id);
    }
    assert_int_equal(g_hash_table_size(ids), count);
    g_hash_table_destroy(ids);
    snprintf(key, sizeof(key), "servers/%s",
             g_array_index(delta.targets, struct target_record, 0).id);
    assert_false(add_entry(key, target_value));
    assert_int_equal(delta.targets->len, count);
}

static void
test_other_keys(void **state)
{
    static const char *const keys[] = {
        "op/other", "mine/x", "server/x", "", "op/evacuate", "op/evacuated/a"};

    for (size_t i = 0; i < sizeof(keys) / sizeof(*keys); i++) {
        assert_true(add_entry(keys[i], target_value));
    }
    assert_false(add_entry("servers/", target_value));
    assert_int_equal(delta.targets->len, 0);
    assert_false(delta.routes_complete);
}

/* A malformed route has no services, as long as its address can be read: its
 * open flows go on, and it gets no new ones. Else it is skipped. A
 * configuration without a list of routes changes nothing. */
static void
test_malformed_config(void **state)
{
    static const struct {
        const char *value;
        bool valid;           /* expected result of platform_add_entry() */
        bool routes_complete; /* the delta has a list of routes */
        guint routes;         /* number of routes in the delta */
        size_t shares;        /* of the first route */
    } cases[] = {
        {"{", false, false, 0},
        {"{\"routes\":{}}", false, false, 0},
        {"{}", false, false, 0},
        {"{\"routes\":[1]}", false, true, 0},
        {"{\"routes\":[{\"host\":\"1.2.3.4\",\"prefix\":\"/80/\"}]}", false,
         true, 1, 0},
        {"{\"routes\":[{\"host\":\"1.2.3.4\",\"prefix\":\"80\","
         "\"service\":\"s\"}]}",
         false, true, 0},
        {"{\"routes\":[{\"host\":\"1.2.3.4\",\"prefix\":\"/0/\","
         "\"service\":\"s\"}]}",
         false, true, 0},
        {"{\"routes\":[{\"host\":\"nowhere\",\"prefix\":\"/80/\","
         "\"service\":\"s\"},{\"host\":\"1.2.3.4\",\"prefix\":\"/80/\","
         "\"service\":\"s\"}]}",
         false, true, 1, 1},
        {"{\"routes\":[{\"host\":\"1.2.3.4\",\"prefix\":\"/80/\","
         "\"split\":[]}]}",
         false, true, 1, 0},
        {"{\"routes\":[{\"host\":\"1.2.3.4\",\"prefix\":\"/80/\","
         "\"priority\":-1,\"service\":\"s\"}]}",
         false, true, 1, 0},
        {"{\"routes\":[{\"host\":\"1.2.3.4\",\"prefix\":\"/80/\","
         "\"timeoutMs\":-1e300,\"service\":\"s\"}]}",
         false, true, 1, 0},
        {"{\"routes\":[{\"host\":\"1.2.3.4\",\"prefix\":\"/80/\","
         "\"split\":[{\"service\":\"s\",\"weight\":1},"
         "{\"service\":7,\"weight\":1}]}]}",
         false, true, 1, 0},
        {"{\"routes\":[]}", true, true, 0},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        teardown(state);
        setup(state);
        assert_int_equal(add_entry("op/config", cases[i].value),
                         cases[i].valid);
        assert_int_equal(delta.routes_complete, cases[i].routes_complete);
        assert_int_equal(delta.routes->len, cases[i].routes);
        if (cases[i].routes > 0) {
            assert_int_equal(route_record_share_count(&g_array_index(
                                 delta.routes, struct route_record, 0)),
                             cases[i].shares);
        }
    }
}

/* Entries with up to three random bytes must not crash the decoder. */
static void
test_mutations(void **state)
{
    char copy[sizeof(config_value)];
    struct random random;

    random_seed(&random, SEED);
    for (int i = 0; i < MUTATIONS; i++) {
        const char *from = i % 2 == 0 ? config_value : target_value;
        size_t len = strlen(from);

        memcpy(copy, from, len + 1);
        for (uint32_t n = 1 + random_below(&random, 3); n > 0; n--) {
            copy[random_below(&random, (uint32_t)len)] =
                (char)(1 + random_below(&random, 255));
        }
        add_entry(i % 2 == 0 ? "op/config" : "servers/i-7f3a91c2", copy);
        teardown(state);
        setup(state);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_config, setup, teardown),
        cmocka_unit_test_setup_teardown(test_kinds, setup, teardown),
        cmocka_unit_test_setup_teardown(test_regions, setup, teardown),
        cmocka_unit_test_setup_teardown(test_split_of_any_size, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_numbers_out_of_range, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_long_names, setup, teardown),
        cmocka_unit_test_setup_teardown(test_invalid_weights, setup, teardown),
        cmocka_unit_test_setup_teardown(test_cold_limits, setup, teardown),
        cmocka_unit_test_setup_teardown(test_later_config_replaces_earlier,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_target, setup, teardown),
        cmocka_unit_test_setup_teardown(test_stated_numbers, setup, teardown),
        cmocka_unit_test_setup_teardown(test_foreign_entries, setup, teardown),
        cmocka_unit_test_setup_teardown(test_unreadable_entries, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_emptied_domains, setup, teardown),
        cmocka_unit_test_setup_teardown(test_many_emptied_domains, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_other_keys, setup, teardown),
        cmocka_unit_test_setup_teardown(test_malformed_config, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_mutations, setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
