#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "coordination/report.h"

/* A domain's status as its reporter writes it to the platform's store, and as
 * operators see it. */

/* Returns a text that the caller frees, NULL when memory is short. */
char *status_json_build(const struct domain_status *status);
/* Returns false for anything that is not a status; more hosts than
 * REPORT_WAITING_MAX count as "waiting_more". */
bool status_json_parse(struct domain_status *status, const char *text,
                       size_t len);
