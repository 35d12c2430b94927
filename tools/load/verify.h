#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "tally.h"

/* Compares what callers were told of their commands with what the targets'
 * journals say. Each command has a path of its own. */

struct verify {
    GHashTable *commands; /* path -> struct command */
    uint64_t misdirected; /* requests that reached another service */
    uint64_t foreign;     /* begun, but not sent by this run */
};

struct verify_counts {
    uint64_t sent;
    uint64_t ran;           /* begun at least once */
    uint64_t doubled;       /* begun more than once */
    uint64_t lost;          /* told answered, and not begun */
    uint64_t not_run_true;  /* told not run, and not begun */
    uint64_t not_run_false; /* told not run, and begun */
    uint64_t unknown_ran;   /* told nothing certain, and begun */
    uint64_t unknown_not;   /* told nothing certain, and not begun */
};

void verify_init(struct verify *verify);
void verify_clear(struct verify *verify);

/* Notes a command before it is sent. */
void verify_sent(struct verify *verify, const char *path);
/* Notes what its caller was told. */
void verify_told(struct verify *verify, const char *path, enum result result);
/* Reads a journal line of standin-target. */
void verify_journal_line(struct verify *verify, const char *line);
/* Reads a whole journal. False when it cannot be read. */
bool verify_journal(struct verify *verify, const char *path);

void verify_count(const struct verify *verify, struct verify_counts *counts);
