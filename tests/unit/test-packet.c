#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "protocol/packet.h"

#define COUNT(array) (sizeof(array) / sizeof(*(array)))

/* Datagrams with the result of packet_parse() */
static const struct {
    const char *name;
    const char *data;
    size_t size;
    enum error_kind kind;
} parse_cases[] = {
/* Initializers of "data" and "size" */
#define RAW(text) text, sizeof(text) - 1
    {"empty datagram", RAW(""), ERR_BAD_PACKET},
    {"truncated header", RAW("\x40\x01\x12"), ERR_BAD_PACKET},
    {"smallest request", RAW("\x40\x01\x12\x34"), ERR_NONE},
    {"version 0", RAW("\x00\x01\x12\x34"), ERR_BAD_PACKET},
    {"version 2", RAW("\x80\x01\x12\x34"), ERR_BAD_PACKET},
    {"truncated token", RAW("\x42\x01\x12\x34\x01"), ERR_BAD_PACKET},
    {"token of 9 bytes",
     RAW("\x49\x01\x12\x34"
         "123456789"),
     ERR_BAD_PACKET},
    {"reserved code class", RAW("\x40\x21\x12\x34"), ERR_BAD_PACKET},
    {"signalling code class", RAW("\x40\xe1\x12\x34"), ERR_BAD_PACKET},
    {"empty message", RAW("\x60\x00\x12\x34"), ERR_NONE},
    {"empty message with a token", RAW("\x61\x00\x12\x34\x01"),
     ERR_BAD_PACKET},
    {"empty message with a payload", RAW("\x60\x00\x12\x34\xff\x01"),
     ERR_BAD_PACKET},
    {"payload marker without payload", RAW("\x40\x01\x12\x34\xff"),
     ERR_BAD_PACKET},
    {"payload", RAW("\x40\x01\x12\x34\xff\x00"), ERR_NONE},
    {"truncated option value", RAW("\x40\x01\x12\x34\xb3\x61\x62"),
     ERR_BAD_PACKET},
    {"truncated option delta", RAW("\x40\x01\x12\x34\xd0"), ERR_BAD_PACKET},
    {"truncated two-byte option delta", RAW("\x40\x01\x12\x34\xe0\x01"),
     ERR_BAD_PACKET},
    {"truncated option length", RAW("\x40\x01\x12\x34\xbd"), ERR_BAD_PACKET},
    {"reserved option delta 15", RAW("\x40\x01\x12\x34\xf0"), ERR_BAD_PACKET},
    {"reserved option length 15", RAW("\x40\x01\x12\x34\xbf"), ERR_BAD_PACKET},
    {"option number over 65535",
     RAW("\x40\x01\x12\x34\xe0\xfe\x00\xe0\xfe\x00"), ERR_BAD_PACKET},
    {"unknown critical option (9)", RAW("\x40\x01\x12\x34\x90"),
     ERR_BAD_OPTION},
    {"unknown critical option with a large number (65001)",
     RAW("\x40\x01\x12\x34\xe0\xfc\xdc"), ERR_BAD_OPTION},
    {"unknown elective option (2)", RAW("\x40\x01\x12\x34\x21\x07"), ERR_NONE},
    {"format error after an unknown critical option",
     RAW("\x40\x01\x12\x34\x90\xff"), ERR_BAD_PACKET},
    {"Uri-Host and Uri-Port", RAW("\x40\x01\x12\x34\x31\x68\x42\x16\x33"),
     ERR_NONE},
    {"empty Uri-Host", RAW("\x40\x01\x12\x34\x30"), ERR_BAD_OPTION},
    {"Uri-Port of 3 bytes", RAW("\x40\x01\x12\x34\x73\x01\x02\x03"),
     ERR_BAD_OPTION},
    {"Block2 with size 7", RAW("\x40\x01\x12\x34\xd1\x0a\x07"),
     ERR_BAD_OPTION},
    {"Block2 of 4 bytes", RAW("\x40\x01\x12\x34\xd4\x0a\x01\x02\x03\x04"),
     ERR_BAD_OPTION},
    {"Block2 twice", RAW("\x40\x01\x12\x34\xd1\x0a\x06\x01\x16"),
     ERR_BAD_OPTION},
    {"Accept of 3 bytes", RAW("\x40\x01\x12\x34\xd3\x04\x01\x02\x03"),
     ERR_BAD_OPTION},
    {"Uri-Path of one dot", RAW("\x40\x01\x12\x34\xb1."), ERR_BAD_OPTION},
    {"Uri-Path of two dots", RAW("\x40\x01\x12\x34\xb2.."), ERR_BAD_OPTION},
    {"Uri-Path of three dots", RAW("\x40\x01\x12\x34\xb3..."), ERR_NONE},
    {"empty Uri-Query", RAW("\x40\x01\x12\x34\xd0\x02"), ERR_BAD_OPTION},
    {"too long ETag, an elective option",
     RAW("\x40\x01\x12\x34\x49"
         "123456789"),
     ERR_NONE},
};

