#pragma once

#include <stddef.h>

/* Line numbers of the values in a YAML file, for messages about values that
 * libcyaml or a later check rejects. */
struct yaml_lines;

/* Parses the file at "path". Returns NULL when it cannot be read or parsed, or
 * when out of memory. The caller frees the result. */
struct yaml_lines *yaml_lines_new(const char *path);
/* Accepts NULL. */
void yaml_lines_destroy(struct yaml_lines *lines);

/* Returns the line, counted from 1, of the value at a key path such as
 * "seeds[1].port", or 0 when the file has no such value. */
size_t yaml_lines_find(const struct yaml_lines *lines, const char *path);
