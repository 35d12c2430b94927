#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "coordination/config-sync.h"
#include "coordination/membership.h"
#include "coordination/report.h"
#include "state/config-store.h"
#include "state/domain-min-revisions.h"

/* Balancers' control planes in one process, on a fake clock, joined by a
 * network that loses, doubles, delays, reorders and cuts, and a store that
 * can be down, slow to answer or set back. Messages pass through the real
 * codec, which also counts their bytes. */

#define FAKE_NODES_MAX 1100
#define FAKE_DOMAIN_SIZE_MAX 1100

struct fake_net;

struct fake_node {
    struct fake_net *net;
    size_t index;
    struct member_info self;
    bool running; /* a process exists */
    bool frozen;  /* it stands still; its input waits */
    bool store_cut;
    unsigned side; /* nodes of different sides cannot reach each other */
    unsigned incarnations;

    struct random random;
    struct config_store *cs;
    struct domain_min_revisions floors;
    struct membership *ms;
    struct config_sync *sp;
    struct report *rp;
    bool watcher;            /* by rank, as of its last tick */
    bool watching;           /* its watch is open */
    size_t store_pos;        /* changes of the store that it has read */
    uint64_t apply_delay_us; /* of its data task; UINT64_MAX: never */
    uint64_t apply_at;       /* 0: nothing to apply */
    uint64_t applied;        /* revision */

    uint64_t bytes_out;
    uint64_t bytes_in;
    uint64_t messages_out;
    uint64_t messages_in;
    uint64_t reports_in;
    uint64_t store_calls;
    unsigned pauses;
};

struct fake_change {
    struct resource resource;
    uint64_t revision;
};

struct fake_net {
    uint64_t now;
    struct random random;
    size_t node_count;
    struct fake_node *nodes;
    /* Link faults. */
    double loss;
    double doubling;
    uint64_t delay_min_us;
    uint64_t delay_max_us; /* above the least: reordering */
    /* The platform's store. */
    bool store_down;
    uint64_t store_revision;
    size_t change_count;
    size_t change_room;
    struct fake_change *changes;
    uint64_t status_writes;
    struct domain_status statuses[DOMAIN_MIN_REVISIONS_MAX];
    size_t status_count;
    /* Deliveries to come, a heap ordered by time. */
    struct fake_packet **heap;
    size_t heap_count;
    size_t heap_room;
    struct gossip_message *in;
};

/* "domain_count" domains named d0, d1, ...; nodes are dealt out in turn and
 * get the first three as seeds. Nothing runs until fake_net_start(). */
struct fake_net *fake_net_new(size_t node_count, size_t domain_count,
                              uint64_t seed);
void fake_net_destroy(struct fake_net *net);

void fake_net_start(struct fake_net *net, size_t index);
void fake_net_start_all(struct fake_net *net);
/* Ends a process without a word. */
void fake_net_kill(struct fake_net *net, size_t index);

/* Lets time go by. */
void fake_net_run(struct fake_net *net, uint64_t us);

/* Accepts a write at the store. Returns its revision. */
uint64_t fake_net_write(struct fake_net *net, const struct resource *r);
/* Whether every running node has a version in force, or the nodes of one
 * domain, "" for all. */
bool fake_net_in_force(const struct fake_net *net, const char *domain,
                       uint64_t revision);
/* Runs until that is so. Returns the time it took, UINT64_MAX when it is not
 * so within "limit_us". */
uint64_t fake_net_run_until_in_force(struct fake_net *net, uint64_t revision,
                                     uint64_t limit_us);
/* Whether all running nodes hold the same configuration. */
bool fake_net_same(const struct fake_net *net);
uint64_t fake_node_version(const struct fake_node *node, const char *name);
const struct domain_status *fake_net_status(const struct fake_net *net,
                                            const char *domain);
