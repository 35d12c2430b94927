#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "tally.h"

/* Compares the results that callers got for their commands (POST requests)
 * with the targets' journals, which show how often each command was executed.
 * Each command has a unique path. */

struct verify {
    GHashTable *commands; /* path -> struct command; owns both */
    uint64_t
        misdirected;  /* requests received by a target of another service */
    uint64_t foreign; /* executions of paths that are not in "commands" */
};

struct verify_counts {
    uint64_t sent;
    uint64_t ran;     /* executed at least once */
    uint64_t doubled; /* executed more than once */
    uint64_t lost;    /* RESULT_ANSWERED or RESULT_WRONG, but not executed */
    uint64_t not_run_true;  /* RESULT_NOT_RUN, and not executed */
    uint64_t not_run_false; /* RESULT_NOT_RUN, but executed */
    /* Any other result, or none: */
    uint64_t unknown_ran;     /* executed */
    uint64_t unknown_not_run; /* not executed */
};

void verify_init(struct verify *verify);
void verify_clear(struct verify *verify);

/* Adds a command. To be called before it is sent. */
void verify_add_command(struct verify *verify, const char *path);
/* Sets the result that the caller of a command got. Ignores unknown paths. */
void verify_set_result(struct verify *verify, const char *path,
                       enum result result);
/* Evaluates one line of a journal of standin-target; ignores other text. */
void verify_journal_line(struct verify *verify, const char *line);
/* Evaluates a journal file. Returns false when it cannot be opened. */
bool verify_journal(struct verify *verify, const char *path);

/* Counts all commands by result and execution. */
void verify_count(const struct verify *verify, struct verify_counts *counts);
