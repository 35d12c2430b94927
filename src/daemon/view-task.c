#include "daemon/view-task.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#define LOG_MODULE "view"
#include "base/address.h"
#include "base/clock.h"
#include "base/log-rate-limit.h"
#include "base/log.h"
#include "coordination/cold-claim.h"
#include "coordination/domain-load.h"
#include "coordination/membership.h"
#include "coordination/target-lapse.h"
#include "coordination/view-freshness.h"
#include "coordination/view-reader.h"
#include "coordination/view-snapshot.h"
#include "coordination/view-sync.h"
#include "coordination/watch-order.h"
#include "daemon/entry-decoder.h"
#include "daemon/gossip-send.h"
#include "daemon/pause-detector.h"
#include "daemon/view-log.h"
#include "protocol/gossip-codec.h"
#include "protocol/snapshot-codec.h"
#include "protocol/view-codec.h"
#include "transport/gossip-endpoint.h"

/* Timeout of a call to the store. A slow store answers in some hundred
 * milliseconds. */
#define STORE_CALL_TIMEOUT_US (1 * USEC_PER_SEC)
/* Maximum time for which the answer to a watch may be overdue after the wait
 * that the watch asked for. */
#define STORE_WATCH_SLACK_US (1 * USEC_PER_SEC)
/* Backoff of the store client, which can be minimal because the view reader
 * (coordination/view-reader.c) has a backoff of its own. */
#define STORE_CLIENT_BACKOFF_US (1 * USEC_PER_MSEC)
/* The store counts as having been unavailable when the interval between two of
 * its answers is longer than the wait of a watch by more than this. */
#define STORE_OUTAGE_MARGIN_US (1 * USEC_PER_SEC)
/* Time for which misses are collected before they are sent to the peers. */
#define REPORT_DELAY_US (20 * USEC_PER_MSEC)
/* Minimum interval between two requests to peers that are caused by packets
 * with unknown targets. An answer takes some milliseconds. */
#define REFRESH_INTERVAL_US (200 * USEC_PER_MSEC)

/* Maximum lines per second about new flows that go to other domains. */
#define SHARING_LINES_PER_SECOND 5

/* Minimum size in bytes of the values in an answer of the store that is
 * decoded in a thread of its own. A smaller one takes a few milliseconds of a
 * small share of a core. */
#define DECODER_SIZE_MIN 16384
/* Key of the snapshot. No other system uses its prefix. */
#define SNAPSHOT_KEY "pimentohaven/view"

/* A call for the claim of a cold target. */
struct claim_operation {
    struct view_task *task;
    enum cold_claim_action action;
    char id[TARGET_ID_SIZE]; /* of the target */
};

struct view_task {
    struct forward_settings settings;
    struct directory directory;
    struct view_task_callbacks cb;

    struct event_base *base;
    struct event *tick;
    struct event *report;        /* sends the unreported misses to the peers */
    GPtrArray *unreported;       /* cookies of targets to report about */
    struct own_delay *own_delay; /* not owned */
    struct pause_detector pause_detector;

    struct random random;
    struct gossip_endpoint *gossip;
    struct gossip_message *in; /* buffer for decoding a received message */
    struct membership *members;
    struct forward_view *view;
    struct freshness freshness;
    struct target_lapse lapse;
    struct cold_claims *cold_claims;
    struct cold_claims_options claim_options;
    GHashTable *claim_operations; /* calls in progress, struct
                                   * claim_operation */
    struct view_sync *sync;
    struct domain_load *load;
    struct log_rate_limit sharing_log;
    uint64_t next_load;     /* earliest next message about the load, us */
    uint64_t calm_load;     /* the next one while no domain is busy, us */
    uint64_t load_messages; /* sent to peers */
    uint64_t load_bytes;    /* of them */
    struct store_client *store;
    struct view_reader *reader;
    struct view_snapshot snapshot;
    uint64_t snapshot_writes; /* successful ones */
    uint64_t era;             /* of the store, that the view has entered */
    struct entry_decoder *decoder;
    /* The answer that is being decoded: of a read or of a watch, whether it
     * has entries, and up to which position it is complete. */
    bool answer_is_read;
    bool answer_has_entries;
    struct store_position answer_position;
    bool stale_read_pending; /* the last read begun accepts an outdated
                              * answer */
    uint64_t next_refresh;   /* earliest next request to a peer, us */
    bool leaving;            /* a planned stop has begun */
};

static void
send_gossip(void *ctx, uint32_t addr, uint16_t port,
            const struct gossip_message *m)
{
    struct view_task *task = ctx;

    gossip_send_message(task->gossip, addr, port, m);
}

static void
send_view(void *ctx, const struct member_info *const *peers, size_t count,
          const struct view_message *m)
{
    struct view_task *task = ctx;
    uint64_t now = clock_monotonic_us();
    size_t size;
    uint8_t *data = view_encode(m, &size);

    if (data == NULL) {
        LOG_WARN("dropping a view message up to revision %s: it exceeds the "
                 "size limit",
                 store_position_format(m->delta.to).text);
        return;
    }
    for (size_t i = 0; i < count; i++) {
        gossip_endpoint_send(task->gossip, peers[i]->addr, peers[i]->port,
                             data, size, now);
    }
    own_delay_on_transfer(task->own_delay, OWN_DELAY_SEND, size * count, now);
    if (m->kind == VIEW_LOAD) {
        task->load_messages += count;
        task->load_bytes += size * count;
    }
    free(data);
}

