#include "client/answer-blocks.h"

#include <stdlib.h>

#include <glib.h>

struct answer_blocks {
    struct packet head; /* header and options of block 0 */
    GByteArray *body;
    uint32_t next_num; /* number of the block to request next */
};

bool
answer_has_more(const struct packet *answer)
{
    return (answer->fields & FIELD_BLOCK2) != 0 && answer->block2.more &&
           answer->block2.num == 0;
}

static void
append_block(struct answer_blocks *blocks, const struct packet *answer)
{
    g_byte_array_append(blocks->body, answer->payload,
                        (guint)answer->payload_len);
    blocks->next_num++;
}

struct answer_blocks *
answer_blocks_new(const struct packet *first)
{
    struct answer_blocks *blocks = calloc(1, sizeof(*blocks));

    if (blocks == NULL) {
        return NULL;
    }
    blocks->head = *first;
    blocks->body = g_byte_array_new();
    append_block(blocks, first);
    return blocks;
}

void
answer_blocks_destroy(struct answer_blocks *blocks)
{
    if (blocks == NULL) {
        return;
    }
    g_byte_array_unref(blocks->body);
    free(blocks);
}

void
answer_blocks_fill(const struct answer_blocks *blocks, struct packet *request)
{
    unsigned removed = FIELD_BLOCK1 | FIELD_SIZE1;

    request->payload = NULL;
    request->payload_len = 0;
    request->fields &= ~removed;
    request->fields |= FIELD_BLOCK2;
    request->block2.num = blocks->next_num;
    request->block2.more = false;
    request->block2.szx = blocks->head.block2.szx;
}

enum answer_blocks_state
answer_blocks_add(struct answer_blocks *blocks, const struct packet *answer)
{
    const struct packet *head = &blocks->head;

    if (answer->code != head->code || (answer->fields & FIELD_BLOCK2) == 0 ||
        answer->block2.num != blocks->next_num ||
        answer->block2.szx != head->block2.szx ||
        answer->size2 != head->size2) {
        return ANSWER_BLOCKS_BROKEN;
    }
    append_block(blocks, answer);
    if (answer->block2.more) {
        return ANSWER_BLOCKS_MORE;
    }
    if ((head->fields & FIELD_SIZE2) != 0 &&
        blocks->body->len != head->size2) {
        return ANSWER_BLOCKS_BROKEN;
    }
    blocks->head.block2.more = false;
    return ANSWER_BLOCKS_WHOLE;
}

const struct packet *
answer_blocks_packet(struct answer_blocks *blocks)
{
    blocks->head.payload = blocks->body->data;
    blocks->head.payload_len = blocks->body->len;
    return &blocks->head;
}
