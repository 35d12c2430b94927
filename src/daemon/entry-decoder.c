#include "daemon/entry-decoder.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

struct entry_decoder {
    entry_decode_fn decode;
    entry_decoder_cb done;
    void *ctx;
    int pipe[2]; /* the thread writes a byte when it ends */
    struct event *readable;
    /* Used by the thread from its start until it has written to the pipe. */
    bool running;
    pthread_t thread;
    struct store_entry *entries; /* owned, with their keys and values */
    size_t count;
    struct view_delta delta;
};

static void
free_entries(struct entry_decoder *d)
{
    for (size_t i = 0; i < d->count; i++) {
        g_free((char *)d->entries[i].key);
        g_free((char *)d->entries[i].value);
    }
    g_free(d->entries);
    d->entries = NULL;
    d->count = 0;
}

/* Waits for the thread to end and frees its input. The result remains. */
static void
join_thread(struct entry_decoder *d)
{
    pthread_join(d->thread, NULL);
    d->running = false;
    free_entries(d);
}

static void
on_decoded(evutil_socket_t fd, short what, void *arg)
{
    struct entry_decoder *d = arg;
    char byte;

    if (read(fd, &byte, 1) != 1) {
        return;
    }
    join_thread(d);
    d->done(d->ctx, &d->delta);
    view_delta_clear(&d->delta);
}

static void *
run(void *arg)
{
    struct entry_decoder *d = arg;

    d->decode(d->ctx, &d->delta, d->entries, d->count);
    while (write(d->pipe[1], "", 1) < 0 && errno == EINTR) {
    }
    return NULL;
}

struct entry_decoder *
entry_decoder_new(struct event_base *base, entry_decode_fn decode,
                  entry_decoder_cb done, void *ctx, struct status *st)
{
    struct entry_decoder *d = calloc(1, sizeof(*d));

    if (d == NULL) {
        status_set(st, ERR_NO_MEMORY, "decoder: out of memory");
        return NULL;
    }
    d->decode = decode;
    d->done = done;
    d->ctx = ctx;
    if (pipe2(d->pipe, O_CLOEXEC) < 0) {
        status_set(st, ERR_SYSTEM, "decoder: cannot open a pipe: %s",
                   strerror(errno));
        free(d);
        return NULL;
    }
    d->readable =
        event_new(base, d->pipe[0], EV_READ | EV_PERSIST, on_decoded, d);
    if (d->readable == NULL || event_add(d->readable, NULL) < 0) {
        status_set(st, ERR_NO_MEMORY, "decoder: out of memory");
        entry_decoder_destroy(d);
        return NULL;
    }
    return d;
}

void
entry_decoder_destroy(struct entry_decoder *d)
{
    if (d == NULL) {
        return;
    }
    if (d->running) {
        join_thread(d);
        view_delta_clear(&d->delta);
    }
    if (d->readable != NULL) {
        event_free(d->readable);
    }
    close(d->pipe[0]);
    close(d->pipe[1]);
    free(d);
}

static void
copy_entries(struct entry_decoder *d, const struct store_entry *entries,
             size_t count)
{
    d->entries = g_new(struct store_entry, count);
    d->count = count;
    for (size_t i = 0; i < count; i++) {
        d->entries[i] = entries[i];
        d->entries[i].key = g_strdup(entries[i].key);
        if (entries[i].value != NULL) {
            char *value = g_malloc(entries[i].value_len + 1);

            memcpy(value, entries[i].value, entries[i].value_len);
            value[entries[i].value_len] = '\0';
            d->entries[i].value = value;
        }
    }
}

bool
entry_decoder_start(struct entry_decoder *d, const struct store_entry *entries,
                    size_t count)
{
    if (d->running) {
        return false;
    }
    copy_entries(d, entries, count);
    view_delta_init(&d->delta);
    if (pthread_create(&d->thread, NULL, run, d) != 0) {
        free_entries(d);
        view_delta_clear(&d->delta);
        return false;
    }
    d->running = true;
    return true;
}
