#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "ctl/ctl.h"
#include "daemon/api-route.h"

#define KEY_ID_MAX 255 /* ids are 1 to 255 */

/* Writes a changed key ring and waits until it is in effect in every failure
 * domain, because the next step of a rotation relies on that. "what" describes
 * the change in the printed line. */
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
    return ctl_wait_in_effect(ctl, ctl->revision);
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

/* Returns the next unused id after that of the key that seals, wrapping around
 * at KEY_ID_MAX, so that a retired id is reused as late as possible. */
static uint8_t
next_unused_key_id(const struct key_ring *ring)
{
    unsigned id = ring->keys[0].id;

    do {
        id = id % KEY_ID_MAX + 1;
    } while (has_key(ring, id));
    return (uint8_t)id;
}

/* Appends a key to the ring. Only the first key seals, so every balancer
 * accepts the new key before any balancer seals with it. */
static enum ctl_exit
add_key(struct ctl *ctl, struct resource *r)
{
    struct key_ring *ring = &r->key_ring;
    char what[64];

    if (ring->count == KEY_RING_KEYS_MAX) {
        fprintf(stderr,
                "the key ring already has the maximum of %d keys; retire the "
                "old keys first\n",
                KEY_RING_KEYS_MAX);
        return CTL_REFUSED;
    }
    ring->keys[ring->count].id = next_unused_key_id(ring);
    snprintf(what, sizeof(what), "has key %u added",
             ring->keys[ring->count].id);
    ring->count++;
    return write_ring(ctl, r, what);
}

/* Moves the last key to the front, which makes it the key that seals. */
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

/* Removes all keys except the first, which seals. */
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
        fprintf(stderr,
                "the key ring does not exist; create it with ctl apply\n");
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
    const struct timespec retire_delay = {.tv_sec = (time_t)retire_after_s};
    uint64_t remaining_us = ctl->api.deadline - clock_monotonic_us();
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
    nanosleep(&retire_delay, NULL);
    /* The last step has the time limit that was left at the start. */
    ctl->api.deadline = clock_monotonic_us() + remaining_us;
    return ctl_retire_keys(ctl);
}
