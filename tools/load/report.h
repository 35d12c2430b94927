#pragma once

#include <stdio.h>

#include <jansson.h>

#include "runner.h"
#include "target-stats.h"
#include "verify.h"

/* Input of a report. All pointers are the caller's. */
struct report {
    const struct runner_options *options;
    struct tally *tallies; /* one per traffic; percentiles sort them */
    struct verify_counts commands;
    const struct verify *verify;
    const struct runner *runner;
    const struct target_stats *targets; /* counters of this run only */
    size_t target_count;                /* elements of "targets" */
};

/* Returns the report as a JSON object, which the caller owns. */
json_t *report_json(const struct report *report);
/* Prints the report as text. */
void report_print(const struct report *report, FILE *out);
