#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "protocol/resource-json.h"

/* The last required member of a service, and the end of its object */
#define SERVICE_END ",\"domains\":[\"a\"]}"
#define ID_RULE                                                               \
    "expected 1 to 63 letters, digits, \".\", \"_\" or \"-\", starting with " \
    "a letter or digit"

struct invalid_case {
    enum resource_kind kind;
    const char *text;
    const char *message;
};

static const struct invalid_case invalid_cases[] = {
    {RESOURCE_SERVICE, "{", "line 1: string or '}' expected near end of file"},
    {RESOURCE_SERVICE, "[]", ": not a JSON object"},
    {RESOURCE_SERVICE, "{}", "tenant: required, but missing"},
    {RESOURCE_SERVICE, "{\"tenant\":1}", "tenant: not a string"},
    {RESOURCE_SERVICE, "{\"tenant\":\"\"}", "tenant: " ID_RULE},
    {RESOURCE_SERVICE, "{\"tenant\":\"a\\u0000b\"}",
     "line 1: \\u0000 is not allowed without JSON_ALLOW_NUL near "
     "'\"a\\u0000b\"'"},
    {RESOURCE_SERVICE, "{\"tenant\":\"t\"}", "port: required, but missing"},
    {RESOURCE_SERVICE, "{\"tenant\":\"t\",\"port\":0}",
     "port: 0 is outside 1 to 65535"},
    {RESOURCE_SERVICE, "{\"tenant\":\"t\",\"port\":65536}",
     "port: 65536 is outside 1 to 65535"},
    {RESOURCE_SERVICE, "{\"tenant\":\"t\",\"port\":\"80\"}",
     "port: not a whole number"},
    {RESOURCE_SERVICE, "{\"tenant\":\"t\",\"port\":80.0}",
     "port: not a whole number"},
    {RESOURCE_SERVICE, "{\"tenant\":\"t\",\"port\":80}",
     "domains: required, but missing"},
    {RESOURCE_SERVICE, "{\"tenant\":\"t\",\"port\":80,\"domains\":\"a\"}",
     "domains: not a list"},
    {RESOURCE_SERVICE, "{\"tenant\":\"t\",\"port\":80,\"domains\":[]}",
     "domains: 0 entries, expected 1 to 16"},
    {RESOURCE_SERVICE,
     "{\"tenant\":\"t\",\"port\":80,\"domains\":[\"a\",\"/\"]}",
     "domains[1]: " ID_RULE},
    {RESOURCE_SERVICE,
     "{\"tenant\":\"t\",\"port\":80,\"domains\":[\"a\",\"b\",\"a\"]}",
     "domains[2]: same as domains[0]"},
    {RESOURCE_SERVICE,
     "{\"tenant\":\"t\",\"port\":80,\"deadline_ms\":0" SERVICE_END,
     "deadline_ms: 0 is outside 1 to 600000"},
    {RESOURCE_SERVICE,
     "{\"tenant\":\"t\",\"port\":80,\"body_limit\":1048577" SERVICE_END,
     "body_limit: 1048577 is outside 1 to 1048576"},
    {RESOURCE_SERVICE,
     "{\"tenant\":\"t\",\"port\":80,\"tenant_in_path\":1" SERVICE_END,
     "tenant_in_path: not true or false"},
    {RESOURCE_SERVICE, "{\"tenant\":\"t\",\"port\":80,\"x\":1" SERVICE_END,
     "x: unknown field"},
    {RESOURCE_SERVICE, "{\"deleted\":false}", "deleted: unknown field"},
    {RESOURCE_SERVICE, "{\"id\":\"b\"}", "id: expected \"r1\""},
    {RESOURCE_SERVICE, "{\"kind\":\"host\"}", "kind: expected \"service\""},
    {RESOURCE_SERVICE, "{\"id\":\"r1\",\"id\":\"r1\"}",
     "line 1: duplicate object key near '\"id\"'"},
    {RESOURCE_TARGET, "{\"service\":\"other\"}", "service: expected \"s1\""},
    {RESOURCE_TARGET, "{\"domain\":\"a\"}", "address: required, but missing"},
    {RESOURCE_TARGET, "{\"domain\":\"a\",\"address\":\"1.2.3\"}",
     "address: not a dotted IPv4 address"},
    {RESOURCE_TARGET, "{\"domain\":\"a\",\"address\":\"0.0.0.0\"}",
     "address: 0.0.0.0 is not the address of one host"},
    {RESOURCE_TARGET, "{\"domain\":\"a\",\"address\":\"1.2.3.4\",\"port\":1}",
     "slots: required, but missing"},
    {RESOURCE_TARGET,
     "{\"domain\":\"a\",\"address\":\"1.2.3.4\",\"port\":1,\"slots\":2}",
     "connections: required, but missing"},
    {RESOURCE_TARGET,
     "{\"domain\":\"a\",\"address\":\"1.2.3.4\",\"port\":1,\"slots\":2,"
     "\"connections\":5,\"state\":\"gone\"}",
     "state: expected \"active\" or \"draining\""},
    {RESOURCE_HOST, "{\"domain\":\"a\",\"address\":true}",
     "address: not a dotted IPv4 address"},
    {RESOURCE_HOST, "{\"domain\":\"a\",\"address\":\"1.2.3.4\",\"port\":1}",
     "port: unknown field"},
    {RESOURCE_KEY_RING, "{}", "keys: required, a list"},
    {RESOURCE_KEY_RING, "{\"keys\":[]}", "keys: 0 entries, expected 1 to 4"},
    {RESOURCE_KEY_RING, "{\"keys\":[1]}", "keys[0]: not an object"},
    {RESOURCE_KEY_RING, "{\"keys\":[{\"id\":256}]}",
     "keys[0].id: 256 is outside 1 to 255"},
    {RESOURCE_KEY_RING, "{\"keys\":[{\"id\":1},{\"id\":1}]}",
     "keys[1].id: same as keys[0].id"},
    {RESOURCE_KEY_RING, "{\"keys\":[{\"id\":1,\"secret\":\"x\"}]}",
     "keys[0].secret: unknown field"},
};

