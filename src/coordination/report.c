#include "coordination/report.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define RESEND_MIN_US (1 * USEC_PER_SEC) /* until the floor shows it */
#define RESEND_MAX_US (16 * USEC_PER_SEC)
#define REPORT_INTERVAL_US (20 * USEC_PER_SEC) /* without any change */
#define BEHIND_GRACE_US (1 * USEC_PER_SEC)     /* the usual time to spread */
#define WRITE_GAP_US (300 * USEC_PER_MSEC)     /* between two writes */
#define WRITE_RETRY_US (1 * USEC_PER_SEC)
#define WRITE_INTERVAL_US (60 * USEC_PER_SEC) /* without any change */
#define EXPECT_AFTER_US (10 * USEC_PER_SEC)   /* hosts may join until then */
#define HOSTS_INTERVAL_US (5 * USEC_PER_SEC)  /* check of declared hosts */

struct report {
    struct membership *ms;
    struct spread *sp;
    const struct config_store *cs;
    const struct domain_floors *floors;
    struct report_callbacks cb;
    struct random *random;
    uint64_t applied; /* by the own data task */
    uint64_t behind;  /* since when we lack something ourselves */

    /* Reporting. */
    char reporter[ID_SIZE]; /* "" for oneself */
    uint64_t sent;          /* revision last reported */
    uint64_t next_send;
    uint64_t resend_us;

    /* Collecting. */
    uint64_t started;        /* first tick */
    uint64_t hosts_checksum; /* configuration at the last check of hosts */
    uint64_t next_hosts;
    uint64_t next_write;
    bool writing;
    struct domain_status current;
    struct domain_status last; /* last written */
    struct gossip_message out;
};

struct report *
report_new(struct membership *ms, struct spread *sp,
           const struct config_store *cs, const struct domain_floors *floors,
           const struct report_callbacks *cb, struct random *random)
{
    struct report *rp = calloc(1, sizeof(*rp));

    if (rp == NULL) {
        return NULL;
    }
    rp->ms = ms;
    rp->sp = sp;
    rp->cs = cs;
    rp->floors = floors;
    rp->cb = *cb;
    rp->random = random;
    return rp;
}

void
report_destroy(struct report *rp)
{
    free(rp);
}

void
report_applied(struct report *rp, uint64_t revision)
{
    if (revision > rp->applied) {
        rp->applied = revision;
        rp->next_send = 0;
        rp->resend_us = RESEND_MIN_US;
    }
}

void
report_receive(struct report *rp, const struct gossip_message *m)
{
    struct member *sender =
        member_table_find(membership_table(rp->ms), m->sender.id);

    if (m->kind != GOSSIP_REPORT || sender == NULL || !sender->local) {
        return;
    }
    /* A restarted host begins anew: its report counts, also a lower one. */
    sender->applied = m->applied;
    sender->reported = true;
}

bool
report_is_reporter(const struct report *rp)
{
    return membership_first(rp->ms, spread_watcher_salt(rp->sp)) == NULL;
}

static void
send_report(struct report *rp, const struct member *reporter)
{
    struct gossip_message *m = &rp->out;

    m->kind = GOSSIP_REPORT;
    m->sender = *membership_self(rp->ms);
    m->nonce = 0;
    m->member_count = 0;
    m->floor_count = 0;
    m->version_count = 0;
    m->resource_count = 0;
    spread_summary(rp->sp, m);
    m->applied = rp->applied;
    rp->cb.send(rp->cb.ctx, reporter->info.addr, reporter->info.port, m);
}

/* Reports at once after a change and to a new reporter; again, ever more
 * seldom, until the domain's floor shows that the report has arrived; and at
 * a long interval in any case. */
