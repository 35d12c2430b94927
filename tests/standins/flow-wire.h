#pragma once

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Packets of flows as the platform publishes them, for the stand-ins. */

#define WIRE_HEADER 31 /* bytes */
#define WIRE_DATA_MAX 1200
#define WIRE_PACKET_MAX (WIRE_HEADER + WIRE_DATA_MAX)
#define WIRE_TAG 8

#define WIRE_SYN 2
#define WIRE_FIN 4
#define WIRE_RST 16
#define WIRE_ACK 32

struct wire_packet {
    uint32_t src; /* host byte order */
    uint32_t dst;
    uint16_t sport;
    uint16_t dport;
    uint32_t echo;
    uint8_t flags;
    uint32_t seq;
    uint32_t ack;
    uint16_t len;
    uint8_t data[WIRE_DATA_MAX];
};

size_t wire_write(const struct wire_packet *p, uint8_t *out);
bool wire_read(const uint8_t *in, size_t size, struct wire_packet *p);

/* Binds a UDP socket that does not block. Exits with a message when it
 * cannot. */
int wire_socket(const char *address, uint16_t port);
/* Sends to an IPv4 address in host byte order. */
void wire_send(int fd, uint32_t addr, uint16_t port, const uint8_t *data,
               size_t size);
