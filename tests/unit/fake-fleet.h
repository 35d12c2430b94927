#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/random.h"
#include "coordination/membership.h"
#include "coordination/target-lapse.h"
#include "coordination/target-speed.h"
#include "coordination/view-freshness.h"
#include "coordination/view-reader.h"
#include "coordination/view-snapshot.h"
#include "coordination/view-sync.h"
#include "state/forward-view.h"

/* Simulates the control planes of several forwarding balancers in one process
 * on a simulated clock, together with their network and the store. Network
 * and store can fail for some balancers only. Messages are encoded and decoded
 * by the real codecs. All times are microseconds of the simulated clock. */

/* Simulated time that fleet_step() advances */
#define FLEET_STEP_US 5000ULL
/* Idle time after which a balancer closes a connection to a peer */
#define FLEET_LINK_IDLE_US 5000000ULL
/* Time after a message on a connection in which the other side uses it too */
#define FLEET_LINK_FRESH_US 2500000ULL
/* A call that the store does not answer fails after this time; for a watch,
 * the time for which the store may delay its answer is added. */
#define FLEET_CALL_TIMEOUT_US 1000000ULL

/* Interval at which a balancer tells its peers of slow targets */
#define FLEET_SPEED_US 50000ULL

/* How the store responds to the calls of one balancer. */
enum fleet_store_mode {
    FLEET_STORE_ANSWERS, /* answers */
    FLEET_STORE_SILENT,  /* sends no answer, not even to a call in progress */
    FLEET_STORE_REFUSES, /* fails each call */
};

/* What a revision of the store wrote. */
struct fleet_change {
    uint64_t written_at;
    bool is_snapshot; /* the snapshot; else the entry of a target or order */
    const char *emptied_domain; /* of an order, interned; NULL: of a target */
    bool removed;               /* the order was taken back */
    size_t target;
    bool draining;
    uint64_t sequence; /* number of this write of a target */
};

/* One balancer. */
struct fleet_node {
    struct fleet *fleet; /* not owned */
    size_t index;        /* in fleet.nodes */
    struct member_info self;
    bool running;          /* its process exists; if not, the objects of its
                            * control plane are freed */
    uint64_t frozen_until; /* the process is paused until then; 0: it is not */
    uint64_t frozen_at;    /* start of the last pause */
    bool suspends; /* its host is suspended in a pause: the clock stops */
    uint64_t suspended_us; /* time that its clock has not counted */
    unsigned
        partition; /* network partition; messages do not cross partitions */
    enum fleet_store_mode
        store_mode;         /* how the store responds to this balancer */
    uint64_t last_fault_at; /* last fault of the balancer or of its connection
                             * to the store; also its last start or kill */
    struct random random;
    struct membership *members;
    struct forward_view *view;
    struct freshness freshness;
    struct target_lapse target_lapse;
    struct view_sync *sync;
    struct view_reader *reader;
    struct target_speed *speed; /* its news are sent every FLEET_SPEED_US */
    /* Call to the store. A balancer has at most one in progress. */
    bool calling;          /* a call is in progress */
    bool call_is_read;     /* true: read of all entries, false: watch */
    bool call_is_snapshot; /* the read is that of the snapshot */
    bool call_is_stale;    /* the read may return an older revision */
    struct store_position call_after; /* a watch returns later changes */
    uint64_t call_sent_at;            /* time of the request */
    uint64_t call_wait_us; /* time for which the store may delay the answer to
                            * a watch that has no changes, us; 0 for a read */
    uint64_t answer_at;    /* arrival of the answer; 0: not yet scheduled */
    uint64_t answer_revision; /* newest one that the answer contains */
    uint64_t answer_era;
    uint64_t answer_delay_us; /* by which answers of the store are late on
                               * the way to this balancer */
    uint64_t calls;      /* calls started, over all starts of the process */
    uint64_t full_reads; /* of these, reads of all entries */
    /* Call that reads or writes the snapshot, beside the one above. */
    struct view_snapshot snapshot;
    enum view_snapshot_call snapshot_call;
    uint64_t snapshot_sent_at;
    struct store_position snapshot_expected; /* by a write, of the key */
    uint8_t *snapshot_data; /* value that a write contains, owned */
    size_t snapshot_size;
    /* Open connections to peers: address -> time of the last message sent */
    GHashTable *links;
    size_t links_max; /* maximum number of open connections since the start */
    uint64_t messages_out; /* messages sent to balancers, lost or not */
    uint64_t records_in;   /* target records in messages from balancers */
    uint64_t bytes_out;    /* size of all messages sent to balancers */
};

