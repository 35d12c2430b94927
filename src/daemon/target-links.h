#pragma once

#include "daemon/data.h"
#include "transport/target-client.h"

/* The HTTP clients of the data task, one for each target in use. */

struct target_links *target_links_new(struct data_task *task);
void target_links_destroy(struct target_links *links);

/* The client of a target, made on first use. Returns NULL when memory is
 * short. */
struct target_client *target_links_get(struct target_links *links,
                                       struct target_state *t);

/* Frees the clients of removed targets, and those not used for a while, on
 * which nothing runs. To be called often; does its work once a second. */
void target_links_sweep(struct target_links *links, uint64_t now);
