#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Conversion between the parts of a URI as CoAP options carry them (decoded
 * bytes) and the percent-encoded text that HTTP uses; RFC 7252 sections 6.4
 * and 6.5, RFC 3986. */

/* Appends "/" and a path segment to NUL-terminated text in a buffer of "size"
 * bytes. Returns false for a dot segment or when it does not fit; the text is
 * then unchanged. */
bool uri_path_append(char *text, size_t size, const uint8_t *part, size_t len);

/* Appends a query argument, after an "&" unless it is the first. Returns
 * false, with the text unchanged, for an empty argument or when it does not
 * fit. */
bool uri_query_append(char *text, size_t size, const uint8_t *part,
                      size_t len);

/* Decodes the part that starts at *text and ends at "separator" or the NUL,
 * and moves *text behind the separator, or to NULL after the last part.
 * Returns false for a malformed escape or a part longer than "size". */
bool uri_part_decode(const char **text, char separator, uint8_t *part,
                     size_t size, size_t *len);