struct fleet {
    uint64_t now;
    uint64_t bound_us; /* time within which a change in the store has to be in
                        * effect, see freshness_init() */
    struct random random;
    double loss; /* probability that a message between balancers is lost */
    uint64_t delay_us; /* by which each such message is late */
    size_t node_count;
    struct fleet_node *nodes;
    GQueue *deliveries; /* messages in transit: struct delivery, in sending
                           order */
    /* The store. Each revision writes the entry of one target, the snapshot,
     * or an order; the only route has revision 1. */
    bool store_down;    /* the store answers no balancer */
    uint64_t era;       /* number of times that it was restored */
    uint64_t revision;  /* newest revision */
    uint64_t sequence;  /* number of writes of targets in all eras */
    uint64_t compacted; /* the store keeps no history before this revision; a
                         * watch after an older one fails as compacted */
    uint64_t stale_by;  /* number of revisions by which a stale read lags */
    GArray *changes;    /* struct fleet_change by revision */
    struct store_position snapshot_position; /* of the key; revision 0: none */
    uint64_t snapshot_writes;
    uint8_t *snapshot; /* owned */
    size_t snapshot_size;
};

/* Starts "nodes" balancers, distributed over "domains" failure domains in
 * turn, with revision 1 in the store. */
struct fleet *fleet_new(size_t nodes, size_t domains, uint64_t bound_us,
                        uint64_t seed);
void fleet_destroy(struct fleet *fleet);
/* Starts the process of a balancer that is not running. */
void fleet_start_node(struct fleet *fleet, size_t index);
/* Ends the process of a balancer without notifying its peers. */
void fleet_kill_node(struct fleet *fleet, size_t index);
/* Number of targets in the store. */
#define FLEET_TARGET_COUNT 160
/* Writes the entry of the next target in turn to the store. */
void fleet_write(struct fleet *fleet);
/* Writes the entry of a target to the store. */
void fleet_write_target(struct fleet *fleet, size_t target, bool draining);
/* Writes the order to empty a failure domain, or takes it back. */
void fleet_write_order(struct fleet *fleet, const char *domain, bool emptied);
/* The id of a target. */
void fleet_target_id(size_t target, char id[TARGET_ID_SIZE]);
/* Restores the store to its state at an earlier revision, in a new era. The
 * snapshot, if it was written since, is lost. */
void fleet_restore(struct fleet *fleet, uint64_t revision);
/* Position of the newest change. */
struct store_position fleet_position(const struct fleet *fleet);
/* Advances the clock by FLEET_STEP_US, delivers the messages that are due and
 * runs all running balancers. */
void fleet_step(struct fleet *fleet);
/* Advances the clock in steps by at least "us". */
void fleet_run(struct fleet *fleet, uint64_t us);
/* Replaces the snapshot in the store; NULL removes it. */
void fleet_put_snapshot(struct fleet *fleet, const uint8_t *data, size_t size);
/* Number of calls to the store that all balancers have started. */
uint64_t fleet_calls(const struct fleet *fleet);
/* Returns the running balancer of lowest index that watches the store, or NULL
 * when none does. */
struct fleet_node *fleet_watcher(struct fleet *fleet);
