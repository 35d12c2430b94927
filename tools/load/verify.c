#include "verify.h"

#include <stdio.h>
#include <string.h>

#define LINE_SIZE 1024 /* bytes of a journal line with the final NUL */
#define WORD_SIZE 256  /* bytes of one word of a line with the final NUL */

struct command {
    unsigned begun;     /* number of "begin" lines in the journals */
    bool has_result;    /* "result" is valid */
    enum result result; /* what the caller got */
};

void
verify_init(struct verify *verify)
{
    memset(verify, 0, sizeof(*verify));
    verify->commands =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
verify_clear(struct verify *verify)
{
    g_hash_table_destroy(verify->commands);
    verify->commands = NULL;
}

void
verify_add_command(struct verify *verify, const char *path)
{
    g_hash_table_insert(verify->commands, g_strdup(path),
                        g_new0(struct command, 1));
}

void
verify_set_result(struct verify *verify, const char *path, enum result result)
{
    struct command *command = g_hash_table_lookup(verify->commands, path);

    if (command != NULL) {
        command->has_result = true;
        command->result = result;
    }
}

/* The format of a line is "TIME EVENT METHOD REQUEST-ID PATH TARGET". */
void
verify_journal_line(struct verify *verify, const char *line)
{
    char event[WORD_SIZE];
    char path[WORD_SIZE];
    struct command *command;

    if (sscanf(line, "%*s %255s %*s %*s %255s", event, path) != 2) {
        return;
    }
    if (strcmp(event, "misdirected") == 0) {
        verify->misdirected++;
        return;
    }
    if (strcmp(event, "begin") != 0) {
        return;
    }
    command = g_hash_table_lookup(verify->commands, path);
    if (command == NULL) {
        verify->foreign++;
        return;
    }
    command->begun++;
}

bool
verify_journal(struct verify *verify, const char *path)
{
    char line[LINE_SIZE];
    FILE *file = fopen(path, "r");

    if (file == NULL) {
        return false;
    }
    while (fgets(line, sizeof(line), file) != NULL) {
        verify_journal_line(verify, line);
    }
    fclose(file);
    return true;
}

static void
count_uncertain(const struct command *command, struct verify_counts *counts)
{
    if (command->begun > 0) {
        counts->unknown_ran++;
    }
    else {
        counts->unknown_not_run++;
    }
}

static void
count_command(const struct command *command, struct verify_counts *counts)
{
    counts->sent++;
    counts->ran += command->begun > 0;
    counts->doubled += command->begun > 1;
    if (!command->has_result) {
        count_uncertain(command, counts);
        return;
    }
    switch (command->result) {
    case RESULT_ANSWERED:
    case RESULT_WRONG:
        counts->lost += command->begun == 0;
        return;
    case RESULT_NOT_RUN:
        counts->not_run_true += command->begun == 0;
        counts->not_run_false += command->begun > 0;
        return;
    default:
        count_uncertain(command, counts);
        return;
    }
}

void
verify_count(const struct verify *verify, struct verify_counts *counts)
{
    GHashTableIter iter;
    gpointer command;

    memset(counts, 0, sizeof(*counts));
    g_hash_table_iter_init(&iter, verify->commands);
    while (g_hash_table_iter_next(&iter, NULL, &command)) {
        count_command(command, counts);
    }
}
