#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ctl/ctl-api.h"
#include "state/resource-name.h"
#include "state/resource.h"

/* Parts of the ctl command. */

/* Exit statuses; they are described in pimentohaven-ctl(1). */
enum ctl_exit {
    CTL_OK = 0,
    CTL_REFUSED = 1,     /* refused, nothing was changed */
    CTL_USAGE = 2,       /* wrong usage */
    CTL_CONFLICT = 3,    /* another operator was faster */
    CTL_UNREACHABLE = 4, /* no balancer, or no store, in time */
    CTL_NOT_YET = 5,     /* accepted, but not in force in time */
    CTL_UNKNOWN = 6,     /* a write whose outcome cannot be told */
};

enum ctl_output {
    CTL_TABLE,
    CTL_JSON,
};

struct ctl {
    struct ctl_api api;
    enum ctl_output output;
    bool wait;         /* until in force in every failure domain */
    uint64_t revision; /* the newest of the writes made */
};

/* Name of a resource, "service/rigctl", and its path in the API. */
#define CTL_PATH_SIZE 256 /* bytes */
bool ctl_resource_path(const char *name, char out[CTL_PATH_SIZE]);

/* ctl-write.c */

/* Reads a resource. Returns CTL_OK with "exists" false for a 404. */
enum ctl_exit ctl_read(struct ctl *ctl, struct resource *r, bool *exists);
/* Writes a resource as the successor of "version", 0 to create it. */
enum ctl_exit ctl_write(struct ctl *ctl, const struct resource *r,
                        uint64_t version, uint64_t *new_version);
enum ctl_exit ctl_delete(struct ctl *ctl, const char *name);
/* Declares a target or a host draining or active. */
enum ctl_exit ctl_set_state(struct ctl *ctl, const char *name,
                            enum admin_state state);

/* ctl-apply.c */
enum ctl_exit ctl_apply(struct ctl *ctl, const char *path);

/* ctl-show.c */
enum ctl_exit ctl_get(struct ctl *ctl, const char *what);
enum ctl_exit ctl_events(struct ctl *ctl, uint64_t after, bool follow);
enum ctl_exit ctl_metrics(struct ctl *ctl);
/* Prints the message of an answer that is an error, and maps it. */
enum ctl_exit ctl_report_error(const char *subject,
                               const struct ctl_answer *answer);

/* ctl-status.c */
enum ctl_exit ctl_status(struct ctl *ctl);
/* Waits until a revision, or for 0 the newest one that the balancer knows, is
 * in force in every failure domain, or the time is up. */
enum ctl_exit ctl_wait_in_force(struct ctl *ctl, uint64_t revision);

/* ctl-rotate.c */
/* Adds a key, makes it the one that seals once it is in force everywhere and,
 * unless the time is 0, retires the others after it. */
enum ctl_exit ctl_rotate_keys(struct ctl *ctl, uint64_t retire_after_s);
/* Retires all keys but the one that seals. */
enum ctl_exit ctl_retire_keys(struct ctl *ctl);
