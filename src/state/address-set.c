#include "state/address-set.h"

#include <stdlib.h>

#include "base/clock.h"

#define SLOTS 16384 /* a power of two */
#define VALID_US (300 * USEC_PER_SEC)

struct address_slot {
    uint64_t key; /* 0: empty */
    uint64_t seen_us;
};

struct address_set {
    struct address_slot slots[SLOTS];
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

/* Spreads keys by multiplication with 2^64 / the golden ratio (Knuth, The Art
 * of Computer Programming, section 6.4). */
static size_t
slot_of(uint64_t key)
{
    return (size_t)(key * 0x9e3779b97f4a7c15ULL >> 50) & (SLOTS - 1);
}

void
address_set_add(struct address_set *set, uint32_t addr, uint16_t port,
                uint64_t now)
{
    uint64_t key = make_key(addr, port);
    struct address_slot *slot = &set->slots[slot_of(key)];

    slot->key = key;
    slot->seen_us = now;
}

bool
address_set_contains(const struct address_set *set, uint32_t addr,
                     uint16_t port, uint64_t now)
{
    uint64_t key = make_key(addr, port);
    const struct address_slot *slot = &set->slots[slot_of(key)];

    return slot->key == key && now - slot->seen_us < VALID_US;
}
