#pragma once

#include <stdint.h>

#include "base/status.h"
#include "protocol/packet.h"

/* The one table from error kind to answer. */
struct error_answer {
    uint8_t coap_code;           /* towards callers; 0: no answer, drop */
    uint16_t http_status;        /* towards operators */
    enum packet_outcome outcome; /* for a request that may not be repeated */
    const char *text;            /* diagnostic payload */
};

const struct error_answer *error_answer(enum error_kind kind);