static void
on_view_message(struct view_task *task, const uint8_t *data, size_t size)
{
    struct view_message m;

    memset(&m, 0, sizeof(m));
    view_delta_init(&m.delta);
    if (view_decode(&m, data, size)) {
        view_sync_receive(task->sync, &m, clock_monotonic_us());
    }
    else {
        LOG_WARN("ignoring a view message of %zu bytes that cannot be decoded",
                 size);
    }
    view_delta_clear(&m.delta);
}

/* Discards the age of the view after a pause, as changes during the pause were
 * missed. */
static void
on_paused(void *ctx, uint64_t gap_us)
{
    struct view_task *task = ctx;

    LOG_WARN("paused for %llu ms", gap_us / USEC_PER_MSEC);
    freshness_reset(&task->freshness);
}

/* Called before anything is decided by the age of the view, or told about it.
 */
static void
check_pause(struct view_task *task, uint64_t now)
{
    struct pause pause =
        pause_detector_check(&task->pause_detector, now, clock_boot_us());

    if (pause.suspended_us > 0) {
        view_reader_on_suspended(task->reader, pause.suspended_us);
    }
    if (pause.length_us > 0) {
        on_paused(task, pause.length_us);
    }
}

static void
on_gossip(void *ctx, const uint8_t *data, size_t size)
{
    struct view_task *task = ctx;
    uint64_t now = clock_monotonic_us();

    check_pause(task, now);
    own_delay_on_transfer(task->own_delay, OWN_DELAY_RECEIVE, size, now);
    if (view_is_message(data, size)) {
        on_view_message(task, data, size);
        return;
    }
    if (!gossip_decode(task->in, data, size)) {
        LOG_WARN(
            "ignoring a gossip message of %zu bytes that cannot be decoded",
            size);
        return;
    }
    membership_receive(task->members, task->in, now);
}

static void
on_member_changed(void *ctx, const struct member *m)
{
    struct view_task *task = ctx;

    if (m->local) {
        task->cb.domain_peer_changed(task->cb.ctx);
    }
    view_sync_on_member(task->sync, m);
    view_log_member(m);
}

static void
on_reconnect(void *ctx, uint32_t addr, uint16_t port)
{
    struct view_task *task = ctx;

    gossip_endpoint_disconnect(task->gossip, addr, port);
}

static void
on_sync_changed(void *ctx)
{
    struct view_task *task = ctx;
    struct store_position position = forward_view_position(task->view);

    if (position.era > task->era) {
        view_log_new_era(task->view, position);
        task->era = position.era;
    }
    store_client_expect(task->store, position);
    task->cb.changed(task->cb.ctx);
}

static void
on_sync_reported(void *ctx, uint32_t cookie, unsigned misses, uint64_t sent_at)
{
    struct view_task *task = ctx;

    task->cb.reported(task->cb.ctx, cookie, misses, sent_at);
}

static void
on_load_told(void *ctx, const struct domain_load_record *records, size_t count,
             uint64_t now)
{
    struct view_task *task = ctx;

    domain_load_receive(task->load, records, count, now);
}

static void
on_sharing_changed(void *ctx, const char *service, bool sharing,
                   double utilization)
{
    struct view_task *task = ctx;

    if (log_rate_limit_allow(&task->sharing_log, clock_monotonic_us())) {
        view_log_sharing(service, sharing, utilization);
    }
}

static void
on_sync_slow_targets(void *ctx, const struct slow_target_record *records,
                     size_t count, bool relay)
{
    struct view_task *task = ctx;

    task->cb.slow_targets(task->cb.ctx, records, count, relay);
}

static void
on_sync_open_flows(void *ctx, const struct open_flow_record *records,
                   size_t count, bool relay)
{
    struct view_task *task = ctx;

    task->cb.open_flows(task->cb.ctx, records, count, relay);
}

/* Returns the time until which a target whose entry was removed from the store
 * at "now" stays in use, 0 for not at all; both are in microseconds of the
 * monotonic clock. */
static uint64_t
on_retain_until(void *ctx, const struct forward_target *target, uint64_t now)
{
    struct view_task *task = ctx;

    return target_lapse_keep_until(&task->lapse, target->record.draining, now);
}

static void
on_domain_changed(void *ctx, const struct forward_domain *domain)
{
    view_log_domain(domain);
}

/* Logs a change of a target, but not each target of the first view, whose
 * number is logged when the view is ready. */
static void
on_target_changed(void *ctx, struct forward_target *target)
{
    struct view_task *task = ctx;

    cold_claims_on_target(task->cold_claims, target, clock_monotonic_us());
    if (store_position_is_none(forward_view_position(task->view))) {
        return;
    }
    view_log_target(target);
}

