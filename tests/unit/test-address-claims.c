#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "base/clock.h"
#include "coordination/passive-health.h"
#include "route-fixture.h"
#include "state/forward-view.h"

#define NOW_US (100 * USEC_PER_SEC)
#define STEP_US USEC_PER_SEC /* time between two steps of a case */
#define STEPS_MAX 6

/* The target whose address others claim. */
#define OLD "i-1"

enum step_kind {
    END,
    ROUTES,   /* a configuration with a route to each service in "text" */
    WRITTEN,  /* an entry is written: its id, and its service in "service" */
    DRAINING, /* the same, in that state */
    REMOVED,  /* an entry is removed */
    ANSWERED, /* a packet sent in this step is answered by OLD */
    NEW_ERA,  /* the store was restored, and shows all entries as they are */
};

struct step {
    enum step_kind kind;
    const char *text; /* an id, or services of one letter each */
    const char *service;
};

/* Each step has the revision of its number. */
static const struct claim_case {
    const char *name;
    struct step steps[STEPS_MAX];
    bool replaced; /* whether OLD is, after the last step */
} cases[] = {
    {"another address",
     {{ROUTES, "st"}, {WRITTEN, OLD, "s"}, {WRITTEN, "x-1", "t"}},
     false},
    {"an entry of a service that a route names",
     {{ROUTES, "st"}, {WRITTEN, OLD, "s"}, {WRITTEN, "i-2", "t"}},
     true},
    {"an entry of the same service",
     {{ROUTES, "s"}, {WRITTEN, OLD, "s"}, {WRITTEN, "i-2", "s"}},
     true},
    {"an entry of a service that is not named",
     {{ROUTES, "s"}, {WRITTEN, OLD, "s"}, {WRITTEN, "i-2", "t"}},
     false},
    {"the entry is there before the routes",
     {{WRITTEN, OLD, "s"}, {WRITTEN, "i-2", "t"}, {ROUTES, "s"}},
     false},
    {"the service is named after its entry",
     {{ROUTES, "s"},
      {WRITTEN, OLD, "s"},
      {WRITTEN, "i-2", "t"},
      {ROUTES, "st"}},
     true},
    {"the service is no longer named",
     {{ROUTES, "st"},
      {WRITTEN, OLD, "s"},
      {WRITTEN, "i-2", "t"},
      {ROUTES, "s"}},
     false},
    {"an older entry",
     {{ROUTES, "st"}, {WRITTEN, "i-2", "t"}, {WRITTEN, OLD, "s"}},
     false},
    {"the claiming entry is removed",
     {{ROUTES, "st"},
      {WRITTEN, OLD, "s"},
      {WRITTEN, "i-2", "t"},
      {REMOVED, "i-2"}},
     false},
    {"the claiming entry changes",
     {{ROUTES, "st"},
      {WRITTEN, OLD, "s"},
      {WRITTEN, "i-2", "t"},
      {DRAINING, "i-2", "t"}},
     true},
    {"the target writes its entry again",
     {{ROUTES, "st"},
      {WRITTEN, OLD, "s"},
      {WRITTEN, "i-2", "t"},
      {DRAINING, OLD, "s"}},
     false},
    {"the target's entry is removed",
     {{ROUTES, "st"},
      {WRITTEN, OLD, "s"},
      {WRITTEN, "i-2", "t"},
      {REMOVED, OLD}},
     true},
    {"the target's entry was removed before",
     {{ROUTES, "st"},
      {WRITTEN, OLD, "s"},
      {REMOVED, OLD},
      {WRITTEN, "i-2", "t"}},
     true},
    {"the target has answered before",
     {{ROUTES, "st"},
      {WRITTEN, OLD, "s"},
      {ANSWERED, OLD},
      {WRITTEN, "i-2", "t"}},
     true},
    {"the target answers",
     {{ROUTES, "st"},
      {WRITTEN, OLD, "s"},
      {WRITTEN, "i-2", "t"},
      {ANSWERED, OLD}},
     false},
    {"the target answers, and the claiming entry changes",
     {{ROUTES, "st"},
      {WRITTEN, OLD, "s"},
      {WRITTEN, "i-2", "t"},
      {ANSWERED, OLD},
      {DRAINING, "i-2", "t"}},
     false},
    {"the target answers, and another entry claims its address",
     {{ROUTES, "st"},
      {WRITTEN, OLD, "s"},
      {WRITTEN, "i-2", "t"},
      {ANSWERED, OLD},
      {WRITTEN, "i-3", "t"}},
     true},
    {"the claiming entry is of an earlier era",
     {{ROUTES, "st"}, {WRITTEN, OLD, "s"}, {NEW_ERA}, {WRITTEN, "i-2", "t"}},
     true},
    {"both are shown in a new era",
     {{ROUTES, "st"}, {WRITTEN, OLD, "s"}, {WRITTEN, "i-2", "t"}, {NEW_ERA}},
     true},
};

