#pragma once

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Codec of the platform's flow packets for the stand-ins. It shares no code
 * with the balancer's own codec (platform/packet-header.h). */

#define WIRE_HEADER_SIZE 31 /* size of a packet header, bytes */
#define WIRE_DATA_MAX 1200  /* bytes of data in a packet */
#define WIRE_PACKET_MAX (WIRE_HEADER_SIZE + WIRE_DATA_MAX)
/* Size of the target's tag before a packet to a target, bytes. */
#define WIRE_TAG_SIZE 8

/* Bits of the flags field. */
#define WIRE_SYN 2
#define WIRE_FIN 4
#define WIRE_RST 16
#define WIRE_ACK 32

struct wire_packet {
    uint32_t src; /* IPv4 address; all fields are in host byte order */
    uint32_t dst;
    uint16_t sport;
    uint16_t dport;
    uint32_t echo; /* balancer's cookie; the receiver returns it */
    uint8_t flags; /* WIRE_SYN, WIRE_FIN, WIRE_RST, WIRE_ACK */
    uint32_t seq;
    uint32_t ack;
    uint16_t len; /* bytes used in "data" */
    uint8_t data[WIRE_DATA_MAX];
};

/* Encodes a packet into "out", which has room for WIRE_PACKET_MAX bytes.
 * Returns the encoded size. */
size_t wire_packet_encode(const struct wire_packet *p, uint8_t *out);
/* Decodes a packet. Returns false if "size" does not fit the packet's length
 * field. The checksum is ignored. */
bool wire_packet_decode(const uint8_t *in, size_t size, struct wire_packet *p);

/* Opens a non-blocking UDP socket bound to an IPv4 address and a port. Prints
 * an error and exits if that fails. The caller owns the socket. */
int wire_socket_open(const char *address, uint16_t port);
/* Sends a datagram to "addr" (host byte order). Send errors are ignored. */
void wire_send(int fd, uint32_t addr, uint16_t port, const uint8_t *data,
               size_t size);