/* Decodes the snapshot if it is among the entries of an answer, and records
 * that it was seen. Returns whether "delta" contains it. */
static bool
find_snapshot(struct view_task *task, const struct store_entry *entries,
              size_t count, struct view_delta *delta)
{
    const struct store_entry *e =
        store_entries_find_newest(entries, count, SNAPSHOT_KEY);
    bool valid;

    if (e == NULL) {
        return false;
    }
    valid = e->value != NULL &&
            snapshot_decode((const uint8_t *)e->value, e->value_len, delta);
    if (e->value != NULL && !valid) {
        LOG_WARN("ignoring the snapshot of revision %s: it cannot be decoded",
                 store_position_format(e->modified).text);
    }
    view_snapshot_on_seen(&task->snapshot, e->modified, valid ? delta : NULL);
    return valid;
}

/* Records a snapshot that another balancer has written. */
static void
note_snapshot(struct view_task *task, const struct store_entry *entries,
              size_t count)
{
    const struct store_entry *e =
        store_entries_find_newest(entries, count, SNAPSHOT_KEY);
    struct view_delta delta;

    if (e == NULL ||
        store_position_equal(e->modified, task->snapshot.key_position)) {
        return;
    }
    view_delta_init(&delta);
    find_snapshot(task, entries, count, &delta);
    view_delta_clear(&delta);
}

static void
pull_from(struct view_task *task, const struct endpoint *seed, uint64_t now)
{
    const struct forward_settings *settings = &task->settings;

    if (seed->addr != settings->gossip_public.addr ||
        seed->port != settings->gossip_public.port) {
        view_sync_pull_from(task->sync, seed->addr, seed->port, now);
    }
}

/* Asks a seed for the changes since the snapshot. After a restart of this
 * balancer alone that is the quickest way to them. */
static void
pull_from_seed(struct view_task *task, uint64_t now)
{
    const struct forward_settings *settings = &task->settings;

    if (settings->seed_count > 0) {
        pull_from(task,
                  &settings->seeds[random_below(
                      &task->random, (uint32_t)settings->seed_count)],
                  now);
    }
}

static void
pull_from_all_seeds(struct view_task *task, uint64_t now)
{
    for (size_t i = 0; i < task->settings.seed_count; i++) {
        pull_from(task, &task->settings.seeds[i], now);
    }
}

/* Asks all seeds and a known peer for all that they know. */
static void
ask_peers(void *ctx)
{
    struct view_task *task = ctx;
    uint64_t now = clock_monotonic_us();

    LOG_INFO("the store has a new era; asking the peers first");
    pull_from_all_seeds(task, now);
    view_sync_pull(task->sync, now);
}

static void
on_snapshot_read(void *ctx, const struct status *st,
                 struct store_position position,
                 const struct store_entry *entries, size_t count)
{
    struct view_task *task = ctx;
    uint64_t now = clock_monotonic_us();
    struct view_delta delta;
    bool outdated;
    bool found;

    view_delta_init(&delta);
    found = find_snapshot(task, entries, count, &delta);
    if (found && delta.to.era != position.era) {
        LOG_INFO("not using the snapshot of revision %s: the store is in era "
                 "%u",
                 store_position_format(delta.to).text, (unsigned)position.era);
        found = false;
    }
    if (found) {
        LOG_INFO("read the snapshot of revision %s",
                 store_position_format(delta.to).text);
    }
    else if (st->kind != ERR_NONE && st->kind != ERR_NOT_FOUND) {
        LOG_WARN("%s", st->message);
    }
    outdated =
        found && view_snapshot_is_outdated(&task->snapshot, delta.targets->len,
                                           store_client_position(task->store));
    view_reader_on_snapshot(task->reader, found ? &delta : NULL, outdated,
                            store_client_position(task->store).era, now);
    if (outdated) {
        pull_from_seed(task, now);
    }
    view_delta_clear(&delta);
}

static void
read_snapshot(void *ctx)
{
    struct view_task *task = ctx;

    store_client_range_stale(task->store, SNAPSHOT_KEY, false,
                             on_snapshot_read, task);
}

/* Ends the read that finds out the revision of the snapshot's key. */
static void
on_snapshot_checked(void *ctx, const struct status *st,
                    struct store_position position,
                    const struct store_entry *entries, size_t count)
{
    struct view_task *task = ctx;

    if (st->kind != ERR_NONE && st->kind != ERR_NOT_FOUND) {
        LOG_WARN("the snapshot cannot be checked: %s", st->message);
    }
    if (st->kind == ERR_NOT_FOUND) {
        view_snapshot_on_seen(&task->snapshot, position, NULL);
    }
    note_snapshot(task, entries, count);
    view_snapshot_on_read(&task->snapshot,
                          st->kind == ERR_NONE || st->kind == ERR_NOT_FOUND,
                          clock_monotonic_us());
}

static void
on_snapshot_written(void *ctx, const struct status *st,
                    struct store_position modified)
{
    struct view_task *task = ctx;
    enum view_snapshot_result result = VIEW_SNAPSHOT_FAILED;

