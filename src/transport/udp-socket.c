#include "transport/udp-socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "base/clock.h"

/* Maximum number of datagrams per call to recvmmsg() or sendmmsg(). */
#define UDP_BATCH_DATAGRAMS_MAX 32
/* Size of the buffer for a received datagram, in bytes. */
#define UDP_DATAGRAM_SIZE 2048
/* Size of the receive buffer that is requested from the kernel, in bytes. */
#define UDP_RECEIVE_BUFFER_SIZE (4 * 1048576)
/* Maximum number of batches received per readiness event, so that the other
 * events of the loop are not delayed for long. */
#define UDP_BATCHES_PER_EVENT_MAX 4

struct udp_batch {
    struct mmsghdr headers[UDP_BATCH_DATAGRAMS_MAX];
    struct iovec vectors[UDP_BATCH_DATAGRAMS_MAX];
    struct sockaddr_in from[UDP_BATCH_DATAGRAMS_MAX];
    char control[UDP_BATCH_DATAGRAMS_MAX][CMSG_SPACE(sizeof(struct timeval))];
    uint8_t data[UDP_BATCH_DATAGRAMS_MAX][UDP_DATAGRAM_SIZE];
};

/* Number of parts of a queued datagram: head and data. */
#define UDP_PARTS 2

/* Datagrams to be sent at the end of a batch of received ones. */
struct udp_queue {
    unsigned count;
    struct mmsghdr headers[UDP_BATCH_DATAGRAMS_MAX];
    struct iovec parts[UDP_BATCH_DATAGRAMS_MAX][UDP_PARTS];
    struct sockaddr_in to[UDP_BATCH_DATAGRAMS_MAX];
};

struct udp_socket {
    int fd;
    uint64_t unsent; /* queued datagrams that the kernel did not accept */
    struct udp_queue queue;
    struct event *readable;
    struct udp_batch *batch;
    bool owns_batch;
    udp_socket_cb cb;
    void *ctx;
};

struct udp_batch *
udp_batch_new(void)
{
    struct udp_batch *batch = calloc(1, sizeof(*batch));

    if (batch == NULL) {
        return NULL;
    }
    for (size_t i = 0; i < UDP_BATCH_DATAGRAMS_MAX; i++) {
        struct msghdr *hdr = &batch->headers[i].msg_hdr;

        batch->vectors[i].iov_base = batch->data[i];
        batch->vectors[i].iov_len = UDP_DATAGRAM_SIZE;
        hdr->msg_iov = &batch->vectors[i];
        hdr->msg_iovlen = 1;
        hdr->msg_name = &batch->from[i];
        hdr->msg_control = batch->control[i];
    }
    return batch;
}

void
udp_batch_destroy(struct udp_batch *batch)
{
    free(batch);
}

bool
endpoint_parse_addr(const char *text, uint32_t *addr)
{
    struct in_addr in;

    if (inet_pton(AF_INET, text, &in) != 1) {
        return false;
    }
    *addr = ntohl(in.s_addr);
    return true;
}

void
endpoint_format(const struct endpoint *ep, char *out, size_t size)
{
    snprintf(out, size, "%u.%u.%u.%u:%u", ep->addr >> 24,
             ep->addr >> 16 & 0xff, ep->addr >> 8 & 0xff, ep->addr & 0xff,
             ep->port);
}

static struct sockaddr_in
to_sockaddr(const struct endpoint *ep)
{
    struct sockaddr_in sin = {.sin_family = AF_INET};

    sin.sin_addr.s_addr = htonl(ep->addr);
    sin.sin_port = htons(ep->port);
    return sin;
}

/* Returns how long a message waited since the kernel's receive timestamp, in
 * microseconds; 0 if it has no timestamp or one that is not in the past.
 * "wall_now" is the wall-clock time in microseconds. */
static uint64_t
queued_us(struct msghdr *hdr, uint64_t wall_now)
{
    for (struct cmsghdr *c = CMSG_FIRSTHDR(hdr); c != NULL;
         c = CMSG_NXTHDR(hdr, c)) {
        if (c->cmsg_level == SOL_SOCKET && c->cmsg_type == SCM_TIMESTAMP) {
            struct timeval tv;
            uint64_t stamp;

            memcpy(&tv, CMSG_DATA(c), sizeof(tv));
            stamp = (uint64_t)tv.tv_sec * USEC_PER_SEC + (uint64_t)tv.tv_usec;
            return wall_now > stamp ? wall_now - stamp : 0;
        }
    }
    return 0;
}

/* Restores the sizes that recvmmsg() overwrites. */
static void
reset_batch(struct udp_batch *batch)
{
    for (size_t i = 0; i < UDP_BATCH_DATAGRAMS_MAX; i++) {
        struct msghdr *hdr = &batch->headers[i].msg_hdr;

        hdr->msg_namelen = sizeof(batch->from[i]);
        hdr->msg_controllen = sizeof(batch->control[i]);
    }
}

/* Receives one batch of datagrams, passes each to the callback and sends the
 * datagrams that the callbacks queued. Returns the number received. */
