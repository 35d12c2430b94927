#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "base/status.h"
#include "state/resource.h"

/* JSON encoding of a resource, in the form stored in the platform's store or
 * in the form of the operators' HTTP API. */

enum resource_json_form {
    RESOURCE_JSON_STORE,    /* all fields, secrets in base64 */
    RESOURCE_JSON_OPERATOR, /* without secrets, write ids and "deleted" */
};

/* Maximum size of a request body of the operators' HTTP API, bytes. */
#define RESOURCE_JSON_BODY_SIZE_MAX 8192

/* Defaults of optional members and maximum values of members. */
#define SERVICE_DEADLINE_MS_DEFAULT 10000
#define SERVICE_DEADLINE_MS_MAX 600000
#define SERVICE_BODY_LIMIT_BYTES_DEFAULT 65536 /* bytes */
#define SERVICE_BODY_LIMIT_BYTES_MAX 1048576   /* bytes */
#define TARGET_SLOTS_MAX 1024
#define TARGET_CONNECTIONS_MAX 1000000

/* Encodes a resource. Returns a NUL-terminated string that the caller frees
 * with free(), or NULL when memory is short. A tombstone in the operators'
 * form has only "kind", "id" and "version". */
char *resource_json_build(const struct resource *r,
                          enum resource_json_form form);

/* Decodes a resource from "len" bytes of JSON. The caller sets "kind", "id"
 * and, for a target, "service" in "r" beforehand from the key in the store or
 * the URL; JSON members of these names are optional and must have the same
 * values. Returns false on failure, with ERR_INVALID in "st" and a message
 * that begins with the path of the field, or with the line number for a JSON
 * syntax error.
 *
 * In the operators' form, unknown members are an error, and a key of a key
 * ring has only its id: the secret in "r" is left as it is. In the store's
 * form, unknown members are ignored, because a newer release may have written
 * them. */
bool resource_json_parse(struct resource *r, enum resource_json_form form,
                         const char *text, size_t len, struct status *st);
