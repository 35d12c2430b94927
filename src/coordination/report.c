#include "coordination/report.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/* Bounds of the interval, doubled each time, at which a report is repeated
 * until the floor of the domain includes it */
#define RESEND_MIN_US (3 * USEC_PER_SEC)
#define RESEND_MAX_US (24 * USEC_PER_SEC)
/* Mean interval between reports without any change */
#define REPORT_INTERVAL_US (20 * USEC_PER_SEC)
/* Live hosts that have lacked a revision for less than this, the usual time
 * for a change to spread, are not listed in the status. */
#define BEHIND_GRACE_US (1 * USEC_PER_SEC)
/* Maximum number of live members of a domain that report to the reporter
 * directly, without collectors */
#define DIRECT_MEMBERS_MAX 64
#define COLLECTORS_MAX 16 /* number of collectors in a larger domain */
/* Salt of the ranks that choose the collectors */
#define COLLECTOR_SALT 0x636f6c6c656374ULL
/* Minimum interval between two messages of a collector, which bundle the
 * reports that it has received */
#define FORWARD_INTERVAL_MIN_US (500 * USEC_PER_MSEC)
/* Minimum interval between two writes of the status */
#define WRITE_INTERVAL_MIN_US (300 * USEC_PER_MSEC)
/* Delay before a failed write of the status is repeated */
#define WRITE_RETRY_US (1 * USEC_PER_SEC)
/* Maximum interval between two writes of the status, without any change */
#define WRITE_INTERVAL_MAX_US (60 * USEC_PER_SEC)
/* Time after the first tick in which declared hosts may join before they count
 * as missing */
#define HOST_JOIN_GRACE_US (10 * USEC_PER_SEC)
/* Interval between two checks of the declared hosts without a change of the
 * configuration */
#define HOST_CHECK_INTERVAL_US (5 * USEC_PER_SEC)

struct report {
    struct membership *ms;
    struct config_sync *sync;
    const struct config_store *cs;
    const struct domain_min_revisions *floors;
    struct report_callbacks cb;
    struct random *random;
    uint64_t applied; /* revision that this balancer's data task has applied */
    /* Time at which this balancer fell behind the newest revision, wall clock,
     * us; 0: it has applied that revision */
    uint64_t behind;

    /* State for reporting to the reporter; times are of the monotonic clock */
    /* Id of the member that this balancer reports to; "": none */
    char parent[ID_SIZE];
    uint64_t next_forward; /* earliest next message of a collector, us */
    /* This balancer is a collector, and its own report waits to be sent with
     * the bundled ones. */
    bool own_unforwarded;
    uint64_t next_send; /* earliest next report, us; 0: now */
    /* Interval until the report is repeated if the floor is still lower */
    uint64_t resend_us;

    /* State for being the reporter; times are of the monotonic clock */
    uint64_t started; /* time of the first tick; 0: none yet */
    /* Checksum of the configuration at the last check of the declared hosts */
    uint64_t hosts_checksum;
    /* Next check of the declared hosts if the configuration is the same, us */
    uint64_t next_hosts;
    uint64_t next_write; /* earliest next write of the status, us */
    /* A write of the status is in progress. */
    bool writing;
    struct domain_status current_status;
    /* Last status passed to the write callback; its "time_us" is monotonic.
     * All zeros: none yet, or its write failed */
    struct domain_status last_written;
    struct gossip_message out;
};

