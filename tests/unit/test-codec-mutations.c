#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "base/random.h"
#include "codec-checks.h"
#include "protocol/envelope.h"
#include "protocol/packet.h"
#include "protocol/token.h"

/* Checks the codecs with valid messages that are changed at random. The checks
 * are those of the fuzz targets. */

#define COUNT(array) (sizeof(array) / sizeof(*(array)))
#define SEED 20261203
#define MUTANT_COUNT 400000 /* mutants of each message */
#define CHANGES_MAX 4       /* maximum number of changes in a mutant */

/* An encoded message and the check of its codec. */
struct message {
    void (*check)(const uint8_t *data, size_t size);
    size_t size;
    uint8_t data[CODEC_INPUT_MAX];
};

static const struct packet packets[] = {
    {.code = CODE_GET, .path = "/faq/answers", .query = "q=how%26why"},
    {.code = CODE_POST,
     .token = {1, 2, 3},
     .token_len = 3,
     .fields = FIELD_ECHO | FIELD_REQUEST_TAG | FIELD_DEADLINE | FIELD_BLOCK1,
     .path = "/grip",
     .echo_len = 39,
     .request_tag = {1},
     .request_tag_len = 1,
     .deadline_ms = 1500,
     .block1 = {1, true, 6},
     .payload = (const uint8_t *)"body",
     .payload_len = 4},
    {.type = PACKET_NON,
     .code = CODE_CONTENT,
     .fields = FIELD_OBSERVE | FIELD_ETAG | FIELD_MAX_AGE | FIELD_BLOCK2 |
               FIELD_SIZE2 | FIELD_OUTCOME | FIELD_CONTENT_FORMAT,
     .observe = 70000,
     .etag = {1, 2},
     .etag_len = 2,
     .max_age_s = 60,
     .block2 = {300, true, 2},
     .size2 = 123456,
     .outcome = OUTCOME_UNKNOWN,
     .payload = (const uint8_t *)"frame",
     .payload_len = 5},
};

static size_t
make_token(uint8_t *out)
{
    static const struct key_ring ring = {
        .count = 1, .keys = {{.id = 7, .secret = "a secret of the tests"}}};
    static const struct flow_token token = {.service = 1, .slot = 2};

    token_seal(&token, &ring, out);
    return TOKEN_SIZE;
}

static size_t
make_envelope(uint8_t *out)
{
    static const struct envelope envelope = {
        .kind = ENVELOPE_RELAY,
        .relay_id = 70000,
        .caller_addr = 0x7f000001,
        .caller_port = 40000,
        .service_port = 5683,
        .incarnation = 0x1122334455,
        .packet = (const uint8_t *)"a packet",
        .packet_len = 8,
    };

    return envelope_build(&envelope, out, CODEC_INPUT_MAX);
}

/* Replaces, inserts or removes a byte, flips a bit, or truncates the message,
 * at a random position. */
static void
mutate(struct message *m, struct random *random)
{
    size_t pos = m->size == 0 ? 0 : random_below(random, (uint32_t)m->size);

    switch (random_below(random, 5)) {
    case 0:
        m->data[pos] = (uint8_t)random_next(random);
        break;
    case 1:
        m->data[pos] ^= (uint8_t)(1U << random_below(random, 8));
        break;
    case 2:
        m->size = pos;
        break;
    case 3:
        if (m->size < CODEC_INPUT_MAX) {
            memmove(m->data + pos + 1, m->data + pos, m->size - pos);
            m->data[pos] = (uint8_t)random_next(random);
            m->size++;
        }
        break;
    default:
        if (m->size > 0) {
            memmove(m->data + pos, m->data + pos + 1, m->size - pos - 1);
            m->size--;
        }
        break;
    }
}

/* Checks mutants of a message, each in a heap buffer of its own that is one
 * byte larger than the mutant, so that a run with sanitizers can detect reads
 * beyond the buffer. Returns the number of mutants checked. */
static unsigned
check_mutants(const struct message *original, struct random *random)
{
    for (unsigned i = 0; i < MUTANT_COUNT; i++) {
        struct message m = *original;
        unsigned changes = 1 + random_below(random, CHANGES_MAX);
        uint8_t *buffer;

        for (unsigned j = 0; j < changes; j++) {
            mutate(&m, random);
        }
        buffer = test_malloc(m.size + 1);
        memcpy(buffer, m.data, m.size);
        m.check(buffer, m.size);
        test_free(buffer);
    }
    return MUTANT_COUNT;
}

static void
test_mutants(void **state)
{
    struct message m = {.size = 0};
    struct random random;
    unsigned checked = 0;

    random_seed(&random, SEED);
    for (size_t i = 0; i < COUNT(packets); i++) {
        m.check = check_packet;
        m.size = packet_build(&packets[i], m.data, sizeof(m.data));
        checked += check_mutants(&m, &random);
    }
    m.check = check_token;
    m.size = make_token(m.data);
    checked += check_mutants(&m, &random);
    m.check = check_envelope;
    m.size = make_envelope(m.data);
    checked += check_mutants(&m, &random);
    printf("seed %d: %u inputs\n", SEED, checked);
    assert_int_equal(checked, MUTANT_COUNT * (COUNT(packets) + 2));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_mutants),
    };

    if (sodium_init() < 0) {
        return 1;
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}
