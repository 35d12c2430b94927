#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Parsing and formatting of IPv4 addresses, which are in host byte order. */

/* Bytes of the longest dotted address, "255.255.255.255", with its NUL. */
#define ADDRESS_TEXT_SIZE 16

/* Parses a dotted IPv4 address. Returns false for any other text. */
bool address_parse(const char *text, uint32_t *addr);
/* Parses "a.b.c.d:port" with a port from 1 to 65535. Returns false for any
 * other text; "addr" and "port" are then undefined. Like strtoul(), it accepts
 * white space and a plus sign before the port. */
bool address_parse_endpoint(const char *text, uint32_t *addr, uint16_t *port);
/* Writes the dotted form of an address. */
void address_format(uint32_t addr, char out[ADDRESS_TEXT_SIZE]);

/* Whether an address can belong to a single host: it is not 0.0.0.0, multicast
 * or reserved (RFC 1122 section 3.2.1.3). */
bool address_is_unicast(uint32_t addr);
