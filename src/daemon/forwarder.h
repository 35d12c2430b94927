#pragma once

#include "base/status.h"
#include "daemon/forward-settings.h"
#include "daemon/view-task.h"
#include "protocol/flow-packet.h"

/* A forwarder consists of the view, the forwarding of packets, readiness,
 * metrics and signals. Its adapter provides everything that is specific to a
 * deployment. */
struct forwarder_adapter {
    /* Reads the settings file. Returns false with "st" set when it cannot be
     * read or is invalid. */
    bool (*load_settings)(const char *path, struct forward_settings *out,
                          struct status *st);
    const char *settings_path;
    const char *ready_path;   /* HTTP path of readiness, by GET */
    const char *metrics_path; /* HTTP path of the metrics, by GET */
    /* Gossip address that is announced to peers instead of the one from the
     * settings; NULL: the one from the settings. */
    const struct endpoint *gossip_public;
    struct directory directory; /* how the configuration is stored */
    const struct flow_packet_format *format; /* of packets on the wire */
};

/* Runs a forwarder until SIGTERM or SIGINT. Returns the exit status for the
 * process. */
int forwarder_run(const struct forwarder_adapter *adapter);
