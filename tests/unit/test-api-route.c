#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "daemon/api-route.h"

struct route_case {
    const char *path;
    enum api_route_kind kind;
    enum resource_kind resource;
    const char *name;
};

static const struct route_case route_cases[] = {
    {"/v1/services", ROUTE_LIST, RESOURCE_SERVICE, ""},
    {"/v1/services/rigctl", ROUTE_RESOURCE, RESOURCE_SERVICE,
     "service/rigctl"},
    {"/v1/targets", ROUTE_LIST, RESOURCE_TARGET, ""},
    {"/v1/targets/rigctl", ROUTE_LIST, RESOURCE_TARGET, "target/rigctl/"},
    {"/v1/targets/rigctl/t1", ROUTE_RESOURCE, RESOURCE_TARGET,
     "target/rigctl/t1"},
    {"/v1/hosts/h1", ROUTE_RESOURCE, RESOURCE_HOST, "host/h1"},
    {"/v1/key-rings", ROUTE_LIST, RESOURCE_KEY_RING, ""},
    {"/v1/key-rings/tokens", ROUTE_RESOURCE, RESOURCE_KEY_RING,
     "key_ring/tokens"},
    {"/v1/writes/0123456789abcdef0123456789abcdef", ROUTE_WRITE, 0, ""},
    {"/v1/status", ROUTE_STATUS, 0, ""},
    {"/v1/events", ROUTE_EVENTS, 0, ""},
    {"/metrics", ROUTE_METRICS, 0, ""},
};

static void
test_known_paths(void **state)
{
    for (size_t i = 0; i < sizeof(route_cases) / sizeof(*route_cases); i++) {
        const struct route_case *c = &route_cases[i];
        struct api_route route;
        struct status st;

        assert_true(api_route_parse(&route, c->path, &st));
        assert_int_equal(route.kind, c->kind);
        assert_int_equal(route.resource, c->resource);
        assert_string_equal(route.name, c->name);
    }
}

static void
test_unknown_paths_are_not_found(void **state)
{
    static const char *const paths[] = {
        "",
        "/",
        "/v1",
        "/v1/",
        "/v2/services",
        "/v1/service",
        "/v1/services/",
        "/v1/services/a/b",
        "/v1/services/a%2fb",
        "/v1/services/..",
        "/v1/targets/a/b/c",
        "/v1/targets//b",
        "/v1/key-rings/other",
        "/v1/writes",
        "/v1/writes/",
        "/v1/status/x",
        "/metrics/",
    };

    for (size_t i = 0; i < sizeof(paths) / sizeof(*paths); i++) {
        struct api_route route;
        struct status st;

        if (api_route_parse(&route, paths[i], &st)) {
            fail_msg("path \"%s\" was accepted", paths[i]);
        }
        assert_int_equal(st.kind, ERR_NOT_FOUND);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_known_paths),
        cmocka_unit_test(test_unknown_paths_are_not_found),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
