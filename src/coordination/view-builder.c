#include "coordination/view-builder.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TARGET_HASH_MASK 0xffffffU /* a token carries 24 bits of the hash */
#define CAPACITY_INITIAL 64        /* number of entries of a new array */

/* A target of one of the view's services, and the reason to leave it out. */
struct candidate {
    struct target_view view;
    size_t service;                     /* index in builder.services */
    struct view_quarantine *quarantine; /* owned; NULL: not in quarantine */
};

struct builder {
    const struct config_store *cs;
    const struct domain_min_revisions *floors;
    const char *domain;
    struct service_view *services;
    size_t service_count;
    size_t service_capacity;
    struct candidate *candidates;
    size_t candidate_count;
    size_t candidate_capacity;
    struct key_ring keys;
    bool failed; /* an allocation failed */
};

static int
compare_services(const void *a, const void *b)
{
    const struct service_view *x = a;
    const struct service_view *y = b;

    return strcmp(x->id, y->id);
}

static int
compare_addresses(const void *a, const void *b)
{
    const struct candidate *x = a;
    const struct candidate *y = b;

    if (x->view.addr != y->view.addr) {
        return x->view.addr < y->view.addr ? -1 : 1;
    }
    return (int)x->view.port - (int)y->view.port;
}

static int
compare_by_service(const void *a, const void *b)
{
    const struct candidate *x = a;
    const struct candidate *y = b;

    if (x->service != y->service) {
        return x->service < y->service ? -1 : 1;
    }
    return strcmp(x->view.id, y->view.id);
}

/* Makes room for one more entry. Returns false when out of memory. */
static bool
reserve(struct builder *b, void **array, size_t count, size_t *capacity,
        size_t size)
{
    size_t new_capacity = *capacity == 0 ? CAPACITY_INITIAL : *capacity * 2;
    void *grown;

    if (count < *capacity) {
        return true;
    }
    grown = realloc(*array, new_capacity * size);
    if (grown == NULL) {
        b->failed = true;
        return false;
    }
    *array = grown;
    *capacity = new_capacity;
    return true;
}

static bool
service_lists(const struct service *s, const char *domain)
{
    for (size_t i = 0; i < s->domain_count; i++) {
        if (strcmp(s->domains[i], domain) == 0) {
            return true;
        }
    }
    return false;
}

static bool
add_service(void *ctx, const struct resource *r, uint64_t revision)
{
    struct builder *b = ctx;
    struct service_view *sv;

    if (r->deleted || !service_lists(&r->service, b->domain)) {
        return true;
    }
    if (!reserve(b, (void **)&b->services, b->service_count,
                 &b->service_capacity, sizeof(*b->services))) {
        return false;
    }
    sv = &b->services[b->service_count];
    b->service_count++;
    memset(sv, 0, sizeof(*sv));
    snprintf(sv->id, sizeof(sv->id), "%s", r->id);
    sv->version = r->version;
    sv->hash = (uint32_t)id_hash(r->id);
    sv->service = r->service;
    return true;
}

static struct service_view *
find_service(const struct builder *b, const char *id)
{
    struct service_view key;

    if (b->service_count == 0) {
        return NULL;
    }
    snprintf(key.id, sizeof(key.id), "%s", id);
    return bsearch(&key, b->services, b->service_count, sizeof(*b->services),
                   compare_services);
}

static void
fill_target(struct target_view *tv, const struct resource *r)
{
    uint32_t hash = (uint32_t)id_hash(r->id) & TARGET_HASH_MASK;

    memset(tv, 0, sizeof(*tv));
    snprintf(tv->id, sizeof(tv->id), "%s", r->id);
    snprintf(tv->domain, sizeof(tv->domain), "%s", r->target.domain);
    tv->version = r->version;
    tv->hash = hash == 0 ? 1 : hash;
    tv->addr = r->target.addr;
    tv->port = r->target.port;
    tv->slots = r->target.slots;
    tv->connections = r->target.connections;
    tv->state = r->target.state;
}