static void
test_parse_results(void **state)
{
    for (size_t i = 0; i < COUNT(parse_cases); i++) {
        struct packet p;
        enum error_kind kind = packet_parse(
            &p, (const uint8_t *)parse_cases[i].data, parse_cases[i].size);

        if (kind != parse_cases[i].kind) {
            fail_msg("%s: got %s", parse_cases[i].name, error_kind_name(kind));
        }
    }
}

/* A packet with a bad option is answered with an error, which needs the header
 * and the token of the packet. */
static void
test_bad_option_keeps_header_and_token(void **state)
{
    static const uint8_t raw[] = {0x42, 0x02, 0x12, 0x34, 0xab, 0xcd, 0x90};
    struct packet p;
    struct packet answer;

    assert_int_equal(packet_parse(&p, raw, sizeof(raw)), ERR_BAD_OPTION);
    packet_init_answer(&answer, &p, CODE_BAD_OPTION, 7);
    assert_int_equal(answer.type, PACKET_ACK);
    assert_int_equal(answer.message_id, 0x1234);
    assert_int_equal(answer.token_len, 2);
    assert_memory_equal(answer.token, raw + 4, 2);
}

static const uint8_t body[] = "a body";

/* Packets that packet_parse() must restore from the output of packet_build().
 * There is at least one for each field; the last has all fields. */
static const struct packet round_trips[] = {
    {.type = PACKET_CON, .code = CODE_GET, .message_id = 1},
    {.type = PACKET_ACK, .code = CODE_EMPTY, .message_id = 65535},
    {.type = PACKET_NON,
     .code = CODE_CONTENT,
     .payload = body,
     .payload_len = 6},
    {.code = CODE_GET, .token = {1, 2, 3, 4, 5, 6, 7, 8}, .token_len = 8},
    {.code = CODE_GET, .path = "/faq/answers"},
    {.code = CODE_GET, .path = "/faq/"},
    {.code = CODE_GET, .path = "//x"},
    {.code = CODE_GET, .path = "/a%2Fb/%25/%C3%A1%00/a&b=c"},
    {.code = CODE_GET, .query = "q=how%26why%23&n=1/2?"},
    {.code = CODE_POST,
     .fields = FIELD_ECHO | FIELD_REQUEST_TAG,
     .echo = "0123456789012345678901234567890123456789",
     .echo_len = 40,
     .request_tag = {1, 0},
     .request_tag_len = 2},
    {.code = CODE_GET, .fields = FIELD_OBSERVE, .observe = 0},
    {.code = CODE_CONTENT, .fields = FIELD_OBSERVE, .observe = 0xffffff},
    {.code = CODE_PUT, .fields = FIELD_BLOCK1, .block1 = {0, true, 6}},
    {.code = CODE_GET, .fields = FIELD_BLOCK2, .block2 = {0xfffff, false, 0}},
    {.code = CODE_PUT, .fields = FIELD_SIZE1, .size1 = 0},
    {.code = CODE_CONTENT, .fields = FIELD_SIZE2, .size2 = UINT32_MAX},
    {.code = CODE_CONTENT,
     .fields = FIELD_ETAG,
     .etag = {0, 9, 8, 7, 6, 5, 4, 3},
     .etag_len = 8},
    {.code = CODE_UNAVAILABLE, .fields = FIELD_MAX_AGE, .max_age_s = 256},
    {.code = CODE_PUT, .fields = FIELD_CONTENT_FORMAT, .content_format = 50},
    {.code = CODE_GET, .fields = FIELD_ACCEPT, .accept = 65535},
    {.code = CODE_GET, .fields = FIELD_DEADLINE, .deadline_ms = 1500},
    {.code = CODE_UNAVAILABLE,
     .fields = FIELD_OUTCOME,
     .outcome = OUTCOME_UNKNOWN},
    {.type = PACKET_CON,
     .code = CODE_POST,
     .message_id = 4711,
     .token = {9},
     .token_len = 1,
     .fields = (FIELD_OUTCOME << 1) - 1,
     .path = "/grip",
     .query = "axis=2",
     .echo = {1},
     .echo_len = 1,
     .request_tag = {1, 2, 3, 4, 5, 6, 7, 8},
     .request_tag_len = 8,
     .etag = {5},
     .etag_len = 1,
     .observe = 3,
     .block1 = {1, false, 5},
     .block2 = {2, true, 4},
     .size1 = 70000,
     .size2 = 80000,
     .max_age_s = 60,
     .deadline_ms = 2500,
     .content_format = 0,
     .accept = 42,
     .outcome = OUTCOME_NOT_RUN,
     .payload = body,
     .payload_len = 6},
};

