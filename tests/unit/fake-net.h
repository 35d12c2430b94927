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

/* Simulates the control planes of several balancers in one process on a
 * simulated clock, together with the store and a network that can lose,
 * duplicate, delay and reorder messages and be partitioned. Messages are
 * encoded and decoded by the real codec, so their sizes are the real ones.
 * Times are microseconds of the simulated clock, unless stated otherwise. */

/* Maximum number of nodes, for arrays in tests that have an entry per node */
#define FAKE_NODE_COUNT_MAX 1100
/* Maximum number of nodes of a failure domain */
#define FAKE_DOMAIN_SIZE_MAX 1100

struct fake_net;

/* One balancer. */
struct fake_node {
    struct fake_net *net; /* not owned */
    size_t index;         /* in fake_net.nodes */
    struct member_info self;
    bool running;           /* the process exists */
    bool frozen;            /* the process is paused; its input stays queued */
    bool store_unreachable; /* the node cannot reach the store */
    unsigned
        partition; /* network partition; messages do not cross partitions */
    unsigned incarnations; /* number of starts of the process */

    struct random random;
    /* Control plane, owned; NULL while the process does not exist */
    struct config_store *config;
    struct domain_min_revisions min_revisions;
    struct membership *members;
    struct config_sync *config_sync;
    struct report *report;
    bool watcher;  /* whether its rank makes it a watcher, as of the last
                    * tick */
    bool watching; /* its watch of the store is open */
    size_t store_changes_read; /* number of entries of fake_net.changes that it
                                * has read from the store */
    /* Time that the data task takes to apply a complete configuration;
     * UINT64_MAX: it never applies one */
    uint64_t apply_delay_us;
    uint64_t apply_at; /* time at which it next applies a configuration;
                        * 0: none pending */
    uint64_t applied;  /* revision that the data task applied last */

    /* Counters over all starts of the process. Messages sent include those
     * that the network loses. */
    uint64_t bytes_out;
    uint64_t bytes_in;
    uint64_t messages_out;
    uint64_t messages_in;
    uint64_t reports_received; /* messages received of kind GOSSIP_REPORT */
    uint64_t store_calls;      /* status writes tried, and watches opened */
    unsigned pauses;           /* pauses that its membership detected */
};

/* A write accepted by the store. */
struct fake_change {
    struct resource resource;
    uint64_t revision;
};

struct fake_net {
    uint64_t now;
    struct random random;
    size_t node_count;
    struct fake_node *nodes;
    /* Network */
    double loss;           /* probability that a message is lost */
    double duplication;    /* probability that a message is duplicated */
    uint64_t delay_min_us; /* minimum delay of a message */
    uint64_t delay_max_us; /* maximum delay; messages are reordered when it is
                            * above the minimum */
    /* The platform's store */
    bool store_down;         /* no node can reach the store */
    uint64_t store_revision; /* newest revision; 0: nothing written yet */
    size_t change_count;
    size_t change_capacity;      /* capacity of "changes" */
    struct fake_change *changes; /* all writes, by revision */
    uint64_t status_writes;      /* domain statuses written to the store */
    struct domain_status statuses[DOMAIN_MIN_REVISIONS_MAX]; /* as stored */
    size_t status_count;
    /* Messages in transit, a binary heap ordered by time of arrival */
    struct fake_packet **heap;
    size_t heap_count;
    size_t packet_heap_capacity; /* capacity of "heap" */
    struct gossip_message
        *decoded; /* buffer for the message being delivered */
};

/* Creates nodes in "domain_count" failure domains named d0, d1, ... Nodes are
 * distributed over the domains in turn, and the first three nodes are the
 * seeds of all. No node runs until it is started. */
struct fake_net *fake_net_new(size_t node_count, size_t domain_count,
                              uint64_t seed);
void fake_net_destroy(struct fake_net *net);

/* Starts the process of a node that is not running, without a configuration.
 */
void fake_net_start(struct fake_net *net, size_t index);
void fake_net_start_all(struct fake_net *net);
/* Ends the process of a node without notifying its peers. */
void fake_net_kill(struct fake_net *net, size_t index);

/* Advances the clock by at least "us" in steps of 10 ms and runs the nodes. */
void fake_net_run(struct fake_net *net, uint64_t us);

/* Writes a resource to the store, also while nodes cannot reach it. Returns
 * the revision of the write. */
uint64_t fake_net_write(struct fake_net *net, const struct resource *r);
/* Whether every running node of a domain has applied the revision. An empty
 * string stands for all domains. */
bool fake_net_has_applied(const struct fake_net *net, const char *domain,
                          uint64_t revision);
/* Runs until every running node has applied the revision. Returns the
 * simulated time that this took, or UINT64_MAX when it took longer than
 * "limit_us". */
uint64_t fake_net_run_until_applied(struct fake_net *net, uint64_t revision,
                                    uint64_t limit_us);
/* Whether the configurations of all running nodes have the same checksum. */
bool fake_net_configs_equal(const struct fake_net *net);
/* Returns the version of a resource in a node's configuration. */
uint64_t fake_node_version(const struct fake_node *node, const char *name);
/* Returns the status of a domain in the store, or NULL when none was written.
 * The result is owned by "net". */
const struct domain_status *fake_net_status(const struct fake_net *net,
                                            const char *domain);
