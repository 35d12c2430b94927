#include "client/watch.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/timeval.h"
#include "client/backoff.h"
#include "client/call-action.h"
#include "client/frame-order.h"

#define OBSERVE_REGISTER 0
#define OBSERVE_DEREGISTER 1
#define MAX_AGE_DEFAULT_S 60 /* RFC 7252 section 5.10.5 */
/* A registration is renewed after this fraction of its Max-Age, less a random
 * fraction of at most RENEW_JITTER. */
#define RENEW_FRACTION 0.66
#define RENEW_JITTER 0.1
/* Time that a registration or renewal waits for its answer. */
#define REGISTER_TIMEOUT_US (40 * USEC_PER_SEC)
/* Time from an empty ACK until the registration is sent again. A balancer
 * acknowledges a registration but answers it only with the first frame, so for
 * a stream without frames a shorter time would only open the stream at another
 * balancer too. */
#define REGISTER_ACKED_TIMEOUT_US (20 * USEC_PER_SEC)
/* Default time without a frame after which the watch registers again. */
#define SILENCE_TIMEOUT_DEFAULT_MS 15000
/* Time to wait for a missing frame before repairing the gap. Notifications
 * overtake each other by less than this. */
#define REORDER_WAIT_US (30 * USEC_PER_MSEC)
/* Time between two attempts to repair a gap: doubled from the minimum up to
 * the maximum. */
#define REPAIR_WAIT_MIN_US (300 * USEC_PER_MSEC)
#define REPAIR_WAIT_MAX_US (2 * USEC_PER_SEC)
/* Maximum number of attempts to repair a gap before its frames are reported as
 * lost. */
#define REPAIRS_PER_GAP_MAX 5
/* Number of these attempts that go to the current balancer; the others go to
 * another one. */
#define REPAIRS_AT_BALANCER_MAX 2
/* Maximum random delay before a watch leaves a balancer that is stopping. */
#define MOVE_DELAY_MAX_MS 300
/* Maximum number of challenges in a row that a watch answers. */
#define CHALLENGES_MAX 3
/* Query argument with the number of the frame delivered last. */
#define POSITION_KEY "last-event-id="

struct watch {
    struct client_flow *flow;
    struct packet request;
    size_t query_len;          /* length of the query without the position */
    struct exchange *current;  /* registration sent last, NULL: none */
    struct exchange *previous; /* registration that still delivers frames until
                                * the current one is answered, NULL: none */
    struct frame_order order;
    uint64_t silence_us;
    unsigned repairs;       /* attempts to repair the current gap */
    unsigned failures;      /* failed registrations in a row */
    unsigned challenges;    /* challenges in a row */
    bool confirmed;         /* the current registration was answered */
    bool balancer_stopping; /* register at another balancer when "renew"
                             * expires: the current one is stopping or refused
                             * the registration */
    /* Highest number of a duplicate, below that of the frame delivered last.
     * Covers the time since that delivery or the last silence timeout,
     * whichever is later. 0: none */
    uint64_t old_frame_id;
    /* Value of old_frame_id at the last silence timeout, 0 when a frame was
     * delivered since then. */
    uint64_t previous_old_frame_id;
    uint64_t first_available_id; /* oldest frame that the source still has */
    struct event *renew;         /* renews, or registers after a failure */
    struct event *gap;           /* next step of the repair of a gap */
    struct event *silence;       /* no new frame was received for too long */
    struct event *end;           /* timeout of the watch as a whole */
    struct watch_counters counters;
    watch_cb cb;
    void *ctx;
};

static void on_answer(void *ctx, struct exchange *ex,
                      const struct packet *answer);

static struct random *
watch_random(const struct watch *watch)
{
    return client_random(client_flow_client(watch->flow));
}

static void
set_timer(struct event *timer, uint64_t us)
{
    struct timeval tv = timeval_from_us(us);

    evtimer_add(timer, &tv);
}

static void
stop_exchange(struct exchange **ex)
{
    if (*ex != NULL) {
        exchange_stop(*ex);
        *ex = NULL;
    }
}

static void
free_timer(struct event *timer)
{
    if (timer != NULL) {
        event_free(timer);
    }
}

