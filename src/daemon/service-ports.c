#include "daemon/service-ports.h"

#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "ports"
#include "base/log.h"

struct service_ports {
    struct data_task *task;
    udp_socket_cb on_datagram; /* its context is the struct service_port */
    GHashTable *by_number;     /* port number -> struct service_port, owned */
};

static void
port_destroy(void *arg)
{
    struct service_port *port = arg;

    udp_socket_destroy(port->sock);
    free(port);
}

struct service_ports *
service_ports_new(struct data_task *task, udp_socket_cb on_datagram)
{
    struct service_ports *ports = calloc(1, sizeof(*ports));

    if (ports == NULL) {
        return NULL;
    }
    ports->task = task;
    ports->on_datagram = on_datagram;
    ports->by_number = g_hash_table_new_full(NULL, NULL, NULL, port_destroy);
    return ports;
}

void
service_ports_destroy(struct service_ports *ports)
{
    if (ports == NULL) {
        return;
    }
    g_hash_table_destroy(ports->by_number);
    free(ports);
}

const struct service_port *
service_ports_find(const struct service_ports *ports, uint16_t number)
{
    return g_hash_table_lookup(ports->by_number, GUINT_TO_POINTER(number));
}

static struct service_port *
open_port(struct service_ports *ports, uint16_t number)
{
    struct data_task *task = ports->task;
    struct endpoint local = {.addr = task->home.addr, .port = number};
    struct service_port *port = calloc(1, sizeof(*port));
    struct status st;

    if (port == NULL) {
        return NULL;
    }
    port->task = task;
    port->port = number;
    port->sock = udp_socket_new(task->base, task->udp_batch, &local,
                                ports->on_datagram, port, &st);
    if (port->sock == NULL) {
        LOG_ERR("skipping a service: %s", st.message);
        free(port);
        return NULL;
    }
    g_hash_table_insert(ports->by_number, GUINT_TO_POINTER(number), port);
    return port;
}

static void
detach_services(struct service_ports *ports)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, ports->by_number);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct service_port *port = value;

        port->view = NULL;
    }
}

void
service_ports_apply_view(struct service_ports *ports, struct config_view *view)
{
    detach_services(ports);
    for (size_t i = 0; i < view->service_count; i++) {
        struct service_view *svc = &view->services[i];
        uint16_t number = svc->service.port;
        struct service_port *port =
            g_hash_table_lookup(ports->by_number, GUINT_TO_POINTER(number));

        if (port == NULL) {
            port = open_port(ports, number);
        }
        if (port != NULL) {
            port->view = svc;
            memcpy(port->service, svc->id, sizeof(port->service));
        }
    }
}
