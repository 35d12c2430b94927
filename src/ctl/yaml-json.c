#include "ctl/yaml-json.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <yaml.h>

/* Maximum nesting depth. Deeper values become null, which also ends the
 * recursion through circular aliases. */
#define DEPTH_MAX 16

static json_t *
plain_scalar_to_json(const char *text)
{
    char *end;
    json_int_t number;

    if (strcmp(text, "true") == 0 || strcmp(text, "false") == 0) {
        return json_boolean(text[0] == 't');
    }
    if (strcmp(text, "null") == 0 || strcmp(text, "~") == 0 ||
        text[0] == '\0') {
        return json_null();
    }
    errno = 0;
    number = strtoll(text, &end, 10);
    if (end != text && *end == '\0' && errno == 0) {
        return json_integer(number);
    }
    return json_string(text);
}

static json_t *node_to_json(yaml_document_t *doc, int id, int depth);

static json_t *
sequence_to_json(yaml_document_t *doc, const yaml_node_t *node, int depth)
{
    json_t *array = json_array();

    for (yaml_node_item_t *item = node->data.sequence.items.start;
         item < node->data.sequence.items.top; item++) {
        json_array_append_new(array, node_to_json(doc, *item, depth));
    }
    return array;
}

static json_t *
mapping_to_json(yaml_document_t *doc, const yaml_node_t *node, int depth)
{
    json_t *object = json_object();

    for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
         pair < node->data.mapping.pairs.top; pair++) {
        const yaml_node_t *key = yaml_document_get_node(doc, pair->key);

        if (key->type == YAML_SCALAR_NODE) {
            json_object_set_new(object, (const char *)key->data.scalar.value,
                                node_to_json(doc, pair->value, depth));
        }
    }
    return object;
}

static json_t *
node_to_json(yaml_document_t *doc, int id, int depth)
{
    const yaml_node_t *node = yaml_document_get_node(doc, id);
    const char *text;

    if (depth == DEPTH_MAX) {
        return json_null();
    }
    switch (node->type) {
    case YAML_SEQUENCE_NODE:
        return sequence_to_json(doc, node, depth + 1);
    case YAML_MAPPING_NODE:
        return mapping_to_json(doc, node, depth + 1);
    case YAML_SCALAR_NODE:
        text = (const char *)node->data.scalar.value;
        if (node->data.scalar.style == YAML_PLAIN_SCALAR_STYLE) {
            return plain_scalar_to_json(text);
        }
        return json_string(text);
    default:
        return json_null();
    }
}

static bool
append_document(struct yaml_documents *docs, yaml_document_t *doc)
{
    const yaml_node_t *root = yaml_document_get_root_node(doc);
    struct yaml_document *items =
        realloc(docs->items, (docs->count + 1) * sizeof(*items));

    if (items == NULL) {
        return false;
    }
    docs->items = items;
    items[docs->count].json = node_to_json(doc, 1, 0);
    items[docs->count].line = root->start_mark.line + 1;
    docs->count++;
    return true;
}

/* Loads all documents of the stream. Returns false at the first error. */
static bool
load_all(struct yaml_documents *docs, yaml_parser_t *parser, const char *path,
         struct status *st)
{
    yaml_document_t doc;

    while (yaml_parser_load(parser, &doc) != 0) {
        bool more = yaml_document_get_root_node(&doc) != NULL;

        if (more && !append_document(docs, &doc)) {
            yaml_document_delete(&doc);
            status_set(st, ERR_NO_MEMORY, "%s: out of memory", path);
            return false;
        }
        yaml_document_delete(&doc);
        if (!more) {
            return true;
        }
    }
    status_set(st, ERR_INVALID, "%s:%zu: %s", path,
               parser->problem_mark.line + 1,
               parser->problem == NULL ? "invalid YAML" : parser->problem);
    return false;
}

bool
yaml_documents_load(struct yaml_documents *docs, const char *path,
                    struct status *st)
{
    bool is_stdin = strcmp(path, "-") == 0;
    FILE *file = is_stdin ? stdin : fopen(path, "r");
    yaml_parser_t parser;
    bool loaded;

    memset(docs, 0, sizeof(*docs));
    if (file == NULL) {
        status_set(st, ERR_INVALID, "%s: %s", path, strerror(errno));
        return false;
    }
    yaml_parser_initialize(&parser);
    yaml_parser_set_input_file(&parser, file);
    loaded = load_all(docs, &parser, path, st);
    yaml_parser_delete(&parser);
    if (!is_stdin) {
        fclose(file);
    }
    if (!loaded) {
        yaml_documents_clear(docs);
    }
    return loaded;
}

void
yaml_documents_clear(struct yaml_documents *docs)
{
    for (size_t i = 0; i < docs->count; i++) {
        json_decref(docs->items[i].json);
    }
    free(docs->items);
    memset(docs, 0, sizeof(*docs));
}
