#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/random.h"
#include "platform/packet-header.h"

#define SEED 20261203
#define MUTATIONS 20000

/* The opening packet (SYN) in the example that the platform has published */
static const uint8_t opening[] = {
    0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41, 0x64, 0x40, 0x00,
    0x07, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x02, 0x11, 0x22, 0x33,
    0x44, 0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5};
/* The reset that answers this opening packet, from the same example */
static const uint8_t reset[] = {0x9c, 0x41, 0x64, 0x40, 0x00, 0x07, 0x01, 0xbb,
                                0xc6, 0x12, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00,
                                0x00, 0x00, 0x10, 0x00, 0x00, 0x00, 0x00, 0x00,
                                0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

static void
test_published_example(void **state)
{
    uint8_t out[FLOW_PACKET_SIZE_MAX];
    struct flow_packet p;

    assert_true(platform_packet_format.parse(opening, sizeof(opening), &p));
    assert_int_equal(p.src_addr, 0x64400007);
    assert_int_equal(p.src_port, 40001);
    assert_int_equal(p.dst_addr, 0xc6120001);
    assert_int_equal(p.dst_port, 443);
    assert_int_equal(p.flags, FLOW_SYN);
    assert_int_equal(p.cookie, 0);
    assert_int_equal(p.seq, 0x11223344);
    assert_int_equal(p.ack, 0);
    assert_int_equal(p.length, 0);
    assert_int_equal(platform_packet_format.make_reset(&p, out),
                     sizeof(reset));
    assert_memory_equal(out, reset, sizeof(reset));
}

/* The reset of an open flow has the sequence number that the caller expects
 * next. */
static void
test_reset_of_open_flow(void **state)
{
    const struct flow_packet open = {.flags = FLOW_ACK, .ack = 0x01020304};
    uint8_t out[FLOW_PACKET_SIZE_MAX];
    struct flow_packet p;
    size_t size = platform_packet_format.make_reset(&open, out);

    assert_true(platform_packet_format.parse(out, size, &p));
    assert_int_equal(p.flags, FLOW_RST);
    assert_int_equal(p.seq, 0x01020304);
}

static void
test_flags(void **state)
{
    static const struct {
        uint8_t bits;
        unsigned flags;
    } cases[] = {
        {0, 0},
        {2, FLOW_SYN},
        {4, FLOW_FIN},
        {16, FLOW_RST},
        {32, FLOW_ACK},
        {34, FLOW_SYN | FLOW_ACK},
        {36, FLOW_FIN | FLOW_ACK},
        {128, 0},
        {1 | 8 | 64, 0},
    };
    uint8_t data[sizeof(opening)];
    struct flow_packet p;

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        memcpy(data, opening, sizeof(data));
        data[18] = cases[i].bits; /* flags field */
        assert_true(platform_packet_format.parse(data, sizeof(data), &p));
        assert_int_equal(p.flags, cases[i].flags);
    }
}

/* set_cookie() changes no byte other than those of the cookie. */
static void
test_cookie(void **state)
{
    uint8_t data[sizeof(opening)];
    struct flow_packet p;

    memcpy(data, opening, sizeof(data));
    platform_packet_format.set_cookie(data, 0xdeadbeef);
    assert_true(platform_packet_format.parse(data, sizeof(data), &p));
    assert_int_equal(p.cookie, 0xdeadbeef);
    memset(data + 12, 0, 4);
    assert_memory_equal(data, opening, sizeof(data));
}

/* A datagram is rejected when its size differs from the header size plus the
 * value of its length field. */
static void
test_length_mismatch(void **state)
{
    uint8_t data[sizeof(opening) + 8] = {0};
    struct flow_packet p;

    memcpy(data, opening, sizeof(opening));
    for (size_t size = 0; size <= sizeof(data); size++) {
        assert_int_equal(platform_packet_format.parse(data, size, &p),
                         size == sizeof(opening));
    }
    data[17] = 8; /* low byte of the length field */
    assert_true(platform_packet_format.parse(data, sizeof(data), &p));
    assert_int_equal(p.length, 8);
}

/* Datagrams with random bytes and sizes: the parser accepts only those whose
 * size matches their length field. */
static void
test_mutations(void **state)
{
    struct random random;
    uint8_t data[64];
    struct flow_packet p;

    random_seed(&random, SEED);
    for (int i = 0; i < MUTATIONS; i++) {
        size_t size = random_below(&random, sizeof(data));

        memcpy(data, opening, sizeof(opening));
        for (size_t j = 0; j < sizeof(data); j++) {
            if (random_below(&random, 4) == 0) {
                data[j] = (uint8_t)random_next(&random);
            }
        }
        if (platform_packet_format.parse(data, size, &p)) {
            assert_true(size == 31U + p.length);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_published_example),
        cmocka_unit_test(test_reset_of_open_flow),
        cmocka_unit_test(test_flags),
        cmocka_unit_test(test_cookie),
        cmocka_unit_test(test_length_mismatch),
        cmocka_unit_test(test_mutations),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
