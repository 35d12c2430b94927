#include <stdio.h>
#include <stdlib.h>

#include <glib.h>
#include <xxhash.h>

#include "runner-private.h"

/* The body of a download is not kept, only its digest: every download of one
 * kind must have the same. */
struct body_hash {
    XXH64_state_t *state;
};

static bool
on_begin(void *ctx, uint64_t total)
{
    struct request *rq = ctx;

    XXH64_reset(rq->hash->state, 0);
    return true;
}

static bool
on_data(void *ctx, const uint8_t *data, size_t size)
{
    struct request *rq = ctx;

    XXH64_update(rq->hash->state, data, size);
    return true;
}

/* True when the body is whole and the same as that of the first download. */
static bool
body_is_right(struct request *rq, const struct download_result *result)
{
    size_t traffic = (size_t)(rq->traffic - rq->runner->options->traffic);
    uint64_t *expected = &rq->runner->body_hashes[traffic];
    uint64_t hash = XXH64_digest(rq->hash->state);

    if (!result->whole || result->size != rq->traffic->size) {
        return false;
    }
    if (*expected == 0) {
        *expected = hash;
    }
    return *expected == hash;
}

static enum result
judge(struct request *rq, const struct download_result *result)
{
    switch (result->outcome) {
    case CALL_ANSWERED:
        if (result->code >> 5 != 2) {
            rq->tally->codes[result->code]++;
            return RESULT_ERROR;
        }
        return body_is_right(rq, result) ? RESULT_ANSWERED : RESULT_WRONG;
    case CALL_NOT_RUN:
        return RESULT_NOT_RUN;
    case CALL_OUTCOME_UNKNOWN:
        return RESULT_UNKNOWN;
    default:
        return RESULT_TIMEOUT;
    }
}

static void
on_end(void *ctx, const struct download_result *result)
{
    struct request *rq = ctx;
    enum result judged = judge(rq, result);

    if (judged == RESULT_ANSWERED) {
        rq->tally->bytes += result->size;
    }
    XXH64_freeState(rq->hash->state);
    g_free(rq->hash);
    request_end(rq, judged);
}

void
run_download(struct request *rq, struct client_flow *flow)
{
    const struct download_request request = {
        .path = rq->path,
        .deadline_ms = rq->traffic->deadline_ms,
    };
    const struct download_sink sink = {on_begin, on_data, rq};

    rq->hash = g_new0(struct body_hash, 1);
    rq->hash->state = XXH64_createState();
    rq->download = download_start(flow, &request, &sink, on_end, rq);
    if (rq->download == NULL) {
        fprintf(stderr, "a download could not be started\n");
        exit(EXIT_FAILURE);
    }
}

void
run_download_cancel(struct request *rq)
{
    if (rq->download != NULL) {
        download_cancel(rq->download);
    }
}
