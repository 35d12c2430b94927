#pragma once

#include "coordination/member-table.h"

/* Chooses the members to which this balancer sends heartbeats. */

/* Neighbors in this balancer's failure domain: successors on the ring of
 * hashes, and further members (chords of the ring) by rendezvous rank. */
#define NEIGHBORS_LOCAL_RING 2
#define NEIGHBORS_LOCAL_CHORDS 3
/* Neighbors in other failure domains, at most one in each. */
#define NEIGHBORS_REMOTE 2
#define NEIGHBORS_MAX                                                         \
    (NEIGHBORS_LOCAL_RING + NEIGHBORS_LOCAL_CHORDS + NEIGHBORS_REMOTE)

/* Sets or clears "neighbor" on every member of the table; "self_hash" is the
 * id_hash() of this balancer. The live members of a failure domain form a ring
 * ordered by hash, and each sends heartbeats to its successors on the ring, so
 * the graph of neighbors is connected whenever the tables of all members
 * agree. The chords keep it connected while the tables differ. Suspects of
 * this balancer's domain can be neighbors too, so that their recovery is
 * noticed. */
void neighbors_choose(struct member_table *table, uint64_t self_hash);
