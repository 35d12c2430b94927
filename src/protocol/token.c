#include "protocol/token.h"

#include <assert.h>
#include <string.h>

#include <sodium.h>

/* Sizes in bytes of a token's fields, in the order in which they are encoded.
 * All numbers are big-endian. */
#define KEY_ID_BYTES 1
#define SERVICE_BYTES 4
#define TARGET_BYTES 3
#define ADDR_BYTES 4
#define PORT_BYTES 2
#define INCARNATION_BYTES 5
#define SLOT_BYTES 4
#define GENERATION_BYTES 4
#define MAC_BYTES 12
#define BODY_SIZE (TOKEN_SIZE - MAC_BYTES)

_Static_assert(KEY_ID_BYTES + SERVICE_BYTES + TARGET_BYTES + ADDR_BYTES +
                       PORT_BYTES + INCARNATION_BYTES + SLOT_BYTES +
                       GENERATION_BYTES ==
                   BODY_SIZE,
               "the fields and the MAC must add up to TOKEN_SIZE");

/* Writes a number as "bytes" bytes, big-endian, and returns the position after
 * them. The number must fit. */
static uint8_t *
put_number(uint8_t *out, uint64_t value, unsigned bytes)
{
    assert(bytes == sizeof(value) || value >> (8 * bytes) == 0);
    for (unsigned i = 0; i < bytes; i++) {
        out[i] = (uint8_t)(value >> (8 * (bytes - 1 - i)));
    }
    return out + bytes;
}

/* Reads a number of "bytes" bytes, big-endian, and moves *in past them. */
static uint64_t
get_number(const uint8_t **in, unsigned bytes)
{
    uint64_t value = 0;

    for (unsigned i = 0; i < bytes; i++) {
        value = value << 8 | (*in)[i];
    }
    *in += bytes;
    return value;
}

/* Computes the MAC of an encoded token: BLAKE2b keyed with the key's secret,
 * truncated to 96 bits so that the token fits into an Echo option (at most 40
 * bytes). A forged token passes with a probability of 1 in 2^96. */
static void
compute_mac(const struct key_ring_key *key, const uint8_t *body,
            uint8_t mac[MAC_BYTES])
{
    uint8_t full[crypto_generichash_BYTES];

    crypto_generichash(full, sizeof(full), body, BODY_SIZE, key->secret,
                       sizeof(key->secret));
    memcpy(mac, full, MAC_BYTES);
}

void
token_seal(const struct flow_token *token, const struct key_ring *keys,
           uint8_t out[TOKEN_SIZE])
{
    uint8_t *pos = out;

    assert(keys->count > 0);
    pos = put_number(pos, keys->keys[0].id, KEY_ID_BYTES);
    pos = put_number(pos, token->service, SERVICE_BYTES);
    pos = put_number(pos, token->target, TARGET_BYTES);
    pos = put_number(pos, token->home_addr, ADDR_BYTES);
    pos = put_number(pos, token->home_port, PORT_BYTES);
    pos = put_number(pos, token->incarnation, INCARNATION_BYTES);
    pos = put_number(pos, token->slot, SLOT_BYTES);
    pos = put_number(pos, token->generation, GENERATION_BYTES);
    compute_mac(&keys->keys[0], out, pos);
}

static const struct key_ring_key *
find_key(const struct key_ring *keys, uint8_t id)
{
    for (size_t i = 0; i < keys->count; i++) {
        if (keys->keys[i].id == id) {
            return &keys->keys[i];
        }
    }
    return NULL;
}

bool
token_open(struct flow_token *token, const struct key_ring *keys,
           const uint8_t *data, size_t size)
{
    const struct key_ring_key *key;
    const uint8_t *pos = data + KEY_ID_BYTES;
    uint8_t mac[MAC_BYTES];

    if (size != TOKEN_SIZE) {
        return false;
    }
    key = find_key(keys, data[0]);
    if (key == NULL) {
        return false;
    }
    compute_mac(key, data, mac);
    if (sodium_memcmp(mac, data + BODY_SIZE, MAC_BYTES) != 0) {
        return false;
    }
    token->service = (uint32_t)get_number(&pos, SERVICE_BYTES);
    token->target = (uint32_t)get_number(&pos, TARGET_BYTES);
    token->home_addr = (uint32_t)get_number(&pos, ADDR_BYTES);
    token->home_port = (uint16_t)get_number(&pos, PORT_BYTES);
    token->incarnation = get_number(&pos, INCARNATION_BYTES);
    token->slot = (uint32_t)get_number(&pos, SLOT_BYTES);
    token->generation = (uint32_t)get_number(&pos, GENERATION_BYTES);
    return true;
}

bool
token_uses_old_key(const struct key_ring *keys, const uint8_t data[TOKEN_SIZE])
{
    assert(keys->count > 0);
    return data[0] != keys->keys[0].id;
}
