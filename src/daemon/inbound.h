#pragma once

#include "daemon/data.h"

/* Properties of a caller's request that several parts of the data task need.
 * The service of the request's port must be present in the view. */

/* Writes the id of the request's tenant to "out". The tenant is that of the
 * service or, when the service is configured with "tenant_in_path", the first
 * segment of the request's path, cut to fit. */
void inbound_tenant(const struct inbound *in, char out[ID_SIZE]);

/* Writes the path and query for the HTTP request to the target. An empty path
 * becomes "/". */
void inbound_path(const struct inbound *in, char *out, size_t size);

/* Returns the time at which the answer is due, in microseconds of the
 * monotonic clock. The time allowed, counted from the receipt of the request,
 * is the request's own deadline, else that of the service, else a default; it
 * is limited to a minute. */
uint64_t inbound_deadline_us(const struct inbound *in);