    if (st->kind == ERR_NONE) {
        result = VIEW_SNAPSHOT_WRITTEN;
        task->snapshot_writes++;
        LOG_INFO("snapshot written at revision %s with changes up to %s",
                 store_position_format(modified).text,
                 store_position_format(task->snapshot.writing_content).text);
    }
    else if (st->kind == ERR_CONFLICT) {
        result = VIEW_SNAPSHOT_CONFLICT;
        LOG_INFO("snapshot not written: %s", st->message);
    }
    else {
        LOG_WARN("the snapshot may not have been written: %s", st->message);
    }
    view_snapshot_on_write(&task->snapshot, result, modified,
                           clock_monotonic_us());
}

static void
write_snapshot(struct view_task *task, uint64_t now)
{
    size_t size;
    uint8_t *data = snapshot_encode(task->view, now, &size);

    if (data == NULL) {
        LOG_WARN("no snapshot is written: the view is too large");
        view_snapshot_on_write(&task->snapshot, VIEW_SNAPSHOT_FAILED,
                               (struct store_position){0}, now);
        return;
    }
    own_delay_on_transfer(task->own_delay, OWN_DELAY_SEND, size, now);
    store_client_cas(task->store, SNAPSHOT_KEY, (const char *)data, size,
                     task->snapshot.key_position, on_snapshot_written, task);
    free(data);
}

/* Keeps the snapshot up to date while this balancer watches the store. */
static void
update_snapshot(struct view_task *task, uint64_t now)
{
    if (task->leaving || !view_reader_is_watching(task->reader)) {
        return;
    }
    switch (view_snapshot_due(&task->snapshot, task->view, now)) {
    case VIEW_SNAPSHOT_READ:
        store_client_range(task->store, SNAPSHOT_KEY, false,
                           on_snapshot_checked, task);
        break;
    case VIEW_SNAPSHOT_WRITE:
        write_snapshot(task, now);
        break;
    default:
        break;
    }
}

static enum cold_claim_result
to_claim_result(const struct status *st)
{
    switch (st->kind) {
    case ERR_NONE:
    case ERR_NOT_FOUND:
        return COLD_CLAIM_DONE;
    case ERR_CONFLICT:
        return COLD_CLAIM_CONFLICT;
    case ERR_STORE_UNKNOWN:
        return COLD_CLAIM_UNKNOWN;
    default:
        return COLD_CLAIM_FAILED;
    }
}

static void
on_claim_written(void *ctx, const struct status *st,
                 struct store_position modified)
{
    struct claim_operation *op = ctx;

    view_log_claim(op->id, op->action, st);
    cold_claims_on_result(op->task->cold_claims, op->id, to_claim_result(st),
                          modified, clock_monotonic_us());
    g_hash_table_remove(op->task->claim_operations, op);
}

static void
on_claim_read(void *ctx, const struct status *st,
              struct store_position position,
              const struct store_entry *entries, size_t count)
{
    struct claim_operation *op = ctx;
    const struct store_entry *e = count == 0 ? NULL : &entries[0];

    view_log_claim(op->id, op->action, st);
    cold_claims_on_read(
        op->task->cold_claims, op->id, to_claim_result(st),
        e == NULL ? NULL : e->value, e == NULL ? 0 : e->value_len,
        e == NULL ? position : e->modified, clock_monotonic_us());
    g_hash_table_remove(op->task->claim_operations, op);
}

static size_t
claim_rank(void *ctx, uint64_t salt)
{
    const struct view_task *task = ctx;

    return membership_rank(task->members, salt);
}

/* Makes the calls that are due for the claims of cold targets. A balancer that
 * stops claims no more. */
static void
update_cold_claims(struct view_task *task, uint64_t now)
{
    bool may_claim = !task->leaving && membership_settled(task->members, now);
    struct cold_claim_call call;

    while (cold_claims_next(task->cold_claims, claim_rank, task, may_claim,
                            &call, now)) {
        struct claim_operation *op = g_new0(struct claim_operation, 1);

        op->task = task;
        op->action = call.action;
        memcpy(op->id, call.id, sizeof(op->id));
        g_hash_table_add(task->claim_operations, op);
        if (call.action == COLD_CLAIM_READ) {
            store_client_range(task->store, call.key, false, on_claim_read,
                               op);
        }
        else if (call.action == COLD_CLAIM_WRITE) {
            store_client_cas(task->store, call.key, task->claim_options.owner,
                             strlen(task->claim_options.owner), call.position,
                             on_claim_written, op);
        }
        else {
            store_client_remove(task->store, call.key, call.position,
                                on_claim_written, op);
        }
    }
}

/* Decodes entries into a delta. An entry that cannot be decoded is logged and
 * does not affect the others. Also called in the thread of the decoder. */
static void
decode_entries(void *ctx, struct view_delta *delta,
               const struct store_entry *entries, size_t count)
{
    const struct view_task *task = ctx;

    for (size_t i = 0; i < count; i++) {
        if (!task->directory.add_entry(delta, &entries[i])) {
            LOG_WARN("ignoring entry %s at revision %s in whole or in part: "
                     "it cannot be decoded",
                     entries[i].key,
                     store_position_format(entries[i].modified).text);
        }
    }
}

