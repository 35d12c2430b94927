#pragma once

#include "base/status.h"
#include "coordination/resource-rules.h"
#include "daemon/api.h"

/* Reads what a write is validated against: other resources from the store and
 * the failure domains that the platform knows. */
struct api_write_context;

/* Called once, when everything was read or a read failed; "st" says which.
 * "context" is valid only during the call; the resources and domains that it
 * points to stay valid until api_write_context_destroy(). Its member "current"
 * is not set. */
typedef void (*api_write_context_cb)(void *ctx, const struct status *st,
                                     const struct resource_context *context);

/* Starts reading. "needs" is a set of enum resource_need, not empty. Returns
 * NULL when memory is short; otherwise the callback runs from the event loop
 * and the caller destroys the result. */
struct api_write_context *api_write_context_read(struct api_task *task,
                                                 unsigned needs,
                                                 api_write_context_cb cb,
                                                 void *ctx);
/* Cancels a request for the platform's host list. A range read of the store
 * is not cancelled, so this must not be called while one is in progress. Does
 * nothing for NULL. */
void api_write_context_destroy(struct api_write_context *context);
