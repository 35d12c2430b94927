#include "daemon/probe.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "coordination/health.h"
#include "daemon/target-clients.h"

/* Interval between two passes over all targets, each of which starts the
 * probes that are due. */
#define PASS_INTERVAL_US (250 * USEC_PER_MSEC)
/* Minimum interval between the end of a probe of a verified target and the
 * start of its next probe. */
#define VERIFIED_INTERVAL_MIN_US (2 * USEC_PER_SEC)
/* Interval between the end of a probe of a target that is not verified and the
 * start of its next probe. */
#define UNVERIFIED_INTERVAL_US (500 * USEC_PER_MSEC)
/* Time after which a probe without an answer fails. */
#define PROBE_TIMEOUT_US (1 * USEC_PER_SEC)
/* Maximum number of probes of unverified targets that one pass starts. */
#define UNVERIFIED_PER_PASS_MAX 200
/* Maximum rate of probes of verified targets. A probe takes about 270 bytes,
 * and all control traffic of a balancer together may take 10 KB a second. With
 * many targets, the interval between two probes of a target grows. */
#define VERIFIED_PER_SECOND_MAX 10

struct probes {
    struct data_task *task;
    GHashTable *by_target; /* struct target_state -> struct probe, owned */
    struct list running;   /* struct probe */
    uint64_t next_pass_us;
    /* Number of verified targets that this balancer probes, counted again in
     * each pass. */
    uint32_t assigned_count;
};

/* The probes of one target, of which at most one runs at a time. */
struct probe {
    struct list link; /* in probes.running while a probe runs */
    struct probes *probes;
    struct target_state *target; /* holds a reference */
    struct target_call *call;    /* NULL: no probe is running */
    uint64_t started_us;         /* start of the last probe */
    uint64_t next_us;            /* earliest start of the next probe */
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
json_member_uint(const json_t *root, const char *key)
{
    return (uint32_t)json_integer_value(json_object_get(root, key));
}

/* Fills "out" from the JSON body that a health endpoint sent. The load
 * counts as unknown unless the member "running" is an integer; in a known
 * load, "slots" and "queued" count as 0 unless they are integers. */
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
        out->running = json_member_uint(root, "running");
        out->slots = json_member_uint(root, "slots");
        out->queued = json_member_uint(root, "queued");
    }
    json_decref(root);
}

static void
report_change(struct probes *probes, struct target_state *t,
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

/* Returns the interval between two probes of a verified target in
 * microseconds. */
static uint64_t
verified_interval_us(const struct probes *probes)
{
    uint64_t interval_us =
        probes->assigned_count * (USEC_PER_SEC / VERIFIED_PER_SECOND_MAX);

    return interval_us > VERIFIED_INTERVAL_MIN_US ? interval_us
                                                  : VERIFIED_INTERVAL_MIN_US;
}

/* Records the result of a probe and schedules the next one. */
static void
finish_probe(struct probe *probe, const struct health_probe *result)
{
    uint64_t now = clock_monotonic_us();
    struct target_state *t = probe->target;

    probe->call = NULL;
    list_remove(&probe->link);
    probe->next_us =
        now + (t->health.verified ? verified_interval_us(probe->probes)
                                  : UNVERIFIED_INTERVAL_US);
    report_change(probe->probes, t, health_on_probe(t, result, now));
}

static void
on_response(void *ctx, enum error_kind kind, bool sent,
            const struct target_response *response)
{
    struct probe *probe = ctx;
    struct health_probe result = {0};

    if (kind == ERR_NONE && response->http_status == 200) {
        result.answered = true;
        parse_health(probe->target, response, &result);
    }
    finish_probe(probe, &result);
}

static void
start_probe(struct probes *probes, struct probe *probe, uint64_t now)
{
    struct target_request request = {
        .method = "GET",
        .path = "/health",
        .service = probe->target->service,
    };
    struct target_client *client =
        target_clients_get(probes->task->target_clients, probe->target);

    if (client == NULL) {
        return;
    }
    probe->call =
        target_client_call(client, &request, on_response, NULL, probe);
    if (probe->call != NULL) {
        probe->started_us = now;
        list_push_back(&probes->running, &probe->link);
    }
}

static struct probe *
get_or_create_probe(struct probes *probes, struct target_state *t)
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

/* Ends the probes that have timed out and counts them as not answered. Their
 * connections are closed, because the other end may no longer respond. */
static void
expire_probes(struct probes *probes, uint64_t now)
{
    struct health_probe no_answer = {0};

    list_for_each_safe (it, &probes->running) {
        struct probe *probe = container_of(it, struct probe, link);

        if (now - probe->started_us >= PROBE_TIMEOUT_US) {
            target_call_cancel(probe->call);
            finish_probe(probe, &no_answer);
        }
    }
}

/* Frees the probes of targets that were removed from the target table. */
static void
free_removed(struct probes *probes)
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

/* Whether this balancer probes a verified target: because the target belongs
 * to its share of the failure domain's targets, or while its own probes of the
 * target fail. */
static bool
is_assigned(const struct probe *probe)
{
    const struct data_task *task = probe->probes->task;
    const struct target_state *t = probe->target;

    return t->health.probe_bad ||
           health_is_prober(t, task->host_id_hash, task->live_balancers);
}

/* Whether to start a probe of a target now. Until a target is verified every
 * balancer probes it; after that, only the balancers that it is assigned to.
 * "unverified" counts the unverified targets that were due in this pass. */
static bool
should_start(struct probe *probe, unsigned *unverified, uint64_t now)
{
    struct probes *probes = probe->probes;

    bool verified = probe->target->health.verified;

    if (verified && !is_assigned(probe)) {
        return false;
    }
    if (verified) {
        probes->assigned_count++;
    }
    if (probe->call != NULL || now < probe->next_us) {
        return false;
    }
    if (verified) {
        return true;
    }
    (*unverified)++;
    return *unverified <= UNVERIFIED_PER_PASS_MAX;
}

void
probes_restart(struct probes *probes)
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
probe_service(struct probes *probes, const struct service_targets *svc,
              unsigned *unverified, uint64_t now)
{
    for (size_t i = 0; i < svc->count; i++) {
        struct probe *probe = get_or_create_probe(probes, svc->targets[i]);

        if (probe != NULL && should_start(probe, unverified, now)) {
            start_probe(probes, probe, now);
        }
    }
}

void
probes_tick(struct probes *probes, uint64_t now)
{
    unsigned unverified = 0;

    expire_probes(probes, now);
    if (now < probes->next_pass_us) {
        return;
    }
    probes->next_pass_us = now + PASS_INTERVAL_US;
    free_removed(probes);
    probes->assigned_count = 0;
    list_for_each (it, &probes->task->dispatch.targets->services) {
        probe_service(probes, container_of(it, struct service_targets, link),
                      &unverified, now);
    }
}
