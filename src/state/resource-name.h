#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "state/resource.h"

/* Names of resources: "service/<id>", "target/<service>/<id>", "host/<id>",
 * "key_ring/<id>". The name is also the key below the prefix in the platform's
 * store. */

#define RESOURCE_NAME_SIZE 160 /* bytes, "target/<service>/<id>" and NUL */

void resource_name(const struct resource *r, char out[RESOURCE_NAME_SIZE]);
uint64_t resource_name_hash(const struct resource *r);

/* Clears a resource and sets kind, id and, of a target, service from a name.
 * Returns false for a text that is no name. */
bool resource_name_parse(struct resource *r, const char *name);
