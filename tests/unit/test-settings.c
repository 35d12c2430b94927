#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/settings.h"

#define HOST "host: {id: entry-1, domain: hall-a, address: 127.0.1.1}\n"
#define PLATFORM "platform: {endpoints: [{address: 127.0.0.1, port: 2379}]}\n"

static char path[] = "/tmp/test-settings-XXXXXX";

/* Writes the text to the file at "path" and loads that file. */
static struct settings *
load_settings_text(const char *text, struct status *st)
{
    FILE *file = fopen(path, "w");

    assert_non_null(file);
    fputs(text, file);
    fclose(file);
    return settings_load(path, st);
}

struct invalid_case {
    const char *text;
    const char *message; /* without the path of the file in front of it */
};

static const struct invalid_case invalid_cases[] = {
    {"", ": the file is empty"},
    {"[1, 2]\n", ":1: Expecting MAPPING, got event: SEQUENCE_START"},
    {HOST, ":1: platform: required, but missing"},
    {"host: {id: a}\n", ":1: host.domain: required, but missing"},
    {HOST "platform: {endpoints: [{port: 1}]}\n",
     ":2: platform.endpoints[0].address: required, but missing"},
    {HOST "platform: {endpoints: []}\n",
     ":2: platform.endpoints: at least one is needed"},
    {HOST PLATFORM "hosts: 3\n", ":3: hosts: unknown key"},
    {"host: {id: a, domain: b, address: 1.2.3.4, x: 1}\n" PLATFORM,
     ":1: host.x: unknown key"},
    {"host:\n  id: a b\n  domain: b\n  address: 1.2.3.4\n" PLATFORM,
     ":2: host.id: expected 1 to 63 letters, digits, \".\", \"_\" or \"-\", "
     "starting with a letter or digit"},
    {"host:\n  id: a\n  domain: \"\"\n  address: 1.2.3.4\n" PLATFORM,
     ":3: host.domain: expected 1 to 63 letters, digits, \".\", \"_\" or "
     "\"-\", starting with a letter or digit"},
    {"host:\n  id: a\n  domain: b\n  address: entry-1\n" PLATFORM,
     ":4: host.address: \"entry-1\" is not a dotted IPv4 address"},
    {"host:\n  id: a\n  domain: b\n  address: 0.0.0.0\n" PLATFORM,
     ":4: host.address: 0.0.0.0 is not the address of one host"},
    {"host:\n  id: a\n  domain: b\n  address: 224.0.0.1\n" PLATFORM,
     ":4: host.address: 224.0.0.1 is not the address of one host"},
    {HOST PLATFORM "ports:\n  api: 0\n",
     ":4: ports.api: a port is a number from 1 to 65535"},
    {HOST PLATFORM "ports:\n  api: 65536\n",
     ":4: ports.api: '65536' is not a number in the range of this key"},
    {HOST PLATFORM "ports:\n  api: 7402\n",
     ":4: ports.api: 7402 is also the gossip port"},
    {HOST PLATFORM "seeds:\n  - {address: 1.2.3.4, port: 1}\n"
                   "  - {address: 1.2.3.4, port: 1}\n",
     ":5: seeds[1]: same address and port as seeds[0]"},
    {HOST PLATFORM "seeds:\n  - {address: 1.2.3.4, port: 1}\n"
                   "  - {address: 1.2.3, port: 1}\n",
     ":5: seeds[1].address: \"1.2.3\" is not a dotted IPv4 address"},
    {HOST PLATFORM "seeds:\n  - {address: 1.2.3.4, port: x}\n",
     ":4: seeds[0].port: 'x' is not a number in the range of this key"},
    {HOST PLATFORM "log: {level: loud}\n",
     ":3: log.level: \"loud\" is none of debug, info, warn, error"},
    {HOST PLATFORM "log: {format: xml}\n",
     ":3: log.format: \"xml\" is none of text, json"},
    {HOST PLATFORM "limits:\n  flows: 0\n",
     ":4: limits.flows: 0 is outside 1 to 4000000"},
    {HOST PLATFORM "limits:\n  queue: 65537\n",
     ":4: limits.queue: 65537 is outside 1 to 65536"},
    {HOST PLATFORM "limits:\n  answer_bytes: -1\n",
     ":4: limits.answer_bytes: '-1' is not a number in the range of this key"},
    {HOST PLATFORM "limits:\n  drain_timeout_ms: 86400001\n",
     ":4: limits.drain_timeout_ms: 86400001 is outside 1 to 86400000"},
};

static void
test_invalid_settings(void **state)
{
    char expected[STATUS_MESSAGE_SIZE];
    struct status st;

    for (size_t i = 0; i < sizeof(invalid_cases) / sizeof(*invalid_cases);
         i++) {
        assert_null(load_settings_text(invalid_cases[i].text, &st));
        snprintf(expected, sizeof(expected), "%s%s", path,
                 invalid_cases[i].message);
        assert_string_equal(st.message, expected);
        assert_int_equal(st.kind, ERR_SETTINGS);
    }
}

static void
test_missing_file(void **state)
{
    struct status st;

    assert_null(settings_load("/nonexistent/settings.yaml", &st));
    assert_string_equal(st.message,
                        "/nonexistent/settings.yaml: No such file or "
                        "directory");
}

static void
test_defaults(void **state)
{
    struct status st;
    struct settings *s = load_settings_text(HOST PLATFORM, &st);

    assert_non_null(s);
    assert_string_equal(s->host.id, "entry-1");
    assert_int_equal(s->ports.relay, 7401);
    assert_int_equal(s->ports.gossip, 7402);
    assert_int_equal(s->ports.api, 7403);
    assert_int_equal(s->platform.endpoints_count, 1);
    assert_int_equal(s->platform.endpoints[0].port, 2379);
    assert_int_equal(s->seeds_count, 0);
    assert_string_equal(s->log.level, "info");
    assert_string_equal(s->log.format, "text");
    assert_int_equal(s->limits.flows, 300000);
    assert_int_equal(s->limits.drain_timeout_ms, 300000);
    settings_destroy(s);
}

static void
test_given_values(void **state)
{
    struct status st;
    struct settings *s = load_settings_text(
        HOST PLATFORM "ports: {relay: 1, gossip: 2, api: 3}\n"
                      "log: {level: debug, format: json}\n"
                      "limits: {flows: 7, queue: 8}\n"
                      "seeds: [{address: 1.2.3.4, port: 9}]\n",
        &st);

    assert_non_null(s);
    assert_int_equal(s->ports.relay, 1);
    assert_int_equal(s->ports.api, 3);
    assert_string_equal(s->log.format, "json");
    assert_int_equal(s->limits.flows, 7);
    assert_int_equal(s->limits.queue, 8);
    assert_int_equal(s->seeds_count, 1);
    assert_string_equal(s->seeds[0].address, "1.2.3.4");
    settings_destroy(s);
}

static int
create_file(void **state)
{
    int fd = mkstemp(path);

    if (fd < 0) {
        return -1;
    }
    close(fd);
    return 0;
}

static int
remove_file(void **state)
{
    return unlink(path);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_invalid_settings),
        cmocka_unit_test(test_missing_file),
        cmocka_unit_test(test_defaults),
        cmocka_unit_test(test_given_values),
    };

    return cmocka_run_group_tests(tests, create_file, remove_file);
}
