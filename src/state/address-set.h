#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Callers' endpoints that have lately shown that they receive what is sent to
 * them. A direct-mapped table: a newer endpoint replaces an older one that
 * falls on the same place, which costs the older one a round trip. */
struct address_set;

struct address_set *address_set_new(void);
void address_set_destroy(struct address_set *set);

/* "addr" is IPv4 in host byte order; "now" in microseconds of a monotonic
 * clock. */
void address_set_add(struct address_set *set, uint32_t addr, uint16_t port,
                     uint64_t now);
bool address_set_contains(const struct address_set *set, uint32_t addr,
                          uint16_t port, uint64_t now);
