#pragma once

#include <stdio.h>

#include "state/histogram.h"

/* Helpers for the Prometheus text exposition format 0.0.4. */

#define METRICS_PREFIX "pimentohaven_"
/* Size of a buffer for an escaped label value, in bytes. "n" is the size of
 * the original text with its NUL. */
#define METRICS_LABEL_SIZE(n) (2 * (n))

/* Writes "text" to "out" with the characters escaped that a label value can't
 * contain as they are (backslash, double quote, newline). The result is
 * truncated to "size" bytes with the final NUL. Returns "out". */
const char *metrics_escape_label(const char *text, char *out, size_t size);
/* Prints the buckets, sum and count of a histogram in seconds. "name" is the
 * metric without METRICS_PREFIX; "labels" is the text between the braces,
 * already escaped and without the "le" label of the buckets. */
void metrics_print_histogram(FILE *f, const char *name, const char *labels,
                             const struct histogram *h);
