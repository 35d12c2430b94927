#include "faults.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "child.h"
#include "directory.h"
#include "fleet.h"

/* Control requests to the stand-ins. With STORE_DELAY, calls to the store
 * still end within their timeout of 1 s; with GOSSIP_DELAY, gossip messages
 * still arrive within the timeout of a heartbeat. With STORE_STALE, the store
 * returns data that is 6 revisions old. SILENCE_CONNECTIONS stops all data on
 * the connections that are open at that time, for good. "up" is the direction
 * from the side that opened a connection, "down" the opposite one. */
#define STORE_DELAY "{\"delay_ms\":400}"
#define GOSSIP_DELAY "{\"delay_ms\":150}"
#define STORE_STALE "{\"stale\":6}"
#define NO_DELAY "{\"delay_ms\":0}"
#define CUT_SILENT "{\"cut\":\"silent\"}"
#define CUT_UP "{\"cut\":\"up\"}"
#define CUT_DOWN "{\"cut\":\"down\"}"
#define CUT_CLOSED "{\"cut\":\"closed\"}"
#define CUT_NONE "{\"cut\":\"no\"}"
#define SILENCE_CONNECTIONS "{\"silence\":true}"
/* Time after the return of the store until targets write their expired entries
 * again. */
#define LAPSE_RESTORE_DELAY_MS 1000
/* Age of the copy from which the store is restored. */
#define STORE_COPY_AGE_MS 4000
/* Interval between the stops of two balancers in a rolling restart; a stop
 * takes about two seconds. */
#define ROLL_INTERVAL_MS 2500
/* Interval between the drains of two targets in a release. It is shorter than
 * a drain, so that several targets are leaving at the same time. */
#define RELEASE_INTERVAL_MS 1500
/* Number of targets that stand still one after the other, and the interval
 * between two of them. */
#define STALLED_TARGETS 6
#define STALL_INTERVAL_MS 150
/* Interval between two changes of a configuration storm: ten changes per
 * second, while users make at most three. */
#define CONFIG_STORM_INTERVAL_MS 100
/* Interval at which it is checked whether an order can be taken back. */
#define TAKE_BACK_RETRY_MS 500
/* Shares of the datagrams that are lost, duplicated and delayed: enough to
 * affect most flows, but few enough that most requests are answered in time.
 */
#define LOSS_SHARE 0.05
#define DUPLICATE_SHARE 0.05
#define DELAY_SHARE 0.2

/* A fault that has begun. It is freed after its last step, or by soak_after()
 * when the soak ends before that. */
struct active_fault {
    struct soak *soak;
    struct fault fault;
    unsigned step; /* next step of a fault that has several */
    struct balancer *balancer;
    struct target_process *target; /* NULL: no target was eligible */
    GPtrArray *targets; /* struct target_process, not owned, of a fault that
                           affects several targets; NULL for other faults */
    void (*end)(struct active_fault *active);
};

/* Tells the checker that the fault starts or stops affecting a subject. */
static void
mark_disturbed(struct active_fault *active, enum checker_subject kind,
               unsigned index, bool disturbed)
{
    if (disturbed) {
        checker_fault_started(active->soak->checker, kind, index,
                              soak_now_ms());
    }
    else {
        checker_fault_ended(active->soak->checker, kind, index, soak_now_ms());
    }
}

static void
mark_store_disturbed(struct active_fault *active, bool disturbed)
{
    mark_disturbed(active, SUBJECT_STORE, 0, disturbed);
}

static void
mark_balancer_disturbed(struct active_fault *active, bool disturbed)
{
    mark_disturbed(active, SUBJECT_BALANCER, active->balancer->index,
                   disturbed);
}

static void
mark_target_disturbed(struct active_fault *active, bool disturbed)
{
    mark_disturbed(active, SUBJECT_TARGET, active->target->number, disturbed);
}

/* Tells the checker that a fault of no duration has affected all balancers, so
 * that their settle time starts again. */
static void
restart_settle_times(struct active_fault *active)
{
    for (unsigned i = 0; i < active->soak->balancer_count; i++) {
        mark_disturbed(active, SUBJECT_BALANCER, i, true);
        mark_disturbed(active, SUBJECT_BALANCER, i, false);
    }
}

