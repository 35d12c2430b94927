#include "coordination/peer-clocks.h"

#include "base/random.h"

/* What to add to a time of another clock to get the local time. Times may
 * come from anywhere, so offsets are computed modulo 2^64. */
struct offset {
    uint64_t us;
    uint64_t since; /* local time at which its window began, us */
};

struct peer_clock {
    struct offset current;
    struct offset previous; /* least offset of the window before */
};

/* Returns an id for the clock of a balancer, which is not 0. A new start gets
 * a new one: the clock may begin again. */
static uint32_t
clock_id(const struct member_info *self)
{
    uint64_t endpoint = (uint64_t)self->addr << 16 | self->port;
    uint32_t id = (uint32_t)random_mix(endpoint, self->incarnation);

    return id == 0 ? 1 : id;
}

void
peer_clocks_init(struct peer_clocks *pc, const struct member_info *self)
{
    pc->own_id = clock_id(self);
    pc->clocks =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
}

void
peer_clocks_clear(struct peer_clocks *pc)
{
    g_hash_table_destroy(pc->clocks);
}

static bool
is_less(uint64_t a, uint64_t b)
{
    return (int64_t)(a - b) < 0;
}

static gboolean
is_outdated(gpointer id, gpointer clock, gpointer now)
{
    const struct peer_clock *c = clock;

    return c->current.since + 2 * PEER_CLOCKS_WINDOW_US <= *(uint64_t *)now;
}

/* Returns the clock with this id, which is added if it is new. All others are
 * forgotten when there are too many. */
static struct peer_clock *
get_clock(struct peer_clocks *pc, uint32_t id, uint64_t offset_us,
          uint64_t now)
{
    struct peer_clock *c =
        g_hash_table_lookup(pc->clocks, GUINT_TO_POINTER(id));

    if (c != NULL && !is_outdated(NULL, c, &now)) {
        return c;
    }
    g_hash_table_foreach_remove(pc->clocks, is_outdated, &now);
    if (g_hash_table_size(pc->clocks) >= PEER_CLOCKS_MAX) {
        g_hash_table_remove_all(pc->clocks);
    }
    c = g_new(struct peer_clock, 1);
    c->current = (struct offset){offset_us, now};
    c->previous = c->current;
    g_hash_table_insert(pc->clocks, GUINT_TO_POINTER(id), c);
    return c;
}

/* Adds the offset that a message shows and returns the least one. */
static uint64_t
add_offset(struct peer_clock *c, uint64_t offset_us, uint64_t now)
{
    if (now >= c->current.since + PEER_CLOCKS_WINDOW_US) {
        c->previous = c->current;
        c->current = (struct offset){offset_us, now};
    }
    else if (is_less(offset_us, c->current.us)) {
        c->current.us = offset_us;
    }
    return is_less(c->previous.us, c->current.us) ? c->previous.us
                                                  : c->current.us;
}

uint64_t
peer_clocks_convert(struct peer_clocks *pc, struct clock_time time,
                    uint64_t latest, uint64_t now)
{
    uint64_t offset_us = latest - time.us;
    uint64_t delay_us;

    if (time.clock == 0) {
        return latest;
    }
    if (time.clock == pc->own_id) {
        return time.us < latest ? time.us : latest;
    }
    delay_us =
        offset_us -
        add_offset(get_clock(pc, time.clock, offset_us, now), offset_us, now);
    return delay_us < latest ? latest - delay_us : 0;
}
