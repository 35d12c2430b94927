#include "client/download.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/timeval.h"
#include "client/backoff.h"
#include "client/body-check.h"
#include "client/call-action.h"

#define DOWNLOAD_SZX 6 /* requested block size: 1024 bytes */
/* Maximum payload of an answer in bytes. An answer without Block2 can be
 * longer than a block. */
#define BLOCK_SIZE_MAX PACKET_SIZE_MAX
/* Time that one request for a block waits for its answer. */
#define BLOCK_TIMEOUT_US (8 * USEC_PER_SEC)
/* Initial size of the window: blocks requested and not yet delivered. */
#define WINDOW_INITIAL_BLOCKS 4.0
/* Maximum number of restarts of a download from its first block. */
#define RESTARTS_MAX 6
/* Maximum number of times that the delay before a restart is doubled. */
#define RESTART_BACKOFF_DOUBLINGS_MAX 2
/* Number of gateway errors and timeouts of one block that end the download. */
#define BLOCK_ATTEMPTS_MAX 5
/* Maximum number of challenges that a download answers. */
#define CHALLENGES_MAX 3
/* The balancer that issued the stored Echo value may have died. Every other
 * balancer then waits for it in vain before it answers. A download discards
 * the Echo value after SLOW_BLOCKS_MAX answers in a row (two whole windows)
 * that each took at least SLOW_BLOCK_US. */
#define SLOW_BLOCK_US (300 * USEC_PER_MSEC)
#define SLOW_BLOCKS_MAX (2 * DOWNLOAD_WINDOW_BLOCKS_MAX)

enum slot_state {
    SLOT_FREE,
    SLOT_SENT,     /* a request for the block is in progress */
    SLOT_WAITING,  /* the timer is set to request the block again */
    SLOT_RECEIVED, /* the block is in "data" until it can be delivered */
};

/* State of one block. Block n uses slot n % DOWNLOAD_WINDOW_BLOCKS_MAX. */
struct slot {
    struct download *dl;
    enum slot_state state;
    uint32_t num;        /* block number */
    unsigned failures;   /* gateway errors and timeouts of the block */
    uint64_t sent_us;    /* monotonic */
    struct exchange *ex; /* NULL unless SLOT_SENT */
    struct event *timer;
    size_t len;
    uint8_t data[BLOCK_SIZE_MAX];
};

struct download {
    struct client_flow *flow;
    struct packet request;
    struct download_sink sink;
    struct body_check body;
    uint64_t deadline_us; /* monotonic */
    struct event *deadline;
    struct event *restart; /* requests the first block */
    uint32_t next_request; /* number of the block to request next */
    uint32_t next_deliver; /* number of the block to deliver next */
    uint64_t size;         /* bytes delivered since the last restart */
    double window;         /* current maximum number of blocks requested and
                            * not yet delivered */
    unsigned window_max;   /* upper limit of "window" */
    bool interactive;      /* request block 0 without Block2 */
    unsigned restarts;
    unsigned challenges;
    unsigned slow_blocks; /* slow answers in a row */
    struct slot slots[DOWNLOAD_WINDOW_BLOCKS_MAX];
    download_cb cb;
    void *ctx;
};

static void on_block(void *ctx, struct exchange *ex,
                     const struct packet *answer);

static struct slot *
slot_for_block(struct download *dl, uint32_t num)
{
    return &dl->slots[num % DOWNLOAD_WINDOW_BLOCKS_MAX];
}

static void
slot_reset(struct slot *slot)
{
    if (slot->ex != NULL) {
        exchange_stop(slot->ex);
        slot->ex = NULL;
    }
    evtimer_del(slot->timer);
    slot->state = SLOT_FREE;
    slot->failures = 0;
}

static void
reset_slots(struct download *dl)
{
    for (size_t i = 0; i < DOWNLOAD_WINDOW_BLOCKS_MAX; i++) {
        slot_reset(&dl->slots[i]);
    }
}

static void
download_free(struct download *dl)
{
    for (size_t i = 0; i < DOWNLOAD_WINDOW_BLOCKS_MAX; i++) {
        if (dl->slots[i].timer != NULL) {
            slot_reset(&dl->slots[i]);
            event_free(dl->slots[i].timer);
        }
    }
    if (dl->deadline != NULL) {
        event_free(dl->deadline);
    }
    if (dl->restart != NULL) {
        event_free(dl->restart);
    }
    free(dl);
}

