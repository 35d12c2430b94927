#pragma once

#include <netinet/in.h>
#include <stddef.h>

#include <event2/event.h>

/* Sends UDP datagrams after a delay. Any number of datagrams may be pending;
 * one with a shorter delay can overtake one that was queued earlier. */
struct delay_line;

struct delay_line *delay_line_new(struct event_base *base);
/* Drops all pending datagrams. NULL is accepted. */
void delay_line_destroy(struct delay_line *line);

/* Sends a copy of "data" from socket "fd" to "to" after "delay_ms", or
 * immediately if "delay_ms" is 0. The caller keeps "fd" open until then;
 * before closing it earlier, it calls delay_line_cancel_fd(). */
void delay_line_send(struct delay_line *line, int fd,
                     const struct sockaddr_in *to, const void *data,
                     size_t size, double delay_ms);

/* Drops the pending datagrams of socket "fd". */
void delay_line_cancel_fd(struct delay_line *line, int fd);