static bool
add_target(void *ctx, const struct resource *r, uint64_t revision)
{
    struct builder *b = ctx;
    const struct service_view *sv;
    struct candidate *c;

    if (r->deleted) {
        return true;
    }
    sv = find_service(b, r->target.service);
    if (sv == NULL) {
        return true;
    }
    if (!reserve(b, (void **)&b->candidates, b->candidate_count,
                 &b->candidate_capacity, sizeof(*b->candidates))) {
        return false;
    }
    c = &b->candidates[b->candidate_count];
    b->candidate_count++;
    memset(c, 0, sizeof(*c));
    fill_target(&c->view, r);
    c->service = (size_t)(sv - b->services);
    return true;
}

/* The removal of an address from a service, by the deletion of its target or
 * of the service itself. */
struct removal {
    bool removed;           /* false: the service still declares the address */
    uint64_t revision;      /* store revision of the deletion */
    bool service_known;     /* the configuration store has the service or its
                             * tombstone */
    struct service service; /* lists domains that may still use the address */
    /* Store revision of the newest write to the service */
    uint64_t service_revision;
};

/* Fills in "rm" for the target "r", which was written at "revision". */
static void
find_removal(const struct builder *b, const struct resource *r,
             uint64_t revision, struct removal *rm)
{
    char name[RESOURCE_NAME_SIZE];
    struct resource s;

    memset(rm, 0, sizeof(*rm));
    snprintf(name, sizeof(name), "service/%s", r->target.service);
    rm->service_known =
        config_store_get(b->cs, name, &s, &rm->service_revision);
    if (rm->service_known) {
        rm->service = s.service;
    }
    if (r->deleted) {
        rm->removed = true;
        rm->revision = revision;
    }
    else if (rm->service_known && s.deleted) {
        rm->removed = true;
        rm->revision = rm->service_revision;
    }
}

/* Whether no balancer of a failure domain can still use the address: all of
 * them have applied the removal, or all have applied a version of the service
 * that does not list the domain. */
static bool
removal_applied(const struct builder *b, const struct removal *rm,
                const char *domain)
{
    uint64_t applied = domain_min_revisions_get(b->floors, domain);

    if (applied >= rm->revision) {
        return true;
    }
    return rm->service_known && !service_lists(&rm->service, domain) &&
           applied >= rm->service_revision;
}

/* Returns the first failure domain in which a balancer may still use the
 * address, or NULL when there is none. */
static const char *
find_pending_domain(const struct builder *b, const struct removal *rm)
{
    for (size_t i = 0; i < rm->service.domain_count; i++) {
        if (!removal_applied(b, rm, rm->service.domains[i])) {
            return rm->service.domains[i];
        }
    }
    for (size_t i = 0; i < b->floors->count; i++) {
        if (!removal_applied(b, rm, b->floors->entries[i].domain)) {
            return b->floors->entries[i].domain;
        }
    }
    return NULL;
}

static void
quarantine(struct builder *b, struct candidate *c,
           const struct resource *other, const struct removal *rm,
           const char *pending_domain)
{
    struct view_quarantine *q = calloc(1, sizeof(*q));

    if (q == NULL) {
        b->failed = true;
        return;
    }
    c->quarantine = q;
    snprintf(q->service, sizeof(q->service), "%s", b->services[c->service].id);
    snprintf(q->target, sizeof(q->target), "%s", c->view.id);
    snprintf(q->former_service, sizeof(q->former_service), "%s",
             other->target.service);
    snprintf(q->former_target, sizeof(q->former_target), "%s", other->id);
    snprintf(q->domain, sizeof(q->domain), "%s", pending_domain);
    q->revision = rm->revision;
}

/* Puts the candidates into quarantine that have the address of "r", a present
 * or deleted target, under another service. While two services declare the
 * same address, neither gets it: the data that every balancer stores does not
 * show which of them declared it first. */
