#include "faults.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "child.h"
#include "directory.h"
#include "fleet.h"

/* Orders to the stand-ins. A store that is this slow stays within the time
 * limit of a call, 1 s; gossip that is still comes within that of a heartbeat.
 */
#define SLOW_STORE "{\"delay_ms\":400}"
#define SLOW_GOSSIP "{\"delay_ms\":150}"
#define STALE_STORE "{\"stale\":6}"
#define NO_DELAY "{\"delay_ms\":0}"
#define SILENT "{\"cut\":\"silent\"}"
#define CUT_UP "{\"cut\":\"up\"}"
#define CUT_DOWN "{\"cut\":\"down\"}"
#define CLOSED "{\"cut\":\"closed\"}"
#define NO_CUT "{\"cut\":\"no\"}"
#define SILENCE "{\"silence\":true}"
/* Entries that lapsed with the store away are back so soon after it. */
#define LAPSE_BACK_MS 1000
/* Between the stops of a roll; a balancer takes some two seconds. */
#define ROLL_GAP_MS 2500
/* Several targets leave at a time. */
#define RELEASE_GAP_MS 1500
/* Ten changes a second, far above the users' three. */
#define STORM_GAP_MS 100
/* Shares of the datagrams: so many that most flows meet them, so few that most
 * requests get through in time. */
#define PACKETS_LOST 0.05
#define PACKETS_TWICE 0.05
#define PACKETS_LATE 0.2

/* A fault that is going on. */
struct running {
    struct soak *soak;
    struct fault fault;
    unsigned step;
    struct balancer *balancer;
    struct target_process *target;
    GPtrArray *targets; /* of a fault of several */
    void (*end)(struct running *r);
};

static void
set_disturbed(struct running *r, enum checker_subject kind, unsigned index,
              bool disturbed)
{
    if (disturbed) {
        checker_disturb(r->soak->checker, kind, index, soak_now_ms());
    }
    else {
        checker_calm(r->soak->checker, kind, index, soak_now_ms());
    }
}

static void
disturb_store(struct running *r, bool disturbed)
{
    set_disturbed(r, SUBJECT_STORE, 0, disturbed);
}

static void
disturb_balancer(struct running *r, bool disturbed)
{
    set_disturbed(r, SUBJECT_BALANCER, r->balancer->index, disturbed);
}

static void
disturb_target(struct running *r, bool disturbed)
{
    set_disturbed(r, SUBJECT_TARGET, r->target->number, disturbed);
}

static void
pulse_all(struct running *r)
{
    for (unsigned i = 0; i < r->soak->balancer_count; i++) {
        set_disturbed(r, SUBJECT_BALANCER, i, true);
        set_disturbed(r, SUBJECT_BALANCER, i, false);
    }
}

static void
order_link(struct running *r, enum soak_net net, unsigned index, uint16_t port,
           const char *json)
{
    char address[INET_ADDRSTRLEN];
    char listen[INET_ADDRSTRLEN + 8];

    soak_address(r->soak, net, index, address);
    snprintf(listen, sizeof(listen), "%s:%u", address, port);
    links_order(r->soak, listen, json);
}

static void
order_store_links(struct running *r, const char *json)
{
    for (unsigned i = 0; i < r->soak->balancer_count; i++) {
        order_link(r, NET_STORE_LINK, i, PORT_STORE, json);
    }
}

static void
order_gossip_links(struct running *r, const char *json)
{
    for (unsigned i = 0; i < r->soak->balancer_count; i++) {
        order_link(r, NET_GOSSIP_LINK, i, PORT_GOSSIP, json);
    }
}

/* Cuts what a balancer sends to its peers, or no longer. */
static void
cut_sending(struct running *r, const char *mode)
{
    char address[INET_ADDRSTRLEN];
    char json[96];

    soak_address(r->soak, NET_BALANCER, r->balancer->index, address);
    snprintf(json, sizeof(json), "{\"cut\":\"%s\",\"from\":\"%s\"}", mode,
             address);
    order_gossip_links(r, json);
}