static void
tick_send(struct report *rp, const struct member *reporter, uint64_t now)
{
    const char *domain = membership_self(rp->ms)->domain;
    bool seen = domain_floors_get(rp->floors, domain) >= rp->applied;
    uint64_t delay = REPORT_INTERVAL_US;

    if (strcmp(rp->reporter, reporter->info.id) != 0) {
        snprintf(rp->reporter, sizeof(rp->reporter), "%s", reporter->info.id);
        rp->next_send = 0;
        rp->resend_us = RESEND_MIN_US;
    }
    if (now < rp->next_send || rp->applied == 0) {
        return;
    }
    send_report(rp, reporter);
    if (!seen) {
        delay = rp->resend_us;
        rp->resend_us = rp->resend_us * 2 < RESEND_MAX_US ? rp->resend_us * 2
                                                          : RESEND_MAX_US;
    }
    rp->next_send = now + delay / 2 + random_below(rp->random, delay);
}

/* Notes since when a member lacks something. "wall" is 0 for no change. */
static void
note_behind(uint64_t *behind, uint64_t applied, uint64_t newest, uint64_t wall)
{
    if (applied >= newest) {
        *behind = 0;
    }
    else if (*behind == 0) {
        *behind = wall;
    }
}

static void
add_waiting(struct domain_status *s, const struct report_waiting *w)
{
    if (s->waiting_count < REPORT_WAITING_MAX) {
        s->waiting[s->waiting_count] = *w;
        s->waiting_count++;
    }
    else {
        s->waiting_more++;
    }
}

/* Takes one balancer into the status. One that lacks something only since
 * a moment ago is not yet worth a name. */
static void
add_balancer(struct domain_status *s, const struct report_waiting *w,
             uint64_t wall)
{
    bool slow = w->since_us != 0 && wall - w->since_us >= BEHIND_GRACE_US;

    s->members++;
    if (w->applied < s->floor) {
        s->floor = w->applied;
    }
    if (w->state != MEMBER_ALIVE || slow) {
        add_waiting(s, w);
        if (s->waiting_more == 0) {
            return;
        }
    }
    if (w->applied < s->others) {
        s->others = w->applied;
    }
}

static void
add_member(const struct report *rp, struct domain_status *s,
           const struct member *m, uint64_t proven, uint64_t wall)
{
    struct report_waiting w = {
        .state = m->info.state,
        .reported = m->reported,
        .applied = m->reported ? m->applied : proven,
        .since_us = m->behind,
    };

    snprintf(w.host, sizeof(w.host), "%s", m->info.id);
    /* A silent member that has everything is not waited for. */
    if (m->info.state != MEMBER_ALIVE && w.reported &&
        w.applied >= s->revision) {
        w.state = MEMBER_ALIVE;
    }
    add_balancer(s, &w, wall);
}

void
report_status(const struct report *rp, struct domain_status *status,
              uint64_t now, uint64_t wall)
{
    const struct member_info *self = membership_self(rp->ms);
    uint64_t proven = domain_floors_get(rp->floors, self->domain);
    struct report_waiting own = {
        .reported = true, .applied = rp->applied, .since_us = rp->behind};

    memset(status, 0, sizeof(*status));
    snprintf(status->domain, sizeof(status->domain), "%s", self->domain);
    snprintf(status->writer, sizeof(status->writer), "%s", self->id);
    status->time_us = wall;
    status->revision = spread_revision(rp->sp);
    status->floor = status->revision;
    status->others = status->revision;
    snprintf(own.host, sizeof(own.host), "%s", self->id);
    add_balancer(status, &own, wall);
    list_for_each (it, &membership_table(rp->ms)->all) {
        const struct member *m = container_of(it, struct member, link);

        if (m->local && m->info.state != MEMBER_LEFT) {
            add_member(rp, status, m, proven, wall);
        }
    }
    if (status->floor < proven) {
        status->floor = proven;
    }
}

static void
note_all_behind(struct report *rp, uint64_t wall)
{
    uint64_t newest = spread_revision(rp->sp);

    note_behind(&rp->behind, rp->applied, newest, wall);
    list_for_each (it, &membership_table(rp->ms)->all) {
        struct member *m = container_of(it, struct member, link);

        if (m->local) {
            note_behind(&m->behind, m->reported ? m->applied : 0, newest,
                        wall);
        }
    }
}

