#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ctl/ctl-api.h"
#include "state/resource-name.h"
#include "state/resource.h"

/* Functions of the "ctl" subcommand, by source file. They print results to
 * standard output and errors to standard error, and return the exit status of
 * the command. */

/* Exit statuses; they are described in pimentohaven-ctl(1). */
enum ctl_exit {
    CTL_OK = 0,
    CTL_REFUSED = 1,     /* a request was refused and changed nothing; earlier
                          * writes of the same command stay */
    CTL_USAGE = 2,       /* invalid command line */
    CTL_CONFLICT = 3,    /* another operator's write was accepted first */
    CTL_UNREACHABLE = 4, /* balancer or store unreachable until the timeout */
    CTL_WAIT_TIMED_OUT = 5,  /* not in effect everywhere at the timeout */
    CTL_OUTCOME_UNKNOWN = 6, /* a write may or may not have been accepted */
};

enum ctl_output {
    CTL_TABLE,
    CTL_JSON,
};

struct ctl {
    struct ctl_api api;
    enum ctl_output output;
    /* --wait: wait until the change is in effect in every failure domain. */
    bool wait;
    /* Highest store revision in the answers to this command's accepted writes,
     * 0: none. */
    uint64_t revision;
};

#define CTL_PATH_SIZE 256 /* bytes of an API path with the final NUL */

/* Translates a resource name such as "service/rigctl" into its API path.
 * Returns false when "name" is not a valid resource name. */
bool ctl_resource_path(const char *name, char out[CTL_PATH_SIZE]);

/* ctl-write.c */

/* Reads the resource whose kind, id and (for a target) service are set in
 * "r", and fills in the rest. Returns CTL_OK with "exists" false when the API
 * answers 404. */
enum ctl_exit ctl_read(struct ctl *ctl, struct resource *r, bool *exists);
/* Replaces version "version" of a resource, or creates the resource when
 * "version" is 0. Fails with CTL_CONFLICT when the stored version is another
 * one. On success sets "new_version". */
enum ctl_exit ctl_write(struct ctl *ctl, const struct resource *r,
                        uint64_t version, uint64_t *new_version);
/* Reads a resource and deletes it, unless its version changes in between. */
enum ctl_exit ctl_delete(struct ctl *ctl, const char *name);
/* Sets the administrative state of a target or host: draining or active. */
enum ctl_exit ctl_set_state(struct ctl *ctl, const char *name,
                            enum admin_state state);

/* ctl-apply.c */

/* Creates or updates all resources of a YAML file, "-" for standard input.
 * Writes nothing when one of its documents is invalid. Stops at the first
 * resource that cannot be written; those before it stay changed. */
enum ctl_exit ctl_apply(struct ctl *ctl, const char *path);

/* ctl-show.c */

/* Prints a list ("services", "targets/rigctl") or one resource
 * ("service/rigctl"). */
enum ctl_exit ctl_get(struct ctl *ctl, const char *what);
/* Prints the events with a number greater than "after". With "follow" polls
 * for new events until a request fails. */
enum ctl_exit ctl_events(struct ctl *ctl, uint64_t after, bool follow);
enum ctl_exit ctl_metrics(struct ctl *ctl);
/* Prints the message of an error response after "subject", and returns the
 * exit status for its HTTP status. */
enum ctl_exit ctl_report_error(const char *subject,
                               const struct ctl_answer *answer);

/* ctl-status.c */

/* Prints for each failure domain whether the newest revision is in effect.
 * With --wait, waits for that first. */
enum ctl_exit ctl_status(struct ctl *ctl);
/* Waits until a revision is in effect in every failure domain. Revision 0
 * stands for the newest one that the balancer knows. Returns
 * CTL_WAIT_TIMED_OUT when this takes longer than the time limit of the
 * command. */
enum ctl_exit ctl_wait_in_effect(struct ctl *ctl, uint64_t revision);

/* ctl-rotate.c */

/* Adds a key to the key ring and, once that is in effect in every failure
 * domain, makes it the key that seals new tokens. Unless "retire_after_s" is
 * 0, sleeps for that many seconds and then retires all other keys. */
enum ctl_exit ctl_rotate_keys(struct ctl *ctl, uint64_t retire_after_s);
/* Removes all keys except the one that seals new tokens. */
enum ctl_exit ctl_retire_keys(struct ctl *ctl);
