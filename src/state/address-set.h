#pragma once

#include <stdbool.h>
#include <stdint.h>

/* A bounded set of caller endpoints that have recently proved that they
 * receive packets sent to their source address. It is a direct-mapped hash
 * table: on a collision the newer endpoint replaces the older one, which then
 * needs one more round trip to prove its address. */
struct address_set;

/* Returns NULL when out of memory. */
struct address_set *address_set_new(void);
void address_set_destroy(struct address_set *set);

/* In both functions "addr" is an IPv4 address in host byte order and "now" is
 * the time of a monotonic clock in microseconds. An endpoint stays in the set
 * for 300 s after it was last added, unless a collision replaces it. */
void address_set_add(struct address_set *set, uint32_t addr, uint16_t port,
                     uint64_t now);
bool address_set_contains(const struct address_set *set, uint32_t addr,
                          uint16_t port, uint64_t now);
