#include "state/flow-times.h"

#include <stdlib.h>

#include "base/list.h"
#include "state/metrics-text.h"
#include "state/resource.h"

#define OTHER_SERVICE "other"
#define METRIC "flow_seconds"

static const char *const phase_names[FLOW_PHASE_COUNT] = {
    [FLOW_PHASE_OPEN] = "open",
    [FLOW_PHASE_ANSWER] = "answer",
};

/* The histograms of a service and priority; made with the first value. */
struct time_set {
    struct list link;
    const char *service;
    uint8_t priority;
    struct histogram *histograms[FLOW_PHASE_COUNT];
};

struct flow_times {
    struct list sets; /* few; the last used first */
    size_t count;
    struct time_set other;
};

struct flow_times *
flow_times_new(void)
{
    struct flow_times *times = calloc(1, sizeof(*times));

    if (times == NULL) {
        return NULL;
    }
    list_init(&times->sets);
    times->other.service = OTHER_SERVICE;
    return times;
}

static void
free_histograms(struct time_set *set)
{
    for (int phase = 0; phase < FLOW_PHASE_COUNT; phase++) {
        free(set->histograms[phase]);
    }
}

void
flow_times_destroy(struct flow_times *times)
{
    if (times == NULL) {
        return;
    }
    list_for_each_safe (it, &times->sets) {
        struct time_set *set = container_of(it, struct time_set, link);

        free_histograms(set);
        free(set);
    }
    free_histograms(&times->other);
    free(times);
}

static struct time_set *
find_set(const struct flow_times *times, const char *service, uint8_t priority)
{
    list_for_each (it, &times->sets) {
        struct time_set *set = container_of(it, struct time_set, link);

        if (set->service == service && set->priority == priority) {
            return set;
        }
    }
    return NULL;
}

/* Finds or adds a set; beyond the bound, or without memory, it is "other". */
static struct time_set *
get_set(struct flow_times *times, const char *service, uint8_t priority)
{
    struct time_set *set = find_set(times, service, priority);

    if (set != NULL) {
        list_remove(&set->link);
        list_push_front(&times->sets, &set->link);
        return set;
    }
    if (times->count == FLOW_TIMES_MAX) {
        return &times->other;
    }
    set = calloc(1, sizeof(*set));
    if (set == NULL) {
        return &times->other;
    }
    set->service = service;
    set->priority = priority;
    list_push_front(&times->sets, &set->link);
    times->count++;
    return set;
}

void
flow_times_record(struct flow_times *times, const char *service,
                  uint8_t priority, enum flow_phase phase, uint64_t value_us)
{
    struct time_set *set = get_set(times, service, priority);
    struct histogram **h = &set->histograms[phase];

    if (*h == NULL) {
        *h = calloc(1, sizeof(**h));
    }
    if (*h != NULL) {
        histogram_record(*h, value_us);
    }
}

const struct histogram *
flow_times_get(const struct flow_times *times, const char *service,
               uint8_t priority, enum flow_phase phase)
{
    const struct time_set *set = find_set(times, service, priority);

    return set == NULL ? times->other.histograms[phase]
                       : set->histograms[phase];
}

static void
print_set(const struct time_set *set, FILE *f)
{
    char service[METRICS_LABEL_SIZE(ID_SIZE)];
    char labels[sizeof(service) + 64];

    metrics_escape_label(set->service, service, sizeof(service));
    for (int phase = 0; phase < FLOW_PHASE_COUNT; phase++) {
        if (set->histograms[phase] == NULL) {
            continue;
        }
        snprintf(labels, sizeof(labels),
                 "service=\"%s\",priority=\"%u\",phase=\"%s\"", service,
                 set->priority, phase_names[phase]);
        metrics_print_histogram(f, METRIC, labels, set->histograms[phase]);
    }
}

void
flow_times_print(const struct flow_times *times, FILE *f)
{
    fputs("# HELP " METRICS_PREFIX METRIC " Time that callers wait\n", f);
    fputs("# TYPE " METRICS_PREFIX METRIC " histogram\n", f);
    list_for_each (it, &times->sets) {
        print_set(container_of(it, struct time_set, link), f);
    }
    print_set(&times->other, f);
}
