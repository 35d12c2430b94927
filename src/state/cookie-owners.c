#include "state/cookie-owners.h"

#include <stdbool.h>

#include <glib.h>

#include "state/forward-view.h"

struct cookie_owners {
    GHashTable *targets; /* cookie -> struct forward_target */
    size_t other_forms;  /* targets with a form other than 0 */
    uint64_t conflicts;  /* see cookie_owners_conflicts() */
};

struct cookie_owners *
cookie_owners_new(void)
{
    struct cookie_owners *owners = g_new0(struct cookie_owners, 1);

    owners->targets = g_hash_table_new(g_direct_hash, g_direct_equal);
    return owners;
}

void
cookie_owners_destroy(struct cookie_owners *owners)
{
    if (owners == NULL) {
        return;
    }
    g_hash_table_destroy(owners->targets);
    g_free(owners);
}

struct forward_target *
cookie_owners_find(const struct cookie_owners *owners, uint32_t cookie)
{
    return g_hash_table_lookup(owners->targets, GUINT_TO_POINTER(cookie));
}

size_t
cookie_owners_other_forms(const struct cookie_owners *owners)
{
    return owners->other_forms;
}

uint64_t
cookie_owners_conflicts(const struct cookie_owners *owners)
{
    return owners->conflicts;
}

static void
set_owner(struct cookie_owners *owners, struct forward_target *target,
          uint32_t cookie, unsigned form)
{
    g_hash_table_insert(owners->targets, GUINT_TO_POINTER(cookie), target);
    target->cookie = cookie;
    target->cookie_form = (uint8_t)form;
    target->record.cookie_form = (uint8_t)form;
    owners->other_forms += form > 0;
}

void
cookie_owners_remove(struct cookie_owners *owners,
                     struct forward_target *target)
{
    if (target->cookie != 0) {
        g_hash_table_remove(owners->targets, GUINT_TO_POINTER(target->cookie));
        owners->other_forms -= target->cookie_form > 0;
        target->cookie = 0;
    }
}

/* Whether the entry of "a" is older: by the starts that the targets state, or
 * else by its creation. */
static bool
is_older(const struct target_record *a, const struct target_record *b)
{
    if (a->born != 0 && b->born != 0 && a->born != b->born) {
        return a->born < b->born;
    }
    return store_position_is_after(b->created, a->created);
}

/* Gives a target the first free form from "form" on. A target that loses its
 * cookie to an older one gets its next free form. When all forms are taken, a
 * target has no cookie. */
static void
assign_form(struct cookie_owners *owners, struct forward_target *target,
            unsigned form, struct store_position since)
{
    for (; form <= UINT8_MAX; form++) {
        uint32_t cookie = forward_cookie_of(target->record.id, form);
        struct forward_target *owner = cookie_owners_find(owners, cookie);

        if (owner == NULL) {
            set_owner(owners, target, cookie, form);
            return;
        }
        owners->conflicts++;
        if (store_position_is_after(owner->record.created, since) &&
            is_older(&target->record, &owner->record)) {
            unsigned owner_form = owner->cookie_form;

            cookie_owners_remove(owners, owner);
            set_owner(owners, target, cookie, form);
            target = owner;
            form = owner_form;
        }
    }
}

void
cookie_owners_add(struct cookie_owners *owners, struct forward_target *target,
                  struct store_position since)
{
    unsigned form = target->record.cookie_form;

    if (target->cookie != 0 && target->cookie_form >= form) {
        target->record.cookie_form = target->cookie_form;
        return;
    }
    cookie_owners_remove(owners, target);
    assign_form(owners, target, form, since);
}