static int
receive_batch(struct udp_socket *sock)
{
    struct udp_batch *batch = sock->batch;
    uint64_t wall_now;
    int count;

    reset_batch(batch);
    count = recvmmsg(sock->fd, batch->headers, UDP_BATCH_DATAGRAMS_MAX,
                     MSG_DONTWAIT, NULL);
    if (count <= 0) {
        return 0;
    }
    wall_now = clock_wall_us();
    for (int i = 0; i < count; i++) {
        struct endpoint from = {
            .addr = ntohl(batch->from[i].sin_addr.s_addr),
            .port = ntohs(batch->from[i].sin_port),
        };
        uint64_t waited_us = queued_us(&batch->headers[i].msg_hdr, wall_now);

        sock->cb(sock->ctx, &from, batch->data[i], batch->headers[i].msg_len,
                 waited_us);
    }
    udp_socket_flush(sock);
    return count;
}

static void
on_readable(evutil_socket_t fd, short what, void *arg)
{
    struct udp_socket *sock = arg;

    for (int i = 0; i < UDP_BATCHES_PER_EVENT_MAX; i++) {
        if (receive_batch(sock) < UDP_BATCH_DATAGRAMS_MAX) {
            return;
        }
    }
}

/* Returns a bound non-blocking socket, -1 with errno set on failure. */
static int
open_and_bind(const struct endpoint *local)
{
    struct sockaddr_in sin = to_sockaddr(local);
    int buffer_size = UDP_RECEIVE_BUFFER_SIZE;
    int on = 1;
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        return -1;
    }
    /* Both options may fail: the socket works without them. */
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_size, sizeof(buffer_size));
    setsockopt(fd, SOL_SOCKET, SO_TIMESTAMP, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

struct udp_socket *
udp_socket_new(struct event_base *base, struct udp_batch *batch,
               const struct endpoint *local, udp_socket_cb cb, void *ctx,
               struct status *st)
{
    struct udp_socket *sock = calloc(1, sizeof(*sock));
    char where[32];

    if (sock == NULL) {
        status_set(st, ERR_NO_MEMORY, "UDP socket: out of memory");
        return NULL;
    }
    sock->batch = batch == NULL ? udp_batch_new() : batch;
    sock->owns_batch = batch == NULL;
    sock->cb = cb;
    sock->ctx = ctx;
    sock->fd = open_and_bind(local);
    if (sock->fd < 0) {
        endpoint_format(local, where, sizeof(where));
        status_set(st, ERR_SYSTEM, "UDP socket: cannot open %s: %s", where,
                   strerror(errno));
        free(sock);
        return NULL;
    }
    sock->readable =
        event_new(base, sock->fd, EV_READ | EV_PERSIST, on_readable, sock);
    if (sock->batch == NULL || sock->readable == NULL ||
        event_add(sock->readable, NULL) < 0) {
        status_set(st, ERR_NO_MEMORY, "UDP socket: out of memory");
        udp_socket_destroy(sock);
        return NULL;
    }
    return sock;
}

void
udp_socket_destroy(struct udp_socket *sock)
{
    if (sock == NULL) {
        return;
    }
    if (sock->readable != NULL) {
        event_free(sock->readable);
    }
    if (sock->owns_batch) {
        udp_batch_destroy(sock->batch);
    }
    close(sock->fd);
    free(sock);
}

bool
udp_socket_send(struct udp_socket *sock, const struct endpoint *to,
                const uint8_t *data, size_t size)
{
    struct sockaddr_in sin = to_sockaddr(to);
    ssize_t sent = sendto(sock->fd, data, size, MSG_DONTWAIT,
                          (struct sockaddr *)&sin, sizeof(sin));

    return sent == (ssize_t)size;
}

/* Uses as few system calls as possible. When the kernel rejects a datagram,
 * the next call continues with the one after it. */
void
udp_socket_flush(struct udp_socket *sock)
{
    struct udp_queue *queue = &sock->queue;
    unsigned done = 0;

    while (done < queue->count) {
        int sent = sendmmsg(sock->fd, &queue->headers[done],
                            queue->count - done, MSG_DONTWAIT);

        if (sent <= 0) {
            sock->unsent++;
            sent = 1;
        }
        done += (unsigned)sent;
    }
    queue->count = 0;
}

void
udp_socket_queue(struct udp_socket *sock, const struct endpoint *to,
                 const uint8_t *head, size_t head_size, const uint8_t *data,
                 size_t size)
{
    struct udp_queue *queue = &sock->queue;
    struct iovec *parts = queue->parts[queue->count];
    struct msghdr *hdr = &queue->headers[queue->count].msg_hdr;

    parts[0] = (struct iovec){(void *)head, head_size};
    parts[1] = (struct iovec){(void *)data, size};
    queue->to[queue->count] = to_sockaddr(to);
    *hdr = (struct msghdr){
        .msg_name = &queue->to[queue->count],
        .msg_namelen = sizeof(queue->to[0]),
        .msg_iov = parts,
        .msg_iovlen = UDP_PARTS,
    };
    queue->count++;
    if (queue->count == UDP_BATCH_DATAGRAMS_MAX) {
        udp_socket_flush(sock);
    }
}

uint64_t
udp_socket_unsent_count(const struct udp_socket *sock)
{
    return sock->unsent;
}