struct report *
report_new(struct membership *ms, struct config_sync *sync,
           const struct config_store *cs,
           const struct domain_min_revisions *floors,
           const struct report_callbacks *cb, struct random *random)
{
    struct report *rp = calloc(1, sizeof(*rp));

    if (rp == NULL) {
        return NULL;
    }
    rp->ms = ms;
    rp->sync = sync;
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

/* Identifies one process of a host: its report must not count for the next
 * process of that host. */
static uint64_t
report_key(const struct member *m)
{
    return random_mix(m->hash, m->info.incarnation / MEMBER_REFUTATIONS_MAX);
}

static int
compare_keys(const void *a, const void *b)
{
    const struct gossip_version *x = a;
    const struct gossip_version *y = b;

    if (x->name_hash == y->name_hash) {
        return 0;
    }
    return x->name_hash < y->name_hash ? -1 : 1;
}

static void
record_report(struct member *m, uint64_t applied)
{
    m->applied = applied;
    m->reported = true;
    m->unforwarded = true;
}

/* Records the reports that a collector forwards. */
static void
record_forwarded_reports(struct report *rp, const struct gossip_message *m)
{
    struct gossip_version sorted[GOSSIP_VERSIONS_MAX];

    memcpy(sorted, m->versions, m->version_count * sizeof(sorted[0]));
    qsort(sorted, m->version_count, sizeof(sorted[0]), compare_keys);
    list_for_each (it, &membership_table(rp->ms)->all) {
        struct member *member = container_of(it, struct member, link);
        struct gossip_version key = {.name_hash = report_key(member)};
        const struct gossip_version *found = bsearch(
            &key, sorted, m->version_count, sizeof(sorted[0]), compare_keys);

        if (found != NULL && member->local &&
            (!member->reported || found->version > member->applied)) {
            record_report(member, found->version);
        }
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
    /* A host's own report always counts, even one lower than the last: the
     * host may have been restarted. */
    record_report(sender, m->applied);
    if (m->version_count > 0) {
        record_forwarded_reports(rp, m);
    }
}

bool
report_is_reporter(const struct report *rp)
{
    return membership_first_ranked(rp->ms,
                                   config_sync_watcher_salt(rp->sync)) == NULL;
}

/* The collectors of a large domain: the live members with the lowest ranks.
 * This balancer is listed as NULL. */
struct collectors {
    size_t count;
    const struct member *members[COLLECTORS_MAX];
    uint64_t ranks[COLLECTORS_MAX];
    bool self; /* this balancer is one of them */
};

/* Inserts a member at its rank if it is among the lowest COLLECTORS_MAX
 * ranks. */
static void
insert_collector(struct collectors *c, const struct member *m, uint64_t rank)
{
    size_t pos = c->count;

    if (pos == COLLECTORS_MAX) {
        if (rank >= c->ranks[pos - 1]) {
            return;
        }
        pos--;
        c->count--;
    }
    while (pos > 0 && c->ranks[pos - 1] > rank) {
        c->members[pos] = c->members[pos - 1];
        c->ranks[pos] = c->ranks[pos - 1];
        pos--;
    }
    c->members[pos] = m;
    c->ranks[pos] = rank;
    c->count++;
}

/* Fills in "c" and returns the number of live members of the domain, this
 * balancer included. */
static size_t
choose_collectors(const struct report *rp, struct collectors *c)
{
    uint64_t self = id_hash(membership_self(rp->ms)->id);
    size_t live = 1;

    memset(c, 0, sizeof(*c));
    insert_collector(c, NULL, random_mix(COLLECTOR_SALT, self));
    list_for_each (it, &membership_table(rp->ms)->all) {
        const struct member *m = container_of(it, struct member, link);

        if (m->local && m->info.state == MEMBER_ALIVE) {
            insert_collector(c, m, random_mix(COLLECTOR_SALT, m->hash));
            live++;
        }
    }
    for (size_t i = 0; i < c->count; i++) {
        c->self = c->self || c->members[i] == NULL;
    }
    return live;
}

/* Returns the member to report to: the reporter, or in a large domain a
 * collector drawn by rendezvous hash. Sets "collector" when this balancer is a
 * collector itself; it then reports to the reporter. */
static const struct member *
find_parent(const struct report *rp, const struct member *reporter,
            bool *collector)
{
    uint64_t self = id_hash(membership_self(rp->ms)->id);
    struct collectors c;
    const struct member *best = NULL;

    *collector = false;
    if (choose_collectors(rp, &c) <= DIRECT_MEMBERS_MAX) {
        return reporter;
    }
    if (c.self) {
        *collector = true;
        return reporter;
    }
    for (size_t i = 0; i < c.count; i++) {
        if (best == NULL || random_mix(self, c.members[i]->hash) <
                                random_mix(self, best->hash)) {
            best = c.members[i];
        }
    }
    return best == NULL ? reporter : best;
}

/* Prepares a report without forwarded reports; valid until the next call. */
static struct gossip_message *
start_report(struct report *rp)
{
    struct gossip_message *m = &rp->out;

    m->kind = GOSSIP_REPORT;
    m->sender = *membership_self(rp->ms);
    m->nonce = 0;
    m->member_count = 0;
    m->floor_count = 0;
    m->version_count = 0;
    m->resource_count = 0;
    config_sync_fill_summary(rp->sync, m);
    m->applied = rp->applied;
    return m;
}

static void
send_report(struct report *rp, const struct member *to)
{
    rp->cb.send(rp->cb.ctx, to->info.addr, to->info.port, &rp->out);
}

/* Forwards to the reporter the reports that were received since the last time,
 * together with this balancer's report if it is a collector. */
static void
tick_forward(struct report *rp, const struct member *reporter, uint64_t now)
{
    struct gossip_message *m;

    if (now < rp->next_forward) {
        return;
    }
    rp->next_forward = now + FORWARD_INTERVAL_MIN_US;
    m = start_report(rp);
    list_for_each (it, &membership_table(rp->ms)->all) {
        struct member *member = container_of(it, struct member, link);

        if (!member->unforwarded || m->version_count == GOSSIP_VERSIONS_MAX) {
            continue;
        }
        member->unforwarded = false;
        if (member->reported && member != reporter) {
            m->versions[m->version_count] =
                (struct gossip_version){report_key(member), member->applied};
            m->version_count++;
        }
    }
    if (m->version_count > 0 || rp->own_unforwarded) {
        rp->own_unforwarded = false;
        send_report(rp, reporter);
    }
}

/* Reports at once after a change and to a new parent. Repeats the report, at
 * intervals that double, until the floor of the domain shows that it has
 * arrived, and at REPORT_INTERVAL_US on average from then on. */
static void
tick_report(struct report *rp, const struct member *reporter, uint64_t now)
{
    const char *domain = membership_self(rp->ms)->domain;
    bool collector;
    const struct member *parent = find_parent(rp, reporter, &collector);
    bool seen = domain_min_revisions_get(rp->floors, domain) >= rp->applied;
    uint64_t delay = REPORT_INTERVAL_US;

    if (strcmp(rp->parent, parent->info.id) != 0) {
        snprintf(rp->parent, sizeof(rp->parent), "%s", parent->info.id);
        rp->next_send = 0;
        rp->resend_us = RESEND_MIN_US;
    }
    if (now < rp->next_send || rp->applied == 0) {
        return;
    }
    rp->own_unforwarded = collector;
    if (!collector) {
        start_report(rp);
        send_report(rp, parent);
    }
    if (!seen) {
        delay = rp->resend_us;
        rp->resend_us = rp->resend_us * 2 < RESEND_MAX_US ? rp->resend_us * 2
                                                          : RESEND_MAX_US;
    }
    rp->next_send =
        now + delay / 2 + random_below(rp->random, (uint32_t)delay);
}

/* Updates the wall clock time at which a member fell behind the newest
 * revision; 0 when it has applied that revision. */
static void
update_behind(uint64_t *behind, uint64_t applied, uint64_t newest,
              uint64_t wall)
{
    if (applied >= newest) {
        *behind = 0;
    }
    else if (*behind == 0) {
        *behind = wall;
    }
}

static void
add_waiting(struct domain_status *s, const struct report_waiting_host *w)
{
    if (s->waiting_count < REPORT_WAITING_MAX) {
        s->waiting[s->waiting_count] = *w;
        s->waiting_count++;
    }
    else {
        s->waiting_more++;
    }
}

/* Adds one balancer to the status. A live balancer that has lacked a revision
 * for less than BEHIND_GRACE_US is not listed. */
static void
add_balancer(struct domain_status *s, const struct report_waiting_host *w,
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
           const struct member *m, uint64_t known_floor, uint64_t wall)
{
    struct report_waiting_host w = {
        .state = m->info.state,
        .reported = m->reported,
        .applied = m->reported ? m->applied : known_floor,
        .since_us = m->behind_since,
    };

    snprintf(w.host, sizeof(w.host), "%s", m->info.id);
    /* The domain does not wait for a member that does not answer but has
     * applied everything. */
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
    uint64_t known_floor = domain_min_revisions_get(rp->floors, self->domain);
    struct report_waiting_host own = {
        .reported = true, .applied = rp->applied, .since_us = rp->behind};

    memset(status, 0, sizeof(*status));
    snprintf(status->domain, sizeof(status->domain), "%s", self->domain);
    snprintf(status->writer, sizeof(status->writer), "%s", self->id);
    status->time_us = wall;
    status->revision = config_sync_revision(rp->sync);
    status->floor = status->revision;
    status->others = status->revision;
    snprintf(own.host, sizeof(own.host), "%s", self->id);
    add_balancer(status, &own, wall);
    list_for_each (it, &membership_table(rp->ms)->all) {
        const struct member *m = container_of(it, struct member, link);

        if (m->local && m->info.state != MEMBER_LEFT) {
            add_member(rp, status, m, known_floor, wall);
        }
    }
    if (status->floor < known_floor) {
        status->floor = known_floor;
    }
}

static void
update_all_behind(struct report *rp, uint64_t wall)
{
    uint64_t newest = config_sync_revision(rp->sync);

    update_behind(&rp->behind, rp->applied, newest, wall);
    list_for_each (it, &membership_table(rp->ms)->all) {
        struct member *m = container_of(it, struct member, link);

        if (m->local) {
            update_behind(&m->behind_since, m->reported ? m->applied : 0,
                          newest, wall);
        }
    }
}

/* Whether two statuses of the domain are equal, apart from times and
 * writer. */
static bool
statuses_equal(const struct domain_status *a, const struct domain_status *b)
{
    if (a->floor != b->floor || a->others != b->others ||
        a->revision != b->revision || a->members != b->members ||
        a->waiting_count != b->waiting_count ||
        a->waiting_more != b->waiting_more) {
        return false;
    }
    for (size_t i = 0; i < a->waiting_count; i++) {
        const struct report_waiting_host *x = &a->waiting[i];
        const struct report_waiting_host *y = &b->waiting[i];

        if (strcmp(x->host, y->host) != 0 || x->state != y->state ||
            x->applied != y->applied || x->reported != y->reported) {
            return false;
        }
    }
    return true;
}

/* Whether the status is to be written now. A difference from the last written
 * status is not enough while no host is listed and the floor is behind the
 * newest revision: this is the ordinary time in which a change takes
 * effect. */
static bool
should_write(const struct report *rp, uint64_t now)
{
    const struct domain_status *s = &rp->current_status;

    if (now >= rp->last_written.time_us + WRITE_INTERVAL_MAX_US) {
        return true;
    }
    if (statuses_equal(s, &rp->last_written)) {
        return false;
    }
    return s->waiting_count > 0 || s->floor == s->revision;
}

struct host_check {
    struct report *rp;
    uint64_t now;
};

/* Every declared host of the domain counts, even one that was never seen. A
 * host whose declaration is draining or deleted is no longer waited for when
 * it is dead. */
static bool
check_declared_host(void *ctx, const struct resource *r, uint64_t revision)
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
check_declared_hosts(struct report *rp, uint64_t now)
{
    uint64_t checksum = config_store_checksum(rp->cs);
    struct host_check check = {rp, now};

    if (now - rp->started < HOST_JOIN_GRACE_US ||
        config_sync_revision(rp->sync) == 0 ||
        (checksum == rp->hosts_checksum && now < rp->next_hosts)) {
        return;
    }
    rp->hosts_checksum = checksum;
    rp->next_hosts = now + HOST_CHECK_INTERVAL_US;
    config_store_each_of_kind(rp->cs, RESOURCE_HOST, check_declared_host,
                              &check);
}

static void
tick_as_reporter(struct report *rp, uint64_t now, uint64_t wall)
{
    check_declared_hosts(rp, now);
    update_all_behind(rp, wall);
    report_status(rp, &rp->current_status, now, wall);
    if (rp->current_status.revision == 0) {
        return;
    }
    config_sync_raise_floor(rp->sync, rp->current_status.domain,
                            rp->current_status.floor);
    if (rp->writing || now < rp->next_write || !should_write(rp, now)) {
        return;
    }
    rp->writing = true;
    rp->next_write = now + WRITE_INTERVAL_MIN_US;
    rp->last_written = rp->current_status;
    /* The interval between writes is measured with the monotonic clock. */
    rp->last_written.time_us = now;
    rp->cb.write(rp->cb.ctx, &rp->current_status);
}

void
report_tick(struct report *rp, uint64_t now, uint64_t wall)
{
    const struct member *reporter =
        membership_first_ranked(rp->ms, config_sync_watcher_salt(rp->sync));

    if (rp->started == 0) {
        rp->started = now;
    }
    if (!membership_settled(rp->ms, now)) {
        return;
    }
    if (reporter == NULL) {
        rp->parent[0] = '\0';
        tick_as_reporter(rp, now, wall);
    }
    else {
        tick_report(rp, reporter, now);
        tick_forward(rp, reporter, now);
    }
}

void
report_on_stored_status(struct report *rp, const struct domain_status *status,
                        uint64_t now)
{
    for (size_t i = 0; i < status->waiting_count; i++) {
        const struct report_waiting_host *w = &status->waiting[i];

        if (w->state == MEMBER_DEAD) {
            membership_expect(rp->ms, w->host, now);
        }
    }
}

void
report_on_write_done(struct report *rp, bool written, uint64_t now)
{
    rp->writing = false;
    if (!written) {
        memset(&rp->last_written, 0, sizeof(rp->last_written));
        rp->next_write = now + WRITE_RETRY_US;
    }
}
