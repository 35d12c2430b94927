#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

/* Picks from the logs of forwarders what concerns one caller's flows, or one
 * target, and puts it in order: the lines that name it, what became of the
 * targets that the flows had, and what befell the balancers that handled
 * them. */

struct story_query {
    const char *flow; /* an id, or its beginning up to a ':' or '>'; or NULL */
    const char *target; /* an id; or NULL */
};

struct log_story;

/* The texts of "query" have to stay. */
struct log_story *log_story_new(const struct story_query *query);
void log_story_destroy(struct log_story *story);

/* Takes one line. The JSON object may stand behind other words, of which the
 * last names the host; without any it is "source". */
void log_story_add(struct log_story *story, const char *source,
                   const char *line);
/* How many lines were not understood. */
size_t log_story_skipped(const struct log_story *story);
/* Prints the story. Returns false when no line names what is asked for. */
bool log_story_print(struct log_story *story, FILE *out);
