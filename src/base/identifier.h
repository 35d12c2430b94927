#pragma once

#include <stdbool.h>

/* An identifier of a host, failure domain, tenant or resource has 1 to 63
 * characters out of a-z, A-Z, 0-9, ".", "_" and "-", and starts with a letter
 * or a digit. It needs no quoting in keys, paths, log lines and metrics. */

#define IDENTIFIER_LENGTH_MAX 63 /* bytes, without the final NUL */

/* Whether a text follows the rules for identifiers given above. */
bool identifier_is_valid(const char *text);
