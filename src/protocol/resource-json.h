#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "base/status.h"
#include "state/resource.h"

/* The JSON form of a resource, as the platform's store holds it and as the
 * operators' API shows and takes it. */

enum resource_json_form {
    RESOURCE_JSON_STORE,    /* everything, secrets in base64 */
    RESOURCE_JSON_OPERATOR, /* neither secrets nor write ids */
};

#define RESOURCE_JSON_SIZE_MAX 8192 /* bytes of an operator's body */

#define SERVICE_DEADLINE_MS_DEFAULT 10000
#define SERVICE_DEADLINE_MS_MAX 600000
#define SERVICE_BODY_LIMIT_DEFAULT 65536
#define SERVICE_BODY_LIMIT_MAX 1048576 /* bytes */
#define TARGET_SLOTS_MAX 1024
#define TARGET_CONNECTIONS_MAX 1000000

/* Returns a text that the caller frees with free(), NULL when memory is
 * short. */
char *resource_json_build(const struct resource *r,
                          enum resource_json_form form);

/* Reads a resource. "kind", "id" and, for a target, "service" are set in "r"
 * before: they come from the key or the URL, and members of the same names
 * must agree. On failure returns false with ERR_INVALID in "st" and a message
 * that begins with the path of the field.
 *
 * The operators' form refuses unknown members and takes no secrets: a key of
 * a key ring has only its id, and its secret is left zero. In the store's
 * form unknown members are passed over, since a newer release may have
 * written them. */
bool resource_json_parse(struct resource *r, enum resource_json_form form,
                         const char *text, size_t len, struct status *st);
