#include "coordination/opening-admission.h"

#include <stdlib.h>

#include <glib.h>

#include "coordination/rate-meter.h"

/* Maximum number of services; openings of others are admitted. */
#define SERVICES_MAX 32
/* Utilizations of all targets by all callers at which refusing begins, after
 * it has lasted for HOLD_US, and ends. */
#define REFUSING_BEGIN 1.4
#define REFUSING_END 1.1
#define HOLD_US (200 * USEC_PER_MSEC)
/* Utilization that the admitted openings make. Above 1, because the queues of
 * the targets level out what comes at random, and a target without work is a
 * loss for all classes. */
#define ADMITTED_UTILIZATION 1.4
/* Utilization below which the time that a request takes is believed. Above it
 * contains waits. */
#define CALM_UTILIZATION 0.4
/* Part of the requests that must come on new flows. */
#define NEW_FLOWS_MIN 0.5
/* Maximum age of the last tick of the load. */
#define STATE_AGE_MAX_US DOMAIN_LOAD_AGE_MAX_US

struct admission_service {
    const char *name; /* interned */
    struct rate_meter openings[OPENING_CLASSES];
    double admitted[OPENING_CLASSES]; /* part of the openings, 0 to 1 */
    double calm_time_us; /* that a request takes at low load; 0: unknown */
    uint64_t updated_at;
    uint64_t over_since; /* 0: utilization is below REFUSING_BEGIN */
    bool refusing;
};

struct opening_admission {
    GHashTable *services; /* name -> struct admission_service */
    void (*changed)(void *ctx, const char *service, bool refusing,
                    double utilization);
    void *changed_ctx;
};

struct opening_admission *
opening_admission_new(void)
{
    struct opening_admission *a = calloc(1, sizeof(*a));

    if (a != NULL) {
        a->services =
            g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    }
    return a;
}

void
opening_admission_destroy(struct opening_admission *a)
{
    if (a == NULL) {
        return;
    }
    g_hash_table_destroy(a->services);
    free(a);
}

void
opening_admission_on_change(struct opening_admission *a,
                            void (*cb)(void *ctx, const char *service,
                                       bool refusing, double utilization),
                            void *ctx)
{
    a->changed = cb;
    a->changed_ctx = ctx;
}

size_t
opening_class(const struct route_record *route)
{
    size_t priority = route->priority < OPENING_PRIORITIES
                          ? route->priority
                          : OPENING_PRIORITIES - 1;

    return 2 * priority + (route->repeatable ? 1 : 0);
}

/* Finds or adds a service. Returns NULL when there are too many. */
static struct admission_service *
get_service(struct opening_admission *a, const char *name)
{
    struct admission_service *s = g_hash_table_lookup(a->services, name);

    if (s != NULL || g_hash_table_size(a->services) == SERVICES_MAX) {
        return s;
    }
    s = g_new0(struct admission_service, 1);
    s->name = name;
    for (size_t i = 0; i < OPENING_CLASSES; i++) {
        s->admitted[i] = 1.0;
    }
    g_hash_table_insert(a->services, (gpointer)name, s);
    return s;
}

bool
opening_admission_is_due(const struct opening_admission *a,
                         const char *service, uint64_t now)
{
    const struct admission_service *s =
        g_hash_table_lookup(a->services, service);

    return s == NULL || now - s->updated_at >= OPENING_UPDATE_US;
}

/* Returns the utilization of the targets by all callers, computed with the
 * time that a request takes at low load; 0 when it cannot be relied on. */
static double
reliable_utilization(struct admission_service *s,
                     const struct domain_load_state *state)
{
    double utilization;

    if (state == NULL || state->age_us > STATE_AGE_MAX_US ||
        state->measuring_us < OPENING_MEASURING_US || state->time_us <= 0.0 ||
        state->room <= 0.0 || state->new_flows < NEW_FLOWS_MIN) {
        return 0;
    }
    utilization = state->demand / state->room;
    if (utilization > 0.0 && utilization < CALM_UTILIZATION) {
        s->calm_time_us = state->time_us;
    }
    return s->calm_time_us <= 0.0
               ? 0
               : utilization * s->calm_time_us / state->time_us;
}

static void
set_refusing(struct opening_admission *a, struct admission_service *s,
             bool refusing, double utilization)
{
    if (s->refusing == refusing) {
        return;
    }
    s->refusing = refusing;
    if (a->changed != NULL) {
        a->changed(a->changed_ctx, s->name, refusing, utilization);
    }
}

/* Gives the part of the openings that fits to the classes in their order. */
static void
divide(struct admission_service *s, double part, uint64_t now)
{
    double counts[OPENING_CLASSES];
    double left = 0;

    for (size_t i = 0; i < OPENING_CLASSES; i++) {
        counts[i] = rate_meter_count(&s->openings[i], RATE_METER_BUCKETS, now);
        left += part * counts[i];
    }
    for (size_t i = 0; i < OPENING_CLASSES; i++) {
        if (counts[i] <= left) {
            s->admitted[i] = 1.0;
            left -= counts[i];
        }
        else {
            s->admitted[i] = left / counts[i];
            left = 0;
        }
    }
}

void
opening_admission_update(struct opening_admission *a, const char *service,
                         const struct domain_load_state *state, uint64_t now)
{
    struct admission_service *s = get_service(a, service);
    double utilization;
    double part;

    if (s == NULL) {
        return;
    }
    s->updated_at = now;
    utilization = reliable_utilization(s, state);
    if (utilization < REFUSING_BEGIN) {
        s->over_since = 0;
    }
    else if (s->over_since == 0) {
        s->over_since = now;
    }
    if (s->refusing) {
        set_refusing(a, s, utilization > REFUSING_END, utilization);
    }
    else {
        set_refusing(a, s,
                     s->over_since != 0 && now - s->over_since >= HOLD_US,
                     utilization);
    }
    part = s->refusing && utilization > ADMITTED_UTILIZATION
               ? ADMITTED_UTILIZATION / utilization
               : 1.0;
    divide(s, part, now);
}

bool
opening_admission_admits(struct opening_admission *a, const char *service,
                         const struct route_record *route,
                         struct random *random, uint64_t now)
{
    struct admission_service *s = get_service(a, service);
    size_t class = opening_class(route);

    if (s == NULL) {
        return true;
    }
    rate_meter_add(&s->openings[class], now);
    /* The load is known for all domains together only. */
    return !s->refusing || route->regions != NULL ||
           now - s->updated_at > STATE_AGE_MAX_US ||
           s->admitted[class] >= 1.0 ||
           random_unit(random) < s->admitted[class];
}
