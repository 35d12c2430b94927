#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/random.h"
#include "coordination/membership.h"
#include "coordination/target-lapse.h"
#include "coordination/view-freshness.h"
#include "coordination/view-reader.h"
#include "coordination/view-sync.h"
#include "state/forward-view.h"

/* Forwarders' control planes in one process, on a fake clock, with a network
 * and a store that can fail in parts. Messages pass through the real codecs.
 */

#define FLEET_STEP_US 5000ULL /* of the fake clock */
/* A connection for sending that is not used for so long is closed. */
#define FLEET_LINK_IDLE_US 5000000ULL
#define FLEET_CALL_LIMIT_US 1000000ULL /* a call without an answer ends */

/* How the store treats a balancer. */
enum store_path {
    STORE_OPEN,
    STORE_SILENT, /* no answer, also to what is under way */
    STORE_REFUSES,
};

struct fleet_node {
    struct fleet *fleet;
    size_t index;
    struct member_info self;
    bool running;
    uint64_t frozen_until; /* stands still before */
    uint64_t frozen_at;
    unsigned side; /* balancers of different sides do not reach each other */
    enum store_path path;
    uint64_t disturbed_at; /* last fault of it or its way to the store */
    struct random random;
    struct membership *members;
    struct forward_view *view;
    struct freshness freshness;
    struct target_lapse absence;
    struct view_sync *sync;
    struct view_reader *reader;
    /* The call under way. */
    bool calling;
    bool call_is_read;
    bool call_is_stale;
    uint64_t call_after;
    uint64_t call_sent;
    uint64_t call_wait;
    uint64_t answer_at; /* a read's answer arrives; 0: not yet decided */
    uint64_t calls;
    GHashTable *links; /* address of a peer -> when last sent to, us */
    size_t links_peak;
    uint64_t messages_out;
    uint64_t records_in; /* of targets, in messages of others */
    uint64_t bytes_out;
};

struct fleet {
    uint64_t now;
    uint64_t bound_us;
    struct random random;
    double loss; /* share of the messages between balancers */
    size_t node_count;
    struct fleet_node *nodes;
    GQueue *wire; /* struct delivery, in order of sending */
    /* The store: one target's entry for each revision, and the time at which
     * it was written. */
    bool down;
    uint64_t revision;
    uint64_t compacted; /* history up to here is gone */
    uint64_t stale_by;  /* revisions that a stale read is behind */
    GArray *written_at; /* uint64_t by revision */
};

struct fleet *fleet_new(size_t nodes, size_t domains, uint64_t bound_us,
                        uint64_t seed);
void fleet_destroy(struct fleet *fleet);
void fleet_start_node(struct fleet *fleet, size_t index);
void fleet_kill_node(struct fleet *fleet, size_t index);
/* Writes the next revision. */
void fleet_write(struct fleet *fleet);
void fleet_step(struct fleet *fleet);
void fleet_run(struct fleet *fleet, uint64_t us);
uint64_t fleet_calls(const struct fleet *fleet);
/* The running balancer that watches the store, of the lowest index; NULL when
 * there is none. */
struct fleet_node *fleet_watcher(struct fleet *fleet);