static void
finish(struct download *dl, enum call_outcome outcome,
       const struct packet *answer, bool whole)
{
    bool is_error = answer != NULL && answer->code != CODE_CONTENT;
    const struct download_result result = {
        .outcome = outcome,
        .code = answer == NULL ? CODE_EMPTY : answer->code,
        .payload = is_error ? answer->payload : NULL,
        .payload_len = is_error ? answer->payload_len : 0,
        .whole = whole,
        .size = dl->size,
        .restarts = dl->restarts,
    };

    reset_slots(dl);
    dl->cb(dl->ctx, &result);
    download_free(dl);
}

void
download_cancel(struct download *dl)
{
    finish(dl, CALL_CANCELLED, NULL, false);
}

static void
send_slot(struct slot *slot)
{
    struct download *dl = slot->dl;
    uint64_t now = clock_monotonic_us();
    uint64_t deadline = now + BLOCK_TIMEOUT_US;

    dl->request.block2.num = slot->num;
    dl->request.block2.more = false;
    dl->request.block2.szx = slot->num == 0 ? DOWNLOAD_SZX : dl->body.szx;
    dl->request.fields = dl->interactive && slot->num == 0 ? 0 : FIELD_BLOCK2;
    dl->request.echo_len = 0;
    client_flow_add_address_echo(dl->flow, &dl->request);
    slot->sent_us = now;
    if (deadline > dl->deadline_us) {
        deadline = dl->deadline_us;
    }
    slot->state = SLOT_SENT;
    slot->ex = exchange_start(client_flow_client(dl->flow), &dl->request,
                              deadline, on_block, slot);
    if (slot->ex == NULL) {
        /* Out of memory, which may be temporary: retry later. */
        struct timeval tv = timeval_from_us(
            backoff_retry_us(client_random(client_flow_client(dl->flow)), 0));

        slot->state = SLOT_WAITING;
        evtimer_add(slot->timer, &tv);
    }
}

static void
on_slot_timer(evutil_socket_t fd, short what, void *arg)
{
    send_slot(arg);
}

static void
request_block(struct download *dl, uint32_t num)
{
    struct slot *slot = slot_for_block(dl, num);

    slot->num = num;
    slot->failures = 0;
    send_slot(slot);
}

/* Requests blocks until the window is full. While the number of the last block
 * is unknown, requests one block at a time, because the server answers a
 * request beyond the end with an error. */
static void
fill_window(struct download *dl)
{
    unsigned window = (unsigned)dl->window;

    if (dl->body.last == BODY_LAST_UNKNOWN) {
        window = 1;
    }
    while (dl->next_request - dl->next_deliver < window &&
           dl->next_request <= dl->body.last) {
        request_block(dl, dl->next_request);
        dl->next_request++;
    }
}

static void
request_first_block(struct download *dl)
{
    dl->next_request = 1;
    dl->next_deliver = 0;
    dl->size = 0;
    request_block(dl, 0);
}

/* Restarts the download because the resource changed, or because two servers
 * contradict each other. The delay gives the change time to reach all servers.
 */
static void
restart_download(struct download *dl, const struct packet *answer)
{
    struct random *random = client_random(client_flow_client(dl->flow));
    unsigned doublings = dl->restarts < RESTART_BACKOFF_DOUBLINGS_MAX
                             ? dl->restarts
                             : RESTART_BACKOFF_DOUBLINGS_MAX;
    struct timeval tv = timeval_from_us(backoff_retry_us(random, doublings));

    if (dl->restarts == RESTARTS_MAX) {
        finish(dl, CALL_ANSWERED, answer, false);
        return;
    }
    dl->restarts++;
    reset_slots(dl);
    evtimer_add(dl->restart, &tv);
}

static void
on_restart(evutil_socket_t fd, short what, void *arg)
{
    request_first_block(arg);
}

/* Requests a block again after a delay, or finishes the download if the
 * deadline comes first. */
