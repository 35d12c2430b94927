#include "base/identifier.h"

#include <stddef.h>

static bool
is_alphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
}

bool
identifier_is_valid(const char *text)
{
    size_t len = 0;

    if (!is_alphanumeric(text[0])) {
        return false;
    }
    for (; text[len] != '\0'; len++) {
        char c = text[len];

        if (len == IDENTIFIER_LENGTH_MAX) {
            return false;
        }
        if (!is_alphanumeric(c) && c != '.' && c != '_' && c != '-') {
            return false;
        }
    }
    return true;
}