static uint64_t
retain_until(void *ctx, const struct forward_target *target, uint64_t now)
{
    return 0;
}

/* State of the store that the steps of a case change. */
static struct target_record entries[STEPS_MAX];
static size_t entry_count;
static const char *services;
static struct store_position position;

static struct target_record *
entry_get(const char *id)
{
    for (size_t i = 0; i < entry_count; i++) {
        if (strcmp(entries[i].id, id) == 0) {
            return &entries[i];
        }
    }
    memset(&entries[entry_count], 0, sizeof(*entries));
    snprintf(entries[entry_count].id, TARGET_ID_SIZE, "%s", id);
    entries[entry_count].removed = true;
    entry_count++;
    return &entries[entry_count - 1];
}

static void
write_entry(const struct step *step)
{
    struct target_record *e = entry_get(step->text);

    if (e->removed) {
        e->created = position;
    }
    e->service = g_intern_string(step->service);
    e->domain = g_intern_string("a");
    e->addr = step->text[0] == 'x' ? 2 : 1;
    e->port = 80;
    e->slots = 2;
    e->draining = step->kind == DRAINING;
    e->removed = false;
    e->position = position;
    e->sequence++;
}

static void
add_routes(struct view_delta *delta)
{
    delta->routes_complete = true;
    delta->routes_position = position;
    for (size_t i = 0; services != NULL && services[i] != '\0'; i++) {
        const char name[] = {services[i], '\0'};
        const struct route_record route = {.addr = 9,
                                           .port = (uint16_t)(80 + i),
                                           .shares = fixture_share(name, 0)};

        view_delta_add_route(delta, &route);
    }
}

/* Applies a step to a view. With "complete", the view gets a list of all that
 * the store holds, else what the step has changed. */
static void
apply(struct forward_view *view, const struct step *step, bool complete,
      uint64_t now)
{
    struct view_delta delta;

    view_delta_init(&delta);
    delta.to = position;
    delta.from = (struct store_position){.era = position.era,
                                         .revision = position.revision - 1};
    delta.targets_complete = complete;
    delta.routes_base = forward_view_routes_position(view);
    delta.routes_position = delta.routes_base;
    if (complete || step->kind == ROUTES) {
        add_routes(&delta);
    }
    for (size_t i = 0; i < entry_count; i++) {
        if (complete ? !entries[i].removed
                     : store_position_equal(entries[i].position, position)) {
            g_array_append_val(delta.targets, entries[i]);
        }
    }
    assert_true(forward_view_apply(view, &delta, now));
    view_delta_clear(&delta);
}

static void
start_era(void)
{
    position.era++;
    for (size_t i = 0; i < entry_count; i++) {
        entries[i].created.era = position.era;
        entries[i].position.era = position.era;
    }
}

static void
change_store(const struct step *step)
{
    position.revision++;
    switch (step->kind) {
    case ROUTES:
        services = step->text;
        break;
    case WRITTEN:
    case DRAINING:
        write_entry(step);
        break;
    case REMOVED:
        entry_get(step->text)->removed = true;
        entry_get(step->text)->position = position;
        break;
    case NEW_ERA:
        start_era();
        break;
    default:
        break;
    }
}

/* Plays a case on a view that follows each step, and compares it with one that
 * gets everything at the end, which no answer has reached. */
static void
play(const struct claim_case *c)
{
    const struct forward_view_callbacks cb = {.retain_until = retain_until};
    struct forward_view *view = forward_view_new(&cb);
    struct forward_view *late = forward_view_new(&cb);
    bool answered = false;
    uint64_t now = NOW_US;

    entry_count = 0;
    services = NULL;
    position = (struct store_position){0};
    for (size_t i = 0; i < STEPS_MAX && c->steps[i].kind != END; i++) {
        const struct step *step = &c->steps[i];

        now += STEP_US;
        change_store(step);
        apply(view, step, step->kind == NEW_ERA, now);
        if (step->kind == ANSWERED) {
            answered = true;
            passive_health_on_answer(
                &forward_view_target(view, forward_cookie(OLD))->observations,
                now);
        }
    }
    if (forward_target_is_replaced(
            forward_view_target(view, forward_cookie(OLD))) != c->replaced) {
        fail_msg("%s", c->name);
    }
    apply(late, NULL, true, now);
    if (!answered && !entry_get(OLD)->removed &&
        forward_target_is_replaced(
            forward_view_target(late, forward_cookie(OLD))) != c->replaced) {
        fail_msg("%s, at a balancer that starts late", c->name);
    }
    forward_view_destroy(view);
    forward_view_destroy(late);
}

/* Review/9: an entry of a service that is not named took the address of a
 * target that lives. */
static void
test_claims(void **state)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        play(&cases[i]);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_claims)};

    return cmocka_run_group_tests(tests, NULL, NULL);
}
