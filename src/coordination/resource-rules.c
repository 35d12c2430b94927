#include "coordination/resource-rules.h"

#include <string.h>

static const struct resource *
resource_of(const struct list *it)
{
    return container_of(it, struct resource, link);
}

unsigned
resource_rules_needs(enum resource_kind kind, bool deletion)
{
    switch (kind) {
    case RESOURCE_SERVICE:
        return deletion ? NEED_TARGETS : NEED_SERVICES | NEED_HOSTS;
    case RESOURCE_TARGET:
        return deletion ? 0 : NEED_SERVICES | NEED_TARGETS;
    default:
        return 0;
    }
}

static bool
domain_is_known(const struct resource_context *context, const char *domain)
{
    for (size_t i = 0; i < context->domain_count; i++) {
        if (strcmp(context->domains[i], domain) == 0) {
            return true;
        }
    }
    list_for_each (it, context->others) {
        const struct resource *r = resource_of(it);

        if (r->kind == RESOURCE_HOST && !r->deleted &&
            strcmp(r->host.domain, domain) == 0) {
            return true;
        }
    }
    return context->domain_count == 0;
}

static bool
service_has_domain(const struct service *s, const char *domain)
{
    for (size_t i = 0; i < s->domain_count; i++) {
        if (strcmp(s->domains[i], domain) == 0) {
            return true;
        }
    }
    return false;
}

/* Two services that share a failure domain listen on the same hosts there and
 * therefore need different ports. */
static bool
check_service_ports(const struct resource *wanted, const struct resource *r,
                    struct status *st)
{
    const struct service *mine = &wanted->service;

    if (r->kind != RESOURCE_SERVICE || r->deleted ||
        strcmp(r->id, wanted->id) == 0 || r->service.port != mine->port) {
        return true;
    }
    for (size_t i = 0; i < mine->domain_count; i++) {
        if (service_has_domain(&r->service, mine->domains[i])) {
            status_set(st, ERR_INVALID,
                       "port: %u is used by service %s in failure domain %s",
                       mine->port, r->id, mine->domains[i]);
            return false;
        }
    }
    return true;
}

static bool
check_service(const struct resource *wanted,
              const struct resource_context *context, struct status *st)
{
    for (size_t i = 0; i < wanted->service.domain_count; i++) {
        if (!domain_is_known(context, wanted->service.domains[i])) {
            status_set(st, ERR_INVALID,
                       "domains[%zu]: no failure domain %s is known", i,
                       wanted->service.domains[i]);
            return false;
        }
    }
    list_for_each (it, context->others) {
        if (!check_service_ports(wanted, resource_of(it), st)) {
            return false;
        }
    }
    return true;
}

static const struct resource *
find_service(const struct resource_context *context, const char *id)
{
    list_for_each (it, context->others) {
        const struct resource *r = resource_of(it);

        if (r->kind == RESOURCE_SERVICE && !r->deleted &&
            strcmp(r->id, id) == 0) {
            return r;
        }
    }
    return NULL;
}

/* A target keeps its address permanently, even when it is declared again after
 * its deletion. A new address would replace the record of the old one, and the
 * quarantine of the old address would be lost with it. */
static bool
check_address_unchanged(const struct resource *wanted,
                        const struct resource *r, struct status *st)
{
    const struct target *mine = &wanted->target;
    const struct target *t = &r->target;

    if (t->addr == 0 || (t->addr == mine->addr && t->port == mine->port)) {
        return true;
    }
    status_set(st, ERR_INVALID,
               "address: target %s keeps its address and port; declare a "
               "target with another id",
               wanted->id);
    return false;
}

/* An address belongs to one target. With an address in two services, requests
 * of one service could reach a target of the other. */
static bool
check_target_address(const struct resource *wanted, const struct resource *r,
                     struct status *st)
{
    const struct target *mine = &wanted->target;
    const struct target *t = &r->target;

    if (r->kind != RESOURCE_TARGET) {
        return true;
    }
    if (strcmp(t->service, mine->service) == 0 &&
        strcmp(r->id, wanted->id) == 0) {
        return check_address_unchanged(wanted, r, st);
    }
    if (r->deleted || t->addr != mine->addr || t->port != mine->port) {
        return true;
    }
    status_set(st, ERR_INVALID,
               "address: with this port it is used by target %s of service %s",
               r->id, t->service);
    return false;
}

static bool
check_target(const struct resource *wanted,
             const struct resource_context *context, struct status *st)
{
    const struct target *t = &wanted->target;
    const struct resource *service = find_service(context, t->service);

    if (service == NULL) {
        status_set(st, ERR_INVALID, "service: there is no service %s",
                   t->service);
        return false;
    }
    if (!service_has_domain(&service->service, t->domain)) {
        status_set(st, ERR_INVALID,
                   "domain: service %s has no failure domain %s", t->service,
                   t->domain);
        return false;
    }
    list_for_each (it, context->others) {
        if (!check_target_address(wanted, resource_of(it), st)) {
            return false;
        }
    }
    return true;
}

static bool
ring_has_key(const struct key_ring *ring, uint8_t id)
{
    for (size_t i = 0; i < ring->count; i++) {
        if (ring->keys[i].id == id) {
            return true;
        }
    }
    return false;
}

/* A key may seal tokens only once every balancer has it, so a new key cannot
 * be the first of the ring. Tokens that the previous first key sealed are
 * still in use, so that key cannot be removed in the same write. */
static bool
check_key_ring(const struct resource *wanted,
               const struct resource_context *context, struct status *st)
{
    const struct key_ring *ring = &wanted->key_ring;
    const struct key_ring *old;

    if (context->current == NULL) {
        return true;
    }
    old = &context->current->key_ring;
    if (!ring_has_key(old, ring->keys[0].id)) {
        status_set(st, ERR_INVALID,
                   "keys[0].id: key %u is new; add it behind the others, and "
                   "put it first when that is in force",
                   ring->keys[0].id);
        return false;
    }
    if (!ring_has_key(ring, old->keys[0].id)) {
        status_set(st, ERR_INVALID,
                   "keys: key %u sealed until now and must stay for the "
                   "tokens that it has sealed",
                   old->keys[0].id);
        return false;
    }
    return true;
}

bool
resource_rules_check_put(const struct resource *wanted,
                         const struct resource_context *context,
                         struct status *st)
{
    switch (wanted->kind) {
    case RESOURCE_SERVICE:
        return check_service(wanted, context, st);
    case RESOURCE_TARGET:
        return check_target(wanted, context, st);
    case RESOURCE_KEY_RING:
        return check_key_ring(wanted, context, st);
    default:
        /* A host may be declared before it or its failure domain is up. */
        return true;
    }
}

bool
resource_rules_check_delete(const struct resource *tombstone,
                            const struct resource_context *context,
                            struct status *st)
{
    if (tombstone->kind == RESOURCE_KEY_RING) {
        status_set(st, ERR_INVALID,
                   "the key ring cannot be deleted: every token would fail");
        return false;
    }
    if (tombstone->kind != RESOURCE_SERVICE) {
        return true;
    }
    list_for_each (it, context->others) {
        const struct resource *r = resource_of(it);

        if (r->kind == RESOURCE_TARGET && !r->deleted &&
            strcmp(r->target.service, tombstone->id) == 0) {
            status_set(st, ERR_INVALID, "service %s still has target %s",
                       tombstone->id, r->id);
            return false;
        }
    }
    return true;
}
