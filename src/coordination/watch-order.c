#include "coordination/watch-order.h"

#include "base/clock.h"

/* Maximum number of other failure domains that are counted. */
#define DOMAINS_MAX 32
/* A neighbor from which a message has arrived within this time counts as
 * reachable. A reachable neighbor sends a message at least once a second. */
#define REACHABLE_TIMEOUT_US (1200 * USEC_PER_MSEC)
/* Salt of the rendezvous hash that orders the watchers. */
#define WATCHER_SALT 0x77617463686572ULL
/* Position of a balancer that ranks first but may not know the others yet. */
#define POSITION_UNSETTLED 0.5

/* Returns the rank of this balancer's failure domain, by rendezvous score,
 * among the domains with a live member, and stores the number of these domains
 * in "count". A domain with several live members is counted once. */
static size_t
domain_rank(const struct membership *members, size_t *count)
{
    const struct member_info *self = membership_self(members);
    uint64_t own_score = random_mix(WATCHER_SALT, id_hash(self->domain));
    uint64_t seen[DOMAINS_MAX];
    size_t seen_count = 0;
    size_t rank = 0;

    list_for_each (it, &membership_table(members)->all) {
        const struct member *m = container_of(it, struct member, link);
        uint64_t score = random_mix(WATCHER_SALT, id_hash(m->info.domain));
        bool skip = m->local || m->info.state != MEMBER_ALIVE;

        for (size_t i = 0; i < seen_count && !skip; i++) {
            skip = seen[i] == score;
        }
        if (skip || seen_count == DOMAINS_MAX) {
            continue;
        }
        seen[seen_count] = score;
        seen_count++;
        rank += score < own_score;
    }
    *count = seen_count + 1;
    return rank;
}

double
watch_order_position(const struct membership *members, uint64_t now)
{
    size_t domains;
    size_t domain = domain_rank(members, &domains);
    size_t rank = membership_rank(members, WATCHER_SALT);
    size_t size =
        1 + member_table_count(membership_table(members), MEMBER_ALIVE, true);
    double position =
        ((double)domain + (double)rank / (double)size) / (double)domains;

    if (!membership_settled(members, now) && position <= 0.0) {
        return POSITION_UNSETTLED;
    }
    return position;
}

double
watch_order_estimate_reachable(const struct membership *members, uint64_t now)
{
    size_t neighbors = 0;
    size_t reachable = 0;
    size_t domains;
    size_t size =
        1 + member_table_count(membership_table(members), MEMBER_ALIVE, true);
    double share;

    list_for_each (it, &membership_table(members)->all) {
        const struct member *m = container_of(it, struct member, link);

        if (m->neighbor) {
            neighbors++;
            reachable += m->last_message_at != 0 &&
                         now - m->last_message_at < REACHABLE_TIMEOUT_US;
        }
    }
    if (neighbors == 0) {
        return 1.0;
    }
    domain_rank(members, &domains);
    share = (double)reachable / (double)neighbors;
    return 1.0 + (double)(size * domains) * share * share;
}
