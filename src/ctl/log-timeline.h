#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

/* Selects from the logs of forwarders the lines about one caller's flows or
 * about one target, and sorts them by time. For flows these are the lines that
 * name them and, from about the same time, those about the targets that the
 * flows were placed on and about the balancers that handled them. */

struct timeline_query {
    /* Flow id, or a prefix of it that ends before a ':' or '>'; or NULL. */
    const char *flow;
    const char *target; /* target id, or NULL */
};

struct log_timeline;

/* The strings in "query" must outlive the returned object. */
struct log_timeline *log_timeline_new(const struct timeline_query *query);
void log_timeline_destroy(struct log_timeline *timeline);

/* Adds one log line. If a log collector put words before the JSON object, the
 * last of them is used as the host name, otherwise "source" is used. */
void log_timeline_add(struct log_timeline *timeline, const char *source,
                      const char *line);
/* Returns the number of non-empty lines that are not a JSON object with a time
 * and a message. */
size_t log_timeline_skipped(const struct log_timeline *timeline);
/* Prints the selected lines. Returns false when no log line names the flow or
 * the target of the query. */
bool log_timeline_print(struct log_timeline *timeline, FILE *out);
