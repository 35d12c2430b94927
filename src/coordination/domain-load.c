#include "coordination/domain-load.h"

#include <math.h>
#include <stdlib.h>

#include <glib.h>

#include "base/clock.h"
#include "base/random.h"
#include "coordination/domain-shares.h"
#include "coordination/flow-placement.h"
#include "coordination/load-table.h"
#include "coordination/rate-meter.h"
#include "coordination/service-time.h"
#include "state/resource.h"

/* Bounds of what is known: failure domains of a service, and services. Others
 * are placed as if nothing were known. */
#define DOMAINS_MAX 32
#define SERVICES_MAX 32
/* Interval at which the usable slots are counted; that takes a look at each
 * target. */
#define SLOTS_INTERVAL_US (500 * USEC_PER_MSEC)
/* A tick that is later than this shows that packets have waited in this
 * process: the counts of the window show no rate. */
#define LATE_TICK_US (300 * USEC_PER_MSEC)
/* Time after which no bucket of the window contains such packets. */
#define COUNTING_US (RATE_METER_WINDOW_US + RATE_METER_BUCKET_US)
/* Weight, per tick, of what this balancer measures in the rate of its domain,
 * if it counts so many requests in the window; with fewer it is less. It is
 * more when the count of the window, or that of its last buckets, is a
 * surprise: when it differs from the expected one by more than so many
 * standard deviations, and so many requests. */
#define OWN_WEIGHT 0.1
#define MANY_REQUESTS 20.0
#define SURPRISE_WEIGHT 0.5
#define SURPRISE_BUCKETS 2
#define SURPRISE_DEVIATIONS 3.5
#define SURPRISE_REQUESTS 10.0
/* Weight of a record of the own domain that a peer has just measured, and the
 * maximum age of such a record. Older ones come from other domains. */
#define PEER_WEIGHT 0.4
#define PEER_AGE_MAX_US (150 * USEC_PER_MSEC)
/* Weight of a peer's estimate of the time that a request takes. */
#define PEER_TIME_WEIGHT 0.2
/* Utilizations of the own domain, by its own callers, at which new flows begin
 * to be shared and cease to be; DOMAIN_SHARES_UTILIZATION lies between. */
#define SHARING_BEGIN 0.65
#define SHARING_END 0.55
/* Weight of the newest shares, per tick. */
#define SHARE_WEIGHT 0.5
/* Weight, per tick, of the newest part of requests that come on new flows. */
#define NEW_FLOWS_WEIGHT 0.1
/* Part of the time until an answer that is taken for the way at most. */
#define WAY_PART_MAX 0.9
/* Utilization of a domain from which its load is told often. */
#define BUSY_UTILIZATION 0.4
/* Rate below which nothing is told of another domain, requests/s. */
#define RATE_MIN 0.05
/* Part of the slots that count of a target during its cold start. */
#define COLD_PART 0.5
/* Rates of records are per 1000 s. */
#define RATE_UNITS 1000.0
#define UNLIMITED 1e9
/* In place of failure domains in the key of the time that a request takes */
#define TIME_SALT 0x74696d65ULL

/* Targets of a service in one failure domain. */
struct target_domain {
    const char *name; /* interned */
    uint64_t hash;
    uint32_t key; /* of what the callers of the own domain send there */
    struct rate_meter requests; /* forwarded by this balancer */
    double rate;       /* of all balancers of the own domain, requests/s */
    uint64_t known_at; /* when "rate" was measured or told; 0: never */
    uint64_t used_at;  /* when "rate" was last above RATE_MIN */
    double slots;      /* that can be used for new flows */
    double part;       /* of the new flows, smoothed */
};

struct service_load {
    const char *name; /* interned */
    uint64_t hash;
    GPtrArray *domains; /* struct target_domain, the own one first */
    struct rate_meter openings;
    struct service_time time;
    uint32_t time_key; /* of the record that tells it, as us per request */
    double new_flows;  /* part of the requests that come on new flows */
    bool listed;       /* seen in the view when the slots were counted */
    bool sharing;
    struct domain_share shares[DOMAINS_MAX];
    size_t share_count;
};

