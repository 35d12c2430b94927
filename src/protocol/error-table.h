#pragma once

#include <stdint.h>

#include "base/status.h"
#include "protocol/packet.h"

/* How an error is reported to a CoAP caller and to a client of the HTTP API.
 * Every error kind has one row in the table in error-table.c. */
struct error_answer {
    uint8_t coap_code;    /* sent to callers; 0: the packet gets no answer */
    uint16_t http_status; /* sent to clients of the HTTP API */
    /* Outcome sent to callers when the code that reports the error does not
     * name another one. OUTCOME_UNKNOWN is sent only for methods that are not
     * idempotent. */
    enum packet_outcome outcome;
    const char *text; /* diagnostic payload (RFC 7252 section 5.5.2) */
};

/* Returns the row of an error kind. It is static and never NULL. */
const struct error_answer *error_answer(enum error_kind kind);
