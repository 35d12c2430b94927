#include "daemon/inbound.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"

/* Time allowed for a request when neither it nor its service names one. */
#define DEADLINE_DEFAULT_MS 5000
/* Maximum time allowed for a request, whatever it or its service names. */
#define DEADLINE_MAX_MS 60000

void
inbound_tenant(const struct inbound *in, char out[ID_SIZE])
{
    const struct service *service = &in->port->view->service;
    const char *segment = in->packet.path;
    size_t len;

    if (!service->tenant_in_path || *segment != '/') {
        memcpy(out, service->tenant, ID_SIZE);
        return;
    }
    segment++;
    len = strcspn(segment, "/");
    if (len >= ID_SIZE) {
        len = ID_SIZE - 1;
    }
    memcpy(out, segment, len);
    out[len] = '\0';
}

void
inbound_path(const struct inbound *in, char *out, size_t size)
{
    const struct packet *p = &in->packet;

    snprintf(out, size, "%s%s%s", p->path[0] == '\0' ? "/" : p->path,
             p->query[0] == '\0' ? "" : "?", p->query);
}

uint64_t
inbound_deadline_us(const struct inbound *in)
{
    uint32_t ms = in->port->view->service.deadline_ms;

    if ((in->packet.fields & FIELD_DEADLINE) != 0) {
        ms = in->packet.deadline_ms;
    }
    else if (ms == 0) {
        ms = DEADLINE_DEFAULT_MS;
    }
    if (ms > DEADLINE_MAX_MS) {
        ms = DEADLINE_MAX_MS;
    }
    return in->caller.received_us + (uint64_t)ms * USEC_PER_MSEC;
}