/* Sends a control request to the link that listens on an address. */
static void
control_link(struct active_fault *active, enum soak_net net, unsigned index,
             uint16_t port, const char *json)
{
    char address[INET_ADDRSTRLEN];
    char listen[INET_ADDRSTRLEN + 8];

    soak_address(active->soak, net, index, address);
    snprintf(listen, sizeof(listen), "%s:%u", address, port);
    directory_control_links(active->soak, listen, json);
}

static void
control_store_links(struct active_fault *active, const char *json)
{
    for (unsigned i = 0; i < active->soak->balancer_count; i++) {
        control_link(active, NET_STORE_LINK, i, PORT_STORE, json);
    }
}

static void
control_gossip_links(struct active_fault *active, const char *json)
{
    for (unsigned i = 0; i < active->soak->balancer_count; i++) {
        control_link(active, NET_GOSSIP_LINK, i, PORT_GOSSIP, json);
    }
}

/* Sets how the connections that the fault's balancer opened to its peers are
 * cut; "no" for not at all. */
static void
cut_opened_gossip(struct active_fault *active, const char *mode)
{
    char address[INET_ADDRSTRLEN];
    char json[96];

    soak_address(active->soak, NET_BALANCER, active->balancer->index, address);
    snprintf(json, sizeof(json), "{\"cut\":\"%s\",\"from\":\"%s\"}", mode,
             address);
    control_gossip_links(active, json);
}

/* Controls the link through which peers reach the fault's balancer. */
static void
control_balancer_gossip_link(struct active_fault *active, const char *json)
{
    control_link(active, NET_GOSSIP_LINK, active->balancer->index, PORT_GOSSIP,
                 json);
}

/* Controls the link through which the fault's balancer reaches the store. */
static void
control_balancer_store_link(struct active_fault *active, const char *json)
{
    control_link(active, NET_STORE_LINK, active->balancer->index, PORT_STORE,
                 json);
}

static void
active_fault_free(void *ctx)
{
    struct active_fault *active = ctx;

    if (active->targets != NULL) {
        g_ptr_array_free(active->targets, TRUE);
    }
    g_free(active);
}

static void
on_duration_over(void *ctx)
{
    struct active_fault *active = ctx;

    soak_log(active->soak, "fault %s ends", fault_name(active->fault.kind));
    active->end(active);
    active_fault_free(active);
}

/* Calls "end" after the duration of the fault and then frees the fault. */
static void
end_after_duration(struct active_fault *active,
                   void (*end)(struct active_fault *active))
{
    active->end = end;
    soak_after(active->soak, active->fault.duration_ms, on_duration_over,
               active, active_fault_free);
}

static void
end_store_cut(struct active_fault *active)
{
    control_store_links(active, CUT_NONE);
    mark_store_disturbed(active, false);
}

static void
cut_store(struct active_fault *active, const char *json)
{
    mark_store_disturbed(active, true);
    control_store_links(active, json);
    end_after_duration(active, end_store_cut);
}

static void
end_store_busy(struct active_fault *active)
{
    directory_control_store(active->soak, "{\"mode\":\"ok\"}");
    mark_store_disturbed(active, false);
}

static void
end_store_slow(struct active_fault *active)
{
    control_store_links(active, NO_DELAY);
    mark_store_disturbed(active, false);
}

/* Stale reads must not break any promise, so the checker is not told of this
 * fault. */
static void
end_store_stale(struct active_fault *active)
{
    directory_control_store(active->soak, "{\"stale\":0}");
}

/* Targets that still run write their expired entries again. */
static void
restore_entries(void *ctx)
{
    struct active_fault *active = ctx;

    for (guint i = 0; i < active->targets->len; i++) {
        struct target_process *t = g_ptr_array_index(active->targets, i);

        if (t->child.pid != 0 && !t->leaving && !active->soak->ending) {
            directory_write_target(t);
        }
    }
    mark_store_disturbed(active, false);
    active_fault_free(active);
}

