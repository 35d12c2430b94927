#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "state/body-assembly.h"

/* Maximum total size of all bodies, bytes */
#define BYTES_MAX 4096
/* Maximum size of one body, bytes */
#define BODY_LIMIT 40
#define START_US (10 * USEC_PER_SEC)

static const char body_text[] =
    "abcdefghijklmnopqrstuvwxyz0123456789-----------";

/* Blocks of one body in the order of their arrival, and the result of each.
 * "num" is the number of the block; all blocks but the last have 16 bytes. */
static const struct {
    const char *name;
    struct {
        unsigned num;
        bool more;
        size_t size;
        enum body_result result;
    } steps[5];
    size_t count;     /* of "steps" */
    size_t body_size; /* of the complete body, bytes; 0: not complete */
} cases[] = {
    {"in order",
     {{0, true, 16, BODY_MORE},
      {1, true, 16, BODY_MORE},
      {2, false, 4, BODY_COMPLETE}},
     3,
     36},
    {"duplicate blocks",
     {{0, true, 16, BODY_MORE},
      {0, true, 16, BODY_MORE},
      {1, true, 16, BODY_MORE},
      {0, true, 16, BODY_MORE},
      {2, false, 4, BODY_COMPLETE}},
     5,
     36},
    {"first block is missing", {{1, true, 16, BODY_INCOMPLETE}}, 1, 0},
    {"a block is missing",
     {{0, true, 16, BODY_MORE},
      {2, false, 4, BODY_INCOMPLETE},
      {1, true, 16, BODY_MORE},
      {2, false, 4, BODY_COMPLETE}},
     4,
     36},
    {"over the limit",
     {{0, true, 16, BODY_MORE},
      {1, true, 16, BODY_MORE},
      {2, false, 9, BODY_TOO_LARGE}},
     3,
     0},
    {"an empty last block",
     {{0, true, 16, BODY_MORE}, {1, false, 0, BODY_COMPLETE}},
     2,
     16},
};

static struct body_block
make_block(unsigned num, bool more, size_t size)
{
    struct body_block block = {
        .slot = 3,
        .generation = 1,
        .id = 9,
        .offset = (uint64_t)num * 16,
        .more = more,
        .data = (const uint8_t *)body_text + (size_t)num * 16,
        .size = size,
        .limit = BODY_LIMIT,
    };

    return block;
}

static void
test_block_sequences(void **state)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct body_assemblies *bodies = body_assemblies_new(BYTES_MAX);
        struct body_block block = make_block(0, false, 0);
        size_t size;

        for (size_t j = 0; j < cases[i].count; j++) {
            enum body_result result;

            block = make_block(cases[i].steps[j].num, cases[i].steps[j].more,
                               cases[i].steps[j].size);
            result = body_assemblies_add(bodies, &block, START_US);
            if (result != cases[i].steps[j].result) {
                fail_msg("%s, step %zu: unexpected result %d", cases[i].name,
                         j, result);
            }
        }
        if (cases[i].body_size > 0) {
            const uint8_t *data = body_assemblies_get(bodies, &block, &size);

            assert_int_equal(size, cases[i].body_size);
            assert_memory_equal(data, body_text, size);
        }
        body_assemblies_destroy(bodies);
    }
}

/* Blocks with another request id or flow generation belong to another body.
 * The total size of all bodies is limited, here to 32 bytes. A body that has
 * had no new block for more than 30 s expires, which frees its bytes. */
static void
test_bodies_separate_and_bounded(void **state)
{
    struct body_assemblies *bodies = body_assemblies_new(32);
    struct body_block a = make_block(0, true, 16);
    struct body_block b = make_block(0, true, 16);
    struct body_block c = make_block(0, true, 16);

    b.id = 10;
    c.generation = 2;
    assert_int_equal(body_assemblies_add(bodies, &a, START_US), BODY_MORE);
    assert_int_equal(body_assemblies_add(bodies, &b, START_US), BODY_MORE);
    assert_int_equal(body_assemblies_add(bodies, &c, START_US), BODY_NO_ROOM);
    body_assemblies_expire(bodies, START_US + 31 * USEC_PER_SEC);
    assert_int_equal(body_assemblies_add(bodies, &c, START_US), BODY_MORE);
    a = make_block(1, false, 4);
    assert_int_equal(body_assemblies_add(bodies, &a, START_US),
                     BODY_INCOMPLETE);
    body_assemblies_destroy(bodies);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_block_sequences),
        cmocka_unit_test(test_bodies_separate_and_bounded),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