static void
watch_free(struct watch *watch)
{
    stop_exchange(&watch->current);
    stop_exchange(&watch->previous);
    free_timer(watch->renew);
    free_timer(watch->gap);
    free_timer(watch->silence);
    free_timer(watch->end);
    frame_order_fini(&watch->order);
    free(watch);
}

static void
end_watch(struct watch *watch, enum call_outcome outcome,
          const struct packet *answer)
{
    const struct watch_event event = {
        .kind = WATCH_ENDED,
        .outcome = outcome,
        .code = answer == NULL ? CODE_EMPTY : answer->code,
        .data = answer == NULL ? NULL : answer->payload,
        .size = answer == NULL ? 0 : answer->payload_len,
    };

    stop_exchange(&watch->current);
    stop_exchange(&watch->previous);
    watch->cb(watch->ctx, &event);
    watch_free(watch);
}

/* Appends the number of the frame delivered last to the query.
 * copy_request() has checked that it fits. */
static void
set_query_position(struct watch *watch)
{
    char *at = watch->request.query + watch->query_len;
    size_t room = sizeof(watch->request.query) - watch->query_len;

    *at = '\0';
    if (watch->order.started) {
        snprintf(at, room, "%s%s%" PRIu64, watch->query_len > 0 ? "&" : "",
                 POSITION_KEY, watch->order.last);
    }
}

static void
fill_request(struct watch *watch)
{
    struct packet *p = &watch->request;

    set_query_position(watch);
    p->fields = FIELD_OBSERVE;
    p->observe = OBSERVE_REGISTER;
    p->echo_len = 0;
    client_flow_add_address_echo(watch->flow, p);
}

/* Schedules another attempt for a registration that could not be sent. */
static void
retry_registration(struct watch *watch)
{
    set_timer(watch->renew,
              backoff_retry_us(watch_random(watch), watch->failures));
    watch->failures++;
}

/* Registers under a new CoAP token. The previous registration, if it was
 * confirmed, stays until this one is answered, so that no frame is missed. */
static void
register_again(struct watch *watch)
{
    uint64_t deadline = clock_monotonic_us() + REGISTER_TIMEOUT_US;

    if (watch->previous == NULL && watch->confirmed) {
        watch->previous = watch->current;
        watch->current = NULL;
    }
    stop_exchange(&watch->current);
    watch->confirmed = false;
    watch->balancer_stopping = false;
    watch->counters.registrations++;
    fill_request(watch);
    watch->current =
        exchange_start(client_flow_client(watch->flow), &watch->request,
                       deadline, on_answer, watch);
    if (watch->current == NULL) {
        retry_registration(watch);
        return;
    }
    exchange_set_acked_timeout(watch->current, REGISTER_ACKED_TIMEOUT_US);
}

/* Registers under the CoAP token of the current registration, which its
 * balancer treats as a renewal (RFC 7641 section 3.3.1). */
static void
renew(struct watch *watch)
{
    uint64_t deadline = clock_monotonic_us() + REGISTER_TIMEOUT_US;

    if (watch->current == NULL) {
        register_again(watch);
        return;
    }
    watch->counters.registrations++;
    fill_request(watch);
    if (!exchange_renew(watch->current, &watch->request, deadline)) {
        retry_registration(watch);
    }
}

/* Registers at another balancer. Discards the Echo value first, because with
 * it the request would be forwarded to the balancer that issued it. */
static void
switch_balancer(struct watch *watch)
{
    watch->counters.moves++;
    client_flow_forget_address_echo(watch->flow);
    register_again(watch);
}

static void
on_renew(evutil_socket_t fd, short what, void *arg)
{
    struct watch *watch = arg;

    if (watch->balancer_stopping) {
        switch_balancer(watch);
        return;
    }
    renew(watch);
}

static bool
report_lost(struct watch *watch, uint64_t first, uint64_t last)
{
    const struct watch_event event = {
        .kind = WATCH_LOST, .has_id = true, .id = first, .last_id = last};

    return watch->cb(watch->ctx, &event);
}

static bool
on_frame(void *ctx, uint64_t id, const uint8_t *data, size_t size)
{
    struct watch *watch = ctx;
    const struct watch_event event = {
        .kind = WATCH_FRAME,
        .has_id = true,
        .id = id,
        .data = data,
        .size = size,
    };

    watch->counters.frames++;
    watch->old_frame_id = 0;
    watch->previous_old_frame_id = 0;
    return watch->cb(watch->ctx, &event);
}