static void
end_lapse_silence(void *ctx)
{
    struct active_fault *active = ctx;

    control_store_links(active, CUT_NONE);
    soak_after(active->soak, LAPSE_RESTORE_DELAY_MS, restore_entries, active,
               active_fault_free);
}

static void
begin_store_lapse(struct active_fault *active)
{
    mark_store_disturbed(active, true);
    control_store_links(active, CUT_SILENT);
    active->targets = g_ptr_array_new();
    for (unsigned i = 0; i < active->soak->target_addr_count; i++) {
        struct target_process *t = active->soak->target_addrs[i].target;

        if (t != NULL && t->registered && !t->leaving) {
            directory_remove_target(t, false);
            g_ptr_array_add(active->targets, t);
        }
    }
    soak_after(active->soak, active->fault.duration_ms, end_lapse_silence,
               active, active_fault_free);
}

/* The entries that were removed before the store returned expire again. */
static void
remove_entries_again(void *ctx)
{
    struct active_fault *active = ctx;
    struct soak *soak = active->soak;

    for (guint i = 0; i < soak->targets->len && !soak->ending; i++) {
        struct target_process *t = g_ptr_array_index(soak->targets, i);

        if (!t->registered) {
            directory_remove_target(t, false);
        }
    }
    mark_store_disturbed(active, false);
    active_fault_free(active);
}

/* The operator and the targets write again what the store has lost. */
static void
write_entries_again(void *ctx)
{
    struct active_fault *active = ctx;
    struct soak *soak = active->soak;

    for (guint i = 0; i < soak->targets->len && !soak->ending; i++) {
        struct target_process *t = g_ptr_array_index(soak->targets, i);

        if (t->registered && t->child.pid != 0) {
            directory_write_target(t);
        }
    }
    if (!soak->ending) {
        directory_write_config(soak);
        for (unsigned domain = 0; domain < SOAK_DOMAINS; domain++) {
            directory_write_order(soak, domain);
        }
    }
    soak->restores--;
    soak_after(soak, HEARTBEAT_EXPIRY_MS - LAPSE_RESTORE_DELAY_MS,
               remove_entries_again, active, active_fault_free);
}

static void
begin_store_restored(struct active_fault *active)
{
    char json[96];

    mark_store_disturbed(active, true);
    active->soak->restores++;
    snprintf(json, sizeof(json),
             "{\"restore\":{\"back_ms\":%d,\"away_ms\":%d,\"late_ms\":%d}}",
             STORE_COPY_AGE_MS, (int)active->fault.duration_ms,
             (int)(active->fault.subject % 2) * LAPSE_RESTORE_DELAY_MS / 2);
    directory_control_store(active->soak, json);
    soak_after(active->soak,
               active->fault.duration_ms + LAPSE_RESTORE_DELAY_MS,
               write_entries_again, active, active_fault_free);
}

static void
end_store_one(struct active_fault *active)
{
    control_balancer_store_link(active, CUT_NONE);
    mark_balancer_disturbed(active, false);
}

static void
begin_store_one(struct active_fault *active)
{
    mark_balancer_disturbed(active, true);
    control_balancer_store_link(active, CUT_SILENT);
    end_after_duration(active, end_store_one);
}

/* A balancer that cannot reach its peers can still reach the store, so the
 * bounds apply to it during the fault. */
static void
end_gossip_cut(struct active_fault *active)
{
    control_balancer_gossip_link(active, CUT_NONE);
    cut_opened_gossip(active, "no");
}

static void
begin_gossip_cut(struct active_fault *active)
{
    control_balancer_gossip_link(active, CUT_SILENT);
    cut_opened_gossip(active, "silent");
    end_after_duration(active, end_gossip_cut);
}

static void
end_gossip_deaf(struct active_fault *active)
{
    control_balancer_gossip_link(active, CUT_NONE);
}

static void
end_gossip_mute(struct active_fault *active)
{
    cut_opened_gossip(active, "no");
}

static void
end_gossip_slow(struct active_fault *active)
{
    control_gossip_links(active, NO_DELAY);
}

