#pragma once

#include "daemon/data.h"

/* What the parts of the data task read from a caller's request. */

/* The tenant: the service's, or the first path segment when the service says
 * so. */
void inbound_tenant(const struct inbound *in, char out[ID_SIZE]);

/* The path and query of the request to the target. */
void inbound_path(const struct inbound *in, char *out, size_t size);

/* When the answer is due, in microseconds of the monotonic clock. */
uint64_t inbound_deadline(const struct inbound *in);