/* Reports an answer to the read or watch to the reader, and ends the watch
 * unless the reader has begun the next one. */
static void
finish_answer(struct view_task *task, struct view_delta *delta)
{
    uint64_t now = clock_monotonic_us();

    check_pause(task, now);
    delta->to = task->answer_position;
    if (task->answer_is_read) {
        delta->targets_complete = true;
        view_reader_on_read(task->reader, VIEW_READER_ANSWERED, delta, now);
        return;
    }
    /* None fits any view: since the watch began, deltas from peers may have
     * raised the position of the view but never lowered it. */
    delta->from = (struct store_position){0};
    view_reader_on_watch(task->reader, VIEW_READER_ANSWERED, delta,
                         !task->answer_has_entries, delta->to.era, now);
    if (!view_reader_is_watching(task->reader)) {
        store_client_watch_stop(task->store);
    }
}

static void
on_decoded(void *ctx, struct view_delta *delta)
{
    finish_answer(ctx, delta);
}

/* Decodes an answer to a read or watch: a large one in the decoder's thread,
 * during which no further call is made. */
static void
handle_answer(struct view_task *task, bool is_read,
              struct store_position position,
              const struct store_entry *entries, size_t count)
{
    uint64_t now = clock_monotonic_us();
    struct view_delta delta;
    size_t bytes = 0;

    for (size_t i = 0; i < count; i++) {
        bytes += entries[i].value_len;
    }
    own_delay_on_transfer(task->own_delay, OWN_DELAY_RECEIVE, bytes, now);
    view_snapshot_on_store_answer(&task->snapshot, now);
    note_snapshot(task, entries, count);
    task->answer_is_read = is_read;
    task->answer_has_entries = count > 0;
    task->answer_position = position;
    if (bytes >= DECODER_SIZE_MIN &&
        entry_decoder_start(task->decoder, entries, count)) {
        store_client_watch_stop(task->store);
        return;
    }
    view_delta_init(&delta);
    decode_entries(task, &delta, entries, count);
    finish_answer(task, &delta);
    view_delta_clear(&delta);
}

static enum view_reader_result
to_reader_result(enum error_kind kind)
{
    return kind == ERR_NOT_FOUND ? VIEW_READER_COMPACTED : VIEW_READER_FAILED;
}

static void
on_range(void *ctx, const struct status *st, struct store_position position,
         const struct store_entry *entries, size_t count)
{
    struct view_task *task = ctx;

    if (st->kind == ERR_NONE) {
        LOG_INFO("read %zu entries at revision %s%s", count,
                 store_position_format(position).text,
                 task->stale_read_pending ? ", possibly outdated" : "");
        handle_answer(task, true, position, entries, count);
        if (task->stale_read_pending) {
            /* Entries do not tell the forms of cookies. */
            pull_from_all_seeds(task, clock_monotonic_us());
        }
        return;
    }
    LOG_WARN("%s", st->message);
    view_reader_on_read(task->reader, VIEW_READER_FAILED, NULL,
                        clock_monotonic_us());
}

static void
read_store(void *ctx, bool stale)
{
    struct view_task *task = ctx;

    task->stale_read_pending = stale;
    if (stale) {
        store_client_range_stale(task->store, task->directory.prefix, true,
                                 on_range, task);
    }
    else {
        store_client_range(task->store, task->directory.prefix, true, on_range,
                           task);
    }
}

static void
on_watch(void *ctx, const struct status *st, struct store_position position,
         const struct store_entry *entries, size_t count)
{
    struct view_task *task = ctx;

    if (st->kind == ERR_NONE) {
        if (count > 0) {
            view_log_changes(position, count,
                             clock_monotonic_us() -
                                 view_reader_began_at(task->reader));
        }
        handle_answer(task, false, position, entries, count);
        return;
    }
    LOG_WARN("%s", st->message);
    view_reader_on_watch(task->reader, to_reader_result(st->kind), NULL, false,
                         position.era, clock_monotonic_us());
    if (!view_reader_is_watching(task->reader)) {
        store_client_watch_stop(task->store);
    }
}

static void
watch_store(void *ctx, struct store_position after, uint64_t wait_us)
{
    struct view_task *task = ctx;

    store_client_set_watch_wait(task->store, wait_us);
    store_client_watch(task->store, task->directory.prefix, after, on_watch,
                       task);
}

static void
stop_watch(void *ctx)
{
    struct view_task *task = ctx;

    store_client_watch_stop(task->store);
}

_Static_assert(VIEW_TASK_TICK_US == DOMAIN_LOAD_TICK_US,
               "the weights of the load by failure domain are per tick");

