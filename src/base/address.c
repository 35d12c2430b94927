#include "base/address.h"

#include <arpa/inet.h>

#define FIRST_MULTICAST 0xe0000000U

bool
address_parse(const char *text, uint32_t *addr)
{
    struct in_addr in;

    if (inet_pton(AF_INET, text, &in) != 1) {
        return false;
    }
    *addr = ntohl(in.s_addr);
    return true;
}

/* Writes the dotted form of an address. */
void
address_format(uint32_t addr, char out[ADDRESS_TEXT_SIZE])
{
    struct in_addr in = {.s_addr = htonl(addr)};

    inet_ntop(AF_INET, &in, out, ADDRESS_TEXT_SIZE);
}

bool
address_is_unicast(uint32_t addr)
{
    return addr != 0 && addr < FIRST_MULTICAST;
}
