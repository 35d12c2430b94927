#include "coordination/operator-write.h"

#include <assert.h>
#include <string.h>

#include "base/clock.h"

/* Bounds of the delay before another compare-and-swap or read */
#define RETRY_MIN_US (50 * USEC_PER_MSEC)
#define RETRY_MAX_US (1 * USEC_PER_SEC)

void
operator_write_init(struct operator_write *w,
                    const struct operator_request *request, uint64_t now,
                    uint64_t seed)
{
    memset(w, 0, sizeof(*w));
    w->request = *request;
    w->step = OPERATOR_READ_KEY;
    w->deadline = now + request->time_limit_us;
    backoff_init(&w->backoff, RETRY_MIN_US, RETRY_MAX_US);
    random_seed(&w->random, seed);
}

uint64_t
resource_version_of_write(const struct resource *r, const char *write_id)
{
    for (size_t i = 0; i < r->write_count; i++) {
        if (strcmp(r->writes[i], write_id) == 0) {
            return r->version - i;
        }
    }
    return 0;
}

static enum operator_step
set_step(struct operator_write *w, enum operator_step step)
{
    w->step = step;
    return step;
}

static enum operator_step
end_accepted(struct operator_write *w, uint64_t version, uint64_t revision,
             bool exact)
{
    status_set_ok(&w->outcome.status);
    w->outcome.exact = exact;
    w->outcome.version = version;
    w->outcome.revision = revision;
    return set_step(w, OPERATOR_DONE);
}

static enum operator_step
end_with(struct operator_write *w, const struct status *st, uint64_t version)
{
    w->outcome.status = *st;
    w->outcome.version = version;
    return set_step(w, OPERATOR_DONE);
}

static enum operator_step
end_conflict(struct operator_write *w, uint64_t version)
{
    struct status st;

    status_set(&st, ERR_CONFLICT,
               "changed by another write meanwhile; nothing was written");
    return end_with(w, &st, version);
}

/* Ends the write when its time is up or nothing more can be learned. When an
 * answer was lost, the write may have taken effect or may still be in
 * flight. */
static enum operator_step
end_unresolved(struct operator_write *w, const struct status *last)
{
    struct status st = *last;

    if (w->maybe_written) {
        status_set(&st, ERR_STORE_UNKNOWN,
                   "the answer to write %s was lost and the store could not "
                   "be read back",
                   w->request.write_id);
    }
    return end_with(w, &st, 0);
}

/* Waits before the next compare-and-swap ("cas") or read. Ends the write when
 * the wait would reach the deadline. */
static enum operator_step
wait_for_retry(struct operator_write *w, uint64_t now, bool cas,
               const struct status *last)
{
    uint64_t delay = backoff_next(&w->backoff, &w->random);

    if (now + delay >= w->deadline) {
        return end_unresolved(w, last);
    }
    w->wake_at = now + delay;
    w->cas_after_wait = cas;
    return set_step(w, OPERATOR_WAIT);
}

/* Returns false with the reason when the precondition does not hold. */
static bool
check_precondition(struct operator_write *w, const struct resource *current,
                   struct status *st)
{
    bool exists = current != NULL && !current->deleted;

    switch (w->request.precondition) {
    case PRECONDITION_VERSION:
        if (exists && current->version == w->request.version) {
            return true;
        }
        status_set(st, ERR_PRECONDITION, "the version is not %llu",
                   (unsigned long long)w->request.version);
        return false;
    case PRECONDITION_ABSENT:
        if (!exists) {
            return true;
        }
        status_set(st, ERR_PRECONDITION, "the resource exists");
        return false;
    default:
        if (!exists) {
            return true;
        }
        status_set(st, ERR_PRECONDITION,
                   "the resource exists; name the version that the write "
                   "replaces");
        return false;
    }
}

/* Returns false when the store has an older version than this balancer. */
static bool
check_not_regressed(const struct operator_write *w,
                    const struct resource *current, struct status *st)
{
    uint64_t version = current == NULL ? 0 : current->version;

    if (version >= w->request.known_version) {
        return true;
    }
    status_set(st, ERR_STORE_REGRESSED,
               "the store has version %llu, but %llu was accepted before",
               (unsigned long long)version,
               (unsigned long long)w->request.known_version);
    return false;
}

/* Sets the secret of each key of a ring: the existing one of a key that the
 * ring had before, or a new one. */
static void
fill_secrets(struct operator_write *w, const struct resource *current)
{
    struct key_ring *ring = &w->next.key_ring;

    for (size_t i = 0; i < ring->count; i++) {
        struct key_ring_key *key = &ring->keys[i];

        memcpy(key->secret, w->request.secrets[i], KEY_SECRET_SIZE);
        for (size_t j = 0; current != NULL && j < current->key_ring.count;
             j++) {
            const struct key_ring_key *old = &current->key_ring.keys[j];

            if (old->id == key->id) {
                memcpy(key->secret, old->secret, KEY_SECRET_SIZE);
            }
        }
    }
}

/* Puts the id of a write first in the list of the last writes; the oldest id
 * is dropped when the list is full. */
static void
push_write_id(struct resource *next, const struct resource *current,
              const char *write_id)
{
    size_t kept = current == NULL ? 0 : current->write_count;

    if (kept == RECENT_WRITES_MAX) {
        kept--;
    }
    memcpy(next->writes[0], write_id, WRITE_ID_SIZE);
    if (kept > 0) {
        memcpy(next->writes[1], current->writes[0], kept * WRITE_ID_SIZE);
    }
    next->write_count = kept + 1;
}

/* Builds the value to write from the wanted resource and the current one. The
 * version continues from that of a tombstone, so that versions never
 * repeat. */
