#pragma once

#include <stdbool.h>

/* Identifiers of hosts, failure domains, tenants and resources: 1 to 63 of
 * the characters a-z, A-Z, 0-9, ".", "_" and "-", starting with a letter or
 * a digit. They need no quoting in keys, paths, log lines and metrics. */

#define IDENTIFIER_LENGTH_MAX 63

bool identifier_is_valid(const char *text);
