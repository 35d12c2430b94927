#pragma once

#include "soak.h"

/* Starts a program whose output is read line by line, or goes to NAME.log in
 * the work folder when "on_line" is NULL. "argv" ends with NULL; "settings" is
 * the path of a balancer's settings file, or NULL. Exits with a message when
 * it cannot. */
void child_start(struct soak *soak, struct child *child, char **argv,
                 const char *settings);
/* Tells it to end. */
void child_stop(struct child *child);
void child_kill(struct child *child);
void child_signal(const struct child *child, int signal);
/* Collects those that have ended. */
void children_reap(struct soak *soak);
/* Ends all that still run. */
void children_end(struct soak *soak);
/* Checks memory, descriptors and the log of a balancer. */
void child_check_size(struct soak *soak, const struct child *child);
