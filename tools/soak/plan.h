#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>

/* The faults of one soak, drawn from a seed, or read from a file that an
 * earlier one wrote. */

enum fault_kind {
    FAULT_STORE_SILENT,   /* the store answers nobody */
    FAULT_STORE_BUSY,     /* it turns all away */
    FAULT_STORE_SLOW,     /* its answers take long */
    FAULT_STORE_LOST,     /* its answers are lost, what it was asked is done */
    FAULT_STORE_RESET,    /* its connections end */
    FAULT_STORE_QUIET,    /* they go silent for good, new ones work */
    FAULT_STORE_COMPACT,  /* it forgets its history */
    FAULT_STORE_STALE,    /* reads that may be old are far behind */
    FAULT_STORE_LAPSE,    /* silent, and all entries lapse meanwhile */
    FAULT_STORE_ONE,      /* silent for one balancer */
    FAULT_GOSSIP_CUT,     /* one balancer and its peers lose each other */
    FAULT_GOSSIP_DEAF,    /* it no longer hears its peers */
    FAULT_GOSSIP_MUTE,    /* they no longer hear it */
    FAULT_GOSSIP_QUIET,   /* all connections go silent for good */
    FAULT_GOSSIP_SLOW,    /* messages take long */
    FAULT_HOST_CUT,       /* one balancer loses its peers and the store */
    FAULT_PACKETS_HARMED, /* callers' packets are lost, doubled, overtaken */
    FAULT_TARGET_HARMED,  /* the same towards a target */
    FAULT_TARGET_CUT,     /* a target gets no packets */
    FAULT_TARGET_KILL,
    FAULT_TARGET_PAUSE,
    FAULT_TARGET_REUSE, /* two end, and their addresses change the service */
    FAULT_RELEASE,      /* all targets of a service are replaced in turn */
    FAULT_SCALE_IN,     /* a target is drained and ends */
    FAULT_KILL,         /* a balancer */
    FAULT_KILL_ALL,
    FAULT_PAUSE,
    FAULT_ROLL, /* all balancers are stopped and started in turn */
    FAULT_CONFIG,
    FAULT_CONFIG_STORM,
    FAULT_HANGUP, /* the settings file is written anew */
    FAULT_COUNT,
};

struct fault {
    uint64_t at_ms;
    enum fault_kind kind;
    unsigned subject; /* which balancer or target, modulo their number */
    uint64_t for_ms;
};

struct plan {
    uint64_t seed;
    uint64_t length_ms;
    GArray *faults; /* struct fault, in order of time */
};

const char *fault_name(enum fault_kind kind);
struct plan *plan_new(uint64_t seed, uint64_t length_ms);
/* Returns NULL when the file cannot be read as a plan. */
struct plan *plan_read(const char *path);
void plan_write(const struct plan *plan, FILE *out);
void plan_destroy(struct plan *plan);
