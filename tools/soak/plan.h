#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>

/* The faults of one soak: drawn from a seed, or read from a plan file that an
 * earlier soak wrote. */

/* fault_begin() tests for ranges of these values, so their order matters. */
enum fault_kind {
    FAULT_STORE_SILENT,  /* no connection to the store passes data */
    FAULT_STORE_BUSY,    /* the store answers all requests with 503 */
    FAULT_STORE_SLOW,    /* connections to the store pass data late */
    FAULT_STORE_LOST,    /* the store carries out requests, but its answers are
                            lost */
    FAULT_STORE_RESET,   /* connections to the store are closed, new ones too
                          */
    FAULT_STORE_QUIET,   /* open connections to the store pass no more data;
                            new ones work */
    FAULT_STORE_COMPACT, /* the store compacts its history */
    FAULT_STORE_STALE,   /* serializable reads return old data */
    FAULT_STORE_LAPSE,   /* no connection to the store passes data, and the
                            entries of all targets expire meanwhile */
    FAULT_STORE_RESTORED, /* the store is silent and then returns from a copy
                             that is some seconds old; what was written since
                             is written again later */
    FAULT_STORE_ONE,      /* the connections of one balancer to the store pass
                             no data */
    FAULT_GOSSIP_CUT,     /* one balancer and its peers cannot reach each other
                           */
    FAULT_GOSSIP_DEAF,    /* one balancer receives nothing on the connections
                             that its peers opened */
    FAULT_GOSSIP_MUTE,    /* peers receive nothing on the connections that one
                             balancer opened */
    FAULT_GOSSIP_QUIET,   /* open connections between peers pass no more data;
                             new ones work */
    FAULT_GOSSIP_SLOW,    /* connections between peers pass data late */
    FAULT_HOST_CUT,       /* one balancer reaches neither its peers nor the
                             store */
    FAULT_PACKETS_HARMED, /* packets from callers to one balancer are lost,
                             duplicated and reordered */
    FAULT_TARGET_HARMED,  /* packets from balancers to one target are lost,
                             duplicated and reordered */
    FAULT_TARGET_CUT,     /* one target receives no packets */
    FAULT_TARGET_KILL,    /* one target is killed and replaced later */
    FAULT_TARGET_STALL, /* the same for all targets, one after the other: each
                           stands still for less than a second, as on a busy
                           machine, which excuses nothing */
    FAULT_TARGET_PAUSE, /* one target is paused */
    FAULT_TARGET_REUSE, /* one target of each service is drained, and its
                           address is given to a target of the other service
                         */
    FAULT_RELEASE,      /* all targets of a service are replaced one by one
                         */
    FAULT_SCALE_IN,     /* one target is drained and replaced; the duration is
                           ignored */
    FAULT_KILL,         /* one balancer is killed and restarted later */
    FAULT_KILL_ALL,     /* all balancers are killed at once and restarted
                         later */
    FAULT_PAUSE,        /* one balancer is paused */
    FAULT_ROLL,         /* rolling restart: all balancers are stopped one after
                           the other and restarted */
    FAULT_CONFIG,       /* one route gets another service, is removed or is
                           added again */
    FAULT_CONFIG_STORM, /* the configuration changes ten times a second */
    FAULT_DOMAIN_EMPTIED, /* the operator empties a failure domain, and takes
                             it back later */
    FAULT_HANGUP, /* one balancer's settings file is rewritten, with SIGHUP */
    FAULT_UNROUTED, /* the router takes one balancer out of rotation, which
                       runs all the while and is not told */
    FAULT_ODD_ITEM, /* another writer leaves an item in the store that cannot
                       be read, which excuses nothing; the subject draws its
                       kind */
    FAULT_COUNT,
};

struct fault {
    uint64_t at_ms; /* since the start of the soak */
    enum fault_kind kind;
    unsigned subject; /* modulo the number of balancers, target addresses or
                         services: index of the affected one; if a target is
                         not eligible, the next eligible one is affected */
    uint64_t duration_ms; /* 0 for kinds that have no duration */
};

struct plan {
    uint64_t seed;
    uint64_t length_ms; /* no fault starts after this time */
    GArray *faults;     /* struct fault, sorted by time */
};

/* Name of a kind of fault in plan files. */
const char *fault_name(enum fault_kind kind);
/* Draws a plan; the same arguments give the same plan. The caller owns it. */
struct plan *plan_new(uint64_t seed, uint64_t length_ms);
/* Reads a plan file. Returns NULL if it cannot be read or is malformed. The
 * caller owns the plan. */
struct plan *plan_read(const char *path);
void plan_write(const struct plan *plan, FILE *out);
void plan_destroy(struct plan *plan);
