#pragma once

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

#include "base/status.h"

/* Reads the documents of a YAML stream into JSON values. Plain scalars become
 * numbers, booleans or null where they look so, all others strings. */

struct yaml_document {
    json_t *json;
    size_t line; /* of its first node, from 1 */
};

struct yaml_documents {
    size_t count;
    struct yaml_document *items;
};

/* Reads a file, or standard input for "-". On failure returns false with a
 * message that names file and line. */
bool yaml_documents_load(struct yaml_documents *docs, const char *path,
                         struct status *st);
void yaml_documents_clear(struct yaml_documents *docs);
