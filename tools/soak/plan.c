#include "plan.h"

#include <stdlib.h>
#include <string.h>

#include "base/random.h"

/* Start of the first fault. Callers and balancers start before it. */
#define FIRST_FAULT_MS 3000
/* Maximum interval between the starts of two faults of a series. */
#define SERIES_GAP_MAX_MS 2000
/* Maximum number of faults of a series. */
#define SERIES_MAX 6
/* Limits of the additional pause between two series. */
#define PAUSE_MIN_MS 3000
#define PAUSE_MAX_MS 12000

/* Maximum interval between two odd items, and what tells their numbers from
 * those of the other faults of a seed. */
#define ODD_ITEM_GAP_MAX_MS 6000
#define ODD_ITEM_SEED 0x0dd17e35U

struct fault_type {
    const char *name;         /* in plan files */
    unsigned weight;          /* relative frequency in drawn plans */
    uint64_t min_duration_ms; /* limits of the duration; both 0: it has none */
    uint64_t max_duration_ms;
};

static const struct fault_type fault_types[FAULT_COUNT] = {
    [FAULT_STORE_SILENT] = {"store-silent", 4, 500, 8000},
    [FAULT_STORE_BUSY] = {"store-busy", 2, 500, 5000},
    [FAULT_STORE_SLOW] = {"store-slow", 2, 500, 5000},
    [FAULT_STORE_LOST] = {"store-lost", 2, 500, 5000},
    [FAULT_STORE_RESET] = {"store-reset", 2, 100, 2000},
    [FAULT_STORE_QUIET] = {"store-quiet", 3, 0, 0},
    [FAULT_STORE_COMPACT] = {"store-compact", 2, 0, 0},
    [FAULT_STORE_STALE] = {"store-stale", 2, 2000, 8000},
    [FAULT_STORE_LAPSE] = {"store-lapse", 2, 2000, 6000},
    [FAULT_STORE_RESTORED] = {"store-restored", 3, 300, 3000},
    [FAULT_STORE_ONE] = {"store-one", 4, 1000, 10000},
    [FAULT_GOSSIP_CUT] = {"gossip-cut", 4, 1000, 10000},
    [FAULT_GOSSIP_DEAF] = {"gossip-deaf", 3, 1000, 10000},
    [FAULT_GOSSIP_MUTE] = {"gossip-mute", 3, 1000, 10000},
    [FAULT_GOSSIP_QUIET] = {"gossip-quiet", 3, 0, 0},
    [FAULT_GOSSIP_SLOW] = {"gossip-slow", 2, 1000, 5000},
    [FAULT_HOST_CUT] = {"host-cut", 4, 1000, 8000},
    [FAULT_PACKETS_HARMED] = {"packets-harmed", 3, 1000, 5000},
    [FAULT_TARGET_HARMED] = {"target-harmed", 3, 1000, 5000},
    [FAULT_TARGET_CUT] = {"target-cut", 2, 1000, 5000},
    [FAULT_TARGET_KILL] = {"target-kill", 3, 1000, 4000},
    [FAULT_TARGET_STALL] = {"target-stall", 6, 220, 900},
    [FAULT_TARGET_PAUSE] = {"target-pause", 2, 500, 4000},
    [FAULT_TARGET_REUSE] = {"target-reuse", 3, 0, 0},
    [FAULT_RELEASE] = {"release", 2, 0, 0},
    [FAULT_SCALE_IN] = {"scale-in", 4, 2000, 6000},
    [FAULT_KILL] = {"kill", 5, 200, 3000},
    [FAULT_KILL_ALL] = {"kill-all", 1, 200, 2000},
    [FAULT_PAUSE] = {"pause", 4, 300, 6000},
    [FAULT_ROLL] = {"roll", 2, 0, 0},
    [FAULT_CONFIG] = {"config", 6, 0, 0},
    [FAULT_CONFIG_STORM] = {"config-storm", 2, 500, 1500},
    [FAULT_DOMAIN_EMPTIED] = {"domain-emptied", 4, 4000, 10000},
    [FAULT_HANGUP] = {"hangup", 1, 0, 0},
    [FAULT_UNROUTED] = {"unrouted", 4, 1000, 4000},
    /* Drawn by itself: see add_odd_items(). */
    [FAULT_ODD_ITEM] = {"odd-item", 0, 1000, 20000},
};

const char *
fault_name(enum fault_kind kind)
{
    return fault_types[kind].name;
}

static uint64_t
draw_between(struct random *random, uint64_t min, uint64_t max)
{
    return min + random_below(random, (uint32_t)(max - min) + 1);
}