static void
order_own_gossip(struct running *r, const char *json)
{
    order_link(r, NET_GOSSIP_LINK, r->balancer->index, PORT_GOSSIP, json);
}

static void
order_own_store(struct running *r, const char *json)
{
    order_link(r, NET_STORE_LINK, r->balancer->index, PORT_STORE, json);
}

static void
running_free(void *ctx)
{
    struct running *r = ctx;

    if (r->targets != NULL) {
        g_ptr_array_free(r->targets, TRUE);
    }
    g_free(r);
}

static void
end_now(void *ctx)
{
    struct running *r = ctx;

    soak_note(r->soak, "fault %s is over", fault_name(r->fault.kind));
    r->end(r);
    running_free(r);
}

/* Calls "end" when the fault's time is over. */
static void
end_later(struct running *r, void (*end)(struct running *r))
{
    r->end = end;
    soak_after(r->soak, r->fault.for_ms, end_now, r, running_free);
}

static void
end_store_cut(struct running *r)
{
    order_store_links(r, NO_CUT);
    disturb_store(r, false);
}

static void
cut_store(struct running *r, const char *json)
{
    disturb_store(r, true);
    order_store_links(r, json);
    end_later(r, end_store_cut);
}

static void
end_store_busy(struct running *r)
{
    directory_order(r->soak, "{\"mode\":\"ok\"}");
    disturb_store(r, false);
}

static void
end_store_slow(struct running *r)
{
    order_store_links(r, NO_DELAY);
    disturb_store(r, false);
}

/* Reads that may be old are no excuse for anything. */
static void
end_store_stale(struct running *r)
{
    directory_order(r->soak, "{\"stale\":0}");
}

/* Entries of targets that live come back soon after the store. */
static void
come_back(void *ctx)
{
    struct running *r = ctx;

    for (guint i = 0; i < r->targets->len; i++) {
        struct target_process *t = g_ptr_array_index(r->targets, i);

        if (t->child.pid != 0 && !t->leaving && !r->soak->ending) {
            directory_register(t);
        }
    }
    disturb_store(r, false);
    running_free(r);
}

static void
lapse_over(void *ctx)
{
    struct running *r = ctx;

    order_store_links(r, NO_CUT);
    soak_after(r->soak, LAPSE_BACK_MS, come_back, r, running_free);
}

static void
lapse(struct running *r)
{
    disturb_store(r, true);
    order_store_links(r, SILENT);
    r->targets = g_ptr_array_new();
    for (unsigned i = 0; i < r->soak->place_count; i++) {
        struct target_process *t = r->soak->places[i].target;

        if (t != NULL && t->registered && !t->leaving) {
            directory_remove(t, false);
            g_ptr_array_add(r->targets, t);
        }
    }
    soak_after(r->soak, r->fault.for_ms, lapse_over, r, running_free);
}

static void
end_store_one(struct running *r)
{
    order_own_store(r, NO_CUT);
    disturb_balancer(r, false);
}

static void
store_one(struct running *r)
{
    disturb_balancer(r, true);
    order_own_store(r, SILENT);
    end_later(r, end_store_one);
}

/* A balancer that only loses its peers has the store, and the bounds hold for
 * it all the while. */
static void
end_gossip_cut(struct running *r)
{
    order_own_gossip(r, NO_CUT);
    cut_sending(r, "no");
}

static void
gossip_cut(struct running *r)
{
    order_own_gossip(r, SILENT);
    cut_sending(r, "silent");
    end_later(r, end_gossip_cut);
}

static void
end_gossip_deaf(struct running *r)
{
    order_own_gossip(r, NO_CUT);
}

static void
end_gossip_mute(struct running *r)
{
    cut_sending(r, "no");
}

static void
end_gossip_slow(struct running *r)
{
    order_gossip_links(r, NO_DELAY);
}

static void
end_host_cut(struct running *r)
{
    end_gossip_cut(r);
    end_store_one(r);
}

