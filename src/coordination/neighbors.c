#include "coordination/neighbors.h"

#include <assert.h>

#include "base/random.h"

#define RANKING_MAX 4 /* maximum number of members in a ranking */

/* The members with the lowest scores offered so far, in ascending order. */
struct ranking {
    size_t limit; /* members to keep, at most RANKING_MAX */
    size_t count;
    struct member *members[RANKING_MAX];
    uint64_t scores[RANKING_MAX];
};

static void
ranking_remove(struct ranking *ranking, size_t pos)
{
    ranking->count--;
    for (size_t i = pos; i < ranking->count; i++) {
        ranking->members[i] = ranking->members[i + 1];
        ranking->scores[i] = ranking->scores[i + 1];
    }
}

static void
ranking_offer(struct ranking *ranking, struct member *m, uint64_t score)
{
    size_t pos = ranking->count;

    assert(ranking->limit <= RANKING_MAX);
    if (pos == ranking->limit) {
        if (score >= ranking->scores[pos - 1]) {
            return;
        }
        pos--;
        ranking->count--;
    }
    while (pos > 0 && ranking->scores[pos - 1] > score) {
        ranking->members[pos] = ranking->members[pos - 1];
        ranking->scores[pos] = ranking->scores[pos - 1];
        pos--;
    }
    ranking->members[pos] = m;
    ranking->scores[pos] = score;
    ranking->count++;
}

/* Offers a member of another failure domain. Only the member with the lowest
 * score of each domain is kept. */
static void
ranking_offer_remote(struct ranking *ranking, struct member *m,
                     uint64_t self_hash)
{
    uint64_t domain = random_mix(self_hash, id_hash(m->info.domain));
    /* The high 32 bits depend on the domain only, so members of one domain are
     * adjacent; the low 32 bits order the members within the domain. */
    uint64_t score = (domain & ~0xffffffffULL) |
                     (random_mix(self_hash, m->hash) & 0xffffffffULL);

    for (size_t i = 0; i < ranking->count; i++) {
        if (ranking->scores[i] >> 32 == score >> 32) {
            if (ranking->scores[i] <= score) {
                return;
            }
            ranking_remove(ranking, i);
            break;
        }
    }
    ranking_offer(ranking, m, score);
}

static void
mark_neighbors(const struct ranking *ranking)
{
    for (size_t i = 0; i < ranking->count; i++) {
        ranking->members[i]->neighbor = true;
    }
}

static bool
can_be_neighbor(const struct member *m)
{
    return m->info.state == MEMBER_ALIVE ||
           (m->local && m->info.state == MEMBER_SUSPECT);
}

void
neighbors_choose(struct member_table *table, uint64_t self_hash)
{
    struct ranking ring = {.limit = NEIGHBORS_LOCAL_RING};
    struct ranking chords = {.limit = NEIGHBORS_LOCAL_CHORDS};
    struct ranking remote = {.limit = NEIGHBORS_REMOTE};

    list_for_each (it, &table->all) {
        struct member *m = container_of(it, struct member, link);

        m->neighbor = false;
        if (!can_be_neighbor(m)) {
            continue;
        }
        if (m->local) {
            /* The score is the distance on the ring of 2^64 hashes. */
            ranking_offer(&ring, m, m->hash - self_hash);
        }
        else {
            ranking_offer_remote(&remote, m, self_hash);
        }
    }
    mark_neighbors(&ring);
    list_for_each (it, &table->all) {
        struct member *m = container_of(it, struct member, link);

        if (can_be_neighbor(m) && m->local && !m->neighbor) {
            ranking_offer(&chords, m, random_mix(self_hash, m->hash));
        }
    }
    mark_neighbors(&chords);
    mark_neighbors(&remote);
}
