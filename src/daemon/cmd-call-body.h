#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "client/download.h"

/* Output of "call get" and "call download". A body is published only when it
 * is complete: until then it is kept in memory for standard output, or in
 * FILE.part, which is then renamed to FILE. */
struct call_body;

/* "path" is the output file, NULL for standard output. With "show_progress"
 * the progress of an output file is printed on standard error. Returns NULL
 * with a message on standard error when the file cannot be created. */
struct call_body *call_body_new(const char *path, bool show_progress);

/* Frees the output and removes FILE.part unless it was committed. */
void call_body_destroy(struct call_body *body);

/* Returns a sink that writes to the output, for download_start(). The output
 * must outlive the download. */
struct download_sink call_body_sink(struct call_body *body);

/* Publishes the complete body. Returns false when the output has failed, with
 * a message on standard error. */
bool call_body_commit(struct call_body *body);