static void
build_next_value(struct operator_write *w, const struct resource *current)
{
    w->base_version = current == NULL ? 0 : current->version;
    /* A tombstone keeps the fields of the deleted resource. */
    w->next =
        w->request.deletion && current != NULL ? *current : w->request.wanted;
    list_init(&w->next.link);
    w->next.deleted = w->request.deletion;
    w->next.version = w->base_version + 1;
    push_write_id(&w->next, current, w->request.write_id);
    if (w->next.kind == RESOURCE_KEY_RING && !w->next.deleted) {
        fill_secrets(w, current != NULL && !current->deleted ? current : NULL);
    }
}

static enum operator_step
validate(struct operator_write *w, const struct resource_context *context)
{
    struct status st;
    bool valid = w->request.deletion
                     ? resource_rules_check_delete(&w->next, context, &st)
                     : resource_rules_check_put(&w->next, context, &st);

    if (!valid) {
        return end_with(w, &st, w->base_version);
    }
    return set_step(w, OPERATOR_CAS);
}

/* Checks a write whose rules involve no other resources. */
static enum operator_step
validate_alone(struct operator_write *w, const struct resource *current)
{
    struct list none;
    const struct resource_context context = {
        .current = current,
        .others = &none,
    };

    list_init(&none);
    return validate(w, &context);
}

/* Whether a deletion finds nothing to delete. With If-Match the precondition
 * fails instead. */
static bool
nothing_to_delete(const struct operator_write *w,
                  const struct resource *current)
{
    return w->request.deletion &&
           w->request.precondition != PRECONDITION_VERSION &&
           (current == NULL || current->deleted);
}

static enum operator_step
on_first_read(struct operator_write *w, const struct resource *current,
              uint64_t revision)
{
    struct status st;
    uint64_t version = current == NULL ? 0 : current->version;
    const struct resource *live =
        current != NULL && !current->deleted ? current : NULL;

    w->read_done = true;
    /* The same request may arrive again through another balancer. */
    if (current != NULL &&
        resource_version_of_write(current, w->request.write_id) > 0) {
        return end_accepted(
            w, resource_version_of_write(current, w->request.write_id),
            revision, false);
    }
    if (!check_not_regressed(w, current, &st)) {
        return end_with(w, &st, version);
    }
    if (nothing_to_delete(w, current)) {
        status_set(&st, ERR_NOT_FOUND, "there is no such resource");
        return end_with(w, &st, version);
    }
    if (!check_precondition(w, current, &st)) {
        return end_with(w, &st, version);
    }
    w->revision = revision;
    build_next_value(w, current);
    if (resource_rules_needs(w->next.kind, w->request.deletion) != 0) {
        return set_step(w, OPERATOR_READ_OTHERS);
    }
    return validate_alone(w, live);
}

/* Determines the outcome of a write from the value of the key. */
static enum operator_step
on_read_back(struct operator_write *w, uint64_t now,
             const struct resource *current, uint64_t revision)
{
    uint64_t version = current == NULL ? 0 : current->version;
    uint64_t written =
        current == NULL
            ? 0
            : resource_version_of_write(current, w->request.write_id);
    struct status st;

    if (written > 0) {
        return end_accepted(w, written, revision, written == version);
    }
    if (revision == w->revision) {
        status_set(&st, ERR_STORE_DOWN, "the store does not take the write");
        return wait_for_retry(w, now, true, &st);
    }
    /* The key has changed. The ids of its last writes show whether this write
     * is among them, unless too many others followed or the store went back to
     * an older state. */
    if (w->maybe_written && (version < w->base_version ||
                             version > w->base_version + RECENT_WRITES_MAX)) {
        status_set_ok(&st);
        return end_unresolved(w, &st);
    }
    return end_conflict(w, version);
}

enum operator_step
operator_write_on_read(struct operator_write *w, uint64_t now,
                       const struct status *st, const struct resource *current,
                       uint64_t revision)
{
    assert(w->step == OPERATOR_READ_KEY);
    if (!w->read_done) {
        if (st->kind != ERR_NONE) {
            return end_with(w, st, 0);
        }
        return on_first_read(w, current, revision);
    }
    if (st->kind != ERR_NONE) {
        return wait_for_retry(w, now, false, st);
    }
    return on_read_back(w, now, current, revision);
}

enum operator_step
operator_write_on_others(struct operator_write *w, uint64_t now,
                         const struct status *st,
                         const struct resource_context *c)
{
    assert(w->step == OPERATOR_READ_OTHERS);
    if (st->kind != ERR_NONE) {
        return end_with(w, st, 0);
    }
    return validate(w, c);
}

enum operator_step
operator_write_on_cas(struct operator_write *w, uint64_t now,
                      const struct status *st, uint64_t revision)
{
    assert(w->step == OPERATOR_CAS);
    switch (st->kind) {
    case ERR_NONE:
        return end_accepted(w, w->next.version, revision, true);
    case ERR_CONFLICT:
        /* The conflicting value may be the result of an earlier attempt of
         * this write whose answer was lost. The outcome also needs the current
         * version. */
        return set_step(w, OPERATOR_READ_KEY);
    case ERR_STORE_UNKNOWN:
        w->maybe_written = true;
        return wait_for_retry(w, now, false, st);
    default:
        return wait_for_retry(w, now, true, st);
    }
}

enum operator_step
operator_write_on_timer(struct operator_write *w, uint64_t now)
{
    assert(w->step == OPERATOR_WAIT);
    return set_step(w, w->cas_after_wait ? OPERATOR_CAS : OPERATOR_READ_KEY);
}
