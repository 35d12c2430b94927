#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "coordination/membership.h"
#include "coordination/spread.h"

/* What is in force. Each balancer reports the revision that its data task
 * runs to the reporter of its failure domain: the member that ranks first by
 * rendezvous hash. In a large domain the reports go by way of a few members
 * that bundle them. The reporter keeps the domain's status in the platform's
 * store up to date and its floor among the balancers. Two reporters at once
 * are harmless: a floor says what is true of all members known, and only
 * rises. */

#define REPORT_WAITING_MAX 32 /* hosts listed in a status */

/* A host that does not have everything in force. */
struct report_waiting {
    char host[ID_SIZE];
    enum member_state state;
    bool reported;     /* "applied" was reported; else it is a lower bound */
    uint64_t applied;  /* revision that it has in force */
    uint64_t since_us; /* wall clock */
};

struct domain_status {
    char domain[ID_SIZE];
    char writer[ID_SIZE];
    uint64_t time_us;  /* wall clock of the write */
    uint64_t floor;    /* in force at every balancer of the domain */
    uint64_t others;   /* the same, but for the hosts that are waited for */
    uint64_t revision; /* newest that the reporter knows */
    uint32_t members;
    size_t waiting_count;
    uint32_t waiting_more; /* hosts that the list has no room for */
    struct report_waiting waiting[REPORT_WAITING_MAX];
};

struct report;

struct report_callbacks {
    gossip_send_cb send;
    /* Writes the status to the platform's store. report_written() ends it. */
    void (*write)(void *ctx, const struct domain_status *status);
    void *ctx;
};

/* The other parts stay the caller's and must outlive it. Returns NULL when
 * memory is short. */
struct report *report_new(struct membership *ms, struct spread *sp,
                          const struct config_store *cs,
                          const struct domain_floors *floors,
                          const struct report_callbacks *cb,
                          struct random *random);
void report_destroy(struct report *rp);

/* The data task runs everything up to a revision. */
void report_applied(struct report *rp, uint64_t revision);
/* Handles REPORT. */
void report_receive(struct report *rp, const struct gossip_message *m);
/* "wall" is the wall clock, us. */
void report_tick(struct report *rp, uint64_t now, uint64_t wall);

/* The status of the own domain as the platform's store has it: an earlier
 * reporter may wait for hosts that this one never saw. */
void report_seen(struct report *rp, const struct domain_status *status,
                 uint64_t now);
void report_written(struct report *rp, bool written, uint64_t now);

bool report_is_reporter(const struct report *rp);
/* The status as of now, whether or not this balancer is the reporter. */
void report_status(const struct report *rp, struct domain_status *status,
                   uint64_t now, uint64_t wall);
