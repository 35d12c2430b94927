#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The mapping between CoAP and HTTP (RFC 7252 section 10.1, RFC 8075). */

/* The HTTP method for a CoAP request code, or NULL when it is not served. */
const char *http_map_method(uint8_t code);

/* The CoAP code for the status of an answer to a request of "method_code". */
uint8_t http_map_status(int http_status, uint8_t method_code);

/* The CoAP Content-Format for a media type, or -1 when there is none. */
int http_map_content_format(const char *media_type);

/* A Content-Range header ("bytes 0-99/1234"). Returns false when it is
 * malformed or its total is unknown. */
struct content_range {
    uint64_t first;
    uint64_t last;
    uint64_t total;
};
bool http_map_content_range(const char *value, struct content_range *range);

/* An X-Load header ("running/slots/queued"). */
struct load_report {
    uint32_t running;
    uint32_t slots;
    uint32_t queued;
};
bool http_map_load(const char *value, struct load_report *load);

/* Shortens an HTTP entity tag to the 8 bytes of a CoAP ETag (RFC 7252 section
 * 5.10) by hashing it; a body without a tag is hashed itself. */
void http_map_etag(const char *etag, const uint8_t *body, size_t body_len,
                   uint8_t out[8]);
