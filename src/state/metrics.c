#include "state/metrics.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/list.h"
#include "state/metrics-text.h"

#define PREFIX METRICS_PREFIX
#define OTHER_TENANT "other"
#define LABEL_SIZE METRICS_LABEL_SIZE(ID_SIZE)

static const char *const phase_names[PHASE_COUNT] = {
    [PHASE_QUEUE] = "queue",
    [PHASE_TARGET] = "target",
    [PHASE_WHOLE] = "whole",
};

struct tenant_metrics {
    struct list link;
    char name[ID_SIZE];
    /* NULL until the first value is recorded. */
    struct histogram *histograms[CLASS_COUNT][PHASE_COUNT];
};

struct metrics {
    struct counters counters;
    struct list tenants;         /* struct tenant_metrics */
    size_t tenant_count;         /* length of "tenants" */
    struct tenant_metrics other; /* used when "tenants" is full or a tenant
                                  * cannot be allocated */
};

struct metrics *
metrics_new(void)
{
    struct metrics *m = calloc(1, sizeof(*m));

    if (m == NULL) {
        return NULL;
    }
    list_init(&m->tenants);
    list_init(&m->other.link);
    memcpy(m->other.name, OTHER_TENANT, sizeof(OTHER_TENANT));
    return m;
}

static void
free_histograms(struct tenant_metrics *t)
{
    for (int class = 0; class < CLASS_COUNT; class ++) {
        for (int phase = 0; phase < PHASE_COUNT; phase++) {
            free(t->histograms[class][phase]);
        }
    }
}

void
metrics_destroy(struct metrics *m)
{
    if (m == NULL) {
        return;
    }
    list_for_each_safe (it, &m->tenants) {
        struct tenant_metrics *t =
            container_of(it, struct tenant_metrics, link);

        list_remove(it);
        free_histograms(t);
        free(t);
    }
    free_histograms(&m->other);
    free(m);
}

struct counters *
metrics_counters(struct metrics *m)
{
    return &m->counters;
}

static struct tenant_metrics *
find_tenant(const struct metrics *m, const char *name)
{
    list_for_each (it, &m->tenants) {
        struct tenant_metrics *t =
            container_of(it, struct tenant_metrics, link);

        if (strcmp(t->name, name) == 0) {
            return t;
        }
    }
    return NULL;
}

/* Finds or adds a tenant. Returns "other" when the maximum is reached or
 * when out of memory. */
static struct tenant_metrics *
get_tenant(struct metrics *m, const char *name)
{
    struct tenant_metrics *t = find_tenant(m, name);

    if (t != NULL) {
        return t;
    }
    if (m->tenant_count == METRICS_TENANTS_MAX) {
        return &m->other;
    }
    t = calloc(1, sizeof(*t));
    if (t == NULL) {
        return &m->other;
    }
    strncpy(t->name, name, sizeof(t->name) - 1);
    list_push_back(&m->tenants, &t->link);
    m->tenant_count++;
    return t;
}

void
metrics_record(struct metrics *m, const char *tenant, enum traffic_class class,
               enum metrics_phase phase, uint64_t value_us)
{
    struct tenant_metrics *t = get_tenant(m, tenant);
    struct histogram **h;

    assert(class < CLASS_COUNT && phase < PHASE_COUNT);
    h = &t->histograms[class][phase];
    if (*h == NULL) {
        *h = calloc(1, sizeof(**h));
    }
    if (*h != NULL) {
        histogram_record(*h, value_us);
    }
}

const struct histogram *
metrics_histogram(const struct metrics *m, const char *tenant,
                  enum traffic_class class, enum metrics_phase phase)
{
    const struct tenant_metrics *t = find_tenant(m, tenant);

    if (t == NULL) {
        t = &m->other;
    }
    return t->histograms[class][phase];
}