struct domain_load {
    const char *domain;    /* own failure domain, interned */
    GHashTable *services;  /* name -> struct service_load */
    GHashTable *own_keys;  /* key -> struct target_domain, not owned */
    GHashTable *time_keys; /* key -> struct service_load, not owned */
    struct load_table *peers;
    uint64_t last_tick;
    uint64_t measuring_since;
    uint64_t next_slots; /* next count of the slots */
    uint64_t now;        /* of the last tick */
    bool busy;
    size_t export_from; /* first own record of the next export */
    void (*changed)(void *ctx, const char *service, bool sharing,
                    double utilization);
    void *changed_ctx;
};

/* Returns the key of the requests that callers of "from" send to targets of
 * "to"; the arguments are hashes of names. */
static uint32_t
make_key(uint64_t service, uint64_t from, uint64_t to)
{
    return (uint32_t)random_mix(random_mix(service, from), to);
}

static struct target_domain *
domain_at(const struct service_load *s, size_t i)
{
    return g_ptr_array_index(s->domains, i);
}

/* Finds or adds a failure domain of a service. Returns NULL when there are too
 * many. */
static struct target_domain *
get_domain(struct domain_load *dl, struct service_load *s, const char *name)
{
    struct target_domain *d;

    for (guint i = 0; i < s->domains->len; i++) {
        if (domain_at(s, i)->name == name) {
            return domain_at(s, i);
        }
    }
    if (s->domains->len == DOMAINS_MAX) {
        return NULL;
    }
    d = g_new0(struct target_domain, 1);
    d->name = name;
    d->hash = id_hash(name);
    d->key = make_key(s->hash, id_hash(dl->domain), d->hash);
    g_ptr_array_add(s->domains, d);
    g_hash_table_insert(dl->own_keys, GUINT_TO_POINTER(d->key), d);
    return d;
}

static void
free_service(gpointer data)
{
    struct service_load *s = data;

    g_ptr_array_free(s->domains, TRUE);
    g_free(s);
}

static struct service_load *
find_service(const struct domain_load *dl, const char *name)
{
    return g_hash_table_lookup(dl->services, name);
}

/* Finds or adds a service. Returns NULL when there are too many. */
static struct service_load *
get_service(struct domain_load *dl, const char *name)
{
    struct service_load *s = find_service(dl, name);

    if (s != NULL || g_hash_table_size(dl->services) == SERVICES_MAX) {
        return s;
    }
    s = g_new0(struct service_load, 1);
    s->name = name;
    s->hash = id_hash(name);
    s->domains = g_ptr_array_new_with_free_func(g_free);
    s->new_flows = 1.0;
    s->time_key = make_key(s->hash, TIME_SALT, TIME_SALT);
    g_hash_table_insert(dl->time_keys, GUINT_TO_POINTER(s->time_key), s);
    g_hash_table_insert(dl->services, (gpointer)name, s);
    get_domain(dl, s, dl->domain);
    return s;
}

struct domain_load *
domain_load_new(const char *domain)
{
    struct domain_load *dl = calloc(1, sizeof(*dl));

    if (dl == NULL) {
        return NULL;
    }
    dl->domain = domain;
    dl->peers = load_table_new();
    if (dl->peers == NULL) {
        free(dl);
        return NULL;
    }
    dl->services = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
                                         free_service);
    dl->own_keys = g_hash_table_new(g_direct_hash, g_direct_equal);
    dl->time_keys = g_hash_table_new(g_direct_hash, g_direct_equal);
    return dl;
}

void
domain_load_destroy(struct domain_load *dl)
{
    if (dl == NULL) {
        return;
    }
    g_hash_table_destroy(dl->services);
    g_hash_table_destroy(dl->own_keys);
    g_hash_table_destroy(dl->time_keys);
    load_table_destroy(dl->peers);
    free(dl);
}

void
domain_load_on_change(struct domain_load *dl,
                      void (*cb)(void *ctx, const char *service, bool sharing,
                                 double utilization),
                      void *ctx)
{
    dl->changed = cb;
    dl->changed_ctx = ctx;
}

