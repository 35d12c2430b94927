#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "coordination/report.h"

/* JSON encoding of a failure domain's status: how far its balancers have
 * applied the configuration. The domain's reporter writes it to the platform's
 * store, and the operators' HTTP API returns it. */

/* Returns a NUL-terminated string that the caller frees with free(), or NULL
 * when memory is short. */
char *domain_status_json_build(const struct domain_status *status);
/* Decodes "len" bytes of JSON. Returns false, with "status" cleared, when
 * they are not a status. Of the list "waiting" the first REPORT_WAITING_MAX
 * hosts are stored; those after them are only counted, in
 * status->waiting_more. */
bool domain_status_json_parse(struct domain_status *status, const char *text,
                              size_t len);