static void
print_counters(FILE *f, const struct counters *c)
{
    for (int i = 0; i < COUNTER_COUNT; i++) {
        const char *name = counter_name((enum counter)i);

        fprintf(f, "# HELP " PREFIX "%s %s\n", name,
                counter_help((enum counter)i));
        fprintf(f, "# TYPE " PREFIX "%s counter\n", name);
        fprintf(f, PREFIX "%s %llu\n", name, (unsigned long long)c->values[i]);
    }
    fputs("# HELP " PREFIX "errors_total Failures by kind\n", f);
    fputs("# TYPE " PREFIX "errors_total counter\n", f);
    for (int i = 0; i < ERR_KIND_COUNT; i++) {
        if (i != ERR_NONE) {
            fprintf(f, PREFIX "errors_total{kind=\"%s\"} %llu\n",
                    error_kind_name((enum error_kind)i),
                    (unsigned long long)c->errors[i]);
        }
    }
}

static void
print_tenant(FILE *f, const struct tenant_metrics *t)
{
    char name[LABEL_SIZE];
    char labels[LABEL_SIZE + 64];

    metrics_escape_label(t->name, name, sizeof(name));
    for (int class = 0; class < CLASS_COUNT; class ++) {
        for (int phase = 0; phase < PHASE_COUNT; phase++) {
            const struct histogram *h = t->histograms[class][phase];

            if (h == NULL) {
                continue;
            }
            snprintf(labels, sizeof(labels),
                     "tenant=\"%s\",class=\"%s\",phase=\"%s\"", name,
                     traffic_class_name((enum traffic_class) class),
                     phase_names[phase]);
            metrics_print_histogram(f, "request_seconds", labels, h);
        }
    }
}

static void
print_histograms(FILE *f, const struct metrics *m)
{
    fputs("# HELP " PREFIX "request_seconds Time of requests by phase\n", f);
    fputs("# TYPE " PREFIX "request_seconds histogram\n", f);
    list_for_each (it, &m->tenants) {
        print_tenant(f, container_of(it, struct tenant_metrics, link));
    }
    print_tenant(f, &m->other);
}

/* A gauge that is exposed for each target. */
struct target_gauge {
    const char *name;
    const char *help;
    double (*value)(const struct target_state *t, uint64_t now);
};

static double
get_in_flight(const struct target_state *t, uint64_t now)
{
    return t->in_flight;
}

static double
get_window(const struct target_state *t, uint64_t now)
{
    return t->window.size;
}

static double
get_latency(const struct target_state *t, uint64_t now)
{
    return t->latency_us / USEC_PER_SEC;
}

static double
get_ejected(const struct target_state *t, uint64_t now)
{
    return now < t->health.ejected_until_us ? 1 : 0;
}

static double
get_leaving(const struct target_state *t, uint64_t now)
{
    return target_is_leaving(t) ? 1 : 0;
}

static const struct target_gauge target_gauges[] = {
    {"target_in_flight", "Requests from here at the target", get_in_flight},
    {"target_window", "Slots that this balancer may use", get_window},
    {"target_latency_seconds", "Mean time of answers", get_latency},
    {"target_ejected", "1 while taken out after failures", get_ejected},
    {"target_leaving", "1 while the target takes no new work", get_leaving},
};

static void
print_target_gauge(FILE *f, const struct target_gauge *gauge,
                   const struct target_table *table, uint64_t now)
{
    fprintf(f, "# HELP " PREFIX "%s %s\n", gauge->name, gauge->help);
    fprintf(f, "# TYPE " PREFIX "%s gauge\n", gauge->name);
    list_for_each (it, &table->services) {
        const struct service_targets *svc =
            container_of(it, struct service_targets, link);

        for (size_t i = 0; i < svc->count; i++) {
            const struct target_state *t = svc->targets[i];

            fprintf(f, PREFIX "%s{service=\"%s\",target=\"%s\"} %g\n",
                    gauge->name, svc->id, t->id, gauge->value(t, now));
        }
    }
}

char *
metrics_text(const struct metrics *m, const struct target_table *table,
             uint64_t now, size_t *len)
{
    char *text = NULL;
    FILE *f = open_memstream(&text, len);
    size_t gauges = sizeof(target_gauges) / sizeof(*target_gauges);

    if (f == NULL) {
        return NULL;
    }
    print_counters(f, &m->counters);
    print_histograms(f, m);
    for (size_t i = 0; table != NULL && i < gauges; i++) {
        print_target_gauge(f, &target_gauges[i], table, now);
    }
    if (fclose(f) != 0) {
        free(text);
        return NULL;
    }
    return text;
}