void
domain_load_on_forward(struct domain_load *dl,
                       const struct forward_target *target, bool opening,
                       uint64_t now)
{
    struct service_load *s = get_service(dl, target->record.service);
    struct target_domain *d;

    if (s == NULL) {
        return;
    }
    if (opening) {
        rate_meter_add(&s->openings, now);
        return;
    }
    d = target->record.domain == NULL
            ? NULL
            : get_domain(dl, s, target->record.domain);
    if (d != NULL) {
        rate_meter_add(&d->requests, now);
    }
}

void
domain_load_on_refused(struct domain_load *dl, const char *service,
                       uint64_t now)
{
    struct service_load *s = find_service(dl, service);

    if (s != NULL) {
        rate_meter_add(&s->openings, now);
        rate_meter_add(&domain_at(s, 0)->requests, now);
    }
}

void
domain_load_on_answer(struct domain_load *dl,
                      const struct forward_target *target, uint64_t took_us,
                      uint64_t now)
{
    struct service_load *s = find_service(dl, target->record.service);
    double took = (double)took_us;
    double way = target->observations.handshake_us;

    if (s != NULL) {
        way = way < WAY_PART_MAX * took ? way : WAY_PART_MAX * took;
        service_time_add(&s->time, took - way, now);
    }
}

/* Returns the slots of a target that new flows can use. */
static double
usable_slots(const struct forward_target *t,
             const struct forward_service *service, uint64_t now)
{
    double slots = t->record.slots == 0 ? 1.0 : t->record.slots;

    if (t->presence == TARGET_GONE || t->record.draining || t->cookie == 0 ||
        (t->domain != NULL && t->domain->emptied) || placement_is_trial(t)) {
        return 0;
    }
    if (now < t->cold_until) {
        return service->cold_limit > 0 ? 0 : slots * COLD_PART;
    }
    return slots;
}

static void
count_slots(void *ctx, const struct forward_service *service)
{
    struct domain_load *dl = ctx;
    struct service_load *s = get_service(dl, service->name);

    if (s == NULL) {
        return;
    }
    s->listed = true;
    for (guint i = 0; i < service->targets->len; i++) {
        const struct forward_target *t =
            g_ptr_array_index(service->targets, i);
        struct target_domain *d = t->record.domain == NULL
                                      ? NULL
                                      : get_domain(dl, s, t->record.domain);

        if (d != NULL) {
            d->slots += usable_slots(t, service, dl->now);
        }
    }
}

static void
add_domain(void *ctx, const struct forward_domain *domain)
{
    struct domain_load *dl = ctx;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, dl->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        get_domain(dl, value, domain->name);
    }
}

/* Removes the services that have no targets any more. */
static void
remove_unlisted(struct domain_load *dl)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, dl->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct service_load *s = value;

        if (s->listed) {
            continue;
        }
        for (guint i = 0; i < s->domains->len; i++) {
            g_hash_table_remove(dl->own_keys,
                                GUINT_TO_POINTER(domain_at(s, i)->key));
        }
        g_hash_table_remove(dl->time_keys, GUINT_TO_POINTER(s->time_key));
        g_hash_table_iter_remove(&iter);
    }
}

/* Counts the usable slots of all services by failure domain. */
static void
update_slots(struct domain_load *dl, const struct forward_view *view)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, dl->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct service_load *s = value;

        s->listed = false;
        for (guint i = 0; i < s->domains->len; i++) {
            domain_at(s, i)->slots = 0;
        }
    }
    forward_view_each_service(view, count_slots, dl);
    forward_view_each_domain(view, add_domain, dl);
    remove_unlisted(dl);
}

static bool
is_recent(const struct domain_load *dl, uint64_t at)
{
    return at != 0 && at + DOMAIN_LOAD_AGE_MAX_US >= dl->now;
}

/* Returns the requests per second of the own domain that a count of this
 * balancer stands for. */