/* Sets the fields that are not read from the text: the kind, the id and the
 * service of a target. A caller takes them from the store key or the URL. */
static void
init_resource(struct resource *r, enum resource_kind kind)
{
    memset(r, 0, sizeof(*r));
    r->kind = kind;
    strncpy(r->id, "r1", ID_SIZE - 1);
    if (kind == RESOURCE_TARGET) {
        strncpy(r->target.service, "s1", ID_SIZE - 1);
    }
}

static void
test_invalid_texts(void **state)
{
    for (size_t i = 0; i < sizeof(invalid_cases) / sizeof(*invalid_cases);
         i++) {
        const struct invalid_case *c = &invalid_cases[i];
        struct resource r;
        struct status st;

        init_resource(&r, c->kind);
        assert_false(resource_json_parse(&r, RESOURCE_JSON_OPERATOR, c->text,
                                         strlen(c->text), &st));
        assert_string_equal(st.message, c->message);
        assert_int_equal(st.kind, ERR_INVALID);
    }
}

/* The 32 bytes 0 to 31 in base64 */
#define SECRET_BASE64 "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8="

/* Texts that must be the same after resource_json_parse() and
 * resource_json_build() */
struct round_trip {
    enum resource_kind kind;
    enum resource_json_form form;
    const char *text;
};

static const struct round_trip round_trips[] = {
    {RESOURCE_SERVICE, RESOURCE_JSON_STORE,
     "{\"kind\":\"service\",\"id\":\"r1\",\"version\":3,\"writes\":[\"ab\","
     "\"cd\"],\"deleted\":false,\"tenant\":\"jibu\",\"port\":5683,"
     "\"domains\":[\"karen\",\"westlands\"],\"deadline_ms\":900,"
     "\"body_limit\":4096,\"tenant_in_path\":true}"},
    {RESOURCE_TARGET, RESOURCE_JSON_STORE,
     "{\"kind\":\"target\",\"id\":\"r1\",\"version\":1,\"writes\":[],"
     "\"deleted\":false,\"service\":\"s1\",\"domain\":\"hall-a\",\"address\":"
     "\"10.1.2.3\",\"port\":8080,\"slots\":2,\"connections\":2000,\"state\":"
     "\"draining\"}"},
    {RESOURCE_HOST, RESOURCE_JSON_STORE,
     "{\"kind\":\"host\",\"id\":\"r1\",\"version\":1,\"writes\":[],"
     "\"deleted\":false,\"domain\":\"hall-a\",\"address\":\"10.1.2.3\","
     "\"state\":\"active\"}"},
    {RESOURCE_KEY_RING, RESOURCE_JSON_STORE,
     "{\"kind\":\"key_ring\",\"id\":\"r1\",\"version\":1,\"writes\":[],"
     "\"deleted\":false,\"keys\":[{\"id\":7,\"secret\":\"" SECRET_BASE64
     "\"}]}"},
    {RESOURCE_TARGET, RESOURCE_JSON_STORE,
     "{\"kind\":\"target\",\"id\":\"r1\",\"version\":9,\"writes\":[\"ab\"],"
     "\"deleted\":true}"},
    {RESOURCE_TARGET, RESOURCE_JSON_STORE,
     "{\"kind\":\"target\",\"id\":\"r1\",\"version\":2,\"writes\":[],"
     "\"deleted\":true,\"service\":\"s1\",\"domain\":\"hall-a\",\"address\":"
     "\"10.1.2.3\",\"port\":8080,\"slots\":2,\"connections\":2000,\"state\":"
     "\"active\"}"},
};

