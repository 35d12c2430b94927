#include "daemon/cmd-call-body.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base/clock.h"

#define PROGRESS_PERIOD_US (200 * USEC_PER_MSEC)
/* A body that comes faster than this shows no progress. */
#define PROGRESS_AFTER_US (500 * USEC_PER_MSEC)

struct call_body {
    char *path; /* NULL: standard output */
    char *part_path;
    FILE *part;
    GByteArray *memory;
    bool failed;
    bool show_progress;
    bool progress_shown;
    uint64_t started_us;
    uint64_t shown_us;
    uint64_t size;
    uint64_t total; /* 0: unknown */
};

static bool
report(const char *path)
{
    fprintf(stderr, "pimentohaven call: %s: %s\n", path, strerror(errno));
    return false;
}

struct call_body *
call_body_new(const char *path, bool show_progress)
{
    struct call_body *body = g_new0(struct call_body, 1);

    body->show_progress = show_progress;
    body->started_us = clock_monotonic_us();
    if (path == NULL) {
        body->memory = g_byte_array_new();
        return body;
    }
    body->path = g_strdup(path);
    body->part_path = g_strconcat(path, ".part", NULL);
    body->part = fopen(body->part_path, "wb");
    if (body->part == NULL) {
        report(body->part_path);
        call_body_destroy(body);
        return NULL;
    }
    return body;
}

void
call_body_destroy(struct call_body *body)
{
    if (body->part != NULL) {
        fclose(body->part);
        unlink(body->part_path);
    }
    if (body->memory != NULL) {
        g_byte_array_unref(body->memory);
    }
    g_free(body->path);
    g_free(body->part_path);
    g_free(body);
}

static void
print_progress(struct call_body *body)
{
    if (body->total > 0) {
        fprintf(stderr, "\r%" PRIu64 " of %" PRIu64 " bytes, %" PRIu64 "%%",
                body->size, body->total, body->size * 100 / body->total);
    }
    else {
        fprintf(stderr, "\r%" PRIu64 " bytes", body->size);
    }
    body->progress_shown = true;
}

static void
show_progress(struct call_body *body)
{
    uint64_t now;

    if (!body->show_progress) {
        return;
    }
    now = clock_monotonic_us();
    if (now - body->started_us < PROGRESS_AFTER_US ||
        now - body->shown_us < PROGRESS_PERIOD_US) {
        return;
    }
    body->shown_us = now;
    print_progress(body);
}

static bool
on_begin(void *ctx, uint64_t total)
{
    struct call_body *body = ctx;

    body->size = 0;
    body->total = total;
    if (body->memory != NULL) {
        g_byte_array_set_size(body->memory, 0);
        return true;
    }
    rewind(body->part);
    if (ftruncate(fileno(body->part), 0) < 0) {
        body->failed = true;
        return report(body->part_path);
    }
    return true;
}

static bool
on_data(void *ctx, const uint8_t *data, size_t size)
{
    struct call_body *body = ctx;

    body->size += size;
    if (body->memory != NULL) {
        g_byte_array_append(body->memory, data, (guint)size);
        return true;
    }
    if (fwrite(data, 1, size, body->part) != size) {
        body->failed = true;
        return report(body->part_path);
    }
    show_progress(body);
    return true;
}

struct download_sink
call_body_sink(struct call_body *body)
{
    return (struct download_sink){
        .begin = on_begin,
        .data = on_data,
        .ctx = body,
    };
}

static bool
commit_memory(const struct call_body *body)
{
    size_t size = body->memory->len;

    if (fwrite(body->memory->data, 1, size, stdout) != size ||
        fflush(stdout) != 0) {
        return report("standard output");
    }
    return true;
}

bool
call_body_commit(struct call_body *body)
{
    FILE *part = body->part;

    if (body->progress_shown) {
        print_progress(body);
        fputc('\n', stderr);
    }
    if (body->failed) {
        return false;
    }
    if (body->memory != NULL) {
        return commit_memory(body);
    }
    body->part = NULL;
    if (fclose(part) != 0 || rename(body->part_path, body->path) < 0) {
        report(body->path);
        unlink(body->part_path);
        return false;
    }
    return true;
}