static double
scale_count(double count, uint64_t buckets, double hosts)
{
    return count * hosts * (double)USEC_PER_SEC /
           (double)(buckets * RATE_METER_BUCKET_US);
}

/* Returns the number of requests of a service in the last buckets. */
static double
count_requests(const struct service_load *s, uint64_t buckets, uint64_t now)
{
    double count = 0;

    for (guint i = 0; i < s->domains->len; i++) {
        count += rate_meter_count(&domain_at(s, i)->requests, buckets, now);
    }
    return count;
}

/* Returns the number of requests that the known rates let expect there. */
static double
expect_requests(const struct service_load *s, uint64_t buckets, double hosts)
{
    double rate = 0;

    for (guint i = 0; i < s->domains->len; i++) {
        rate += domain_at(s, i)->rate;
    }
    return rate / scale_count(1.0, buckets, hosts);
}

/* Whether the requests in the last buckets show that the rate has changed. */
static bool
is_surprise(const struct service_load *s, uint64_t buckets, double hosts,
            uint64_t now)
{
    double expected = expect_requests(s, buckets, hosts);
    double deviation = SURPRISE_DEVIATIONS * sqrt(expected + 1.0);

    return fabs(count_requests(s, buckets, now) - expected) >
           fmax(deviation, SURPRISE_REQUESTS);
}

/* Moves the rates of the own domain towards what this balancer measures, all
 * by the same weight, so that a request that goes to another domain than
 * before does not change the sum. */
static void
measure_rates(const struct domain_load *dl, struct service_load *s,
              double hosts)
{
    bool sudden = is_surprise(s, SURPRISE_BUCKETS, hosts, dl->now);
    uint64_t buckets = sudden ? SURPRISE_BUCKETS : RATE_METER_BUCKETS;
    double expected = expect_requests(s, buckets, hosts);
    double weight = OWN_WEIGHT * fmin(1.0, (1.0 + expected) / MANY_REQUESTS);

    if (sudden || is_surprise(s, buckets, hosts, dl->now)) {
        weight = SURPRISE_WEIGHT;
    }
    for (guint i = 0; i < s->domains->len; i++) {
        struct target_domain *d = domain_at(s, i);
        double measured = scale_count(
            rate_meter_count(&d->requests, buckets, dl->now), buckets, hosts);

        d->rate +=
            (is_recent(dl, d->known_at) ? weight : 1.0) * (measured - d->rate);
        d->known_at = dl->now;
    }
}

static void
update_rates(const struct domain_load *dl, struct service_load *s,
             double hosts)
{
    double requests = count_requests(s, RATE_METER_BUCKETS, dl->now);
    double opened;

    if (dl->now - dl->measuring_since >= COUNTING_US) {
        measure_rates(dl, s, hosts);
    }
    for (guint i = 0; i < s->domains->len; i++) {
        struct target_domain *d = domain_at(s, i);

        if (d->rate > RATE_MIN) {
            d->used_at = dl->now;
        }
    }
    if (requests > 0) {
        opened = rate_meter_count(&s->openings, RATE_METER_BUCKETS, dl->now) /
                 requests;
        opened = opened < 1.0 ? opened : 1.0;
        s->new_flows += NEW_FLOWS_WEIGHT * (opened - s->new_flows);
    }
}

/* Returns the requests per second that the targets of a domain can run, 0 when
 * that is unknown. */
static double
room(const struct service_load *s, const struct target_domain *d)
{
    return s->time.value_us <= 0.0
               ? 0
               : d->slots * (double)USEC_PER_SEC / s->time.value_us;
}

/* Stores in "rate" what the callers of "from" send to the targets of "to".
 * Returns false when it is not known or too old. */
static bool
pair_rate(const struct domain_load *dl, const struct service_load *s,
          const struct target_domain *from, const struct target_domain *to,
          double *rate)
{
    uint64_t since = dl->now > DOMAIN_LOAD_AGE_MAX_US
                         ? dl->now - DOMAIN_LOAD_AGE_MAX_US
                         : 0;

    if (from->name == dl->domain) {
        *rate = to->rate;
        return is_recent(dl, to->known_at);
    }
    return load_table_rate(dl->peers, make_key(s->hash, from->hash, to->hash),
                           since, rate);
}

