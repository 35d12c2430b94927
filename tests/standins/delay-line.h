#pragma once

#include <netinet/in.h>
#include <stddef.h>

#include <event2/event.h>

/* Sends datagrams after a delay. Several may be on their way at once; those
 * with a shorter delay overtake the others. */
struct delay_line;

struct delay_line *delay_line_new(struct event_base *base);
void delay_line_destroy(struct delay_line *line);

/* Sends "data" from socket "fd" to "to" after "delay_ms"; at once for 0. A
 * socket that is closed in the meantime must be forgotten first. */
void delay_line_send(struct delay_line *line, int fd,
                     const struct sockaddr_in *to, const void *data,
                     size_t size, double delay_ms);

/* Drops what is still to be sent from "fd". */
void delay_line_forget(struct delay_line *line, int fd);