static void
host_cut(struct running *r)
{
    disturb_balancer(r, true);
    order_own_store(r, SILENT);
    order_own_gossip(r, SILENT);
    cut_sending(r, "silent");
    end_later(r, end_host_cut);
}

static const struct harm harmed = {
    .lost = PACKETS_LOST, .twice = PACKETS_TWICE, .late = PACKETS_LATE};

static void
end_packets_harmed(struct running *r)
{
    r->balancer->harm = (struct harm){0};
    disturb_balancer(r, false);
}

static void
packets_harmed(struct running *r)
{
    disturb_balancer(r, true);
    r->balancer->harm = harmed;
    end_later(r, end_packets_harmed);
}

static void
end_target_harmed(struct running *r)
{
    r->target->place->harm = (struct harm){0};
    disturb_target(r, false);
}

static void
harm_target(struct running *r, const struct harm *harm)
{
    disturb_target(r, true);
    r->target->place->harm = *harm;
    end_later(r, end_target_harmed);
}

/* The entry of a dead target stays until three heartbeats are missed. */
static void
expire(void *ctx)
{
    struct running *r = ctx;
    struct target_process *t = r->target;
    int service = t->service;

    if (!r->soak->ending) {
        if (t->registered) {
            directory_remove(t, true);
        }
        if (t->place->target == NULL) {
            fleet_start_target(r->soak, t->place, service);
        }
    }
    running_free(r);
}

static void
target_kill(struct running *r)
{
    struct target_process *t = r->target;

    disturb_target(r, true);
    t->leaving = true;
    child_kill(&t->child);
    soak_after(r->soak, HEARTBEAT_EXPIRY_MS + r->fault.for_ms, expire, r,
               running_free);
}

static void
end_target_pause(struct running *r)
{
    r->target->paused = false;
    child_signal(&r->target->child, SIGCONT);
    disturb_target(r, false);
}

static void
target_pause(struct running *r)
{
    disturb_target(r, true);
    r->target->paused = true;
    child_signal(&r->target->child, SIGSTOP);
    end_later(r, end_target_pause);
}

/* Targets of both services end, and each one's address goes to the other
 * service. */
static void
target_reuse(struct running *r)
{
    for (int service = 0; service < SOAK_SERVICES; service++) {
        for (unsigned i = 0; i < r->soak->place_count; i++) {
            struct target_process *t =
                r->soak->places[(i + r->fault.subject) % r->soak->place_count]
                    .target;

            if (t != NULL && t->service == service && !t->leaving &&
                !t->paused && fleet_targets_of(r->soak, service) > 1) {
                fleet_drain_target(t, (service + 1) % SOAK_SERVICES);
                break;
            }
        }
    }
    running_free(r);
}

/* Replaces the next target of the list. */
static void
release_next(void *ctx)
{
    struct running *r = ctx;
    struct target_process *t;

    if (r->step == r->targets->len || r->soak->settled) {
        running_free(r);
        return;
    }
    t = g_ptr_array_index(r->targets, r->step);
    r->step++;
    if (t->child.pid != 0 && !t->leaving && !t->paused &&
        fleet_targets_of(r->soak, t->service) > 1) {
        fleet_drain_target(t, t->service);
    }
    soak_after(r->soak, RELEASE_GAP_MS, release_next, r, running_free);
}

static void
release(struct running *r)
{
    int service = (int)r->fault.subject % SOAK_SERVICES;

    r->targets = g_ptr_array_new();
    for (unsigned i = 0; i < r->soak->place_count; i++) {
        struct target_process *t = r->soak->places[i].target;

        if (t != NULL && t->service == service && !t->leaving) {
            g_ptr_array_add(r->targets, t);
        }
    }
    release_next(r);
}

/* A balancer that a fault has ended is started by that fault, later. */
static void
end_kill(struct running *r)
{
    r->balancer->restarts_held--;
    if (r->balancer->child.pid == 0 && r->balancer->restarts_held == 0 &&
        !r->soak->ending) {
        fleet_start_balancer(r->balancer);
    }
}