/* Sums up what the callers of a domain send to the targets of all. */
static struct domain_demand
sum_demand(const struct domain_load *dl, const struct service_load *s,
           const struct target_domain *from)
{
    struct domain_demand demand = {.room = room(s, from)};
    double rate;

    for (guint i = 0; i < s->domains->len; i++) {
        if (pair_rate(dl, s, from, domain_at(s, i), &rate)) {
            demand.known = true;
            demand.demand += rate;
        }
    }
    return demand;
}

/* Sums up what the callers of all domains send to the targets of one. */
static double
sum_load(const struct domain_load *dl, const struct service_load *s,
         const struct target_domain *to)
{
    double load = 0;
    double rate;

    for (guint i = 0; i < s->domains->len; i++) {
        if (pair_rate(dl, s, domain_at(s, i), to, &rate)) {
            load += rate;
        }
    }
    return load;
}

static double
quotient(double load, double room)
{
    if (load <= 0.0) {
        return 0;
    }
    return room > 0.0 ? load / room : UNLIMITED;
}

static void
set_sharing(struct domain_load *dl, struct service_load *s, bool sharing,
            double utilization)
{
    if (s->sharing == sharing) {
        return;
    }
    s->sharing = sharing;
    for (guint i = 0; i < s->domains->len; i++) {
        domain_at(s, i)->part = i == 0 ? 1.0 : 0.0;
    }
    if (dl->changed != NULL) {
        dl->changed(dl->changed_ctx, s->name, sharing, utilization);
    }
}

/* Moves the parts of the new flows towards those by which the requests of the
 * own domain become divided like "load". What comes on flows that are open
 * already stays where it is. */
static void
move_parts(struct service_load *s, const double *load)
{
    double wanted[DOMAINS_MAX];
    double total = 0;

    for (guint i = 0; i < s->domains->len; i++) {
        wanted[i] = load[i] - (1.0 - s->new_flows) * domain_at(s, i)->rate;
        wanted[i] = wanted[i] > 0.0 ? wanted[i] : 0.0;
        total += wanted[i];
    }
    for (guint i = 0; i < s->domains->len && total > 0.0; i++) {
        struct target_domain *d = domain_at(s, i);

        d->part += SHARE_WEIGHT * (wanted[i] / total - d->part);
    }
}

static void
set_shares(struct service_load *s)
{
    s->share_count = 0;
    for (guint i = 0; i < s->domains->len && s->sharing; i++) {
        const struct target_domain *d = domain_at(s, i);

        if (d->part > 0.0) {
            s->shares[s->share_count] =
                (struct domain_share){.domain = d->name, .share = d->part};
            s->share_count++;
        }
    }
}

static void
update_shares(struct domain_load *dl, struct service_load *s)
{
    struct domain_demand demands[DOMAINS_MAX];
    double load[DOMAINS_MAX];
    double utilization;
    bool others_known = false;
    bool sharing;

    demands[0] = sum_demand(dl, s, domain_at(s, 0));
    utilization = quotient(demands[0].demand, demands[0].room);
    sharing = demands[0].known && s->time.value_us > 0.0 &&
              utilization >= (s->sharing ? SHARING_END : SHARING_BEGIN);
    for (guint i = 1; i < s->domains->len && sharing; i++) {
        demands[i] = sum_demand(dl, s, domain_at(s, i));
        others_known = others_known || demands[i].known;
    }
    if (sharing && !domain_shares_divide(demands, s->domains->len, 0, load)) {
        /* All stays for now, which does not end the sharing. */
        sharing = s->sharing && others_known && demands[0].room > 0.0;
    }
    set_sharing(dl, s, sharing, utilization);
    if (sharing) {
        move_parts(s, load);
    }
    set_shares(s);
}

/* Whether the callers of any domain use its targets by so much that it is
 * worth telling often. */
