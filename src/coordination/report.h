#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "coordination/config-sync.h"
#include "coordination/membership.h"

/* Tracks which revision of the configuration is in effect in a failure domain.
 * Each balancer reports the revision that its data task has applied to the
 * reporter of its domain: the member that ranks first by rendezvous hash. In a
 * large domain the reports go through a few members, the collectors, which
 * bundle them. The reporter keeps the domain's status in the platform's store
 * up to date and sends the domain's floor, the revision that every balancer of
 * the domain has applied, to the other balancers. Two reporters at the same
 * time are harmless: a floor holds for all known members and only rises. */

/* Maximum number of hosts listed in a status */
#define REPORT_WAITING_MAX 32

/* A host that a domain waits for: it lacks a revision or does not answer. */
struct report_waiting_host {
    char host[ID_SIZE];
    enum member_state state;
    /* "applied" was reported by the host; otherwise it is a lower bound. */
    bool reported;
    uint64_t applied; /* revision in effect at the host */
    /* Time at which the host fell behind the newest revision, wall clock, us;
     * 0: it has applied that revision */
    uint64_t since_us;
};

struct domain_status {
    char domain[ID_SIZE];
    /* Host that wrote the status */
    char writer[ID_SIZE];
    uint64_t time_us; /* wall clock, us */
    /* Revision in effect at every balancer of the domain */
    uint64_t floor;
    /* Revision in effect at every balancer that "waiting" does not list */
    uint64_t others;
    uint64_t revision; /* newest revision that the reporter knows */
    /* Balancers of the domain, the writer included */
    uint32_t members;
    size_t waiting_count;
    /* Number of further hosts, for which "waiting" has no room */
    uint32_t waiting_more;
    struct report_waiting_host waiting[REPORT_WAITING_MAX];
};

struct report;

struct report_callbacks {
    gossip_send_cb send;
    /* Writes the status to the platform's store. "status" is valid during the
     * call. The owner calls report_on_write_done() after the write. */
    void (*write)(void *ctx, const struct domain_status *status);
    void *ctx;
};

/* Copies "cb"; the other arguments stay owned by the caller and must outlive
 * the result. Returns NULL when out of memory; release the result with
 * report_destroy(). */
struct report *report_new(struct membership *ms, struct config_sync *sync,
                          const struct config_store *cs,
                          const struct domain_min_revisions *floors,
                          const struct report_callbacks *cb,
                          struct random *random);
void report_destroy(struct report *rp);

/* The data task of this balancer has applied everything up to "revision". */
void report_applied(struct report *rp, uint64_t revision);
/* Handles a message of the kind GOSSIP_REPORT; ignores other kinds. */
void report_receive(struct report *rp, const struct gossip_message *m);
/* To be called regularly. "now" is the monotonic clock and "wall" the wall
 * clock, in us. */
void report_tick(struct report *rp, uint64_t now, uint64_t wall);

/* Handles the status of this balancer's domain as read from the platform's
 * store. It may have been written by another reporter that waited for hosts
 * unknown to this one. The hosts that it lists as dead become members to wait
 * for. */
void report_on_stored_status(struct report *rp,
                             const struct domain_status *status, uint64_t now);
/* The write of a status has ended. A failed write is repeated later. */
void report_on_write_done(struct report *rp, bool written, uint64_t now);

/* Whether this balancer is the reporter of its domain. */
bool report_is_reporter(const struct report *rp);
/* Fills in the current status of this balancer's domain, whether or not this
 * balancer is the reporter. */
void report_status(const struct report *rp, struct domain_status *status,
                   uint64_t now, uint64_t wall);