static void
end_host_cut(struct active_fault *active)
{
    end_gossip_cut(active);
    end_store_one(active);
}

static void
begin_host_cut(struct active_fault *active)
{
    mark_balancer_disturbed(active, true);
    control_balancer_store_link(active, CUT_SILENT);
    control_balancer_gossip_link(active, CUT_SILENT);
    cut_opened_gossip(active, "silent");
    end_after_duration(active, end_host_cut);
}

static const struct impairment packet_impairment = {
    .loss_share = LOSS_SHARE,
    .duplicate_share = DUPLICATE_SHARE,
    .delay_share = DELAY_SHARE};

static void
end_packets_harmed(struct active_fault *active)
{
    active->balancer->impairment = (struct impairment){0};
    mark_balancer_disturbed(active, false);
}

static void
impair_packets(struct active_fault *active)
{
    mark_balancer_disturbed(active, true);
    active->balancer->impairment = packet_impairment;
    end_after_duration(active, end_packets_harmed);
}

static void
end_target_harmed(struct active_fault *active)
{
    active->target->target_addr->impairment = (struct impairment){0};
    mark_target_disturbed(active, false);
}

static void
impair_target(struct active_fault *active, const struct impairment *impairment)
{
    mark_target_disturbed(active, true);
    active->target->target_addr->impairment = *impairment;
    end_after_duration(active, end_target_harmed);
}

/* Removes the entry of a killed target, which expires after three missed
 * heartbeats, and starts another target at its address. */
static void
replace_dead_target(void *ctx)
{
    struct active_fault *active = ctx;
    struct target_process *t = active->target;
    int service = t->service;

    if (!active->soak->ending) {
        if (t->registered) {
            directory_remove_target(t, true);
        }
        if (t->target_addr->target == NULL) {
            fleet_start_target(active->soak, t->target_addr, service);
        }
    }
    active_fault_free(active);
}

static void
kill_target(struct active_fault *active)
{
    struct target_process *t = active->target;

    mark_target_disturbed(active, true);
    t->leaving = true;
    child_kill(&t->child);
    soak_after(active->soak, HEARTBEAT_EXPIRY_MS + active->fault.duration_ms,
               replace_dead_target, active, active_fault_free);
}

static void
end_target_pause(struct active_fault *active)
{
    active->target->paused = false;
    child_signal(&active->target->child, SIGCONT);
    mark_target_disturbed(active, false);
}

static void
pause_target(struct active_fault *active)
{
    mark_target_disturbed(active, true);
    active->target->paused = true;
    child_signal(&active->target->child, SIGSTOP);
    end_after_duration(active, end_target_pause);
}

static struct target_process *find_eligible_target(struct soak *soak,
                                                   unsigned subject);
static void stall_next(void *ctx);

static void
end_stall(void *ctx)
{
    struct active_fault *active = ctx;

    active->target->paused = false;
    child_signal(&active->target->child, SIGCONT);
    if (active->step == STALLED_TARGETS) {
        active_fault_free(active);
        return;
    }
    soak_after(active->soak, STALL_INTERVAL_MS, stall_next, active,
               active_fault_free);
}

/* Stops the next target for a moment. The checker is not told: that is no
 * fault of the target. */
static void
stall_next(void *ctx)
{
    struct active_fault *active = ctx;

    active->target = find_eligible_target(active->soak, active->fault.subject +
                                                            active->step);
    active->step++;
    if (active->target == NULL) {
        active_fault_free(active);
        return;
    }
    active->target->paused = true;
    child_signal(&active->target->child, SIGSTOP);
    soak_log(active->soak, "target=%u stands still", active->target->number);
    soak_after(active->soak, active->fault.duration_ms, end_stall, active,
               active_fault_free);
}

/* Drains one target of each service. Its address is given to a target of the
 * other service. */
static void
swap_target_services(struct active_fault *active)
{
    for (int service = 0; service < SOAK_SERVICES; service++) {
        for (unsigned i = 0; i < active->soak->target_addr_count; i++) {
            struct target_process *t =
                active->soak
                    ->target_addrs[(i + active->fault.subject) %
                                   active->soak->target_addr_count]
                    .target;

            if (t != NULL && t->service == service && !t->leaving &&
                !t->paused && fleet_count_targets(active->soak, service) > 1) {
                fleet_drain_target(t, (service + 1) % SOAK_SERVICES);
                break;
            }
        }
    }
    active_fault_free(active);
}