static bool
service_is_busy(const struct domain_load *dl, const struct service_load *s)
{
    for (guint i = 0; i < s->domains->len; i++) {
        const struct target_domain *d = domain_at(s, i);
        double rate;

        if (s->time.value_us > 0.0 && pair_rate(dl, s, d, d, &rate) &&
            quotient(rate, room(s, d)) >= BUSY_UTILIZATION) {
            return true;
        }
    }
    return s->sharing;
}

void
domain_load_tick(struct domain_load *dl, const struct forward_view *view,
                 double domain_hosts, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    if (dl->last_tick == 0 || now - dl->last_tick > LATE_TICK_US) {
        dl->measuring_since = now;
    }
    dl->last_tick = now;
    dl->now = now;
    if (now >= dl->next_slots) {
        dl->next_slots = now + SLOTS_INTERVAL_US;
        update_slots(dl, view);
    }
    dl->busy = false;
    g_hash_table_iter_init(&iter, dl->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        update_rates(dl, value, domain_hosts < 1.0 ? 1.0 : domain_hosts);
        update_shares(dl, value);
        dl->busy = dl->busy || service_is_busy(dl, value);
    }
    if (now > DOMAIN_LOAD_AGE_MAX_US) {
        load_table_expire(dl->peers, now - DOMAIN_LOAD_AGE_MAX_US);
    }
}

bool
domain_load_is_busy(const struct domain_load *dl)
{
    return dl->busy;
}

static void
add_record(GArray *records, uint32_t key, double rate, uint64_t age)
{
    const struct domain_load_record record = {
        .key = key,
        .rate = (uint32_t)fmin(rate, UINT32_MAX),
        .age_ms = (uint32_t)(age / USEC_PER_MSEC)};

    g_array_append_val(records, record);
}

/* Collects what this balancer knows of its own: the requests that the callers
 * of the own domain send to each domain, where there are any or it is the own
 * one, and the time that a request takes. */
static GArray *
collect_own(const struct domain_load *dl, uint64_t now)
{
    GArray *own = g_array_new(FALSE, FALSE, sizeof(struct domain_load_record));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, dl->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct service_load *s = value;

        for (guint i = 0; i < s->domains->len; i++) {
            const struct target_domain *d = domain_at(s, i);

            if (is_recent(dl, d->known_at) &&
                (i == 0 || is_recent(dl, d->used_at))) {
                add_record(own, d->key, d->rate * RATE_UNITS,
                           now > d->known_at ? now - d->known_at : 0);
            }
        }
        if (s->time.value_us > 0.0) {
            add_record(own, s->time_key, s->time.value_us, 0);
        }
    }
    return own;
}

size_t
domain_load_export(struct domain_load *dl, struct domain_load_record *out,
                   size_t max, uint64_t now)
{
    GArray *own = collect_own(dl, now);
    /* Half of a message is left to records of other domains. */
    size_t count = own->len < max / 2 ? own->len : max / 2;

    for (size_t i = 0; i < count; i++) {
        out[i] = g_array_index(own, struct domain_load_record,
                               (dl->export_from + i) % own->len);
    }
    dl->export_from = own->len == 0 ? 0 : (dl->export_from + count) % own->len;
    g_array_free(own, TRUE);
    return count + load_table_newest(dl->peers, out + count, max - count, now);
}

/* Takes a record of the own domain into account. */
static void
receive_own(const struct domain_load *dl, struct target_domain *d, double rate,
            uint64_t at, uint64_t now)
{
    bool measured = now - dl->measuring_since >= COUNTING_US;

    if (!measured || d->known_at == 0) {
        if (at > d->known_at) {
            d->rate = rate;
            d->known_at = at;
        }
    }
    else if (now - at <= PEER_AGE_MAX_US) {
        d->rate += PEER_WEIGHT * (rate - d->rate);
    }
}

/* Takes a peer's estimate of the time that a request takes into account. One
 * that was passed on is of no use: whoever knows the service tells its own.
 * One of 0 is none: averaged in repeatedly it would make any room look
 * unlimited. */