static void
test_round_trips(void **state)
{
    for (size_t i = 0; i < sizeof(round_trips) / sizeof(*round_trips); i++) {
        const struct round_trip *c = &round_trips[i];
        struct resource r;
        struct status st;
        char *text;

        init_resource(&r, c->kind);
        assert_true(
            resource_json_parse(&r, c->form, c->text, strlen(c->text), &st));
        text = resource_json_build(&r, c->form);
        assert_string_equal(text, c->text);
        free(text);
    }
}

/* The form for operators has neither secrets nor write ids. */
static void
test_operator_form_omits_secrets(void **state)
{
    struct resource r;
    struct status st;
    char *text;

    init_resource(&r, RESOURCE_KEY_RING);
    assert_true(resource_json_parse(&r, RESOURCE_JSON_STORE,
                                    round_trips[3].text,
                                    strlen(round_trips[3].text), &st));
    assert_int_equal(r.key_ring.keys[0].secret[31], 31);
    text = resource_json_build(&r, RESOURCE_JSON_OPERATOR);
    assert_string_equal(text, "{\"kind\":\"key_ring\",\"id\":\"r1\","
                              "\"version\":1,\"keys\":[{\"id\":7}]}");
    free(text);
}

/* The error message for an invalid secret does not contain the secret. */
static void
test_invalid_secret_is_not_in_message(void **state)
{
    static const char text[] = "{\"version\":1,\"keys\":[{\"id\":7,"
                               "\"secret\":\"c2hvcnQ=\"}]}";
    struct resource r;
    struct status st;

    init_resource(&r, RESOURCE_KEY_RING);
    assert_false(
        resource_json_parse(&r, RESOURCE_JSON_STORE, text, strlen(text), &st));
    assert_string_equal(st.message, "keys[0].secret: not 32 bytes in base64");
}

/* Unknown members of a stored resource are ignored, because a newer release
 * may have written them. */
static void
test_unknown_member_in_store(void **state)
{
    static const char text[] = "{\"version\":1,\"domain\":\"a\",\"address\":"
                               "\"1.2.3.4\",\"weight\":3}";
    struct resource r;
    struct status st;

    init_resource(&r, RESOURCE_HOST);
    assert_true(
        resource_json_parse(&r, RESOURCE_JSON_STORE, text, strlen(text), &st));
    assert_int_equal(r.host.addr, 0x01020304);
}

static void
test_defaults(void **state)
{
    static const char text[] = "{\"tenant\":\"t\",\"port\":80" SERVICE_END;
    struct resource r;
    struct status st;

    init_resource(&r, RESOURCE_SERVICE);
    assert_true(resource_json_parse(&r, RESOURCE_JSON_OPERATOR, text,
                                    strlen(text), &st));
    assert_int_equal(r.service.deadline_ms, 10000);
    assert_int_equal(r.service.body_limit, 65536);
    assert_false(r.service.tenant_in_path);
    assert_int_equal(r.service.domain_count, 1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_invalid_texts),
        cmocka_unit_test(test_round_trips),
        cmocka_unit_test(test_operator_form_omits_secrets),
        cmocka_unit_test(test_invalid_secret_is_not_in_message),
        cmocka_unit_test(test_unknown_member_in_store),
        cmocka_unit_test(test_defaults),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