static enum fault_kind
draw_kind(struct random *random)
{
    unsigned total = 0;
    unsigned drawn;

    for (int i = 0; i < FAULT_COUNT; i++) {
        total += fault_types[i].weight;
    }
    drawn = random_below(random, total);
    for (int i = 0;; i++) {
        if (drawn < fault_types[i].weight) {
            return (enum fault_kind)i;
        }
        drawn -= fault_types[i].weight;
    }
}

static struct plan *
plan_alloc(uint64_t seed, uint64_t length_ms)
{
    struct plan *plan = g_new0(struct plan, 1);

    plan->seed = seed;
    plan->length_ms = length_ms;
    plan->faults = g_array_new(FALSE, TRUE, sizeof(struct fault));
    return plan;
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    const struct fault *first = a;
    const struct fault *second = b;

    return (first->at_ms > second->at_ms) - (first->at_ms < second->at_ms);
}

/* Adds odd items at any time, also in the pauses between series, since they
 * excuse nothing. They are drawn from numbers of their own, so that the other
 * faults of a seed do not change with them. */
static void
add_odd_items(struct plan *plan)
{
    const struct fault_type *type = &fault_types[FAULT_ODD_ITEM];
    struct random random;
    uint64_t at = 0;

    random_seed(&random, plan->seed ^ ODD_ITEM_SEED);
    for (;;) {
        struct fault fault = {.kind = FAULT_ODD_ITEM};

        at += draw_between(&random, 0, ODD_ITEM_GAP_MAX_MS);
        if (at >= plan->length_ms) {
            break;
        }
        fault.at_ms = at;
        fault.subject = random_below(&random, 1000);
        fault.duration_ms = draw_between(&random, type->min_duration_ms,
                                         type->max_duration_ms);
        g_array_append_val(plan->faults, fault);
    }
    g_array_sort(plan->faults, compare_times);
}

/* Faults are drawn in series, so that they overlap. The checker's bounds apply
 * only some time after a fault, that is, in the pauses between series. */
struct plan *
plan_new(uint64_t seed, uint64_t length_ms)
{
    struct plan *plan = plan_alloc(seed, length_ms);
    struct random random;
    uint64_t at = FIRST_FAULT_MS;

    random_seed(&random, seed);
    while (at < length_ms) {
        uint64_t series = draw_between(&random, 1, SERIES_MAX);

        for (uint64_t i = 0; i < series && at < length_ms; i++) {
            struct fault fault = {.at_ms = at, .kind = draw_kind(&random)};
            const struct fault_type *type = &fault_types[fault.kind];

            fault.subject = random_below(&random, 1000);
            fault.duration_ms = draw_between(&random, type->min_duration_ms,
                                             type->max_duration_ms);
            g_array_append_val(plan->faults, fault);
            at += draw_between(&random, 0, SERIES_GAP_MAX_MS);
        }
        at += draw_between(&random, PAUSE_MIN_MS, PAUSE_MAX_MS);
    }
    add_odd_items(plan);
    return plan;
}

static bool
read_fault(const char *line, struct plan *plan)
{
    struct fault fault = {0};
    char name[32];

    if (sscanf(line, "%lu %31s %u %lu", &fault.at_ms, name, &fault.subject,
               &fault.duration_ms) != 4) {
        return false;
    }
    for (int i = 0; i < FAULT_COUNT; i++) {
        if (strcmp(name, fault_types[i].name) == 0) {
            fault.kind = (enum fault_kind)i;
            g_array_append_val(plan->faults, fault);
            return true;
        }
    }
    return false;
}

struct plan *
plan_read(const char *path)
{
    struct plan *plan = plan_alloc(0, 0);
    FILE *in = fopen(path, "r");
    char line[128];
    bool valid = in != NULL && fgets(line, sizeof(line), in) != NULL &&
                 sscanf(line, "seed %lu length-ms %lu", &plan->seed,
                        &plan->length_ms) == 2;

    while (valid && fgets(line, sizeof(line), in) != NULL) {
        valid = read_fault(line, plan);
    }
    if (in != NULL) {
        fclose(in);
    }
    if (!valid) {
        plan_destroy(plan);
        return NULL;
    }
    return plan;
}

void
plan_write(const struct plan *plan, FILE *out)
{
    fprintf(out, "seed %lu length-ms %lu\n", plan->seed, plan->length_ms);
    for (guint i = 0; i < plan->faults->len; i++) {
        const struct fault *fault =
            &g_array_index(plan->faults, struct fault, i);

        fprintf(out, "%lu %s %u %lu\n", fault->at_ms, fault_name(fault->kind),
                fault->subject, fault->duration_ms);
    }
}

void
plan_destroy(struct plan *plan)
{
    g_array_free(plan->faults, TRUE);
    g_free(plan);
}