/* Compares field by field, as the padding of the structures may differ. */
static void
assert_packets_equal(const struct packet *a, const struct packet *b)
{
    assert_int_equal(a->type, b->type);
    assert_int_equal(a->code, b->code);
    assert_int_equal(a->message_id, b->message_id);
    assert_int_equal(a->token_len, b->token_len);
    assert_memory_equal(a->token, b->token, sizeof(a->token));
    assert_int_equal(a->fields, b->fields);
    assert_string_equal(a->path, b->path);
    assert_string_equal(a->query, b->query);
    assert_int_equal(a->echo_len, b->echo_len);
    assert_memory_equal(a->echo, b->echo, sizeof(a->echo));
    assert_int_equal(a->request_tag_len, b->request_tag_len);
    assert_memory_equal(a->request_tag, b->request_tag,
                        PACKET_REQUEST_TAG_MAX);
    assert_int_equal(a->etag_len, b->etag_len);
    assert_memory_equal(a->etag, b->etag, sizeof(a->etag));
    assert_int_equal(a->observe, b->observe);
    assert_memory_equal(&a->block1.num, &b->block1.num, sizeof(a->block1.num));
    assert_int_equal(a->block1.more, b->block1.more);
    assert_int_equal(a->block1.szx, b->block1.szx);
    assert_int_equal(a->block2.num, b->block2.num);
    assert_int_equal(a->block2.more, b->block2.more);
    assert_int_equal(a->block2.szx, b->block2.szx);
    assert_int_equal(a->size1, b->size1);
    assert_int_equal(a->size2, b->size2);
    assert_int_equal(a->max_age_s, b->max_age_s);
    assert_int_equal(a->deadline_ms, b->deadline_ms);
    assert_int_equal(a->content_format, b->content_format);
    assert_int_equal(a->accept, b->accept);
    assert_int_equal(a->outcome, b->outcome);
    assert_int_equal(a->payload_len, b->payload_len);
    if (a->payload_len > 0) {
        assert_memory_equal(a->payload, b->payload, a->payload_len);
    }
}

static void
test_round_trips(void **state)
{
    for (size_t i = 0; i < COUNT(round_trips); i++) {
        uint8_t data[PACKET_SIZE_MAX];
        struct packet p;
        size_t size = packet_build(&round_trips[i], data, sizeof(data));

        assert_int_not_equal(size, 0);
        assert_int_equal(packet_parse(&p, data, size), ERR_NONE);
        assert_packets_equal(&p, &round_trips[i]);
    }
}

/* packet_build() rejects every buffer that is too small and does not write
 * past its end. packet_parse() is given every truncation of a datagram. The
 * buffers are on the heap, with one guard byte after them, so that a build
 * with sanitizers detects accesses past the guard byte. */
