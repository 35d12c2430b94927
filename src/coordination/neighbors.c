#include "coordination/neighbors.h"

#include <assert.h>

#include "base/random.h"

#define BEST_MAX 4

/* The members with the lowest scores seen, in ascending order. */
struct best {
    size_t room;
    size_t count;
    struct member *members[BEST_MAX];
    uint64_t scores[BEST_MAX];
};

static void
best_remove(struct best *best, size_t pos)
{
    best->count--;
    for (size_t i = pos; i < best->count; i++) {
        best->members[i] = best->members[i + 1];
        best->scores[i] = best->scores[i + 1];
    }
}

static void
best_offer(struct best *best, struct member *m, uint64_t score)
{
    size_t pos = best->count;

    assert(best->room <= BEST_MAX);
    if (pos == best->room) {
        if (score >= best->scores[pos - 1]) {
            return;
        }
        pos--;
        best->count--;
    }
    while (pos > 0 && best->scores[pos - 1] > score) {
        best->members[pos] = best->members[pos - 1];
        best->scores[pos] = best->scores[pos - 1];
        pos--;
    }
    best->members[pos] = m;
    best->scores[pos] = score;
    best->count++;
}

/* Offers a member of another failure domain. Of each domain only the best
 * ranked one counts. */
static void
best_offer_domain(struct best *best, struct member *m, uint64_t self_hash)
{
    uint64_t domain = random_mix(self_hash, id_hash(m->info.domain));
    /* The domain decides the order; the member's rank the choice within it. */
    uint64_t score = (domain & ~0xffffffffULL) |
                     (random_mix(self_hash, m->hash) & 0xffffffffULL);

    for (size_t i = 0; i < best->count; i++) {
        if (best->scores[i] >> 32 == score >> 32) {
            if (best->scores[i] <= score) {
                return;
            }
            best_remove(best, i);
            break;
        }
    }
    best_offer(best, m, score);
}

static void
mark(const struct best *best)
{
    for (size_t i = 0; i < best->count; i++) {
        best->members[i]->neighbor = true;
    }
}

static bool
eligible(const struct member *m)
{
    return m->info.state == MEMBER_ALIVE ||
           (m->local && m->info.state == MEMBER_SUSPECT);
}

void
neighbors_choose(struct member_table *table, uint64_t self_hash)
{
    struct best ring = {.room = NEIGHBORS_LOCAL_RING};
    struct best chords = {.room = NEIGHBORS_LOCAL_CHORDS};
    struct best remote = {.room = NEIGHBORS_REMOTE};

    list_for_each (it, &table->all) {
        struct member *m = container_of(it, struct member, link);

        m->neighbor = false;
        if (!eligible(m)) {
            continue;
        }
        if (m->local) {
            /* Distance on the ring of 2^64 hashes. */
            best_offer(&ring, m, m->hash - self_hash);
        }
        else {
            best_offer_domain(&remote, m, self_hash);
        }
    }
    mark(&ring);
    list_for_each (it, &table->all) {
        struct member *m = container_of(it, struct member, link);

        if (eligible(m) && m->local && !m->neighbor) {
            best_offer(&chords, m, random_mix(self_hash, m->hash));
        }
    }
    mark(&chords);
    mark(&remote);
}