static bool
check_address_conflict(void *ctx, const struct resource *r, uint64_t revision)
{
    struct builder *b = ctx;
    struct candidate key = {
        .view = {.addr = r->target.addr, .port = r->target.port}};
    struct candidate *c = bsearch(&key, b->candidates, b->candidate_count,
                                  sizeof(*b->candidates), compare_addresses);
    struct candidate *end = b->candidates + b->candidate_count;
    struct removal rm;
    const char *pending_domain = "";

    if (c == NULL) {
        return true;
    }
    while (c > b->candidates && compare_addresses(c - 1, &key) == 0) {
        c--;
    }
    find_removal(b, r, revision, &rm);
    if (rm.removed) {
        pending_domain = find_pending_domain(b, &rm);
    }
    for (; c < end && compare_addresses(c, &key) == 0; c++) {
        if (c->quarantine == NULL && pending_domain != NULL &&
            strcmp(b->services[c->service].id, r->target.service) != 0) {
            quarantine(b, c, r, &rm, pending_domain);
        }
    }
    return true;
}

static bool
add_key_ring(void *ctx, const struct resource *r, uint64_t revision)
{
    struct builder *b = ctx;

    if (!r->deleted && strcmp(r->id, "tokens") == 0) {
        b->keys = r->key_ring;
    }
    return true;
}

static void
report_quarantined(const struct builder *b, view_quarantine_cb cb, void *ctx)
{
    for (size_t i = 0; i < b->candidate_count && cb != NULL; i++) {
        if (b->candidates[i].quarantine != NULL) {
            cb(ctx, b->candidates[i].quarantine);
        }
    }
}

/* Copies the candidates of one service that are not in quarantine; "run" is
 * its part of the sorted array. Returns false when out of memory. */
static bool
fill_service(struct service_view *sv, const struct candidate *run,
             size_t count)
{
    sv->targets = calloc(count + 1, sizeof(*sv->targets));
    if (sv->targets == NULL) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        if (run[i].quarantine == NULL) {
            sv->targets[sv->target_count] = run[i].view;
            sv->target_count++;
        }
    }
    return true;
}

static bool
fill_view(struct builder *b, struct config_view *view)
{
    size_t pos = 0;

    if (b->candidate_count > 0) {
        qsort(b->candidates, b->candidate_count, sizeof(*b->candidates),
              compare_by_service);
    }
    for (size_t i = 0; i < view->service_count; i++) {
        size_t first = pos;

        while (pos < b->candidate_count && b->candidates[pos].service == i) {
            pos++;
        }
        view->services[i] = b->services[i];
        if (!fill_service(&view->services[i], b->candidates + first,
                          pos - first)) {
            return false;
        }
    }
    view->keys = b->keys;
    return true;
}

static struct config_view *
create_view(struct builder *b, uint64_t sequence)
{
    struct config_view *view = config_view_new(b->service_count);

    if (view == NULL) {
        return NULL;
    }
    view->sequence = sequence;
    if (!fill_view(b, view)) {
        config_view_destroy(view);
        return NULL;
    }
    return view;
}

static void
collect_resources(struct builder *b)
{
    config_store_each_of_kind(b->cs, RESOURCE_KEY_RING, add_key_ring, b);
    config_store_each_of_kind(b->cs, RESOURCE_SERVICE, add_service, b);
    if (b->service_count > 0) {
        qsort(b->services, b->service_count, sizeof(*b->services),
              compare_services);
    }
    config_store_each_of_kind(b->cs, RESOURCE_TARGET, add_target, b);
    if (b->candidate_count > 0) {
        qsort(b->candidates, b->candidate_count, sizeof(*b->candidates),
              compare_addresses);
        config_store_each_of_kind(b->cs, RESOURCE_TARGET,
                                  check_address_conflict, b);
    }
}

struct config_view *
view_builder_build(const struct config_store *cs,
                   const struct domain_min_revisions *floors,
                   const char *domain, uint64_t sequence,
                   view_quarantine_cb cb, void *ctx)
{
    struct builder b = {.cs = cs, .floors = floors, .domain = domain};
    struct config_view *view = NULL;

    collect_resources(&b);
    if (!b.failed) {
        report_quarantined(&b, cb, ctx);
        view = create_view(&b, sequence);
    }
    for (size_t i = 0; i < b.candidate_count; i++) {
        free(b.candidates[i].quarantine);
    }
    free(b.services);
    free(b.candidates);
    return view;
}
