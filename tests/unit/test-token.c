#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "protocol/token.h"

#define COUNT(array) (sizeof(array) / sizeof(*(array)))

static const struct key_ring ring_old = {
    .count = 1, .keys = {{.id = 1, .secret = "the old secret"}}};
static const struct key_ring ring_both = {
    .count = 2,
    .keys = {{.id = 2, .secret = "the new secret"},
             {.id = 1, .secret = "the old secret"}}};
static const struct key_ring ring_new = {
    .count = 1, .keys = {{.id = 2, .secret = "the new secret"}}};
static const struct key_ring ring_reused_id = {
    .count = 1, .keys = {{.id = 1, .secret = "another secret"}}};
static const struct key_ring ring_empty = {.count = 0};

static const struct flow_token tokens[] = {
    {0},
    {.service = 0x01020304,
     .target = 0x0a0b0c,
     .home_addr = 0x7f000102,
     .home_port = 7401,
     .incarnation = 0x1122334455,
     .slot = 299999,
     .generation = 7},
    {.service = UINT32_MAX,
     .target = 0xffffff,
     .home_addr = UINT32_MAX,
     .home_port = UINT16_MAX,
     .incarnation = 0xffffffffffULL,
     .slot = UINT32_MAX,
     .generation = UINT32_MAX},
};

static void
assert_tokens_equal(const struct flow_token *a, const struct flow_token *b)
{
    assert_int_equal(a->service, b->service);
    assert_int_equal(a->target, b->target);
    assert_int_equal(a->home_addr, b->home_addr);
    assert_int_equal(a->home_port, b->home_port);
    assert_true(a->incarnation == b->incarnation);
    assert_int_equal(a->slot, b->slot);
    assert_int_equal(a->generation, b->generation);
}

/* A token that was sealed with the newest key of a ring opens with that ring
 * and has all its fields. */
static void
test_round_trips(void **state)
{
    for (size_t i = 0; i < COUNT(tokens); i++) {
        uint8_t sealed[TOKEN_SIZE];
        struct flow_token opened;

        token_seal(&tokens[i], &ring_both, sealed);
        assert_false(token_uses_old_key(&ring_both, sealed));
        assert_true(token_open(&opened, &ring_both, sealed, TOKEN_SIZE));
        assert_tokens_equal(&opened, &tokens[i]);
    }
}

/* Whether a token sealed with the first key of one ring opens with another
 * ring. */
static const struct {
    const struct key_ring *sealer;
    const struct key_ring *opener;
    bool opens;
} ring_cases[] = {
    {&ring_old, &ring_old, true},    {&ring_old, &ring_both, true},
    {&ring_old, &ring_new, false},   {&ring_old, &ring_reused_id, false},
    {&ring_both, &ring_new, true},   {&ring_both, &ring_old, false},
    {&ring_old, &ring_empty, false},
};

static void
test_rings(void **state)
{
    for (size_t i = 0; i < COUNT(ring_cases); i++) {
        uint8_t sealed[TOKEN_SIZE];
        struct flow_token opened;

        token_seal(&tokens[1], ring_cases[i].sealer, sealed);
        assert_int_equal(
            token_open(&opened, ring_cases[i].opener, sealed, TOKEN_SIZE),
            ring_cases[i].opens);
    }
}

/* A token with any single bit flipped is refused, including the bits of the
 * key id and the MAC. */
static void
test_flipped_bits(void **state)
{
    uint8_t sealed[TOKEN_SIZE];
    struct flow_token opened;

    token_seal(&tokens[1], &ring_both, sealed);
    for (size_t bit = 0; bit < TOKEN_SIZE * 8; bit++) {
        sealed[bit / 8] ^= (uint8_t)(1 << bit % 8);
        assert_false(token_open(&opened, &ring_both, sealed, TOKEN_SIZE));
        sealed[bit / 8] ^= (uint8_t)(1 << bit % 8);
    }
}

/* Only input of exactly TOKEN_SIZE bytes is accepted. */
static void
test_wrong_sizes(void **state)
{
    uint8_t sealed[TOKEN_SIZE + 1] = {0};
    struct flow_token opened;

    token_seal(&tokens[1], &ring_both, sealed);
    for (size_t size = 0; size <= sizeof(sealed); size++) {
        assert_int_equal(token_open(&opened, &ring_both, sealed, size),
                         size == TOKEN_SIZE);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_round_trips),
        cmocka_unit_test(test_rings),
        cmocka_unit_test(test_flipped_bits),
        cmocka_unit_test(test_wrong_sizes),
    };

    if (sodium_init() < 0) {
        return 1;
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}