/* Updates the load by failure domain and tells some peers when it is time. */
static void
update_load(struct view_task *task, uint64_t now)
{
    struct domain_load_record records[DOMAIN_LOAD_RECORDS_MAX];
    size_t hosts = 1 + member_table_count(membership_table(task->members),
                                          MEMBER_ALIVE, true);
    size_t count;

    domain_load_tick(task->load, task->view, (double)hosts, now);
    if (now < task->next_load || task->leaving) {
        return;
    }
    if (now < task->calm_load && !domain_load_is_busy(task->load)) {
        return;
    }
    task->next_load = now + DOMAIN_LOAD_BUSY_INTERVAL_US;
    task->calm_load = now + DOMAIN_LOAD_CALM_INTERVAL_US;
    count =
        domain_load_export(task->load, records, DOMAIN_LOAD_RECORDS_MAX, now);
    if (count > 0) {
        view_sync_send_load(task->sync, records, count);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    struct view_task *task = arg;
    uint64_t now = clock_monotonic_us();
    uint64_t age = freshness_age(&task->freshness, now);
    bool watching = view_reader_is_watching(task->reader);

    check_pause(task, now);
    own_delay_tick(task->own_delay, now);
    if (!task->leaving) {
        membership_tick(task->members, now);
    }
    view_sync_tick(task->sync, now);
    forward_view_expire_lapsed(task->view, now);
    forward_view_expire_held(task->view, task->freshness.confirmed_at, now);
    update_load(task, now);
    view_reader_tick(task->reader, now);
    update_snapshot(task, now);
    update_cold_claims(task, now);
    gossip_endpoint_close_idle(task->gossip, now);
    if (!watching && view_reader_is_watching(task->reader)) {
        view_log_watch(forward_view_position(task->view), age);
    }
}

/* Replaces the regions of all failure domains by those of the settings. */
static void
set_regions(struct view_task *task)
{
    forward_view_clear_regions(task->view);
    for (size_t i = 0; i < task->settings.region_count; i++) {
        const struct forward_domain_region *r = &task->settings.regions[i];

        forward_view_set_region(task->view, r->domain, r->region);
    }
}

static void
add_seeds(struct view_task *task)
{
    for (size_t i = 0; i < task->settings.seed_count; i++) {
        membership_add_seed(task->members, task->settings.seeds[i].addr,
                            task->settings.seeds[i].port);
    }
}

static bool
open_gossip(struct view_task *task, void *zmq_ctx, struct status *st)
{
    const struct forward_settings *settings = &task->settings;
    const struct membership_callbacks cb = {
        .send = send_gossip,
        .changed = on_member_changed,
        .paused = on_paused,
        .reconnect = on_reconnect,
        .ctx = task,
    };
    struct member_info self = {
        .addr = settings->gossip_public.addr,
        .port = settings->gossip_public.port,
        /* The wall clock makes it higher than the incarnation of any earlier
         * process of this host. */
        .incarnation = clock_wall_us(),
    };

    memcpy(self.id, settings->host, sizeof(self.id));
    memcpy(self.domain, settings->domain, sizeof(self.domain));
    task->gossip =
        gossip_endpoint_new(zmq_ctx, task->base, settings->gossip.addr,
                            settings->gossip.port, on_gossip, task, st);
    if (task->gossip == NULL) {
        return false;
    }
    gossip_endpoint_set_public(task->gossip, settings->gossip_public.addr,
                               settings->gossip_public.port);
    task->in = calloc(1, sizeof(*task->in));
    task->members =
        membership_new(&self, &cb, &task->random, clock_monotonic_us());
    if (task->in == NULL || task->members == NULL) {
        status_set(st, ERR_NO_MEMORY, "view: out of memory");
        return false;
    }
    add_seeds(task);
    return true;
}

static bool
open_store(struct view_task *task, struct status *st)
{
    char endpoint[32];
    const char *const endpoints[] = {endpoint};
    struct store_client_options options;

    endpoint_format(&task->settings.store, endpoint, sizeof(endpoint));
    task->store = store_client_new(task->base, endpoints, 1, st);
    if (task->store == NULL) {
        return false;
    }
    store_client_options_default(&options);
    options.call_timeout_us = STORE_CALL_TIMEOUT_US;
    options.watch_idle_timeout_us = STORE_WATCH_SLACK_US;
    options.backoff_min_us = STORE_CLIENT_BACKOFF_US;
    options.backoff_max_us = STORE_CLIENT_BACKOFF_US;
    options.attempts = 1;
    store_client_set_options(task->store, &options);
    store_client_set_dialect(task->store, task->directory.dialect);
    task->decoder =
        entry_decoder_new(task->base, decode_entries, on_decoded, task, st);
    return task->decoder != NULL;
}

static void
init_limits(struct view_task *task)
{
    freshness_init(&task->freshness, task->settings.change_bound_us,
                   clock_monotonic_us());
    target_lapse_init(&task->lapse, task->freshness.limits.watch_wait_us +
                                        STORE_OUTAGE_MARGIN_US);
}

/* Sets the options of the claims from the settings. The owner stays the same,
 * and names no other process of this host. */
static void
init_claim_options(struct view_task *task)
{
    struct cold_claims_options *options = &task->claim_options;

    options->domain = g_intern_string(task->settings.domain);
    options->overage = task->settings.cold_overage;
    options->slack = task->settings.cold_slack;
    options->confirm_max_us = task->settings.change_bound_us;
    if (options->owner[0] == '\0') {
        snprintf(options->owner, sizeof(options->owner), "%s/%016" PRIx64,
                 task->settings.host, random_next(&task->random));
    }
}

/* Appends what was observed of a target since the last report, if anything. An
 * answer is reported as no misses since the time at which the target was
 * alive. */
static void
add_report(GArray *records, struct target_observations *obs, uint32_t cookie,
           uint64_t now)
{
    struct observation_record record = {.cookie = cookie};

    obs->report_scheduled = false;
    if (obs->unreported_silence || obs->unreported_misses > 0) {
        record.misses = obs->unreported_silence ? OBSERVATION_SILENT
                                                : obs->unreported_misses;
        record.sent_age_us = now - obs->first_miss_sent_at;
        g_array_append_val(records, record);
    }
    else if (obs->unreported_answer && now > obs->alive_at) {
        record.sent_age_us = now - obs->alive_at;
        g_array_append_val(records, record);
    }
    obs->unreported_misses = 0;
    obs->unreported_silence = false;
    obs->unreported_answer = false;
}

/* Sends the peers what was observed of targets since the last report. */
static void
on_report(evutil_socket_t fd, short what, void *arg)
{
    struct view_task *task = arg;
    uint64_t now = clock_monotonic_us();
    GArray *records =
        g_array_new(FALSE, FALSE, sizeof(struct observation_record));

    for (guint i = 0; i < task->unreported->len; i++) {
        uint32_t cookie =
            GPOINTER_TO_UINT(g_ptr_array_index(task->unreported, i));
        struct forward_target *target =
            forward_view_target(task->view, cookie);

        if (target != NULL) {
            add_report(records, &target->observations, cookie, now);
        }
    }
    g_ptr_array_set_size(task->unreported, 0);
    view_sync_send_observations(
        task->sync, (const struct observation_record *)records->data,
        records->len, now);
    g_array_free(records, TRUE);
}

static bool
open_view(struct view_task *task, struct status *st)
{
    const struct forward_view_callbacks view_cb = {
        .retain_until = on_retain_until,
        .target_changed = on_target_changed,
        .domain_changed = on_domain_changed,
        .ctx = task,
        .flow_max_us = task->settings.flow_max_us,
    };
    const struct view_sync_callbacks sync_cb = {
        .send = send_view,
        .changed = on_sync_changed,
        .reported = on_sync_reported,
        .load_told = on_load_told,
        .slow_targets = on_sync_slow_targets,
        .open_flows = on_sync_open_flows,
        .ctx = task,
    };
    const struct view_reader_callbacks reader_cb = {
        .read_snapshot = read_snapshot,
        .read = read_store,
        .ask_peers = ask_peers,
        .watch = watch_store,
        .stop_watch = stop_watch,
        .ctx = task,
    };

    init_limits(task);
    view_snapshot_init(&task->snapshot);
    task->view = forward_view_new(&view_cb);
    if (task->view != NULL) {
        init_claim_options(task);
        task->cold_claims = cold_claims_new(task->view, &task->freshness,
                                            &task->claim_options);
        task->sync = view_sync_new(task->view, task->members, &task->freshness,
                                   &task->lapse, &task->random, &sync_cb);
    }
    if (task->sync != NULL) {
        task->reader =
            view_reader_new(task->view, task->members, &task->freshness,
                            task->sync, &task->random, &reader_cb);
    }
    task->tick = event_new(task->base, -1, EV_PERSIST, on_tick, task);
    task->report = event_new(task->base, -1, 0, on_report, task);
    task->unreported = g_ptr_array_new();
    task->claim_operations =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, g_free, NULL);
    task->sharing_log.per_second = SHARING_LINES_PER_SECOND;
    task->load = domain_load_new(g_intern_string(task->settings.domain));
    if (task->load != NULL) {
        domain_load_on_change(task->load, on_sharing_changed, task);
    }
    if (task->load == NULL || task->view == NULL || task->reader == NULL ||
        task->tick == NULL || task->report == NULL) {
        status_set(st, ERR_NO_MEMORY, "view: out of memory");
        return false;
    }
    return true;
}

