#pragma once

#include "coordination/member-table.h"

/* Chooses which members get heartbeats. */

#define NEIGHBORS_LOCAL_RING 2   /* successors on the ring of hashes */
#define NEIGHBORS_LOCAL_CHORDS 3 /* by rendezvous rank */
#define NEIGHBORS_REMOTE 2       /* of other failure domains, one each */
#define NEIGHBORS_MAX                                                         \
    (NEIGHBORS_LOCAL_RING + NEIGHBORS_LOCAL_CHORDS + NEIGHBORS_REMOTE)

/* Sets "neighbor" on the members of the table. In the own failure domain the
 * live members form a ring ordered by hash, and each sends heartbeats to its
 * successors on it, so the graph is connected whenever the tables agree; the
 * chords keep it connected while they do not. Suspects stay neighbours: they
 * are to be heard when they come back. */
void neighbors_choose(struct member_table *table, uint64_t self_hash);
