#pragma once

#include <stdbool.h>
#include <stdint.h>

/* IPv4 addresses in host byte order. */

#define ADDRESS_TEXT_SIZE 16 /* bytes of "255.255.255.255" and the NUL */

/* Reads a dotted IPv4 address. Returns false for any other text. */
bool address_parse(const char *text, uint32_t *addr);
/* Reads "a.b.c.d:port", the port not 0. */
bool address_parse_endpoint(const char *text, uint32_t *addr, uint16_t *port);
void address_format(uint32_t addr, char out[ADDRESS_TEXT_SIZE]);

/* True for an address that one host can be reached by: neither the
 * unspecified address nor multicast nor reserved (RFC 1122 section
 * 3.2.1.3). */
bool address_is_unicast(uint32_t addr);
