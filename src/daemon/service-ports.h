#pragma once

#include "daemon/data.h"

/* The UDP ports of the services that the view holds, on this host's
 * address. */

struct service_ports *service_ports_new(struct data_task *task,
                                        udp_socket_cb on_datagram);
void service_ports_destroy(struct service_ports *ports);

/* Points the open ports at the services of a new view and opens the missing
 * ones. The port of a removed service stays open without a service until it
 * is used again, so that nothing else receives its packets. */
void service_ports_apply(struct service_ports *ports,
                         struct config_view *view);

/* The open port of that number, or NULL. */
const struct service_port *
service_ports_find(const struct service_ports *ports, uint16_t number);
