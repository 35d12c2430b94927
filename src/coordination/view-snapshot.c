#include "coordination/view-snapshot.h"

#include <string.h>

#include "base/clock.h"

/* Number of changes since a snapshot was written from which on it is outdated:
 * at least the minimum, and this part of the targets. Fewer come from the
 * peers soon enough, and cost each balancer a call otherwise. */
#define OUTDATED_CHANGES_MIN 4
#define OUTDATED_TARGETS_PART 16
/* Minimum interval between two writes. Changes within it share a write. */
#define WRITE_INTERVAL_US (1 * USEC_PER_SEC)
/* Size of the entries that a balancer would read without a snapshot, from
 * which on there is one, and the usual size of an entry with its encoding. A
 * smaller configuration is read as fast, and needs no writes. */
#define ENTRIES_SIZE_MIN 48000
#define ROUTE_SIZE 250
#define TARGET_SIZE 350
/* Time after an answer of the store in which it counts as available: the wait
 * of a watch for the longest bounds of the users, and the time of a call. */
#define STORE_ANSWER_MAX_AGE_US (4 * USEC_PER_SEC)
/* Time after a failed call until the next one. */
#define RETRY_INTERVAL_US (2 * USEC_PER_SEC)

void
view_snapshot_init(struct view_snapshot *s)
{
    memset(s, 0, sizeof(*s));
}

void
view_snapshot_on_store_answer(struct view_snapshot *s, uint64_t now)
{
    s->answered_at = now;
}

/* Whether the view is large enough for a snapshot, or has what the entries in
 * the store do not tell. An existing one is kept up to date also when the view
 * has become smaller. */
static bool
is_worthwhile(const struct view_snapshot *s, const struct forward_view *view)
{
    return (s->key_known && s->key_position.revision != 0) ||
           forward_view_other_forms(view) > 0 ||
           forward_view_route_count(view) * ROUTE_SIZE +
                   forward_view_target_count(view) * TARGET_SIZE >=
               ENTRIES_SIZE_MIN;
}

enum view_snapshot_call
view_snapshot_due(struct view_snapshot *s, const struct forward_view *view,
                  uint64_t now)
{
    struct store_position content = forward_view_content_position(view);

    if (s->calling || now < s->not_before || s->answered_at == 0 ||
        now - s->answered_at > STORE_ANSWER_MAX_AGE_US ||
        !forward_view_usable(view) ||
        !store_position_is_after(content, s->content) ||
        (s->key_known && !is_worthwhile(s, view))) {
        return VIEW_SNAPSHOT_NONE;
    }
    s->calling = true;
    if (!s->key_known) {
        return VIEW_SNAPSHOT_READ;
    }
    s->writing_content = content;
    return VIEW_SNAPSHOT_WRITE;
}

void
view_snapshot_on_write(struct view_snapshot *s,
                       enum view_snapshot_result result,
                       struct store_position key_position, uint64_t now)
{
    s->calling = false;
    if (result == VIEW_SNAPSHOT_WRITTEN) {
        s->key_position = key_position;
        s->content = s->writing_content;
        s->not_before = now + WRITE_INTERVAL_US;
        return;
    }
    /* After a failure the write may still be done, so the key's position is
     * not known either. */
    s->key_known = false;
    if (result == VIEW_SNAPSHOT_FAILED) {
        s->not_before = now + RETRY_INTERVAL_US;
    }
}

void
view_snapshot_on_read(struct view_snapshot *s, bool answered, uint64_t now)
{
    s->calling = false;
    if (answered) {
        s->key_known = true;
        return;
    }
    s->not_before = now + RETRY_INTERVAL_US;
}

/* Returns the newest position of the records in a delta. */
static struct store_position
newest_record(const struct view_delta *delta)
{
    struct store_position newest = delta->routes_position;

    for (guint i = 0; i < delta->targets->len; i++) {
        const struct target_record *t =
            &g_array_index(delta->targets, struct target_record, i);

        newest = store_position_max(newest, t->position);
    }
    return newest;
}

void
view_snapshot_on_seen(struct view_snapshot *s,
                      struct store_position key_position,
                      const struct view_delta *delta)
{
    if (store_position_is_after(s->key_position, key_position)) {
        return;
    }
    s->key_position = key_position;
    s->key_known = true;
    s->content =
        delta == NULL ? (struct store_position){0} : newest_record(delta);
}

bool
view_snapshot_is_outdated(const struct view_snapshot *s, size_t targets,
                          struct store_position store)
{
    uint64_t changes_min = targets / OUTDATED_TARGETS_PART;

    if (changes_min < OUTDATED_CHANGES_MIN) {
        changes_min = OUTDATED_CHANGES_MIN;
    }
    return store.era != s->key_position.era ||
           store.revision >= s->key_position.revision + changes_min;
}
