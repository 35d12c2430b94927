#pragma once

#include "soak.h"

/* Starts a program and adds "child" to soak->children, which does not own it.
 * The output is read line by line if "on_line" is set, else it goes to
 * NAME.log in the work directory. "argv" ends with NULL; "settings" is the
 * path of a balancer's settings file, or NULL. Exits with a message if the
 * program cannot be started. */
void child_start(struct soak *soak, struct child *child, char **argv,
                 const char *settings);
/* Sends SIGTERM. The process must then exit with status 0 within
 * STOP_GRACE_S. */
void child_stop(struct child *child);
/* Sends SIGKILL. */
void child_kill(struct child *child);
/* Sends a signal if the process runs. */
void child_signal(const struct child *child, int signal);
/* Collects the children that have ended, checks how they ended and calls their
 * "on_exit". */
void children_reap(struct soak *soak);
/* Kills all children that run and waits for them. Their "on_exit" is not
 * called. */
void children_kill(struct soak *soak);
/* Checks that memory, open descriptors and log size of a balancer are within
 * limits; reports PROMISE_BOUNDED if not. */
void child_check_limits(struct soak *soak, const struct child *child);
