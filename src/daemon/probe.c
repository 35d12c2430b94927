#include "daemon/probe.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "coordination/health.h"
#include "daemon/target-links.h"

#define PROBE_PASS_US (250 * USEC_PER_MSEC)
#define PROBE_INTERVAL_US (2 * USEC_PER_SEC)
#define PROBE_FIRST_INTERVAL_US (500 * USEC_PER_MSEC)
#define PROBE_TIMEOUT_US (1 * USEC_PER_SEC)
#define PROBES_PER_PASS 200 /* of targets that are not verified yet */
/* Probes of verified targets, at about 270 bytes each, take a part of the
 * 10 KB a second that all control traffic of a balancer may take. With many
 * targets each is probed more seldom. */
#define PROBES_PER_SECOND 10

struct probes {
    struct data_task *task;
    GHashTable *by_target; /* struct target_state -> struct probe, owned */
    struct list running;   /* struct probe */
    uint64_t next_pass_us;
    uint32_t ours; /* verified targets that this balancer probes */
};

struct probe {
    struct list link;
    struct probes *probes;
    struct target_state *target; /* with a reference */
    struct target_call *call;    /* NULL: not running */
    uint64_t started_us;
    uint64_t next_us;
};

static void
probe_free(void *arg)
{
    struct probe *probe = arg;

    if (probe->call != NULL) {
        target_call_cancel(probe->call);
    }
    list_remove(&probe->link);
    target_unref(probe->target);
    free(probe);
}

struct probes *
probes_new(struct data_task *task)
{
    struct probes *probes = calloc(1, sizeof(*probes));

    if (probes == NULL) {
        return NULL;
    }
    probes->task = task;
    probes->by_target = g_hash_table_new_full(NULL, NULL, NULL, probe_free);
    list_init(&probes->running);
    return probes;
}

void
probes_destroy(struct probes *probes)
{
    if (probes == NULL) {
        return;
    }
    g_hash_table_destroy(probes->by_target);
    free(probes);
}

static uint32_t
member_uint(const json_t *root, const char *key)
{
    return (uint32_t)json_integer_value(json_object_get(root, key));
}

/* Reads the answer of a health endpoint. */
static void
parse_health(const struct target_state *t,
             const struct target_response *response, struct health_probe *out)
{
    json_t *root =
        json_loadb((const char *)response->body, response->body_len, 0, NULL);
    const char *service = json_string_value(json_object_get(root, "service"));
    const char *state = json_string_value(json_object_get(root, "state"));

    out->names_service = service != NULL && strcmp(service, t->service) == 0;
    out->leaving = state != NULL && strcmp(state, "leaving") == 0;
    out->warming = state != NULL && strcmp(state, "warming") == 0;
    if (json_is_integer(json_object_get(root, "running"))) {
        out->load_known = true;
        out->running = member_uint(root, "running");
        out->slots = member_uint(root, "slots");
        out->queued = member_uint(root, "queued");
    }
    json_decref(root);
}

static void
report(struct probes *probes, struct target_state *t,
       enum health_change change)
{
    switch (change) {
    case HEALTH_UP:
        data_report_event(probes->task, "target_up", t->id, "probe answered");
        break;
    case HEALTH_DOWN:
        data_report_event(probes->task, "target_down", t->id, "probes fail");
        break;
    case HEALTH_WRONG_SERVICE:
        data_report_event(probes->task, "target_wrong_service", t->id,
                          "the health endpoint names another service than %s",
                          t->service);
        break;
    case HEALTH_SAME:
        break;
    }
}

/* Time between two probes of a verified target. */
static uint64_t
interval(const struct probes *probes)
{
    uint64_t wait = probes->ours * (USEC_PER_SEC / PROBES_PER_SECOND);

    return wait > PROBE_INTERVAL_US ? wait : PROBE_INTERVAL_US;
}

static void
finish(struct probe *probe, const struct health_probe *result)
{
    uint64_t now = clock_monotonic_us();
    struct target_state *t = probe->target;

    probe->call = NULL;
    list_remove(&probe->link);
    probe->next_us = now + (t->health.verified ? interval(probe->probes)
                                               : PROBE_FIRST_INTERVAL_US);
    report(probe->probes, t, health_on_probe(t, result, now));
}

