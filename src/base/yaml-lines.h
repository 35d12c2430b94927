#pragma once

#include <stddef.h>

/* Lines of the nodes of a YAML file, for messages about values that parse
 * but are refused later. */
struct yaml_lines;

/* Returns NULL when the file cannot be read or parsed. */
struct yaml_lines *yaml_lines_new(const char *path);
void yaml_lines_destroy(struct yaml_lines *lines);

/* Returns the line, from 1, of the value at a path such as "seeds[1].port";
 * 0 when there is none. */
size_t yaml_lines_find(const struct yaml_lines *lines, const char *path);