static void
kill_balancer(struct balancer *b)
{
    b->restarts_held++;
    if (b->child.pid != 0) {
        child_kill(&b->child);
    }
}

static void
end_kill_all(struct running *r)
{
    for (unsigned i = 0; i < r->soak->balancer_count; i++) {
        r->balancer = &r->soak->balancers[i];
        end_kill(r);
    }
}

static void
kill_all(struct running *r)
{
    for (unsigned i = 0; i < r->soak->balancer_count; i++) {
        kill_balancer(&r->soak->balancers[i]);
    }
    end_later(r, end_kill_all);
}

static void
end_pause(struct running *r)
{
    r->balancer->paused = false;
    child_signal(&r->balancer->child, SIGCONT);
    disturb_balancer(r, false);
}

static void
pause_balancer(struct running *r)
{
    if (r->balancer->child.pid == 0 || r->balancer->child.stopping ||
        r->balancer->paused) {
        running_free(r);
        return;
    }
    disturb_balancer(r, true);
    r->balancer->paused = true;
    child_signal(&r->balancer->child, SIGSTOP);
    end_later(r, end_pause);
}

static void
roll_next(void *ctx)
{
    struct running *r = ctx;
    struct balancer *b;

    if (r->step == r->soak->balancer_count || r->soak->settled) {
        running_free(r);
        return;
    }
    b = &r->soak->balancers[r->step];
    r->step++;
    if (b->child.pid != 0 && !b->child.stopping && !b->paused) {
        checker_balancer_stopping(r->soak->checker, b->index, soak_now_ms());
        child_stop(&b->child);
    }
    soak_after(r->soak, ROLL_GAP_MS, roll_next, r, running_free);
}

/* Changes a route, or takes one away that the next change brings back. */
static void
change_config(struct soak *soak)
{
    unsigned route = random_below(&soak->choices, CHECKER_ROUTES_MAX);
    int *service = &soak->services[route];

    if (*service == CHECKER_NO_SERVICE ||
        random_below(&soak->choices, 4) != 0) {
        *service = *service == 0 ? 1 : 0;
    }
    else {
        *service = CHECKER_NO_SERVICE;
    }
    directory_write_config(soak);
}

static void
storm_next(void *ctx)
{
    struct running *r = ctx;

    if (r->soak->settled || r->step * STORM_GAP_MS >= r->fault.for_ms) {
        running_free(r);
        return;
    }
    r->step++;
    change_config(r->soak);
    soak_after(r->soak, STORM_GAP_MS, storm_next, r, running_free);
}

static void
scale_in(struct running *r)
{
    struct target_process *t = r->target;

    if (fleet_targets_of(r->soak, t->service) > 1) {
        fleet_drain_target(t, t->service);
    }
    running_free(r);
}

static void
begin_store(struct running *r)
{
    switch (r->fault.kind) {
    case FAULT_STORE_SILENT:
        cut_store(r, SILENT);
        break;
    case FAULT_STORE_LOST:
        cut_store(r, CUT_DOWN);
        break;
    case FAULT_STORE_RESET:
        cut_store(r, CLOSED);
        break;
    case FAULT_STORE_BUSY:
        disturb_store(r, true);
        directory_order(r->soak, "{\"mode\":\"busy\"}");
        end_later(r, end_store_busy);
        break;
    case FAULT_STORE_SLOW:
        disturb_store(r, true);
        order_store_links(r, SLOW_STORE);
        end_later(r, end_store_slow);
        break;
    case FAULT_STORE_QUIET:
        pulse_all(r);
        order_store_links(r, SILENCE);
        running_free(r);
        break;
    case FAULT_STORE_COMPACT:
        directory_order(r->soak, "{\"compact\":true}");
        running_free(r);
        break;
    case FAULT_STORE_STALE:
        directory_order(r->soak, STALE_STORE);
        end_later(r, end_store_stale);
        break;
    case FAULT_STORE_LAPSE:
        lapse(r);
        break;
    default:
        store_one(r);
        break;
    }
}