/* Replaces the next target of a release. */
static void
release_next(void *ctx)
{
    struct active_fault *active = ctx;
    struct target_process *t;

    if (active->step == active->targets->len || active->soak->recovering) {
        active_fault_free(active);
        return;
    }
    t = g_ptr_array_index(active->targets, active->step);
    active->step++;
    if (t->child.pid != 0 && !t->leaving && !t->paused &&
        fleet_count_targets(active->soak, t->service) > 1) {
        fleet_drain_target(t, t->service);
    }
    soak_after(active->soak, RELEASE_INTERVAL_MS, release_next, active,
               active_fault_free);
}

static void
begin_release(struct active_fault *active)
{
    int service = (int)active->fault.subject % SOAK_SERVICES;

    active->targets = g_ptr_array_new();
    for (unsigned i = 0; i < active->soak->target_addr_count; i++) {
        struct target_process *t = active->soak->target_addrs[i].target;

        if (t != NULL && t->service == service && !t->leaving) {
            g_ptr_array_add(active->targets, t);
        }
    }
    release_next(active);
}

/* A balancer that faults have killed is started when the last of them ends. */
static void
end_kill(struct active_fault *active)
{
    active->balancer->restart_blocks--;
    if (active->balancer->child.pid == 0 &&
        active->balancer->restart_blocks == 0 && !active->soak->ending) {
        fleet_start_balancer(active->balancer);
    }
}

static void
kill_balancer(struct balancer *b)
{
    b->restart_blocks++;
    if (b->child.pid != 0) {
        child_kill(&b->child);
    }
}

static void
end_kill_all(struct active_fault *active)
{
    for (unsigned i = 0; i < active->soak->balancer_count; i++) {
        active->balancer = &active->soak->balancers[i];
        end_kill(active);
    }
}

static void
kill_all(struct active_fault *active)
{
    for (unsigned i = 0; i < active->soak->balancer_count; i++) {
        kill_balancer(&active->soak->balancers[i]);
    }
    end_after_duration(active, end_kill_all);
}

static void
end_pause(struct active_fault *active)
{
    active->balancer->paused = false;
    child_signal(&active->balancer->child, SIGCONT);
    mark_balancer_disturbed(active, false);
}

static void
pause_balancer(struct active_fault *active)
{
    if (active->balancer->child.pid == 0 || active->balancer->child.stopping ||
        active->balancer->paused) {
        active_fault_free(active);
        return;
    }
    mark_balancer_disturbed(active, true);
    active->balancer->paused = true;
    child_signal(&active->balancer->child, SIGSTOP);
    end_after_duration(active, end_pause);
}

static void
end_unrouted(struct active_fault *active)
{
    active->balancer->unrouted--;
}

static void
unroute_balancer(struct active_fault *active)
{
    active->balancer->unrouted++;
    end_after_duration(active, end_unrouted);
}

/* Stops the next balancer of a rolling restart. The fleet starts it again
 * when it has ended. */
static void
restart_next(void *ctx)
{
    struct active_fault *active = ctx;
    struct balancer *b;

    if (active->step == active->soak->balancer_count ||
        active->soak->recovering) {
        active_fault_free(active);
        return;
    }
    b = &active->soak->balancers[active->step];
    active->step++;
    if (b->child.pid != 0 && !b->child.stopping && !b->paused) {
        checker_balancer_stopping(active->soak->checker, b->index,
                                  soak_now_ms());
        child_stop(&b->child);
    }
    soak_after(active->soak, ROLL_INTERVAL_MS, restart_next, active,
               active_fault_free);
}

/* Gives a random route the other service, or removes it with a probability of
 * 1/4. A removed route is added again by its next change. */
