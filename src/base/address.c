#include "base/address.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

/* 224.0.0.0: multicast addresses begin here, reserved ones follow. */
#define MULTICAST_ADDR_MIN 0xe0000000U

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

void
address_format(uint32_t addr, char out[ADDRESS_TEXT_SIZE])
{
    struct in_addr in = {.s_addr = htonl(addr)};

    inet_ntop(AF_INET, &in, out, ADDRESS_TEXT_SIZE);
}

bool
address_is_unicast(uint32_t addr)
{
    return addr != 0 && addr < MULTICAST_ADDR_MIN;
}

bool
address_parse_endpoint(const char *text, uint32_t *addr, uint16_t *port)
{
    char host[ADDRESS_TEXT_SIZE];
    const char *colon = strchr(text, ':');
    unsigned long value;
    char *end;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    value = strtoul(colon + 1, &end, 10);
    *port = (uint16_t)value;
    return address_parse(host, addr) && end != colon + 1 && *end == '\0' &&
           value > 0 && value <= UINT16_MAX;
}
