#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Conversion between the parts of a URI (path segments and query arguments) as
 * decoded bytes, which CoAP options carry, and percent-encoded text, which
 * HTTP uses: RFC 7252 sections 6.4 and 6.5, RFC 3986. */

/* Appends "/" and the percent-encoded path segment "part" to the
 * NUL-terminated string "text" in a buffer of "size" bytes. Returns false,
 * with the text unchanged, for the segments "." and ".." or when there is no
 * room. Each byte needs room for an escape (three bytes) when it is written,
 * even if it is not escaped. */
bool uri_path_append(char *text, size_t size, const uint8_t *part, size_t len);

/* Appends the percent-encoded query argument "part", after an "&" unless it is
 * the first. Returns false, with the text unchanged, for an empty argument or
 * when there is no room, by the same rule. */
bool uri_query_append(char *text, size_t size, const uint8_t *part,
                      size_t len);

/* Decodes the part that starts at *text and ends before "separator" or the
 * final NUL, writes it to "part" and its length to *len. *text then points
 * after the separator, or is NULL after the last part. Returns false, with
 * *text unchanged, for a malformed escape or a part of more than "size"
 * bytes. */
bool uri_part_decode(const char **text, char separator, uint8_t *part,
                     size_t size, size_t *len);
