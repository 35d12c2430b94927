#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "protocol/envelope.h"
#include "protocol/packet.h"

#define COUNT(array) (sizeof(array) / sizeof(*(array)))

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
    for (size_t i = 0; i < COUNT(envelopes); i++) {
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

/* Every cut is refused, by the writer and by the reader. */
static void
test_cuts(void **state)
{
    uint8_t data[PACKET_SIZE_MAX];
    size_t size = envelope_build(&envelopes[0], data, sizeof(data));

    for (size_t cut = 0; cut < size; cut++) {
        uint8_t *exact = test_malloc(cut + 1);
        struct envelope out;

        assert_int_equal(envelope_build(&envelopes[0], exact, cut), 0);
        memcpy(exact, data, cut);
        assert_false(envelope_parse(&out, exact, cut));
        test_free(exact);
    }
}

static const struct {
    const char *name;
    const char *data;
    size_t size;
    bool valid;
} raw_cases[] = {
#define RAW(text) text, sizeof(text) - 1
    {"valid", RAW("\x97\x01\x01\x01\x01\x01\x01\xc4\x01x"), true},
    {"trailing byte", RAW("\x97\x01\x01\x01\x01\x01\x01\xc4\x01xy"), false},
    {"kind 0", RAW("\x97\x00\x01\x01\x01\x01\x01\xc4\x01x"), false},
    {"kind 4", RAW("\x97\x04\x01\x01\x01\x01\x01\xc4\x01x"), false},
    {"relay without a packet", RAW("\x97\x01\x01\x01\x01\x01\x01\xc4\x00"),
     false},
    {"accepted with a packet", RAW("\x97\x02\x01\x01\x01\x01\x01\xc4\x01x"),
     false},
    {"six fields", RAW("\x96\x02\x01\x01\x01\x01\xc4\x00"), false},
    {"port over 16 bits",
     RAW("\x97\x01\x01\x01\xce\x00\x01\x00\x00\x01\x01\xc4\x01x"), false},
    {"negative number", RAW("\x97\x01\xff\x01\x01\x01\x01\xc4\x01x"), false},
    {"string for the packet", RAW("\x97\x01\x01\x01\x01\x01\x01\xa1x"), false},
    {"binary longer than the datagram",
     RAW("\x97\x01\x01\x01\x01\x01\x01\xc6\xff\xff\xff\xffx"), false},
    {"array of 4 billion for a number",
     RAW("\x97\x01\xdd\xff\xff\xff\xff\x01\x01\x01\x01\xc4\x01x"), false},
    {"map of 4 billion for the packet",
     RAW("\x97\x01\x01\x01\x01\x01\x01\xdf\xff\xff\xff\xff"), false},
};

static void
test_raw(void **state)
{
    for (size_t i = 0; i < COUNT(raw_cases); i++) {
        struct envelope out;
        bool valid = envelope_parse(&out, (const uint8_t *)raw_cases[i].data,
                                    raw_cases[i].size);

        if (valid != raw_cases[i].valid) {
            fail_msg("%s", raw_cases[i].name);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_round_trips),
        cmocka_unit_test(test_cuts),
        cmocka_unit_test(test_raw),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