struct view_task *
view_task_new(void *zmq_ctx, struct event_base *base,
              const struct forward_settings *settings,
              const struct directory *directory, struct own_delay *own_delay,
              const struct view_task_callbacks *cb, struct status *st)
{
    const struct timeval interval = {.tv_usec = VIEW_TASK_TICK_US};
    struct view_task *task = calloc(1, sizeof(*task));
    uint64_t now = clock_monotonic_us();

    if (task == NULL) {
        status_set(st, ERR_NO_MEMORY, "view: out of memory");
        return NULL;
    }
    task->settings = *settings;
    task->directory = *directory;
    task->own_delay = own_delay;
    task->cb = *cb;
    task->base = base;
    pause_detector_init(&task->pause_detector, VIEW_TASK_TICK_US, now,
                        clock_boot_us());
    random_seed(&task->random, randombytes_random());
    if (!open_gossip(task, zmq_ctx, st) || !open_store(task, st) ||
        !open_view(task, st)) {
        view_task_destroy(task);
        return NULL;
    }
    set_regions(task);
    event_add(task->tick, &interval);
    view_reader_start(task->reader);
    return task;
}

void
view_task_destroy(struct view_task *task)
{
    if (task == NULL) {
        return;
    }
    if (task->tick != NULL) {
        event_free(task->tick);
    }
    if (task->report != NULL) {
        event_free(task->report);
        g_ptr_array_free(task->unreported, TRUE);
    }
    entry_decoder_destroy(task->decoder);
    store_client_destroy(task->store);
    if (task->claim_operations != NULL) {
        g_hash_table_destroy(task->claim_operations);
    }
    cold_claims_destroy(task->cold_claims);
    view_reader_destroy(task->reader);
    view_sync_destroy(task->sync);
    domain_load_destroy(task->load);
    forward_view_destroy(task->view);
    membership_destroy(task->members);
    gossip_endpoint_destroy(task->gossip);
    free(task->in);
    free(task);
}

