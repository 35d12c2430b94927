#pragma once

#include <stdint.h>

#include "base/status.h"
#include "protocol/packet.h"

/* The one table from error kind to answer. */
struct error_answer {
    uint8_t coap_code;           /* towards callers; 0: no answer, drop */
    enum packet_outcome outcome; /* for a request that may not be repeated */
    uint16_t http_status;        /* towards operators */
    const char *text;            /* diagnostic payload */
};

const struct error_answer *error_answer(enum error_kind kind);
