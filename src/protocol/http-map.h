#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Mapping between CoAP requests and answers and those of the HTTP targets
 * (RFC 7252 section 10.1, RFC 8075). */

/* Returns the HTTP method for a CoAP request code, a static string, or NULL
 * when the balancer does not serve the code. */
const char *http_map_method(uint8_t code);

/* Returns the CoAP response code for an HTTP status. "method_code" is the CoAP
 * code of the request, which selects among the success codes. */
uint8_t http_map_status(int http_status, uint8_t method_code);

/* Returns the CoAP Content-Format number for the value of a Content-Type
 * header, or -1 when the media type has none. Parameters after the media type,
 * such as a character set, are ignored. */
int http_map_content_format(const char *media_type);

/* Value of a Content-Range header, such as "bytes 0-99/1234". */
struct content_range {
    uint64_t first; /* offset of the first byte */
    uint64_t last;  /* offset of the last byte, inclusive */
    uint64_t total; /* size of the whole body, bytes */
};
/* Parses a Content-Range header. Returns false when it is malformed, gives
 * no total ("*") or has a range that does not lie within the total. */
bool http_map_parse_content_range(const char *value,
                                  struct content_range *range);

/* Value of an X-Load header, "running/slots/queued", in which a target reports
 * its load. */
struct load_report {
    uint32_t running; /* requests that the target is running */
    uint32_t slots;   /* requests that the target can run at once */
    uint32_t queued;  /* requests that wait in the target */
};
/* Parses an X-Load header. Returns false when it is malformed. */
bool http_map_parse_load(const char *value, struct load_report *load);

/* Writes a CoAP ETag, which has at most 8 bytes (RFC 7252 section 5.10): the
 * hash of the HTTP entity tag or, when "etag" is NULL, of the body. */
void http_map_etag(const char *etag, const uint8_t *body, size_t body_len,
                   uint8_t out[8]);
