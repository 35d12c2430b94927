#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "state/resource.h"

/* Names of resources: "service/<id>", "target/<service>/<id>", "host/<id>",
 * "key_ring/<id>". With the store's key prefix in front, the name is also the
 * key of the resource in the platform's store. */

/* Bytes of the longest name, "target/<service>/<id>", with the final NUL. */
#define RESOURCE_NAME_SIZE 160

void resource_name(const struct resource *r, char out[RESOURCE_NAME_SIZE]);
/* Returns id_hash() of the resource's name. */
uint64_t resource_name_hash(const struct resource *r);

/* Zeroes "r" and sets its kind, its id and, for a target, its service from a
 * name. Returns false if the name is not valid. */
bool resource_name_parse(struct resource *r, const char *name);
