#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "protocol/envelope.h"
#include "protocol/packet.h"

#define ARRAY_LENGTH(array) (sizeof(array) / sizeof(*(array)))

static const uint8_t packet[PACKET_SIZE_MAX] = {0x40, 0x02, 0x12, 0x34};

static const struct envelope envelopes[] = {
    {.kind = ENVELOPE_RELAY,
     .relay_id = 1,
     .caller_addr = 0x7f000001,
     .caller_port = 40000,
     .service_port = 5683,
     .incarnation = 0x1122334455,
     .packet = packet,
     .packet_len = 4},
    {.kind = ENVELOPE_ACCEPTED, .relay_id = 0, .incarnation = 1},
    {.kind = ENVELOPE_REJECTED, .relay_id = UINT32_MAX},
    {.kind = ENVELOPE_RELAY,
     .relay_id = UINT32_MAX,
     .caller_addr = UINT32_MAX,
     .caller_port = UINT16_MAX,
     .service_port = UINT16_MAX,
     .incarnation = UINT64_MAX,
     .packet = packet,
     .packet_len = sizeof(packet)},
};

static void
test_round_trips(void **state)
{
    for (size_t i = 0; i < ARRAY_LENGTH(envelopes); i++) {
        const struct envelope *in = &envelopes[i];
        uint8_t data[PACKET_SIZE_MAX + ENVELOPE_OVERHEAD_MAX];
        struct envelope out;
        size_t size = envelope_build(in, data, sizeof(data));

        assert_in_range(size, 1, in->packet_len + ENVELOPE_OVERHEAD_MAX);
        assert_true(envelope_parse(&out, data, size));
        assert_int_equal(out.kind, in->kind);
        assert_int_equal(out.relay_id, in->relay_id);
        assert_int_equal(out.caller_addr, in->caller_addr);
        assert_int_equal(out.caller_port, in->caller_port);
        assert_int_equal(out.service_port, in->service_port);
        assert_true(out.incarnation == in->incarnation);
        assert_int_equal(out.packet_len, in->packet_len);
        if (in->packet_len > 0) {
            assert_memory_equal(out.packet, in->packet, in->packet_len);
            assert_in_range((uintptr_t)out.packet, (uintptr_t)data,
                            (uintptr_t)data + size);
        }
    }
}

/* envelope_build() refuses every buffer that is too small, and
 * envelope_parse() every datagram that is cut off. */
static void
test_truncated_is_refused(void **state)
{
    uint8_t data[PACKET_SIZE_MAX];
    size_t size = envelope_build(&envelopes[0], data, sizeof(data));

    for (size_t len = 0; len < size; len++) {
        uint8_t *buffer = test_malloc(len + 1);
        struct envelope out;

        assert_int_equal(envelope_build(&envelopes[0], buffer, len), 0);
        memcpy(buffer, data, len);
        assert_false(envelope_parse(&out, buffer, len));
        test_free(buffer);
    }
}

/* Datagrams, as bytes of MessagePack, and whether they are valid envelopes. */
static const struct {
    const char *name;
    const char *data;
    size_t size;
    bool valid;
} datagrams[] = {
#define BYTES(literal) literal, sizeof(literal) - 1
    {"valid", BYTES("\x97\x01\x01\x01\x01\x01\x01\xc4\x01x"), true},
    {"trailing byte", BYTES("\x97\x01\x01\x01\x01\x01\x01\xc4\x01xy"), false},
    {"kind 0 (too low)", BYTES("\x97\x00\x01\x01\x01\x01\x01\xc4\x01x"),
     false},
    {"kind 4 (too high)", BYTES("\x97\x04\x01\x01\x01\x01\x01\xc4\x01x"),
     false},
    {"relay without a packet", BYTES("\x97\x01\x01\x01\x01\x01\x01\xc4\x00"),
     false},
    {"accepted with a packet", BYTES("\x97\x02\x01\x01\x01\x01\x01\xc4\x01x"),
     false},
    {"six fields", BYTES("\x96\x02\x01\x01\x01\x01\xc4\x00"), false},
    {"port over 16 bits",
     BYTES("\x97\x01\x01\x01\xce\x00\x01\x00\x00\x01\x01\xc4\x01x"), false},
    {"negative number", BYTES("\x97\x01\xff\x01\x01\x01\x01\xc4\x01x"), false},
    {"string instead of the packet",
     BYTES("\x97\x01\x01\x01\x01\x01\x01\xa1x"), false},
    {"binary longer than the datagram",
     BYTES("\x97\x01\x01\x01\x01\x01\x01\xc6\xff\xff\xff\xffx"), false},
    {"array of 4 billion elements instead of a number",
     BYTES("\x97\x01\xdd\xff\xff\xff\xff\x01\x01\x01\x01\xc4\x01x"), false},
    {"map of 4 billion entries instead of the packet",
     BYTES("\x97\x01\x01\x01\x01\x01\x01\xdf\xff\xff\xff\xff"), false},
};

static void
test_datagram_validity(void **state)
{
    for (size_t i = 0; i < ARRAY_LENGTH(datagrams); i++) {
        struct envelope out;
        bool valid = envelope_parse(&out, (const uint8_t *)datagrams[i].data,
                                    datagrams[i].size);

        if (valid != datagrams[i].valid) {
            fail_msg("%s: wrong result of envelope_parse()",
                     datagrams[i].name);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_round_trips),
        cmocka_unit_test(test_truncated_is_refused),
        cmocka_unit_test(test_datagram_validity),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