/* Reports the frames of the current gap as lost and continues with the first
 * buffered frame. Returns false when the watch was freed. */
static bool
skip_gap(struct watch *watch)
{
    uint64_t first;
    uint64_t last;

    frame_order_skip_gap(&watch->order, &first, &last);
    watch->repairs = 0;
    if (!report_lost(watch, first, last) ||
        !frame_order_drain(&watch->order, on_frame, watch)) {
        watch_stop(watch);
        return false;
    }
    return true;
}

/* Returns true when all attempts to repair the gap have failed, or the source
 * no longer has the first missing frame. */
static bool
gap_is_unrecoverable(const struct watch *watch)
{
    return watch->repairs == REPAIRS_PER_GAP_MAX ||
           watch->first_available_id > watch->order.last + 1;
}

/* Repairs a gap that is not explained by reordered datagrams, or skips it when
 * the frames cannot be obtained. */
static void
on_gap(evutil_socket_t fd, short what, void *arg)
{
    struct watch *watch = arg;
    uint64_t wait = REPAIR_WAIT_MIN_US;

    if (gap_is_unrecoverable(watch)) {
        if (skip_gap(watch) && frame_order_has_gap(&watch->order)) {
            set_timer(watch->gap, REORDER_WAIT_US);
        }
        return;
    }
    for (unsigned i = 0; i < watch->repairs; i++) {
        wait = backoff_next_us(wait, REPAIR_WAIT_MAX_US);
    }
    watch->repairs++;
    watch->counters.repairs++;
    set_timer(watch->gap, wait);
    if (watch->repairs > REPAIRS_AT_BALANCER_MAX) {
        switch_balancer(watch);
        return;
    }
    renew(watch);
}

/* Starts or stops the gap timer after a frame was received. "delivered": the
 * frame was delivered, so a gap that remains is a new one. */
static void
update_gap_timer(struct watch *watch, bool delivered)
{
    if (!frame_order_has_gap(&watch->order)) {
        watch->repairs = 0;
        evtimer_del(watch->gap);
        return;
    }
    if (delivered) {
        watch->repairs = 0;
    }
    if (!evtimer_pending(watch->gap, NULL)) {
        set_timer(watch->gap, REORDER_WAIT_US);
    }
}

static uint64_t
frame_id(const struct packet *answer)
{
    uint64_t id = 0;

    for (size_t i = 0; i < answer->etag_len; i++) {
        id = id << 8 | answer->etag[i];
    }
    return id;
}

/* Handles the frame in the answer to a registration. It is the first frame
 * after the position in the query that the source still has, so the frames
 * between the two are lost. */
static void
update_first_available(struct watch *watch, const struct packet *answer)
{
    uint64_t id = frame_id(answer);

    if (!watch->order.started || id <= watch->order.last + 1) {
        return;
    }
    watch->first_available_id = id;
    set_timer(watch->gap, REORDER_WAIT_US);
}

/* Processes a numbered frame. Returns false when the watch was freed. */
static bool
receive_frame(struct watch *watch, const struct packet *answer)
{
    uint64_t id = frame_id(answer);
    enum frame_push_result result;
    bool stopped;

    result = frame_order_push(&watch->order, id, answer->payload,
                              answer->payload_len, on_frame, watch, &stopped);
    if (stopped) {
        watch_stop(watch);
        return false;
    }
    if (result == FRAME_DUPLICATE) {
        watch->counters.duplicates++;
        if (id > watch->old_frame_id && id < watch->order.last) {
            watch->old_frame_id = id;
        }
        return true;
    }
    set_timer(watch->silence, watch->silence_us);
    update_gap_timer(watch, result == FRAME_DELIVERED);
    return true;
}

/* Delivers a frame without a number. The caller passes only frames of the
 * current registration, because copies that the previous one delivers cannot
 * be recognized. Returns false when the watch was freed. */
static bool
receive_unnumbered(struct watch *watch, const struct packet *answer)
{
    const struct watch_event event = {
        .kind = WATCH_FRAME,
        .data = answer->payload,
        .size = answer->payload_len,
    };

    watch->counters.frames++;
    set_timer(watch->silence, watch->silence_us);
    if (!watch->cb(watch->ctx, &event)) {
        watch_stop(watch);
        return false;
    }
    return true;
}

