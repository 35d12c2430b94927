#include "daemon/cmd-call-body.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base/clock.h"

/* Minimum interval between two updates of the progress line. */
#define PROGRESS_INTERVAL_US (200 * USEC_PER_MSEC)
/* Time before the progress line is first shown, so that short downloads show
 * none. */
#define PROGRESS_DELAY_US (500 * USEC_PER_MSEC)

struct call_body {
    char *path;         /* output file, NULL: standard output */
    char *part_path;    /* FILE.part, NULL for standard output */
    FILE *part;         /* NULL for standard output and after the commit */
    GByteArray *buffer; /* NULL for an output file */
    bool failed;        /* writing failed; the error was printed */
    bool show_progress;
    bool progress_shown; /* a progress line was printed */
    uint64_t started_us;
    uint64_t progress_shown_us; /* time of the last progress line */
    uint64_t size;              /* bytes received of the body */
    uint64_t total;             /* bytes of the whole body, 0: unknown */
};

/* Prints the error in errno. Returns false, for use in return statements. */
static bool
print_errno(const char *path)
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
        body->buffer = g_byte_array_new();
        return body;
    }
    body->path = g_strdup(path);
    body->part_path = g_strconcat(path, ".part", NULL);
    body->part = fopen(body->part_path, "wb");
    if (body->part == NULL) {
        print_errno(body->part_path);
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
    if (body->buffer != NULL) {
        g_byte_array_unref(body->buffer);
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
print_progress_if_due(struct call_body *body)
{
    uint64_t now;

    if (!body->show_progress) {
        return;
    }
    now = clock_monotonic_us();
    if (now - body->started_us < PROGRESS_DELAY_US ||
        now - body->progress_shown_us < PROGRESS_INTERVAL_US) {
        return;
    }
    body->progress_shown_us = now;
    print_progress(body);
}

static bool
on_begin(void *ctx, uint64_t total)
{
    struct call_body *body = ctx;

    body->size = 0;
    body->total = total;
    if (body->buffer != NULL) {
        g_byte_array_set_size(body->buffer, 0);
        return true;
    }
    rewind(body->part);
    if (ftruncate(fileno(body->part), 0) < 0) {
        body->failed = true;
        return print_errno(body->part_path);
    }
    return true;
}

static bool
on_data(void *ctx, const uint8_t *data, size_t size)
{
    struct call_body *body = ctx;

    body->size += size;
    if (body->buffer != NULL) {
        g_byte_array_append(body->buffer, data, (guint)size);
        return true;
    }
    if (fwrite(data, 1, size, body->part) != size) {
        body->failed = true;
        return print_errno(body->part_path);
    }
    print_progress_if_due(body);
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
commit_buffer(const struct call_body *body)
{
    size_t size = body->buffer->len;

    if (fwrite(body->buffer->data, 1, size, stdout) != size ||
        fflush(stdout) != 0) {
        return print_errno("standard output");
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
    if (body->buffer != NULL) {
        return commit_buffer(body);
    }
    body->part = NULL;
    if (fclose(part) != 0 || rename(body->part_path, body->path) < 0) {
        print_errno(body->path);
        unlink(body->part_path);
        return false;
    }
    return true;
}