static void
change_config(struct soak *soak)
{
    unsigned route = random_below(&soak->config_random, CHECKER_ROUTES_MAX);
    int *service = &soak->services[route];

    if (*service == CHECKER_NO_SERVICE ||
        random_below(&soak->config_random, 4) != 0) {
        *service = *service == 0 ? 1 : 0;
    }
    else {
        *service = CHECKER_NO_SERVICE;
    }
    directory_write_config(soak);
}

/* Makes the next change of a configuration storm. */
static void
change_next(void *ctx)
{
    struct active_fault *active = ctx;

    if (active->soak->recovering ||
        active->step * CONFIG_STORM_INTERVAL_MS >= active->fault.duration_ms) {
        active_fault_free(active);
        return;
    }
    active->step++;
    change_config(active->soak);
    soak_after(active->soak, CONFIG_STORM_INTERVAL_MS, change_next, active,
               active_fault_free);
}

/* Takes an order back, once a store that has returned from a copy has it
 * again: there would be nothing to take back. */
static void
take_back(void *ctx)
{
    struct active_fault *active = ctx;
    struct soak *soak = active->soak;

    if (soak->restores > 0) {
        soak_after(soak, TAKE_BACK_RETRY_MS, take_back, active,
                   active_fault_free);
        return;
    }
    soak_log(soak, "fault %s ends", fault_name(active->fault.kind));
    soak->emptied[active->fault.subject % SOAK_DOMAINS] = false;
    if (!soak->ending) {
        directory_write_order(soak, active->fault.subject % SOAK_DOMAINS);
    }
    active_fault_free(active);
}

static void
empty_domain(struct active_fault *active)
{
    unsigned domain = active->fault.subject % SOAK_DOMAINS;

    if (active->soak->emptied[domain]) {
        active_fault_free(active);
        return;
    }
    active->soak->emptied[domain] = true;
    directory_write_order(active->soak, domain);
    soak_after(active->soak, active->fault.duration_ms, take_back, active,
               active_fault_free);
}

static void
drain_target(struct active_fault *active)
{
    struct target_process *t = active->target;

    if (fleet_count_targets(active->soak, t->service) > 1) {
        fleet_drain_target(t, t->service);
    }
    active_fault_free(active);
}

static void
begin_store(struct active_fault *active)
{
    switch (active->fault.kind) {
    case FAULT_STORE_SILENT:
        cut_store(active, CUT_SILENT);
        break;
    case FAULT_STORE_LOST:
        cut_store(active, CUT_DOWN);
        break;
    case FAULT_STORE_RESET:
        cut_store(active, CUT_CLOSED);
        break;
    case FAULT_STORE_BUSY:
        mark_store_disturbed(active, true);
        directory_control_store(active->soak, "{\"mode\":\"busy\"}");
        end_after_duration(active, end_store_busy);
        break;
    case FAULT_STORE_SLOW:
        mark_store_disturbed(active, true);
        control_store_links(active, STORE_DELAY);
        end_after_duration(active, end_store_slow);
        break;
    case FAULT_STORE_QUIET:
        restart_settle_times(active);
        control_store_links(active, SILENCE_CONNECTIONS);
        active_fault_free(active);
        break;
    case FAULT_STORE_COMPACT:
        directory_control_store(active->soak, "{\"compact\":true}");
        active_fault_free(active);
        break;
    case FAULT_STORE_STALE:
        directory_control_store(active->soak, STORE_STALE);
        end_after_duration(active, end_store_stale);
        break;
    case FAULT_STORE_LAPSE:
        begin_store_lapse(active);
        break;
    case FAULT_STORE_RESTORED:
        begin_store_restored(active);
        break;
    default:
        begin_store_one(active);
        break;
    }
}

static void
begin_gossip(struct active_fault *active)
{
    switch (active->fault.kind) {
    case FAULT_GOSSIP_CUT:
        begin_gossip_cut(active);
        break;
    case FAULT_GOSSIP_DEAF:
        control_balancer_gossip_link(active, CUT_UP);
        end_after_duration(active, end_gossip_deaf);
        break;
    case FAULT_GOSSIP_MUTE:
        cut_opened_gossip(active, "up");
        end_after_duration(active, end_gossip_mute);
        break;
    case FAULT_GOSSIP_QUIET:
        restart_settle_times(active);
        control_gossip_links(active, SILENCE_CONNECTIONS);
        active_fault_free(active);
        break;
    case FAULT_GOSSIP_SLOW:
        control_gossip_links(active, GOSSIP_DELAY);
        end_after_duration(active, end_gossip_slow);
        break;
    default:
        begin_host_cut(active);
        break;
    }
}

