#include "client/upload.h"

static size_t
block_size(const struct upload *up)
{
    return (size_t)1 << (up->szx + 4);
}

void
upload_init(struct upload *up, const uint8_t *body, size_t body_len)
{
    up->body = body;
    up->body_len = body_len;
    upload_restart(up);
}

void
upload_restart(struct upload *up)
{
    up->offset = 0;
    up->szx = UPLOAD_SZX;
}

bool
upload_is_blockwise(const struct upload *up)
{
    return up->body_len > UPLOAD_BLOCK_SIZE;
}

bool
upload_at_end(const struct upload *up)
{
    return up->body_len - up->offset <= block_size(up);
}

void
upload_fill(const struct upload *up, struct packet *request)
{
    size_t left = up->body_len - up->offset;

    request->payload = up->body_len == 0 ? NULL : up->body + up->offset;
    request->payload_len = left;
    if (!upload_is_blockwise(up)) {
        return;
    }
    if (!upload_at_end(up)) {
        request->payload_len = block_size(up);
    }
    request->block1.num = (uint32_t)(up->offset >> (up->szx + 4));
    request->block1.more = !upload_at_end(up);
    request->block1.szx = up->szx;
    request->fields |= FIELD_BLOCK1;
    request->fields &= ~(unsigned)FIELD_SIZE1;
    if (up->offset == 0) {
        request->size1 = (uint32_t)up->body_len;
        request->fields |= FIELD_SIZE1;
    }
}

/* The server may request smaller blocks for the rest of the body (RFC 7959
 * section 2.3). The offset of the next block is a multiple of every smaller
 * block size. */
bool
upload_continue(struct upload *up, const struct packet *answer)
{
    const struct packet_block *block = &answer->block1;

    if ((answer->fields & FIELD_BLOCK1) == 0 || block->szx > up->szx ||
        block->num != up->offset >> (up->szx + 4) || upload_at_end(up)) {
        return false;
    }
    up->offset += block_size(up);
    up->szx = block->szx;
    return true;
}