static void
schedule_resend(struct slot *slot, uint64_t wait_us,
                const struct packet *answer)
{
    struct download *dl = slot->dl;
    struct timeval tv = timeval_from_us(wait_us);

    if (clock_monotonic_us() + wait_us < dl->deadline_us) {
        slot->state = SLOT_WAITING;
        evtimer_add(slot->timer, &tv);
        return;
    }
    finish(dl,
           answer != NULL && answer->outcome == OUTCOME_NOT_RUN
               ? CALL_NOT_RUN
               : (answer != NULL ? CALL_ANSWERED : CALL_TIMEOUT),
           answer, false);
}

/* Handles a timeout or gateway error, after which another attempt may succeed.
 */
static void
on_block_failure(struct slot *slot, const struct packet *answer)
{
    struct download *dl = slot->dl;
    struct random *random = client_random(client_flow_client(dl->flow));

    slot->failures++;
    if (slot->failures == BLOCK_ATTEMPTS_MAX) {
        finish(dl, answer == NULL ? CALL_TIMEOUT : CALL_ANSWERED, answer,
               false);
        return;
    }
    schedule_resend(slot, backoff_retry_us(random, slot->failures), answer);
}

static void
clamp_window(struct download *dl)
{
    if (dl->window < 1.0) {
        dl->window = 1.0;
    }
    if (dl->window > dl->window_max) {
        dl->window = dl->window_max;
    }
}

/* Grows the window by one block per window of answers, and halves it when a
 * request had to be retransmitted. */
static void
adapt_window(struct download *dl, unsigned retransmitted)
{
    if (retransmitted > 0) {
        dl->window /= 2.0;
    }
    else {
        dl->window += 1.0 / dl->window;
    }
    clamp_window(dl);
}

/* Stores the Echo value of the answer, if it has one. Discards the stored
 * value after too many slow answers, because its issuer may have died. */
static void
update_address_echo(struct slot *slot, const struct packet *answer)
{
    struct download *dl = slot->dl;

    if ((answer->fields & FIELD_ECHO) != 0) {
        client_flow_store_address_echo(dl->flow, answer);
    }
    if (clock_monotonic_us() - slot->sent_us < SLOW_BLOCK_US) {
        dl->slow_blocks = 0;
        return;
    }
    dl->slow_blocks++;
    if (dl->slow_blocks >= SLOW_BLOCKS_MAX) {
        dl->slow_blocks = 0;
        client_flow_forget_address_echo(dl->flow);
    }
}

static bool
deliver(struct download *dl, const uint8_t *data, size_t len)
{
    dl->next_deliver++;
    dl->size += len;
    return len == 0 || dl->sink.data(dl->sink.ctx, data, len);
}

/* Delivers received blocks to the sink, in order, up to the first missing one.
 * Returns false when the download has finished and was freed. */
static bool
deliver_received(struct download *dl, const struct packet *answer)
{
    while (slot_for_block(dl, dl->next_deliver)->state == SLOT_RECEIVED) {
        struct slot *slot = slot_for_block(dl, dl->next_deliver);

        slot->state = SLOT_FREE;
        if (!deliver(dl, slot->data, slot->len)) {
            finish(dl, CALL_CANCELLED, NULL, false);
            return false;
        }
    }
    if (dl->body.last != BODY_LAST_UNKNOWN &&
        dl->next_deliver > dl->body.last) {
        finish(dl, CALL_ANSWERED, answer, true);
        return false;
    }
    return true;
}

static void
on_content(struct slot *slot, const struct packet *answer)
{
    struct download *dl = slot->dl;
    enum body_match match =
        slot->num == 0 ? body_check_first(&dl->body, answer)
                       : body_check_next(&dl->body, slot->num, answer);

    if (match == BODY_MALFORMED && slot->num == 0) {
        finish(dl, CALL_ANSWERED, answer, false);
        return;
    }
    if (match != BODY_MATCHES || answer->payload_len > sizeof(slot->data)) {
        restart_download(dl, answer);
        return;
    }
    if (slot->num == 0 &&
        !dl->sink.begin(dl->sink.ctx,
                        dl->body.has_total ? dl->body.total : 0)) {
        finish(dl, CALL_CANCELLED, NULL, false);
        return;
    }
    slot->state = SLOT_RECEIVED;
    slot->len = answer->payload_len;
    if (slot->len > 0) {
        memcpy(slot->data, answer->payload, slot->len);
    }
    if (deliver_received(dl, answer)) {
        fill_window(dl);
    }
}

