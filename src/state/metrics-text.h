#pragma once

#include <stdio.h>

#include "state/histogram.h"

/* Parts of the Prometheus text exposition format 0.0.4. */

#define METRICS_PREFIX "pimentohaven_"
/* Bytes of a label value of "n" bytes with every byte escaped. */
#define METRICS_LABEL_SIZE(n) (2 * (n))

/* Writes "text" escaped for a label value (backslash, quote, newline), cut to
 * "size" bytes with the NUL. Returns "out". */
const char *metrics_escape_label(const char *text, char *out, size_t size);
/* "labels" is what stands between the braces, without the bucket's edge. */
void metrics_print_histogram(FILE *f, const char *name, const char *labels,
                             const struct histogram *h);
