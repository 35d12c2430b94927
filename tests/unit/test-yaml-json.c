#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "ctl/yaml-json.h"

/* Input file of all cases. */
static char path[] = "/tmp/test-yaml-json-XXXXXX";

static bool
load_text(const char *text, struct yaml_documents *docs, struct status *st)
{
    FILE *file = fopen(path, "w");

    assert_non_null(file);
    fputs(text, file);
    fclose(file);
    return yaml_documents_load(docs, path, st);
}

struct value_case {
    const char *yaml;
    const char *json; /* of all documents, separated by spaces */
};

static const struct value_case value_cases[] = {
    {"", ""},
    {"a: 1\n", "{\"a\":1}"},
    {"a: -1\n", "{\"a\":-1}"},
    {"a: 1.5\n", "{\"a\":\"1.5\"}"},
    {"a: 10.0.0.1\n", "{\"a\":\"10.0.0.1\"}"},
    {"a: '1'\n", "{\"a\":\"1\"}"},
    {"a: 99999999999999999999\n", "{\"a\":\"99999999999999999999\"}"},
    {"a: true\nb: \"true\"\n", "{\"a\":true,\"b\":\"true\"}"},
    {"a:\n", "{\"a\":null}"},
    {"a: [x, {b: 2}]\n", "{\"a\":[\"x\",{\"b\":2}]}"},
    {"a: &x [1]\nb: *x\n", "{\"a\":[1],\"b\":[1]}"},
    /* An alias that refers to itself expands up to the maximum depth. */
    {"a: &x [*x]\n", "{\"a\":[[[[[[[[[[[[[[[null]]]]]]]]]]]]]]]}"},
    {"a: 1\n---\nb: 2\n", "{\"a\":1} {\"b\":2}"},
};

static void
test_values(void **state)
{
    for (size_t i = 0; i < sizeof(value_cases) / sizeof(*value_cases); i++) {
        struct yaml_documents docs;
        struct status st;
        char text[256] = "";

        assert_true(load_text(value_cases[i].yaml, &docs, &st));
        for (size_t d = 0; d < docs.count; d++) {
            char *json = json_dumps(docs.items[d].json, JSON_COMPACT);
            size_t len = strlen(text);

            snprintf(text + len, sizeof(text) - len, "%s%s", d == 0 ? "" : " ",
                     json);
            free(json);
        }
        assert_string_equal(text, value_cases[i].json);
        yaml_documents_clear(&docs);
    }
}

/* The line of each document is the one on which its contents begin. */
static void
test_document_lines(void **state)
{
    struct yaml_documents docs;
    struct status st;

    assert_true(load_text("# first\na: 1\n---\n\nb: 2\n", &docs, &st));
    assert_int_equal(docs.count, 2);
    assert_int_equal(docs.items[0].line, 2);
    assert_int_equal(docs.items[1].line, 5);
    yaml_documents_clear(&docs);
}

/* Errors name the file, and the line if the file is not valid YAML. */
static void
test_errors(void **state)
{
    struct yaml_documents docs;
    struct status st;
    char expected[128];

    assert_false(load_text("a: 1\n---\nb: [\n", &docs, &st));
    snprintf(expected, sizeof(expected),
             "%s:4: did not find expected node content", path);
    assert_string_equal(st.message, expected);
    assert_false(yaml_documents_load(&docs, "/nonexistent.yaml", &st));
    assert_string_equal(st.message,
                        "/nonexistent.yaml: No such file or directory");
}

static int
make_file(void **state)
{
    int fd = mkstemp(path);

    return fd < 0 ? -1 : close(fd);
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
        cmocka_unit_test(test_values),
        cmocka_unit_test(test_document_lines),
        cmocka_unit_test(test_errors),
    };

    return cmocka_run_group_tests(tests, make_file, remove_file);
}
