#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "client/download.h"

/* Where the body that "call get" and "call download" read goes. It becomes
 * visible only when it is whole: in memory until it is written to standard
 * output, or in FILE.part until that is renamed to FILE. */
struct call_body;

/* "path" is the output file, NULL for standard output. Returns NULL with a
 * message on standard error when the file cannot be made. */
struct call_body *call_body_new(const char *path, bool show_progress);
/* Removes FILE.part if it is still there. */
void call_body_destroy(struct call_body *body);

struct download_sink call_body_sink(struct call_body *body);

/* Makes the whole body visible. Returns false with a message on standard
 * error. */
bool call_body_commit(struct call_body *body);
