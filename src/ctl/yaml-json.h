#pragma once

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

#include "base/status.h"

/* Converts the documents of a YAML stream to JSON values. Plain (unquoted)
 * scalars become integers, booleans or null when their text is one; all other
 * scalars become strings. */

struct yaml_document {
    json_t *json;
    size_t line; /* where the document's root node begins, from 1 */
};

struct yaml_documents {
    size_t count;
    struct yaml_document *items;
};

/* Reads a file, or standard input for "-". The caller frees "docs" with
 * yaml_documents_clear(). On failure returns false with "docs" empty and a
 * message that names the file and, for invalid YAML, the line. */
bool yaml_documents_load(struct yaml_documents *docs, const char *path,
                         struct status *st);
void yaml_documents_clear(struct yaml_documents *docs);
