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
 * monotonic clock. The time allowed is counted from the receipt of the
 * request. It is the request's deadline or, without one, that of the service
 * or a default, and at most a minute. */
uint64_t inbound_deadline_us(const struct inbound *in);