static void
test_short_buffers(void **state)
{
    for (size_t i = 0; i < COUNT(round_trips); i++) {
        uint8_t data[PACKET_SIZE_MAX];
        size_t size = packet_build(&round_trips[i], data, sizeof(data));

        for (size_t truncated_size = 0; truncated_size <= size;
             truncated_size++) {
            uint8_t *buffer = test_malloc(truncated_size + 1);
            struct packet p;

            buffer[truncated_size] = 0xa5;
            assert_int_equal(
                packet_build(&round_trips[i], buffer, truncated_size),
                truncated_size == size ? size : 0);
            assert_int_equal(buffer[truncated_size], 0xa5);
            memcpy(buffer, data, truncated_size);
            packet_parse(&p, buffer, truncated_size);
            test_free(buffer);
        }
    }
}

static const struct packet malformed_texts[] = {
    {.code = CODE_GET, .path = "no-slash"}, {.code = CODE_GET, .path = "/%"},
    {.code = CODE_GET, .path = "/%2"},      {.code = CODE_GET, .path = "/%zz"},
    {.code = CODE_GET, .query = "a=%4"},
};

static void
test_build_rejects_malformed_text(void **state)
{
    for (size_t i = 0; i < COUNT(malformed_texts); i++) {
        uint8_t data[PACKET_SIZE_MAX];

        assert_int_equal(packet_build(&malformed_texts[i], data, sizeof(data)),
                         0);
    }
}

/* A path that does not fit into its field is a bad option; it is never
 * truncated. */
static void
test_long_path_is_rejected(void **state)
{
    uint8_t raw[4 + 2 + 255 + 2 + 255] = {0x40, 0x01, 0, 1, 0xbd, 255 - 13};
    struct packet p;

    memset(raw + 6, 'x', 255);
    raw[6 + 255] = 0x0d;
    raw[7 + 255] = 255 - 13;
    memset(raw + 8 + 255, 'y', 255);
    assert_int_equal(packet_parse(&p, raw, sizeof(raw)), ERR_BAD_OPTION);
}

static void
test_request_ids(void **state)
{
    static const uint64_t ids[] = {1, 255, 256, 0x123456789abcdef, UINT64_MAX};
    struct packet p = {.code = CODE_POST};

    assert_int_equal(packet_request_id(&p), 0);
    for (size_t i = 0; i < COUNT(ids); i++) {
        packet_set_request_id(&p, ids[i]);
        assert_true(packet_request_id(&p) == ids[i]);
    }
    assert_int_equal(p.request_tag_len, 8);
}

static const struct {
    uint8_t code;
    bool request;
    bool idempotent;
} methods[] = {
    {CODE_EMPTY, false, true},   {CODE_GET, true, true},
    {CODE_POST, true, false},    {CODE_PUT, true, true},
    {CODE_DELETE, true, true},   {CODE_FETCH, true, true},
    {CODE_PATCH, true, false},   {CODE_IPATCH, true, true},
    {CODE_CONTENT, false, true},
};

static void
test_methods(void **state)
{
    for (size_t i = 0; i < COUNT(methods); i++) {
        struct packet p = {.code = methods[i].code};

        assert_int_equal(packet_is_request(&p), methods[i].request);
        assert_int_equal(packet_method_is_idempotent(p.code),
                         methods[i].idempotent);
    }
}

static void
test_answer_to_non_confirmable(void **state)
{
    const struct packet request = {
        .type = PACKET_NON, .code = CODE_GET, .message_id = 5};
    struct packet answer;

    packet_init_answer(&answer, &request, CODE_CONTENT, 99);
    assert_int_equal(answer.type, PACKET_NON);
    assert_int_equal(answer.message_id, 99);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_parse_results),
        cmocka_unit_test(test_bad_option_keeps_header_and_token),
        cmocka_unit_test(test_round_trips),
        cmocka_unit_test(test_short_buffers),
        cmocka_unit_test(test_build_rejects_malformed_text),
        cmocka_unit_test(test_long_path_is_rejected),
        cmocka_unit_test(test_request_ids),
        cmocka_unit_test(test_methods),
        cmocka_unit_test(test_answer_to_non_confirmable),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
