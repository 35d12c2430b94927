#include "delay-line.h"

#include <string.h>
#include <sys/socket.h>

#include <glib.h>

#include "base/clock.h"
#include "base/list.h"

/* A datagram waiting for its send time. */
struct datagram {
    struct list link;
    struct event *timer;
    int fd;
    struct sockaddr_in to;
    size_t size;
    unsigned char data[];
};

struct delay_line {
    struct event_base *base;
    struct list pending; /* struct datagram, in the order of the calls */
};

struct delay_line *
delay_line_new(struct event_base *base)
{
    struct delay_line *line = g_new0(struct delay_line, 1);

    line->base = base;
    list_init(&line->pending);
    return line;
}

static void
datagram_destroy(struct datagram *dg)
{
    list_remove(&dg->link);
    event_free(dg->timer);
    g_free(dg);
}

void
delay_line_destroy(struct delay_line *line)
{
    if (line == NULL) {
        return;
    }
    list_for_each_safe (it, &line->pending) {
        datagram_destroy(container_of(it, struct datagram, link));
    }
    g_free(line);
}

/* Sends without blocking. If the socket buffer is full, the datagram is lost,
 * as it may be on a network. */
static void
send_now(int fd, const struct sockaddr_in *to, const void *data, size_t size)
{
    (void)!sendto(fd, data, size, MSG_DONTWAIT | MSG_NOSIGNAL,
                  (const struct sockaddr *)to, sizeof(*to));
}

static void
datagram_timer_expired(evutil_socket_t fd, short what, void *ctx)
{
    struct datagram *dg = ctx;

    send_now(dg->fd, &dg->to, dg->data, dg->size);
    datagram_destroy(dg);
}

void
delay_line_send(struct delay_line *line, int fd, const struct sockaddr_in *to,
                const void *data, size_t size, double delay_ms)
{
    uint64_t us = delay_ms > 0 ? (uint64_t)(delay_ms * USEC_PER_MSEC) : 0;
    struct timeval delay = {(time_t)(us / USEC_PER_SEC),
                            (suseconds_t)(us % USEC_PER_SEC)};
    struct datagram *dg;

    if (us == 0) {
        send_now(fd, to, data, size);
        return;
    }
    dg = g_malloc(sizeof(*dg) + size);
    dg->fd = fd;
    dg->to = *to;
    dg->size = size;
    memcpy(dg->data, data, size);
    list_push_back(&line->pending, &dg->link);
    dg->timer = evtimer_new(line->base, datagram_timer_expired, dg);
    evtimer_add(dg->timer, &delay);
}

void
delay_line_cancel_fd(struct delay_line *line, int fd)
{
    list_for_each_safe (it, &line->pending) {
        struct datagram *dg = container_of(it, struct datagram, link);

        if (dg->fd == fd) {
            datagram_destroy(dg);
        }
    }
}