static void
receive_time(struct service_time *time, double time_us, uint64_t age)
{
    if (time_us <= 0.0) {
        return;
    }
    if (time->value_us <= 0.0) {
        time->value_us = time_us;
    }
    else if (age <= PEER_AGE_MAX_US) {
        time->value_us += PEER_TIME_WEIGHT * (time_us - time->value_us);
    }
}

void
domain_load_receive(struct domain_load *dl,
                    const struct domain_load_record *records, size_t count,
                    uint64_t now)
{
    for (size_t i = 0; i < count; i++) {
        const struct domain_load_record *r = &records[i];
        uint64_t age = r->age_ms * USEC_PER_MSEC;
        gconstpointer key = GUINT_TO_POINTER(r->key);
        struct target_domain *d = g_hash_table_lookup(dl->own_keys, key);
        struct service_load *s = g_hash_table_lookup(dl->time_keys, key);

        if (age > DOMAIN_LOAD_AGE_MAX_US || age >= now) {
            continue;
        }
        if (s != NULL) {
            receive_time(&s->time, r->rate, age);
        }
        else if (d != NULL) {
            receive_own(dl, d, r->rate / RATE_UNITS, now - age, now);
        }
        else {
            load_table_update(dl->peers, r->key, r->rate, now - age);
        }
    }
}

const struct domain_share *
domain_load_shares(const struct domain_load *dl,
                   const struct forward_service *service, size_t *count)
{
    const struct service_load *s = find_service(dl, service->name);

    *count = s == NULL ? 0 : s->share_count;
    return *count == 0 ? NULL : s->shares;
}

double
domain_load_utilization(const struct domain_load *dl,
                        const struct forward_service *service)
{
    const struct service_load *s = find_service(dl, service->name);
    double demand = 0;
    double total_room = 0;

    if (s == NULL || s->time.value_us <= 0.0) {
        return 0;
    }
    for (guint i = 0; i < s->domains->len; i++) {
        struct domain_demand d = sum_demand(dl, s, domain_at(s, i));

        if (d.known) {
            demand += d.demand;
            total_room += d.room;
        }
    }
    return quotient(demand, total_room);
}

bool
domain_load_state(const struct domain_load *dl, const char *service,
                  uint64_t now, struct domain_load_state *state)
{
    const struct service_load *s = find_service(dl, service);

    if (s == NULL || s->time.value_us <= 0.0 ||
        !is_recent(dl, domain_at(s, 0)->known_at)) {
        return false;
    }
    *state = (struct domain_load_state){.time_us = s->time.value_us,
                                        .new_flows = s->new_flows,
                                        .age_us = now - dl->now,
                                        .measuring_us =
                                            dl->now - dl->measuring_since};
    for (guint i = 0; i < s->domains->len; i++) {
        struct domain_demand d = sum_demand(dl, s, domain_at(s, i));

        state->demand += d.demand;
        state->room += d.room;
    }
    return state->room > 0.0;
}

double
domain_load_domain_utilization(const struct domain_load *dl,
                               const struct forward_service *service,
                               const char *domain)
{
    const struct service_load *s = find_service(dl, service->name);

    for (guint i = 0; s != NULL && i < s->domains->len; i++) {
        const struct target_domain *d = domain_at(s, i);

        if (d->name == domain && s->time.value_us > 0.0) {
            return quotient(sum_load(dl, s, d), room(s, d));
        }
    }
    return 0;
}

void
domain_load_each(const struct domain_load *dl,
                 void (*cb)(void *ctx, const struct domain_load_info *info),
                 void *ctx)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, dl->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct service_load *s = value;

        for (guint i = 0; i < s->domains->len; i++) {
            const struct target_domain *d = domain_at(s, i);
            struct domain_load_info info = {
                .service = s->name,
                .domain = d->name,
                .sent = d->rate,
                .room = room(s, d),
                .share = s->sharing ? d->part : 0,
            };

            if (s->time.value_us > 0.0) {
                info.utilization = quotient(sum_load(dl, s, d), info.room);
            }
            cb(ctx, &info);
        }
    }
}
