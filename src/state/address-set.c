#include "state/address-set.h"

#include <stdlib.h>

#include "base/clock.h"

/* Size of the hash table; a power of two. */
#define SLOT_COUNT 16384
/* Time after the last address_set_add() for which an endpoint is valid. */
#define VALID_US (300 * USEC_PER_SEC)

struct address_slot {
    uint64_t key;      /* from make_key(); 0: empty slot */
    uint64_t added_us; /* monotonic time of the last address_set_add() */
};

struct address_set {
    struct address_slot slots[SLOT_COUNT];
};

struct address_set *
address_set_new(void)
{
    return calloc(1, sizeof(struct address_set));
}

void
address_set_destroy(struct address_set *set)
{
    free(set);
}

static uint64_t
make_key(uint32_t addr, uint16_t port)
{
    return (uint64_t)addr << 16 | port;
}

/* Multiplicative hashing with 2^64 divided by the golden ratio (Knuth, The Art
 * of Computer Programming, section 6.4). */
static size_t
slot_index(uint64_t key)
{
    return (size_t)(key * 0x9e3779b97f4a7c15ULL >> 50) & (SLOT_COUNT - 1);
}

void
address_set_add(struct address_set *set, uint32_t addr, uint16_t port,
                uint64_t now)
{
    uint64_t key = make_key(addr, port);
    struct address_slot *slot = &set->slots[slot_index(key)];

    slot->key = key;
    slot->added_us = now;
}

bool
address_set_contains(const struct address_set *set, uint32_t addr,
                     uint16_t port, uint64_t now)
{
    uint64_t key = make_key(addr, port);
    const struct address_slot *slot = &set->slots[slot_index(key)];

    return slot->key == key && now - slot->added_us < VALID_US;
}