struct forward_view *
view_task_view(struct view_task *task)
{
    return task->view;
}

struct cold_claims *
view_task_cold_claims(struct view_task *task)
{
    return task->cold_claims;
}

struct domain_load *
view_task_load(struct view_task *task)
{
    return task->load;
}

uint64_t
view_task_age_us(struct view_task *task)
{
    return freshness_age(&task->freshness, clock_monotonic_us());
}

double
view_task_forwarder_count(struct view_task *task)
{
    return watch_order_estimate_reachable(task->members, clock_monotonic_us());
}

static void
move_store(struct view_task *task)
{
    char endpoint[32];
    const char *const endpoints[] = {endpoint};
    struct status st;

    endpoint_format(&task->settings.store, endpoint, sizeof(endpoint));
    if (store_client_move(task->store, endpoints, 1, &st)) {
        LOG_INFO("the store is at %s now", endpoint);
        return;
    }
    LOG_ERR("the address of the store is not used: %s", st.message);
}

void
view_task_reload(struct view_task *task,
                 const struct forward_settings *settings)
{
    bool limits_changed =
        settings->change_bound_us != task->settings.change_bound_us;
    bool store_moved = settings->store.addr != task->settings.store.addr ||
                       settings->store.port != task->settings.store.port;

    task->settings = *settings;
    if (store_moved) {
        move_store(task);
    }
    if (limits_changed) {
        init_limits(task);
    }
    init_claim_options(task);
    cold_claims_set_options(task->cold_claims, &task->claim_options);
    add_seeds(task);
    set_regions(task);
}

void
view_task_refresh(struct view_task *task)
{
    uint64_t now = clock_monotonic_us();

    if (now >= task->next_refresh) {
        task->next_refresh = now + REFRESH_INTERVAL_US;
        view_sync_pull(task->sync, now);
    }
}

void
view_task_report_target(struct view_task *task, struct forward_target *target)
{
    const struct timeval delay = {.tv_usec = REPORT_DELAY_US};

    if (!target->observations.report_scheduled) {
        target->observations.report_scheduled = true;
        g_ptr_array_add(task->unreported, GUINT_TO_POINTER(target->cookie));
    }
    if (!event_pending(task->report, EV_TIMEOUT, NULL)) {
        event_add(task->report, &delay);
    }
}

void
view_task_send_slow_targets(struct view_task *task,
                            const struct slow_target_record *records,
                            size_t count, bool wide)
{
    view_sync_send_slow_targets(task->sync, records, count, wide,
                                clock_monotonic_us());
}

void
view_task_send_open_flows(struct view_task *task,
                          const struct open_flow_record *records, size_t count)
{
    view_sync_send_open_flows(task->sync, records, count,
                              clock_monotonic_us());
}

void
view_task_leave(struct view_task *task)
{
    task->leaving = true;
    view_reader_leave(task->reader);
    membership_leave(task->members, clock_monotonic_us());
}

void
view_task_counters(struct view_task *task, struct view_task_counters *c)
{
    const struct gossip_endpoint_counters *gossip =
        gossip_endpoint_counters(task->gossip);

    c->store_calls = store_client_call_count(task->store);
    c->gossip_bytes_out = gossip->bytes_out;
    c->gossip_messages_out = gossip->messages_out;
    c->gossip_connections = gossip_endpoint_connection_count(task->gossip);
    c->members = member_table_count(membership_table(task->members),
                                    MEMBER_ALIVE, true) +
                 member_table_count(membership_table(task->members),
                                    MEMBER_ALIVE, false);
    c->view_age_us = view_task_age_us(task);
    c->snapshot_writes = task->snapshot_writes;
    cold_claims_counters(task->cold_claims, &c->cold);
    c->store_era = forward_view_position(task->view).era;
    c->held_records = forward_view_held_count(task->view);
    c->dropped_answers = store_client_dropped_answers(task->store);
    c->item_faults = store_client_item_faults(task->store);
    c->dropped_deltas = view_sync_dropped_deltas(task->sync);
    c->load_messages = task->load_messages;
    c->load_bytes = task->load_bytes;
    c->loop_lag_max_us = task->own_delay->max_lag_us;
}
