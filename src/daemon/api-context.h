#pragma once

#include "base/status.h"
#include "coordination/resource-rules.h"
#include "daemon/api.h"

/* Reads from the platform what a write is checked against: other resources
 * and the failure domains known. */
struct api_context;

/* Runs once; what it gets is valid until api_context_destroy(). */
typedef void (*api_context_cb)(void *ctx, const struct status *st,
                               const struct resource_context *context);

/* "needs" is not empty: enum resource_need. Returns NULL when memory is short.
 * The callback runs from the loop. */
struct api_context *api_context_read(struct api_task *task, unsigned needs,
                                     api_context_cb cb, void *ctx);
void api_context_destroy(struct api_context *context);