static void
on_done(void *ctx, enum error_kind kind, bool sent,
        const struct target_response *response)
{
    struct probe *probe = ctx;
    struct health_probe result = {0};

    if (kind == ERR_NONE && response->http_status == 200) {
        result.answered = true;
        parse_health(probe->target, response, &result);
    }
    finish(probe, &result);
}

static void
start(struct probes *probes, struct probe *probe, uint64_t now)
{
    struct target_request request = {
        .method = "GET",
        .path = "/health",
        .service = probe->target->service,
    };
    struct target_client *client =
        target_links_get(probes->task->links, probe->target);

    if (client == NULL) {
        return;
    }
    probe->call = target_client_call(client, &request, on_done, NULL, probe);
    if (probe->call != NULL) {
        probe->started_us = now;
        list_push_back(&probes->running, &probe->link);
    }
}

static struct probe *
probe_of(struct probes *probes, struct target_state *t)
{
    struct probe *probe = g_hash_table_lookup(probes->by_target, t);

    if (probe != NULL) {
        return probe;
    }
    probe = calloc(1, sizeof(*probe));
    if (probe == NULL) {
        return NULL;
    }
    list_init(&probe->link);
    probe->probes = probes;
    probe->target = target_ref(t);
    g_hash_table_insert(probes->by_target, t, probe);
    return probe;
}

/* Gives up probes that take too long; the connection may have gone silent,
 * so it is not used again. */
static void
expire(struct probes *probes, uint64_t now)
{
    struct health_probe none = {0};

    list_for_each_safe (it, &probes->running) {
        struct probe *probe = container_of(it, struct probe, link);

        if (now - probe->started_us >= PROBE_TIMEOUT_US) {
            target_call_cancel(probe->call);
            finish(probe, &none);
        }
    }
}

static void
forget_removed(struct probes *probes)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, probes->by_target);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct probe *probe = value;

        if (probe->target->removed) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Whether a verified target is to be probed by this balancer: by its share of
 * the domain's, or while its probes fail. */
static bool
is_ours(const struct probe *probe)
{
    const struct data_task *task = probe->probes->task;
    const struct target_state *t = probe->target;

    return t->health.probe_bad ||
           health_is_prober(t, task->host_id_hash, task->live_balancers);
}

/* A target is probed until it has named its service, and by shares after
 * that. "unverified" counts such probes of this pass. */
static bool
may_start(struct probe *probe, unsigned *unverified, uint64_t now)
{
    struct probes *probes = probe->probes;

    bool verified = probe->target->health.verified;

    if (verified && !is_ours(probe)) {
        return false;
    }
    if (verified) {
        probes->ours++;
    }
    if (probe->call != NULL || now < probe->next_us) {
        return false;
    }
    if (verified) {
        return true;
    }
    (*unverified)++;
    return *unverified <= PROBES_PER_PASS;
}

void
probes_start_over(struct probes *probes)
{
    GHashTableIter iter;
    void *value;

    health_clear_verified(probes->task->dispatch.targets);
    g_hash_table_iter_init(&iter, probes->by_target);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct probe *probe = value;

        probe->next_us = 0;
    }
    probes->next_pass_us = 0;
}

static void
pass_service(struct probes *probes, const struct service_targets *svc,
             unsigned *unverified, uint64_t now)
{
    for (size_t i = 0; i < svc->count; i++) {
        struct probe *probe = probe_of(probes, svc->targets[i]);

        if (probe != NULL && may_start(probe, unverified, now)) {
            start(probes, probe, now);
        }
    }
}

void
probes_tick(struct probes *probes, uint64_t now)
{
    unsigned unverified = 0;

    expire(probes, now);
    if (now < probes->next_pass_us) {
        return;
    }
    probes->next_pass_us = now + PROBE_PASS_US;
    forget_removed(probes);
    probes->ours = 0;
    list_for_each (it, &probes->task->dispatch.targets->services) {
        pass_service(probes, container_of(it, struct service_targets, link),
                     &unverified, now);
    }
}
