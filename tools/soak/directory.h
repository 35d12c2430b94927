#pragma once

#include "soak.h"

/* Writes to the store what the platform's operator and the targets write, and
 * sends control requests to the store stand-in and to the TCP links. All
 * requests run in the background; the soak exits with a message if a stand-in
 * does not accept one. */

/* Writes the configuration with "soak->services" and reports it to the
 * checker. */
void directory_write_config(struct soak *soak);
/* Writes a target's entry, ready or draining as "t" says, and reports it to
 * the checker. */
void directory_write_target(struct target_process *t);
/* Writes the order to empty a failure domain, or takes it back, as
 * "soak->emptied" says, and reports it to the checker. */
void directory_write_order(struct soak *soak, unsigned domain);
/* Writes an item that cannot be read, or an entry with a value that cannot, of
 * the kind that "kind" draws; or removes it. */
void directory_write_odd_item(struct soak *soak, unsigned kind);
void directory_remove_odd_item(struct soak *soak, unsigned kind);
/* Deletes a target's entry. "leaving": the target does not come back, which is
 * reported to the checker. */
void directory_remove_target(struct target_process *t, bool leaving);
/* Cancels the requests that are in progress. */
void directory_cancel_requests(struct soak *soak);
/* Sends a control request to the store stand-in, such as {"compact":true}. */
void directory_control_store(struct soak *soak, const char *json);
/* Sends a control request, such as {"cut":"silent"}, to the link that listens
 * on "listen" ("a.b.c.d:port"); "all": to all links. */
void directory_control_links(struct soak *soak, const char *listen,
                             const char *json);
