#pragma once

#include "base/status.h"
#include "daemon/forward-settings.h"
#include "daemon/view-task.h"
#include "protocol/flow-packet.h"

/* A whole forwarder: the view, the packets, readiness, signals. What belongs
 * to the deployment comes from its adapter. */
struct forwarder_adapter {
    /* Reads the settings file. Returns false with "st" set. */
    bool (*load_settings)(const char *path, struct forward_settings *out,
                          struct status *st);
    const char *settings_path;
    const char *ready_path;   /* of readiness, by GET */
    const char *metrics_path; /* of the metrics text, by GET */
    /* Where peers reach this balancer, when it is not the address that it
     * binds; NULL otherwise. */
    const struct endpoint *gossip_public;
    struct directory directory;
    const struct flow_packet_format *format;
};

/* Runs until it is asked to stop. Returns the exit status of the process. */
int forwarder_run(const struct forwarder_adapter *adapter);
