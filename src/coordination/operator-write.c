#include "coordination/operator-write.h"

#include <assert.h>
#include <string.h>

#include "base/clock.h"

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
go(struct operator_write *w, enum operator_step step)
{
    w->step = step;
    return step;
}

static enum operator_step
accept(struct operator_write *w, uint64_t version, uint64_t revision,
       bool exact)
{
    status_ok(&w->outcome.status);
    w->outcome.exact = exact;
    w->outcome.version = version;
    w->outcome.revision = revision;
    return go(w, OPERATOR_DONE);
}

static enum operator_step
end_with(struct operator_write *w, const struct status *st, uint64_t version)
{
    w->outcome.status = *st;
    w->outcome.version = version;
    return go(w, OPERATOR_DONE);
}

static enum operator_step
end_conflict(struct operator_write *w, uint64_t version)
{
    struct status st;

    status_set(&st, ERR_CONFLICT,
               "changed by another write meanwhile; nothing was written");
    return end_with(w, &st, version);
}

/* The time is up, or nothing more can be learned. When an answer was lost the
 * write may have taken effect, or still be under way. */
static enum operator_step
give_up(struct operator_write *w, const struct status *last)
{
    struct status st = *last;

    if (w->maybe_done) {
        status_set(&st, ERR_STORE_UNKNOWN,
                   "the answer to write %s was lost and the store could not "
                   "be read back",
                   w->request.write_id);
    }
    return end_with(w, &st, 0);
}

/* Waits before another attempt; gives up when the attempt would come too
 * late. */
static enum operator_step
wait_before(struct operator_write *w, uint64_t now, bool cas,
            const struct status *last)
{
    uint64_t delay = backoff_next(&w->backoff, &w->random);

    if (now + delay >= w->deadline) {
        return give_up(w, last);
    }
    w->wake_at = now + delay;
    w->after_wait_cas = cas;
    return go(w, OPERATOR_WAIT);
}

/* Reports a precondition that does not hold. */
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

/* The store must not be older than what this balancer already runs. */
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

/* Gives each key of a ring its secret: the one it has, or a new one. */
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

/* Builds the value to write from what the operator wants and what is there. A
 * tombstone's version counts on, so that versions never repeat. */
static void
build_next(struct operator_write *w, const struct resource *current)
{
    w->base_version = current == NULL ? 0 : current->version;
    /* A tombstone keeps the fields of what it ends. */
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
    return go(w, OPERATOR_CAS);
}

/* Checks what needs no other resources. */
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

/* A deletion of what is not there is done already. */
static bool
is_deleted_already(const struct operator_write *w,
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
    /* The same request may come again, by way of another balancer. */
    if (current != NULL &&
        resource_version_of_write(current, w->request.write_id) > 0) {
        return accept(w,
                      resource_version_of_write(current, w->request.write_id),
                      revision, false);
    }
    if (!check_not_regressed(w, current, &st)) {
        return end_with(w, &st, version);
    }
    if (is_deleted_already(w, current)) {
        status_set(&st, ERR_NOT_FOUND, "there is no such resource");
        return end_with(w, &st, version);
    }
    if (!check_precondition(w, current, &st)) {
        return end_with(w, &st, version);
    }
    w->revision = revision;
    build_next(w, current);
    if (resource_rules_needs(w->next.kind, w->request.deletion) != 0) {
        return go(w, OPERATOR_READ_OTHERS);
    }
    return validate_alone(w, live);
}

/* Reads the fate of a write off the key. */
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
        return accept(w, written, revision, written == version);
    }
    if (revision == w->revision) {
        status_set(&st, ERR_STORE_DOWN, "the store does not take the write");
        return wait_before(w, now, true, &st);
    }
    /* The key has moved. The ids of the last writes tell whether ours is
     * among them, unless too many followed or the store went back. */
    if (w->maybe_done && (version < w->base_version ||
                          version > w->base_version + RECENT_WRITES_MAX)) {
        status_ok(&st);
        return give_up(w, &st);
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
        return wait_before(w, now, false, st);
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
        return accept(w, w->next.version, revision, true);
    case ERR_CONFLICT:
        /* The change may be our own, from an attempt whose answer was lost;
         * and the current version is wanted for the answer. */
        return go(w, OPERATOR_READ_KEY);
    case ERR_STORE_UNKNOWN:
        w->maybe_done = true;
        return wait_before(w, now, false, st);
    default:
        return wait_before(w, now, true, st);
    }
}

enum operator_step
operator_write_on_timer(struct operator_write *w, uint64_t now)
{
    assert(w->step == OPERATOR_WAIT);
    return go(w, w->after_wait_cas ? OPERATOR_CAS : OPERATOR_READ_KEY);
}
