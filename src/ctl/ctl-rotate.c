#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "ctl/ctl.h"
#include "daemon/api-route.h"

#define KEY_ID_MAX 255

/* Writes a changed ring and waits until it is in force everywhere, which the
 * next step relies on. */
static enum ctl_exit
write_ring(struct ctl *ctl, struct resource *ring, const char *what)
{
    uint64_t version = 0;
    enum ctl_exit result = ctl_write(ctl, ring, ring->version, &version);

    if (result != CTL_OK) {
        return result;
    }
    printf("key_ring/" KEY_RING_ID " %s (version %" PRIu64 ")\n", what,
           version);
    ring->version = version;
    return ctl_wait_in_force(ctl, ctl->revision);
}

static bool
has_key(const struct key_ring *ring, unsigned id)
{
    for (size_t i = 0; i < ring->count; i++) {
        if (ring->keys[i].id == id) {
            return true;
        }
    }
    return false;
}

/* The next id behind that of the key that seals, so that a retired id comes
 * back as late as possible. */
static uint8_t
next_key_id(const struct key_ring *ring)
{
    unsigned id = ring->keys[0].id;

    do {
        id = id % KEY_ID_MAX + 1;
    } while (has_key(ring, id));
    return (uint8_t)id;
}

/* Adds a key behind the others, for balancers to accept before any seals with
 * it. */
static enum ctl_exit
add_key(struct ctl *ctl, struct resource *r)
{
    struct key_ring *ring = &r->key_ring;
    char what[64];

    if (ring->count == KEY_RING_KEYS_MAX) {
        fprintf(stderr,
                "the ring has %d keys already; retire the old ones first\n",
                KEY_RING_KEYS_MAX);
        return CTL_REFUSED;
    }
    ring->keys[ring->count].id = next_key_id(ring);
    snprintf(what, sizeof(what), "has key %u added",
             ring->keys[ring->count].id);
    ring->count++;
    return write_ring(ctl, r, what);
}

/* Puts the last key first: from now on it seals. */
static enum ctl_exit
promote_key(struct ctl *ctl, struct resource *r)
{
    struct key_ring *ring = &r->key_ring;
    struct key_ring_key last = ring->keys[ring->count - 1];
    char what[64];

    memmove(&ring->keys[1], &ring->keys[0],
            (ring->count - 1) * sizeof(ring->keys[0]));
    ring->keys[0] = last;
    snprintf(what, sizeof(what), "seals with key %u", last.id);
    return write_ring(ctl, r, what);
}

/* Drops all keys but the first. */
static enum ctl_exit
retire_keys(struct ctl *ctl, struct resource *r)
{
    char what[64];

    if (r->key_ring.count == 1) {
        printf("key_ring/" KEY_RING_ID " has no old keys (version %" PRIu64
               ")\n",
               r->version);
        return CTL_OK;
    }
    snprintf(what, sizeof(what), "has %zu old keys retired",
             r->key_ring.count - 1);
    r->key_ring.count = 1;
    return write_ring(ctl, r, what);
}

static enum ctl_exit
read_ring(struct ctl *ctl, struct resource *r)
{
    bool exists = false;
    enum ctl_exit result;

    resource_name_parse(r, "key_ring/" KEY_RING_ID);
    result = ctl_read(ctl, r, &exists);
    if (result == CTL_OK && !exists) {
        fprintf(stderr, "there is no key ring; create it with ctl apply\n");
        return CTL_REFUSED;
    }
    return result;
}

enum ctl_exit
ctl_retire_keys(struct ctl *ctl)
{
    struct resource r;
    enum ctl_exit result = read_ring(ctl, &r);

    return result == CTL_OK ? retire_keys(ctl, &r) : result;
}

enum ctl_exit
ctl_rotate_keys(struct ctl *ctl, uint64_t retire_after_s)
{
    const struct timespec life = {.tv_sec = (time_t)retire_after_s};
    uint64_t time_limit = ctl->api.deadline - clock_monotonic_us();
    struct resource r;
    enum ctl_exit result = read_ring(ctl, &r);

    if (result == CTL_OK) {
        result = add_key(ctl, &r);
    }
    if (result == CTL_OK) {
        result = promote_key(ctl, &r);
    }
    if (result != CTL_OK || retire_after_s == 0) {
        return result;
    }
    printf("waiting %" PRIu64 " s for flows under the old keys\n",
           retire_after_s);
    fflush(stdout);
    nanosleep(&life, NULL);
    ctl->api.deadline = clock_monotonic_us() + time_limit;
    return ctl_retire_keys(ctl);
}
