#pragma once

#include "daemon/data.h"

/* The UDP sockets on this host's address that receive the packets of the
 * services in the current view. */

/* "on_datagram" is called with the struct service_port as its context. Returns
 * NULL when memory is short. */
struct service_ports *service_ports_new(struct data_task *task,
                                        udp_socket_cb on_datagram);
void service_ports_destroy(struct service_ports *ports);

/* Assigns the open ports to the services of a new view and opens missing ones.
 * A port that cannot be opened is logged and skipped. The port of a removed
 * service stays open without a service until a service uses it again, so that
 * no other program receives its packets. The ports point into "view", which
 * the caller keeps until the next call. */
void service_ports_apply_view(struct service_ports *ports,
                              struct config_view *view);

/* Returns the open port with a number, or NULL when there is none. */
const struct service_port *
service_ports_find(const struct service_ports *ports, uint16_t number);
