#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "base/clock.h"
#include "protocol/envelope.h"
#include "protocol/packet.h"
#include "protocol/token.h"

/* Measures the codecs of the data path: the time of one operation, as the best
 * and the median of RUN_COUNT runs. */

#define RUN_COUNT 9
#define OPERATIONS_PER_RUN 400000
#define NSEC_PER_USEC 1000.0

struct bench {
    struct packet get;
    struct packet post;
    struct packet block; /* answer that carries one block of 1024 bytes */
    struct flow_token token;
    struct key_ring keys;
    struct envelope envelope;

    /* Encoded forms of the packets, the envelope and the token */
    uint8_t get_data[PACKET_SIZE_MAX];
    size_t get_size;
    uint8_t post_data[PACKET_SIZE_MAX];
    size_t post_size;
    uint8_t block_data[PACKET_SIZE_MAX];
    size_t block_size;
    uint8_t envelope_data[PACKET_SIZE_MAX + ENVELOPE_OVERHEAD_MAX];
    size_t envelope_size;
    uint8_t sealed[TOKEN_SIZE];
    uint8_t payload[1024];
    /* Output of the operations that are measured */
    uint8_t out[PACKET_SIZE_MAX + ENVELOPE_OVERHEAD_MAX];
};

/* One operation to be measured. The result depends on the work that it does,
 * so that the compiler cannot omit the work; 0 reports a failure. */
typedef size_t (*bench_op)(struct bench *b);

/* Never returns 0, so a malformed packet is not reported as a failure. */
static size_t
parse(const uint8_t *data, size_t size)
{
    struct packet p;

    return (size_t)packet_parse(&p, data, size) + p.payload_len + 1;
}

static size_t
parse_get(struct bench *b)
{
    return parse(b->get_data, b->get_size);
}

static size_t
parse_post(struct bench *b)
{
    return parse(b->post_data, b->post_size);
}

static size_t
parse_block(struct bench *b)
{
    return parse(b->block_data, b->block_size);
}

static size_t
build_post(struct bench *b)
{
    return packet_build(&b->post, b->out, sizeof(b->out));
}

static size_t
build_block(struct bench *b)
{
    return packet_build(&b->block, b->out, sizeof(b->out));
}

static size_t
seal_token(struct bench *b)
{
    b->token.slot++;
    token_seal(&b->token, &b->keys, b->out);
    return 1 + b->out[TOKEN_SIZE - 1];
}

static size_t
open_token(struct bench *b)
{
    struct flow_token token;

    return token_open(&token, &b->keys, b->sealed, TOKEN_SIZE) ? 1 : 0;
}

static size_t
reject_forged_token(struct bench *b)
{
    uint8_t forged[TOKEN_SIZE];
    struct flow_token token;

    memcpy(forged, b->sealed, TOKEN_SIZE);
    forged[TOKEN_SIZE - 1] ^= 1;
    return token_open(&token, &b->keys, forged, TOKEN_SIZE) ? 0 : 1;
}

static size_t
build_envelope(struct bench *b)
{
    return envelope_build(&b->envelope, b->out, sizeof(b->out));
}

static size_t
parse_envelope(struct bench *b)
{
    struct envelope e;

    return envelope_parse(&e, b->envelope_data, b->envelope_size) ? 1 : 0;
}

static const struct {
    const char *name;
    bench_op op;
} operations[] = {
    {"parse a GET", parse_get},
    {"parse a POST with its token", parse_post},
    {"parse an answer of 1024 bytes", parse_block},
    {"build a POST with its token", build_post},
    {"build an answer of 1024 bytes", build_block},
    {"seal a token", seal_token},
    {"open a token", open_token},
    {"refuse a forged token", reject_forged_token},
    {"build an envelope around a POST", build_envelope},
    {"parse an envelope around a POST", parse_envelope},
};

static void
make_packets(struct bench *b)
{
    b->get = (struct packet){.code = CODE_GET,
                             .token_len = 8,
                             .path = "/faq/shop-17/answers",
                             .query = "q=delivery",
                             .fields = FIELD_DEADLINE,
                             .deadline_ms = 5000};
    b->post = (struct packet){.code = CODE_POST,
                              .token_len = 8,
                              .path = "/faq/shop-17/price",
                              .fields = FIELD_ECHO | FIELD_REQUEST_TAG |
                                        FIELD_DEADLINE | FIELD_CONTENT_FORMAT,
                              .echo_len = TOKEN_SIZE,
                              .request_tag = {1},
                              .request_tag_len = 1,
                              .deadline_ms = 5000,
                              .payload = b->payload,
                              .payload_len = 64};
    memcpy(b->post.echo, b->sealed, TOKEN_SIZE);
    b->block = (struct packet){.type = PACKET_ACK,
                               .code = CODE_CONTENT,
                               .token_len = 8,
                               .fields = FIELD_ETAG | FIELD_BLOCK2 |
                                         FIELD_SIZE2 | FIELD_CONTENT_FORMAT,
                               .etag_len = 8,
                               .block2 = {40, true, 6},
                               .size2 = 200000,
                               .payload = b->payload,
                               .payload_len = sizeof(b->payload)};
}

static void
bench_init(struct bench *b)
{
    memset(b, 0, sizeof(*b));
    b->keys.count = 2;
    b->keys.keys[0].id = 1;
    b->keys.keys[1].id = 2;
    token_seal(&b->token, &b->keys, b->sealed);
    make_packets(b);
    b->get_size = packet_build(&b->get, b->get_data, PACKET_SIZE_MAX);
    b->post_size = packet_build(&b->post, b->post_data, PACKET_SIZE_MAX);
    b->block_size = packet_build(&b->block, b->block_data, PACKET_SIZE_MAX);
    b->envelope = (struct envelope){.kind = ENVELOPE_RELAY,
                                    .relay_id = 70000,
                                    .caller_addr = 0x0a000001,
                                    .caller_port = 40000,
                                    .service_port = 5683,
                                    .incarnation = 0x1122334455,
                                    .packet = b->post_data,
                                    .packet_len = b->post_size};
    b->envelope_size = envelope_build(&b->envelope, b->envelope_data,
                                      sizeof(b->envelope_data));
}

/* Runs an operation OPERATIONS_PER_RUN times. Returns the mean time of one in
 * nanoseconds. Ends the program when an operation fails, because the time of a
 * failed operation is not comparable. */
static double
measure_ns(struct bench *b, bench_op op)
{
    uint64_t start = clock_monotonic_us();

    for (unsigned i = 0; i < OPERATIONS_PER_RUN; i++) {
        if (op(b) == 0) {
            fprintf(stderr, "bench-codec: an operation failed\n");
            exit(EXIT_FAILURE);
        }
    }
    return (double)(clock_monotonic_us() - start) * NSEC_PER_USEC /
           OPERATIONS_PER_RUN;
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

int
main(void)
{
    static struct bench b;

    if (sodium_init() < 0) {
        return EXIT_FAILURE;
    }
    bench_init(&b);
    printf("%-32s %10s %10s\n", "operation", "best ns", "median ns");
    for (size_t i = 0; i < sizeof(operations) / sizeof(*operations); i++) {
        double ns[RUN_COUNT];

        for (int run = 0; run < RUN_COUNT; run++) {
            ns[run] = measure_ns(&b, operations[i].op);
        }
        qsort(ns, RUN_COUNT, sizeof(*ns), compare_doubles);
        printf("%-32s %10.0f %10.0f\n", operations[i].name, ns[0],
               ns[RUN_COUNT / 2]);
    }
    return EXIT_SUCCESS;
}
