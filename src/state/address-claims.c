#include "state/address-claims.h"

#include <string.h>

#include <xxhash.h>

struct address_claims {
    /* Address and port -> claimant, struct forward_target, NULL: none */
    GHashTable *touched;
    bool all_touched;
    /* Interned name of a service -> number of routes that name it */
    GHashTable *services;
};

static guint
hash_address(gconstpointer key)
{
    uint64_t value;

    memcpy(&value, key, sizeof(value));
    return (guint)XXH64(&value, sizeof(value), 0);
}

static uint64_t
address_key(const struct target_record *record)
{
    return (uint64_t)record->addr << 16 | record->port;
}

struct address_claims *
address_claims_new(void)
{
    struct address_claims *claims = g_new0(struct address_claims, 1);

    claims->touched =
        g_hash_table_new_full(hash_address, g_int64_equal, g_free, NULL);
    claims->services = g_hash_table_new(g_direct_hash, g_direct_equal);
    return claims;
}

void
address_claims_destroy(struct address_claims *claims)
{
    g_hash_table_destroy(claims->touched);
    g_hash_table_destroy(claims->services);
    g_free(claims);
}

/* Adds the route of a record to those that name its services, or with -1 takes
 * it away. A service that is named or no longer named may change any claim. */
static void
count_route(struct address_claims *claims, const struct route_record *record,
            int change)
{
    for (size_t i = 0;
         !record->removed && i < route_record_share_count(record); i++) {
        gpointer name = (gpointer)route_record_share(record, i)->service;
        int count =
            GPOINTER_TO_INT(g_hash_table_lookup(claims->services, name));

        if (count == 0 || count + change == 0) {
            claims->all_touched = true;
        }
        if (count + change == 0) {
            g_hash_table_remove(claims->services, name);
        }
        else {
            g_hash_table_insert(claims->services, name,
                                GINT_TO_POINTER(count + change));
        }
    }
}

void
address_claims_change_route(struct address_claims *claims,
                            const struct route_record *before,
                            const struct route_record *after)
{
    count_route(claims, after, 1);
    count_route(claims, before, -1);
}

bool
address_claims_has_service(const struct address_claims *claims,
                           const char *service)
{
    return g_hash_table_contains(claims->services, service);
}

void
address_claims_touch(struct address_claims *claims,
                     const struct target_record *record)
{
    uint64_t key = address_key(record);

    if (record->addr != 0 && !g_hash_table_contains(claims->touched, &key)) {
        g_hash_table_insert(claims->touched, g_memdup2(&key, sizeof(key)),
                            NULL);
    }
}

static bool
may_claim(const struct address_claims *claims,
          const struct forward_target *target)
{
    return target->presence != TARGET_GONE &&
           target->record.kind == RECORD_TARGET &&
           address_claims_has_service(claims, target->record.service);
}

/* Makes a target the claimant of its address if it is the newest one there. */
static void
add_claimant(struct address_claims *claims, struct forward_target *target)
{
    uint64_t key = address_key(&target->record);
    gpointer value;
    const struct forward_target *known;

    if (!g_hash_table_lookup_extended(claims->touched, &key, NULL, &value)) {
        return;
    }
    known = value;
    if (known == NULL || store_position_is_after(target->record.created,
                                                 known->record.created)) {
        g_hash_table_insert(claims->touched, g_memdup2(&key, sizeof(key)),
                            target);
    }
}

/* Whether the entry of "claimant" was created after the last one that the
 * target itself has written. */
static bool
is_claimed_by(const struct forward_target *target,
              const struct forward_target *claimant)
{
    const struct target_record *record = &target->record;
    struct store_position written =
        record->removed ? record->created : record->position;

    return claimant != NULL && claimant != target &&
           written.era == claimant->record.created.era &&
           store_position_is_after(claimant->record.created, written);
}

/* Returns whether the target loses its address. */
static bool
set_claim(struct forward_target *target, const struct forward_target *claimant,
          uint64_t now)
{
    if (!is_claimed_by(target, claimant)) {
        target->claimed_at = 0;
        return false;
    }
    if (target->claimed_at != 0 &&
        store_position_equal(target->claimed_by, claimant->record.created)) {
        return false;
    }
    target->claimed_at = now;
    target->claimed_by = claimant->record.created;
    return true;
}

static void
touch_all(struct address_claims *claims, GHashTable *targets)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct forward_target *target = value;

        address_claims_touch(claims, &target->record);
    }
}

static void
find_claimants(struct address_claims *claims, GHashTable *targets)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (may_claim(claims, value)) {
            add_claimant(claims, value);
        }
    }
}

void
address_claims_update(struct address_claims *claims, GHashTable *targets,
                      void (*lost)(void *ctx, struct forward_target *target),
                      void *ctx, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    if (claims->all_touched) {
        touch_all(claims, targets);
        claims->all_touched = false;
    }
    if (g_hash_table_size(claims->touched) == 0) {
        return;
    }
    find_claimants(claims, targets);
    g_hash_table_iter_init(&iter, targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct forward_target *target = value;
        uint64_t key = address_key(&target->record);
        gpointer claimant;

        if (g_hash_table_lookup_extended(claims->touched, &key, NULL,
                                         &claimant) &&
            set_claim(target, claimant, now)) {
            lost(ctx, target);
        }
    }
    g_hash_table_remove_all(claims->touched);
}