/* Schedules a registration at another balancer because the current one is
 * stopping. It serves its registrations for a few more seconds, and the random
 * delay spreads the moves of its callers. */
static void
on_balancer_stopping(struct watch *watch)
{
    if (!watch->balancer_stopping && watch->previous == NULL) {
        watch->balancer_stopping = true;
        set_timer(watch->renew,
                  random_below(watch_random(watch), MOVE_DELAY_MAX_MS) *
                      USEC_PER_MSEC);
    }
}

static void
schedule_renewal(struct watch *watch, uint32_t max_age_s)
{
    double fraction =
        RENEW_FRACTION - RENEW_JITTER * random_unit(watch_random(watch));

    set_timer(watch->renew,
              (uint64_t)((double)max_age_s * USEC_PER_SEC * fraction));
}

/* Marks the current registration as confirmed and ends the previous one. The
 * next frame of the previous one is rejected with a Reset, which ends it at
 * its balancer too. */
static void
confirm_registration(struct watch *watch, const struct packet *answer)
{
    watch->confirmed = true;
    watch->failures = 0;
    watch->challenges = 0;
    stop_exchange(&watch->previous);
    if ((answer->fields & FIELD_ECHO) != 0) {
        client_flow_store_address_echo(watch->flow, answer);
    }
}

static void
on_notification(struct watch *watch, struct exchange *ex,
                const struct packet *answer)
{
    bool is_current = ex == watch->current;
    bool has_age = (answer->fields & FIELD_MAX_AGE) != 0;
    uint32_t max_age_s = has_age ? answer->max_age_s : MAX_AGE_DEFAULT_S;

    if (is_current) {
        bool was_confirmed = watch->confirmed;

        confirm_registration(watch, answer);
        if (max_age_s == 0) {
            on_balancer_stopping(watch);
        }
        else if (!watch->balancer_stopping &&
                 (!was_confirmed || answer->type != PACKET_NON)) {
            schedule_renewal(watch, max_age_s);
        }
    }
    if (answer->payload_len == 0) {
        /* The answer to a renewal contains no frame. */
        return;
    }
    if (answer->etag_len > 0) {
        if (is_current && answer->type != PACKET_NON) {
            update_first_available(watch, answer);
        }
        receive_frame(watch, answer);
        return;
    }
    if (is_current) {
        receive_unnumbered(watch, answer);
    }
}

static void
on_refusal(struct watch *watch, const struct packet *answer)
{
    struct random *random = watch_random(watch);
    uint64_t wait = backoff_retry_us(random, watch->failures);

    /* While the previous registration still delivers frames, but is about to
     * end, try another balancer soon. Otherwise follow the Max-Age of the
     * refusal. */
    if (watch->previous == NULL && (answer->fields & FIELD_MAX_AGE) != 0) {
        wait = backoff_after_refusal_us(random, answer->max_age_s);
    }
    watch->failures++;
    watch->balancer_stopping = true;
    set_timer(watch->renew, wait);
}

/* Handles an error answer, which ends a registration (RFC 7641 section 4.2).
 */
static void
on_error(struct watch *watch, struct exchange *ex, const struct packet *answer)
{
    if (ex == watch->previous) {
        stop_exchange(&watch->previous);
        return;
    }
    if (answer->code == CODE_UNAUTHORIZED &&
        (answer->fields & FIELD_ECHO) != 0 &&
        watch->challenges < CHALLENGES_MAX) {
        watch->challenges++;
        client_flow_store_address_echo(watch->flow, answer);
        renew(watch);
        return;
    }
    watch->confirmed = false;
    if (call_code_is_busy(answer->code) || answer->code == CODE_BAD_GATEWAY ||
        answer->code == CODE_GATEWAY_TIMEOUT) {
        on_refusal(watch, answer);
        return;
    }
    end_watch(watch, CALL_ANSWERED, answer);
}

static void
on_answer(void *ctx, struct exchange *ex, const struct packet *answer)
{
    struct watch *watch = ctx;

    if (answer == NULL) {
        if (ex == watch->previous) {
            stop_exchange(&watch->previous);
            return;
        }
        watch->failures++;
        switch_balancer(watch);
        return;
    }
    if (answer->code != CODE_CONTENT) {
        on_error(watch, ex, answer);
        return;
    }
    if ((answer->fields & FIELD_OBSERVE) == 0) {
        /* The resource exists, but it is not a stream. */
        end_watch(watch, CALL_ANSWERED, answer);
        return;
    }
    on_notification(watch, ex, answer);
}

