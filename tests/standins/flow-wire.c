#include "flow-wire.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Value of every checksum field: no receiver on loopback checks it. */
#define CHECKSUM 0x5eed5eedU

/* Appends "value" in network byte order and returns the position after it. */
static uint8_t *
put_be(uint8_t *out, uint32_t value, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        *out++ = (uint8_t)(value >> (8 * i));
    }
    return out;
}

/* Reads an integer in network byte order and advances "in". */
static uint32_t
get_be(const uint8_t **in, int bytes)
{
    uint32_t value = 0;

    for (int i = 0; i < bytes; i++) {
        value = value << 8 | *(*in)++;
    }
    return value;
}

size_t
wire_packet_encode(const struct wire_packet *p, uint8_t *out)
{
    uint8_t *at = out;

    at = put_be(at, p->dport, 2);
    at = put_be(at, p->dst, 4);
    at = put_be(at, p->sport, 2);
    at = put_be(at, p->src, 4);
    at = put_be(at, p->echo, 4);
    at = put_be(at, p->len, 2);
    at = put_be(at, p->flags, 1);
    at = put_be(at, p->seq, 4);
    at = put_be(at, p->ack, 4);
    at = put_be(at, CHECKSUM, 4);
    memcpy(at, p->data, p->len);
    return WIRE_HEADER_SIZE + (size_t)p->len;
}

bool
wire_packet_decode(const uint8_t *in, size_t size, struct wire_packet *p)
{
    if (size < WIRE_HEADER_SIZE || size > WIRE_PACKET_MAX) {
        return false;
    }
    p->dport = (uint16_t)get_be(&in, 2);
    p->dst = get_be(&in, 4);
    p->sport = (uint16_t)get_be(&in, 2);
    p->src = get_be(&in, 4);
    p->echo = get_be(&in, 4);
    p->len = (uint16_t)get_be(&in, 2);
    p->flags = (uint8_t)get_be(&in, 1);
    p->seq = get_be(&in, 4);
    p->ack = get_be(&in, 4);
    get_be(&in, 4); /* checksum */
    if (p->len != size - WIRE_HEADER_SIZE) {
        return false;
    }
    memcpy(p->data, in, p->len);
    return true;
}

int
wire_socket_open(const char *address, uint16_t port)
{
    struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons(port)};
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);

    if (fd < 0 || inet_pton(AF_INET, address, &sin.sin_addr) != 1 ||
        bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
        fprintf(stderr, "%s:%u: cannot bind the UDP socket\n", address, port);
        exit(1);
    }
    return fd;
}

void
wire_send(int fd, uint32_t addr, uint16_t port, const uint8_t *data,
          size_t size)
{
    struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons(port)};

    sin.sin_addr.s_addr = htonl(addr);
    /* If sendto() fails, the datagram is lost, as may happen on a network. */
    (void)sendto(fd, data, size, 0, (struct sockaddr *)&sin, sizeof(sin));
}
