#include "base/yaml-lines.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <yaml.h>

struct yaml_lines {
    yaml_document_t document;
};

static bool
load_document(yaml_document_t *document, const char *path)
{
    yaml_parser_t parser;
    FILE *file = fopen(path, "r");
    bool loaded;

    if (file == NULL) {
        return false;
    }
    if (yaml_parser_initialize(&parser) == 0) {
        fclose(file);
        return false;
    }
    yaml_parser_set_input_file(&parser, file);
    loaded = yaml_parser_load(&parser, document) != 0;
    yaml_parser_delete(&parser);
    fclose(file);
    return loaded;
}

struct yaml_lines *
yaml_lines_new(const char *path)
{
    struct yaml_lines *lines = calloc(1, sizeof(*lines));

    if (lines == NULL) {
        return NULL;
    }
    if (!load_document(&lines->document, path)) {
        free(lines);
        return NULL;
    }
    return lines;
}

void
yaml_lines_destroy(struct yaml_lines *lines)
{
    if (lines == NULL) {
        return;
    }
    yaml_document_delete(&lines->document);
    free(lines);
}

/* Returns the value of a key, or NULL when "node" is not a mapping that has
 * it. */
static yaml_node_t *
find_value(yaml_document_t *document, const yaml_node_t *node, const char *key,
           size_t key_len)
{
    if (node->type != YAML_MAPPING_NODE) {
        return NULL;
    }
    for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
         pair < node->data.mapping.pairs.top; pair++) {
        yaml_node_t *name = yaml_document_get_node(document, pair->key);

        if (name->type == YAML_SCALAR_NODE &&
            name->data.scalar.length == key_len &&
            memcmp(name->data.scalar.value, key, key_len) == 0) {
            return yaml_document_get_node(document, pair->value);
        }
    }
    return NULL;
}

/* Returns an element, or NULL when "node" is not a sequence that has it. */
static yaml_node_t *
find_element(yaml_document_t *document, const yaml_node_t *node, size_t index)
{
    yaml_node_item_t *item;

    if (node->type != YAML_SEQUENCE_NODE) {
        return NULL;
    }
    item = node->data.sequence.items.start + index;
    if (item >= node->data.sequence.items.top) {
        return NULL;
    }
    return yaml_document_get_node(document, *item);
}

size_t
yaml_lines_find(const struct yaml_lines *lines, const char *path)
{
    /* The accessors of libyaml take a non-const document, but only read it. */
    yaml_document_t *document = (yaml_document_t *)&lines->document;
    yaml_node_t *node = yaml_document_get_root_node(document);

    while (node != NULL && *path != '\0') {
        if (*path == '[') {
            char *end;
            size_t index = strtoul(path + 1, &end, 10);

            node = find_element(document, node, index);
            path = end + strspn(end, "]");
        }
        else {
            size_t len = strcspn(path, ".[");

            node = find_value(document, node, path, len);
            path += len;
        }
        path += strspn(path, ".");
    }
    return node == NULL ? 0 : node->start_mark.line + 1;
}
