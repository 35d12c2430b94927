#pragma once

#include <stddef.h>
#include <stdint.h>

#include "base/store-position.h"

/* Which target a cookie names. Packets of open flows carry nothing else, so no
 * two targets share a cookie: where the hashes of two ids are equal, the
 * target that is learned of later gets a hash of another form, of which its
 * record keeps the number ("cookie_form"). A target keeps its form for good,
 * also when the other one is gone: an entry that is removed does not tell
 * whether its target lives. Peers and the snapshot tell a balancer that starts
 * of the forms, since the entries in the store do not show them. */

struct cookie_owners;
struct forward_target;

/* The result is released with cookie_owners_destroy(). */
struct cookie_owners *cookie_owners_new(void);
/* Does nothing for NULL. Targets are not owned. */
void cookie_owners_destroy(struct cookie_owners *owners);

/* Gives a target a cookie of its own, of the form of its record or a higher
 * one, unless it has such a cookie. Of two targets whose entries were created
 * after the position "since", up to which the caller knew all entries, the
 * older one gets the lower form, in whatever order they are added. */
void cookie_owners_add(struct cookie_owners *owners,
                       struct forward_target *target,
                       struct store_position since);
/* Removes a target, before its memory is freed. */
void cookie_owners_remove(struct cookie_owners *owners,
                          struct forward_target *target);
/* Returns NULL when no target has the cookie. */
struct forward_target *cookie_owners_find(const struct cookie_owners *owners,
                                          uint32_t cookie);
/* Number of targets whose cookie is not of the first form. */
size_t cookie_owners_other_forms(const struct cookie_owners *owners);
/* How often a target did not get the cookie of a form because another one had
 * it. */
uint64_t cookie_owners_conflicts(const struct cookie_owners *owners);