/* Whether two statuses tell a reader the same. */
static bool
same_status(const struct domain_status *a, const struct domain_status *b)
{
    if (a->floor != b->floor || a->others != b->others ||
        a->revision != b->revision || a->members != b->members ||
        a->waiting_count != b->waiting_count ||
        a->waiting_more != b->waiting_more) {
        return false;
    }
    for (size_t i = 0; i < a->waiting_count; i++) {
        const struct report_waiting *x = &a->waiting[i];
        const struct report_waiting *y = &b->waiting[i];

        if (strcmp(x->host, y->host) != 0 || x->state != y->state ||
            x->applied != y->applied || x->reported != y->reported) {
            return false;
        }
    }
    return true;
}

/* Whether a difference to what was written is worth a write by now: the
 * ordinary time between a change and its being in force is not. */
static bool
worth_writing(const struct report *rp, uint64_t now)
{
    const struct domain_status *s = &rp->current;

    if (now >= rp->last.time_us + WRITE_INTERVAL_US) {
        return true;
    }
    if (same_status(s, &rp->last)) {
        return false;
    }
    return s->waiting_count > 0 || s->floor == s->revision;
}

struct host_check {
    struct report *rp;
    uint64_t now;
};

/* Every declared host counts, seen or not; one declared as draining or
 * deleted is not waited for once it is silent. */
static bool
check_host(void *ctx, const struct resource *r, uint64_t revision)
{
    const struct host_check *check = ctx;
    struct membership *ms = check->rp->ms;

    if (strcmp(r->host.domain, membership_self(ms)->domain) != 0) {
        return true;
    }
    if (r->deleted || r->host.state == ADMIN_DRAINING) {
        membership_declare_removed(ms, r->id, check->now);
    }
    else {
        membership_expect(ms, r->id, check->now);
    }
    return true;
}

static void
check_hosts(struct report *rp, uint64_t now)
{
    uint64_t checksum = config_store_checksum(rp->cs);
    struct host_check check = {rp, now};

    if (now - rp->started < EXPECT_AFTER_US || spread_revision(rp->sp) == 0 ||
        (checksum == rp->hosts_checksum && now < rp->next_hosts)) {
        return;
    }
    rp->hosts_checksum = checksum;
    rp->next_hosts = now + HOSTS_INTERVAL_US;
    config_store_each_of_kind(rp->cs, RESOURCE_HOST, check_host, &check);
}

static void
tick_collect(struct report *rp, uint64_t now, uint64_t wall)
{
    check_hosts(rp, now);
    note_all_behind(rp, wall);
    report_status(rp, &rp->current, now, wall);
    if (rp->current.revision == 0) {
        return;
    }
    spread_offer_floor(rp->sp, rp->current.domain, rp->current.floor);
    if (rp->writing || now < rp->next_write || !worth_writing(rp, now)) {
        return;
    }
    rp->writing = true;
    rp->next_write = now + WRITE_GAP_US;
    rp->last = rp->current;
    /* Kept on the monotonic clock for the interval. */
    rp->last.time_us = now;
    rp->cb.write(rp->cb.ctx, &rp->current);
}

void
report_tick(struct report *rp, uint64_t now, uint64_t wall)
{
    const struct member *reporter =
        membership_first(rp->ms, spread_watcher_salt(rp->sp));

    if (rp->started == 0) {
        rp->started = now;
    }
    if (!membership_settled(rp->ms, now)) {
        return;
    }
    if (reporter == NULL) {
        rp->reporter[0] = '\0';
        tick_collect(rp, now, wall);
    }
    else {
        tick_send(rp, reporter, now);
    }
}

void
report_seen(struct report *rp, const struct domain_status *status,
            uint64_t now)
{
    for (size_t i = 0; i < status->waiting_count; i++) {
        const struct report_waiting *w = &status->waiting[i];

        if (w->state == MEMBER_DEAD) {
            membership_expect(rp->ms, w->host, now);
        }
    }
}

void
report_written(struct report *rp, bool written, uint64_t now)
{
    rp->writing = false;
    if (!written) {
        memset(&rp->last, 0, sizeof(rp->last));
        rp->next_write = now + WRITE_RETRY_US;
    }
}
