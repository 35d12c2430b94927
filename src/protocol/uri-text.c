#include "protocol/uri-text.h"

#include <string.h>

#define ESCAPE_SIZE 3 /* bytes of "%XX" */

static const char hex_digits[] = "0123456789ABCDEF";

/* Returns true for characters that need no escape in a path segment or a query
 * argument: the RFC 3986 sets "unreserved" and "sub-delims" except "&", plus
 * ":" and "@". */
static bool
is_unescaped(uint8_t c)
{
    if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
        (c >= '0' && c <= '9')) {
        return true;
    }
    return c != '\0' && strchr("-._~!$'()*+,;=:@", c) != NULL;
}

/* Writes bytes to text + pos, escaping all that need it and are not in
 * "extra_unescaped", and a final NUL. Each byte needs room for a whole escape,
 * even if it is written without one. Returns the new length, or 0 when there
 * is no room. */
static size_t
append_encoded(char *text, size_t pos, size_t size, const uint8_t *part,
               size_t len, const char *extra_unescaped)
{
    for (size_t i = 0; i < len; i++) {
        uint8_t c = part[i];

        if (size - pos <= ESCAPE_SIZE) {
            return 0;
        }
        if (is_unescaped(c) ||
            (c != '\0' && strchr(extra_unescaped, c) != NULL)) {
            text[pos] = (char)c;
            pos++;
            continue;
        }
        text[pos] = '%';
        text[pos + 1] = hex_digits[c >> 4];
        text[pos + 2] = hex_digits[c & 0x0f];
        pos += ESCAPE_SIZE;
    }
    text[pos] = '\0';
    return pos;
}

/* Appends a separator, unless it is NUL, and the encoded part. Returns false,
 * with the text unchanged, when there is no room. */
static bool
append_part(char *text, size_t size, char separator, const uint8_t *part,
            size_t len, const char *extra_unescaped)
{
    size_t start = strlen(text);
    size_t pos = start;

    if (size - pos < 2) {
        return false;
    }
    if (separator != '\0') {
        text[pos] = separator;
        pos++;
    }
    if (append_encoded(text, pos, size, part, len, extra_unescaped) == 0) {
        text[start] = '\0';
        return false;
    }
    return true;
}

/* "." and ".." are not valid values of Uri-Path (RFC 7252 section 5.10.1). A
 * target might resolve them to a path other than the one that was checked. */
static bool
is_dot_segment(const uint8_t *part, size_t len)
{
    return (len == 1 && part[0] == '.') ||
           (len == 2 && part[0] == '.' && part[1] == '.');
}

bool
uri_path_append(char *text, size_t size, const uint8_t *part, size_t len)
{
    if (is_dot_segment(part, len)) {
        return false;
    }
    return append_part(text, size, '/', part, len, "&");
}

bool
uri_query_append(char *text, size_t size, const uint8_t *part, size_t len)
{
    if (len == 0) {
        return false;
    }
    return append_part(text, size, text[0] == '\0' ? '\0' : '&', part, len,
                       "/?");
}

/* Returns the value of a hexadecimal digit, or -1 for another character. */
static int
hex_value(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

/* Decodes the escape or character at "s" into "out". Returns the number of
 * bytes of text consumed, or 0 for a malformed escape. */
static size_t
decode_char(const char *s, uint8_t *out)
{
    int high;
    int low;

    if (*s != '%') {
        *out = (uint8_t)*s;
        return 1;
    }
    high = hex_value(s[1]);
    low = high < 0 ? -1 : hex_value(s[2]);
    if (low < 0) {
        return 0;
    }
    *out = (uint8_t)(high << 4 | low);
    return ESCAPE_SIZE;
}

bool
uri_part_decode(const char **text, char separator, uint8_t *part, size_t size,
                size_t *len)
{
    const char *s = *text;

    *len = 0;
    while (*s != '\0' && *s != separator) {
        uint8_t c;
        size_t consumed = decode_char(s, &c);

        if (consumed == 0 || *len == size) {
            return false;
        }
        part[*len] = c;
        *len += 1;
        s += consumed;
    }
    *text = *s == '\0' ? NULL : s + 1;
    return true;
}