static void
begin_gossip(struct running *r)
{
    switch (r->fault.kind) {
    case FAULT_GOSSIP_CUT:
        gossip_cut(r);
        break;
    case FAULT_GOSSIP_DEAF:
        order_own_gossip(r, CUT_UP);
        end_later(r, end_gossip_deaf);
        break;
    case FAULT_GOSSIP_MUTE:
        cut_sending(r, "up");
        end_later(r, end_gossip_mute);
        break;
    case FAULT_GOSSIP_QUIET:
        pulse_all(r);
        order_gossip_links(r, SILENCE);
        running_free(r);
        break;
    case FAULT_GOSSIP_SLOW:
        order_gossip_links(r, SLOW_GOSSIP);
        end_later(r, end_gossip_slow);
        break;
    default:
        host_cut(r);
        break;
    }
}

static void
begin_target(struct running *r)
{
    static const struct harm cut = {.cut = true};

    if (r->target == NULL) {
        running_free(r);
        return;
    }
    switch (r->fault.kind) {
    case FAULT_TARGET_HARMED:
        harm_target(r, &harmed);
        break;
    case FAULT_TARGET_CUT:
        harm_target(r, &cut);
        break;
    case FAULT_TARGET_KILL:
        target_kill(r);
        break;
    case FAULT_TARGET_PAUSE:
        target_pause(r);
        break;
    default:
        scale_in(r);
        break;
    }
}

static void
begin_other(struct running *r)
{
    switch (r->fault.kind) {
    case FAULT_PACKETS_HARMED:
        packets_harmed(r);
        break;
    case FAULT_TARGET_REUSE:
        target_reuse(r);
        break;
    case FAULT_RELEASE:
        release(r);
        break;
    case FAULT_KILL:
        kill_balancer(r->balancer);
        end_later(r, end_kill);
        break;
    case FAULT_KILL_ALL:
        kill_all(r);
        break;
    case FAULT_PAUSE:
        pause_balancer(r);
        break;
    case FAULT_ROLL:
        roll_next(r);
        break;
    case FAULT_CONFIG_STORM:
        storm_next(r);
        break;
    case FAULT_HANGUP:
        fleet_write_settings(r->balancer);
        child_signal(&r->balancer->child, SIGHUP);
        running_free(r);
        break;
    default:
        change_config(r->soak);
        running_free(r);
        break;
    }
}

/* The target of a fault: one that lives and is not about to leave. */
static struct target_process *
find_target(struct soak *soak, unsigned subject)
{
    for (size_t i = 0; i < soak->place_count; i++) {
        struct target_process *t =
            soak->places[(subject + i) % soak->place_count].target;

        if (t != NULL && t->child.pid != 0 && !t->leaving && !t->paused) {
            return t;
        }
    }
    return NULL;
}

void
fault_begin(struct soak *soak, const struct fault *fault)
{
    struct running *r = g_new0(struct running, 1);

    r->soak = soak;
    r->fault = *fault;
    r->balancer = &soak->balancers[fault->subject % soak->balancer_count];
    r->target = find_target(soak, fault->subject);
    soak_note(soak, "fault %s begins, balancer=%u target=%d , for %lu ms",
              fault_name(fault->kind), r->balancer->index,
              r->target == NULL ? -1 : (int)r->target->number, fault->for_ms);
    if (fault->kind <= FAULT_STORE_ONE) {
        begin_store(r);
    }
    else if (fault->kind <= FAULT_HOST_CUT) {
        begin_gossip(r);
    }
    else if ((fault->kind >= FAULT_TARGET_HARMED &&
              fault->kind <= FAULT_TARGET_PAUSE) ||
             fault->kind == FAULT_SCALE_IN) {
        begin_target(r);
    }
    else {
        begin_other(r);
    }
}
