#pragma once

#include <stdbool.h>
#include <stddef.h>

#include <event2/event.h>

#include "base/status.h"
#include "state/view-delta.h"
#include "transport/store-client.h"

/* Decodes large answers of the store in a thread of their own. A configuration
 * of some thousand routes takes 20 ms of a core, which is a quarter of a
 * second on a small share of one; packets are forwarded meanwhile. */
struct entry_decoder;

/* Decodes the entries into a delta. Called in the decoder's thread. */
typedef void (*entry_decode_fn)(void *ctx, struct view_delta *delta,
                                const struct store_entry *entries,
                                size_t count);
/* The entries have been decoded. Called in the event loop; "delta" is valid
 * during the call. */
typedef void (*entry_decoder_cb)(void *ctx, struct view_delta *delta);

/* "base" remains the caller's. Both functions get "ctx"; what "decode" uses of
 * it must not change after this. Returns NULL with "st" set on failure. */
struct entry_decoder *entry_decoder_new(struct event_base *base,
                                        entry_decode_fn decode,
                                        entry_decoder_cb done, void *ctx,
                                        struct status *st);
/* Waits for the thread, drops its result and frees the decoder. Does nothing
 * for NULL. */
void entry_decoder_destroy(struct entry_decoder *decoder);

/* Begins to decode a copy of the entries. Returns false when that is not
 * possible: a decoding is in progress, or no thread can be started. */
bool entry_decoder_start(struct entry_decoder *decoder,
                         const struct store_entry *entries, size_t count);
