#pragma once

#include <stdio.h>

#include <jansson.h>

#include "runner.h"
#include "target-stats.h"
#include "verify.h"

/* Everything that a run is reported from. */
struct report {
    const struct runner_options *options;
    struct tally *tallies;
    struct verify_counts commands;
    const struct verify *verify;
    const struct runner *runner;
    const struct target_stats *targets;
    size_t target_count;
};

/* The report as JSON, with the seed. The caller owns it. */
json_t *report_json(const struct report *report);
void report_print(const struct report *report, FILE *out);