/* Returns true when the source has restarted its numbering: only frames with
 * old numbers arrive, and their highest number rises from one silence timeout
 * to the next. Copies of delivered frames would end at the same number each
 * time. */
static bool
numbering_restarted(const struct watch *watch)
{
    return watch->previous_old_frame_id > 0 &&
           watch->old_frame_id > watch->previous_old_frame_id;
}

/* Registers at another balancer because no new frame was received for too
 * long: a process on the path may have lost the registration. Accepts new
 * numbers if the source has restarted its numbering. */
static void
on_silence(evutil_socket_t fd, short what, void *arg)
{
    static const struct watch_event reset = {.kind = WATCH_RESET};
    struct watch *watch = arg;

    set_timer(watch->silence, watch->silence_us);
    if (!numbering_restarted(watch)) {
        watch->previous_old_frame_id = watch->old_frame_id;
        watch->old_frame_id = 0;
        switch_balancer(watch);
        return;
    }
    frame_order_reset(&watch->order);
    watch->first_available_id = 0;
    watch->previous_old_frame_id = 0;
    watch->old_frame_id = 0;
    if (!watch->cb(watch->ctx, &reset)) {
        watch_stop(watch);
        return;
    }
    switch_balancer(watch);
}

static void
on_end(evutil_socket_t fd, short what, void *arg)
{
    end_watch(arg, CALL_TIMEOUT, NULL);
}

static bool
create_timers(struct watch *watch)
{
    struct event_base *base = client_base(client_flow_client(watch->flow));

    watch->renew = evtimer_new(base, on_renew, watch);
    watch->gap = evtimer_new(base, on_gap, watch);
    watch->silence = evtimer_new(base, on_silence, watch);
    watch->end = evtimer_new(base, on_end, watch);
    return watch->renew != NULL && watch->gap != NULL &&
           watch->silence != NULL && watch->end != NULL;
}

static bool
copy_request(struct watch *watch, const struct watch_request *request)
{
    /* "&", the key and the 20 digits of the largest number. */
    size_t position_len = 1 + strlen(POSITION_KEY) + 20;

    watch->request.code = CODE_GET;
    if (!packet_set_uri(&watch->request, request->path, request->query)) {
        return false;
    }
    watch->query_len = strlen(watch->request.query);
    if (request->resume) {
        frame_order_resume(&watch->order, request->last_id);
    }
    return watch->query_len + position_len < sizeof(watch->request.query);
}

struct watch *
watch_start(struct client_flow *flow, const struct watch_request *request,
            watch_cb cb, void *ctx)
{
    struct watch *watch = calloc(1, sizeof(*watch));
    uint32_t silence_ms = request->silence_ms == 0 ? SILENCE_TIMEOUT_DEFAULT_MS
                                                   : request->silence_ms;

    if (watch == NULL) {
        return NULL;
    }
    watch->flow = flow;
    watch->cb = cb;
    watch->ctx = ctx;
    watch->silence_us = silence_ms * USEC_PER_MSEC;
    frame_order_init(&watch->order);
    if (!create_timers(watch) || !copy_request(watch, request)) {
        watch_free(watch);
        return NULL;
    }
    if (request->timeout_ms > 0) {
        set_timer(watch->end, request->timeout_ms * USEC_PER_MSEC);
    }
    set_timer(watch->silence, watch->silence_us);
    set_timer(watch->renew, 0);
    return watch;
}

/* Sends one deregistration to the balancer of the current registration. If the
 * packet is lost, the Reset sent in reply to the next frame ends the
 * registration. */
static void
deregister(struct watch *watch)
{
    if (watch->current == NULL) {
        return;
    }
    fill_request(watch);
    watch->request.observe = OBSERVE_DEREGISTER;
    exchange_renew(watch->current, &watch->request, 0);
}

void
watch_stop(struct watch *watch)
{
    deregister(watch);
    watch_free(watch);
}

const struct watch_counters *
watch_counters(const struct watch *watch)
{
    return &watch->counters;
}