static void
begin_target(struct active_fault *active)
{
    static const struct impairment cut = {.cut = true};

    if (active->target == NULL) {
        active_fault_free(active);
        return;
    }
    switch (active->fault.kind) {
    case FAULT_TARGET_HARMED:
        impair_target(active, &packet_impairment);
        break;
    case FAULT_TARGET_CUT:
        impair_target(active, &cut);
        break;
    case FAULT_TARGET_KILL:
        kill_target(active);
        break;
    case FAULT_TARGET_STALL:
        stall_next(active);
        break;
    case FAULT_TARGET_PAUSE:
        pause_target(active);
        break;
    default:
        drain_target(active);
        break;
    }
}

static void
end_odd_item(struct active_fault *active)
{
    directory_remove_odd_item(active->soak, active->fault.subject);
}

static void
begin_other(struct active_fault *active)
{
    switch (active->fault.kind) {
    case FAULT_PACKETS_HARMED:
        impair_packets(active);
        break;
    case FAULT_TARGET_REUSE:
        swap_target_services(active);
        break;
    case FAULT_RELEASE:
        begin_release(active);
        break;
    case FAULT_KILL:
        kill_balancer(active->balancer);
        end_after_duration(active, end_kill);
        break;
    case FAULT_KILL_ALL:
        kill_all(active);
        break;
    case FAULT_PAUSE:
        pause_balancer(active);
        break;
    case FAULT_ROLL:
        restart_next(active);
        break;
    case FAULT_CONFIG_STORM:
        change_next(active);
        break;
    case FAULT_DOMAIN_EMPTIED:
        empty_domain(active);
        break;
    case FAULT_HANGUP:
        fleet_write_settings(active->balancer);
        child_signal(&active->balancer->child, SIGHUP);
        active_fault_free(active);
        break;
    case FAULT_UNROUTED:
        unroute_balancer(active);
        break;
    case FAULT_ODD_ITEM:
        directory_write_odd_item(active->soak, active->fault.subject);
        end_after_duration(active, end_odd_item);
        break;
    default:
        change_config(active->soak);
        active_fault_free(active);
        break;
    }
}

/* Finds the target of a fault: one that runs and is neither leaving nor
 * paused. Returns NULL if there is none. */
static struct target_process *
find_eligible_target(struct soak *soak, unsigned subject)
{
    for (size_t i = 0; i < soak->target_addr_count; i++) {
        struct target_process *t =
            soak->target_addrs[(subject + i) % soak->target_addr_count].target;

        if (t != NULL && t->child.pid != 0 && !t->leaving && !t->paused) {
            return t;
        }
    }
    return NULL;
}

void
fault_begin(struct soak *soak, const struct fault *fault)
{
    struct active_fault *active = g_new0(struct active_fault, 1);

    active->soak = soak;
    active->fault = *fault;
    active->balancer = &soak->balancers[fault->subject % soak->balancer_count];
    active->target = find_eligible_target(soak, fault->subject);
    soak_log(soak, "fault %s begins, balancer=%u target=%d , duration %lu ms",
             fault_name(fault->kind), active->balancer->index,
             active->target == NULL ? -1 : (int)active->target->number,
             fault->duration_ms);
    if (fault->kind <= FAULT_STORE_ONE) {
        begin_store(active);
    }
    else if (fault->kind <= FAULT_HOST_CUT) {
        begin_gossip(active);
    }
    else if ((fault->kind >= FAULT_TARGET_HARMED &&
              fault->kind <= FAULT_TARGET_PAUSE) ||
             fault->kind == FAULT_SCALE_IN) {
        begin_target(active);
    }
    else {
        begin_other(active);
    }
}