static void
on_challenge(struct slot *slot, const struct packet *answer)
{
    struct download *dl = slot->dl;

    dl->challenges++;
    if (dl->challenges > CHALLENGES_MAX) {
        finish(dl, CALL_ANSWERED, answer, false);
        return;
    }
    client_flow_store_address_echo(dl->flow, answer);
    send_slot(slot);
}

/* Handles an answer other than 2.05. For a block after the first one, a final
 * error means that the resource changed, so the download restarts, and the
 * answer for block 0 decides. */
static void
on_error(struct slot *slot, const struct packet *answer)
{
    struct download *dl = slot->dl;
    struct random *random = client_random(client_flow_client(dl->flow));

    if (answer->code == CODE_UNAUTHORIZED &&
        (answer->fields & FIELD_ECHO) != 0) {
        on_challenge(slot, answer);
        return;
    }
    if (call_code_is_busy(answer->code)) {
        schedule_resend(
            slot, backoff_after_refusal_us(random, answer->max_age_s), answer);
        return;
    }
    if (answer->code == CODE_BAD_GATEWAY ||
        answer->code == CODE_GATEWAY_TIMEOUT) {
        on_block_failure(slot, answer);
        return;
    }
    if (slot->num > 0) {
        restart_download(dl, answer);
        return;
    }
    finish(dl, CALL_ANSWERED, answer, answer->code != CODE_CONTENT);
}

static void
on_block(void *ctx, struct exchange *ex, const struct packet *answer)
{
    struct slot *slot = ctx;
    unsigned retransmitted = exchange_retransmitted(ex);

    exchange_stop(ex);
    slot->ex = NULL;
    if (answer == NULL) {
        client_flow_forget_address_echo(slot->dl->flow);
        on_block_failure(slot, NULL);
        return;
    }
    if (answer->code == CODE_CONTENT) {
        adapt_window(slot->dl, retransmitted);
        update_address_echo(slot, answer);
        on_content(slot, answer);
        return;
    }
    on_error(slot, answer);
}

static void
on_deadline(evutil_socket_t fd, short what, void *arg)
{
    finish(arg, CALL_TIMEOUT, NULL, false);
}

static bool
create_timers(struct download *dl)
{
    struct event_base *base = client_base(client_flow_client(dl->flow));

    dl->deadline = evtimer_new(base, on_deadline, dl);
    dl->restart = evtimer_new(base, on_restart, dl);
    for (size_t i = 0; i < DOWNLOAD_WINDOW_BLOCKS_MAX; i++) {
        dl->slots[i].dl = dl;
        dl->slots[i].timer = evtimer_new(base, on_slot_timer, &dl->slots[i]);
        if (dl->slots[i].timer == NULL) {
            return false;
        }
    }
    return dl->deadline != NULL && dl->restart != NULL;
}

struct download *
download_start(struct client_flow *flow,
               const struct download_request *request,
               const struct download_sink *sink, download_cb cb, void *ctx)
{
    struct download *dl = calloc(1, sizeof(*dl));
    struct timeval tv = timeval_from_us(request->deadline_ms * USEC_PER_MSEC);
    struct packet *p;

    if (dl == NULL) {
        return NULL;
    }
    dl->flow = flow;
    dl->sink = *sink;
    dl->cb = cb;
    dl->ctx = ctx;
    dl->interactive = request->interactive;
    dl->window = WINDOW_INITIAL_BLOCKS;
    dl->window_max =
        request->window == 0 || request->window > DOWNLOAD_WINDOW_BLOCKS_MAX
            ? DOWNLOAD_WINDOW_BLOCKS_MAX
            : request->window;
    clamp_window(dl);
    dl->deadline_us =
        clock_monotonic_us() + request->deadline_ms * USEC_PER_MSEC;
    p = &dl->request;
    p->code = CODE_GET;
    if (!create_timers(dl) ||
        !packet_set_uri(p, request->path, request->query)) {
        download_free(dl);
        return NULL;
    }
    evtimer_add(dl->deadline, &tv);
    evtimer_add(dl->restart, &(struct timeval){0});
    return dl;
}
