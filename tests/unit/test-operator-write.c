#include <limits.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "coordination/operator-write.h"

#define SEED 20260105U
/* Duration of a store operation that is answered */
#define OPERATION_ANSWER_US (2 * USEC_PER_MSEC)
/* Duration of a store operation whose answer is lost */
#define OPERATION_TIMEOUT_US (2 * USEC_PER_SEC)
/* Time limits of a write: one that leaves enough time after all faults, and
 * one that may end during them */
#define LONG_TIME_LIMIT_US (120 * USEC_PER_SEC)
#define SHORT_TIME_LIMIT_US (3 * USEC_PER_SEC)
/* Number of store operations, from the first on, that may fail */
#define SCRIPT_OPERATIONS 5
/* Maximum number of steps of a write */
#define STEPS_MAX 1000
/* Number of writes after which the id of an earlier one is no longer stored */
#define CONCURRENT_WRITES_OVERRUN (RECENT_WRITES_MAX + 1)

/* Fault of one store operation. The differences between the faults without an
 * answer concern only a compare-and-swap; a read has no effect. */
enum fault {
    FAULT_NONE,
    FAULT_DOWN,        /* answered with an error; not executed */
    FAULT_LOST_BEFORE, /* no answer; not executed */
    FAULT_LOST_AFTER,  /* no answer; executed at once */
    FAULT_LATE_NEXT,   /* no answer; executed before the next operation */
    FAULT_LATE_SECOND, /* no answer; executed after the next operation */
    FAULT_LATE_END,    /* no answer; executed after all other operations */
    FAULT_COUNT,
};

#define WRITE_LOG_MAX 1024 /* maximum number of writes of one test run */

/* The writes that took effect, except those of store_concurrent_writes() */
struct write_log {
    size_t count;
    struct {
        char id[WRITE_ID_SIZE];
        uint64_t version;
    } writes[WRITE_LOG_MAX];
};

/* A store with one key. */
struct fake_store {
    struct write_log *log; /* not owned */
    bool present;
    struct resource value;
    uint64_t revision;      /* of the key; 0: absent */
    uint64_t last_revision; /* newest revision of the store */
    /* Whether a delayed compare-and-swap has yet to reach the store. The other
     * "late_" fields describe it. */
    bool late;
    unsigned late_after; /* number of operations that reach the store first */
    struct resource late_value;
    uint64_t late_expected; /* expected revision of the key */
    bool check_increments;  /* each write must raise deadline_ms by one */
};

static void
store_put(struct fake_store *s, const struct resource *value)
{
    uint64_t version = s->present ? s->value.version : 0;

    assert_int_equal(value->version, version + 1);
    if (s->check_increments) {
        assert_int_equal(value->service.deadline_ms,
                         s->value.service.deadline_ms + 1);
    }
    s->value = *value;
    s->present = true;
    s->last_revision++;
    s->revision = s->last_revision;
}

static bool
store_cas(struct fake_store *s, const struct resource *value,
          uint64_t expected)
{
    struct write_log *log = s->log;

    if (s->revision != expected) {
        return false;
    }
    store_put(s, value);
    assert_in_range(log->count, 0, WRITE_LOG_MAX - 1);
    memcpy(log->writes[log->count].id, value->writes[0], WRITE_ID_SIZE);
    log->writes[log->count].version = value->version;
    log->count++;
    return true;
}

/* Returns how often the write with this id took effect. Sets "version" to the
 * version that it created last. */
static unsigned
count_writes(const struct write_log *log, const char *id, uint64_t *version)
{
    unsigned count = 0;

    for (size_t i = 0; i < log->count; i++) {
        if (strcmp(log->writes[i].id, id) == 0) {
            *version = log->writes[i].version;
            count++;
        }
    }
    return count;
}

/* Applies writes of another operator, which succeed at once. */
static void
store_concurrent_writes(struct fake_store *s, unsigned writes)
{
    for (unsigned i = 0; i < writes; i++) {
        struct resource next = s->value;

        next.version++;
        memmove(next.writes[1], next.writes[0],
                sizeof(next.writes) - WRITE_ID_SIZE);
        snprintf(next.writes[0], WRITE_ID_SIZE, "race-%u", i);
        if (next.write_count < RECENT_WRITES_MAX) {
            next.write_count++;
        }
        store_put(s, &next);
    }
}

/* Executes the delayed compare-and-swap, if there is one. */
static void
deliver_late(struct fake_store *s)
{
    if (s->late) {
        s->late = false;
        store_cas(s, &s->late_value, s->late_expected);
    }
}

static void
init_host(struct resource *r, uint64_t version)
{
    memset(r, 0, sizeof(*r));
    r->kind = RESOURCE_HOST;
    snprintf(r->id, sizeof(r->id), "h1");
    snprintf(r->host.domain, sizeof(r->host.domain), "a");
    r->host.addr = 0x01020304;
    r->version = version;
}

/* One run of the state machine of a write against the store */
struct run {
    struct fake_store store;
    struct operator_write w;
    enum fault script[SCRIPT_OPERATIONS]; /* faults of the first operations */
    size_t operations;                    /* number of operations so far */
    /* Index of the operation before which another operator writes; SIZE_MAX:
     * none */
    size_t concurrent_at;
    unsigned concurrent_writes; /* number of these writes */
    uint64_t now;               /* us */
    bool cas_lost;              /* the answer to a compare-and-swap was lost */
};

/* Returns the fault of the next operation. Advances the time by the duration
 * of the operation and executes the writes that reach the store before it. */
static enum fault
next_fault(struct run *r)
{
    enum fault fault = r->operations < SCRIPT_OPERATIONS
                           ? r->script[r->operations]
                           : FAULT_NONE;

    if (r->store.late && r->store.late_after-- == 0) {
        deliver_late(&r->store);
    }
    if (r->operations == r->concurrent_at) {
        store_concurrent_writes(&r->store, r->concurrent_writes);
    }
    r->operations++;
    r->now += fault <= FAULT_DOWN ? OPERATION_ANSWER_US : OPERATION_TIMEOUT_US;
    return fault;
}

/* Executes a read. Any fault makes it fail with ERR_STORE_DOWN. */
static enum operator_step
do_read(struct run *r)
{
    struct status st;

    status_set_ok(&st);
    if (next_fault(r) != FAULT_NONE) {
        status_set(&st, ERR_STORE_DOWN, "down");
        return operator_write_on_read(&r->w, r->now, &st, NULL, 0);
    }
    return operator_write_on_read(&r->w, r->now, &st,
                                  r->store.present ? &r->store.value : NULL,
                                  r->store.revision);
}

/* Returns how many further operations reach the store before a
 * compare-and-swap that was delayed by this fault. */
static unsigned
late_operations(enum fault fault)
{
    switch (fault) {
    case FAULT_LATE_NEXT:
        return 0;
    case FAULT_LATE_SECOND:
        return 1;
    default:
        return UINT_MAX;
    }
}

static enum operator_step
do_cas(struct run *r)
{
    enum fault fault = next_fault(r);
    struct status st;

    status_set_ok(&st);
    switch (fault) {
    case FAULT_NONE:
        if (!store_cas(&r->store, &r->w.next, r->w.revision)) {
            status_set(&st, ERR_CONFLICT, "changed");
        }
        break;
    case FAULT_DOWN:
        status_set(&st, ERR_STORE_DOWN, "down");
        break;
    case FAULT_LOST_AFTER:
        store_cas(&r->store, &r->w.next, r->w.revision);
        status_set(&st, ERR_STORE_UNKNOWN, "lost");
        break;
    default:
        /* At most one compare-and-swap is delayed at a time; another one is
         * lost without an effect. */
        if (fault != FAULT_LOST_BEFORE && !r->store.late) {
            r->store.late = true;
            r->store.late_after = late_operations(fault);
            r->store.late_value = r->w.next;
            r->store.late_expected = r->w.revision;
        }
        status_set(&st, ERR_STORE_UNKNOWN, "lost");
        break;
    }
    r->cas_lost = r->cas_lost || st.kind == ERR_STORE_UNKNOWN;
    return operator_write_on_cas(&r->w, r->now, &st, r->store.revision);
}

static void
run_to_end(struct run *r)
{
    enum operator_step step = r->w.step;

    for (int i = 0; step != OPERATOR_DONE; i++) {
        assert_in_range(i, 0, STEPS_MAX);
        switch (step) {
        case OPERATOR_READ_KEY:
            step = do_read(r);
            break;
        case OPERATOR_CAS:
            step = do_cas(r);
            break;
        default:
            assert_int_equal(step, OPERATOR_WAIT);
            assert_true(r->w.wake_at > r->now);
            r->now = r->w.wake_at;
            step = operator_write_on_timer(&r->w, r->now);
            break;
        }
    }
    deliver_late(&r->store);
}

/* Asserts that the reported outcome is what has happened in the store. */
static void
check_outcome_is_true(const struct run *r)
{
    const struct operator_outcome *o = &r->w.outcome;
    uint64_t version = 0;
    unsigned count =
        count_writes(r->store.log, r->w.request.write_id, &version);

    assert_in_range(count, 0, 1);
    switch (o->status.kind) {
    case ERR_NONE:
        assert_int_equal(count, 1);
        assert_int_equal(o->version, version);
        break;
    case ERR_STORE_UNKNOWN:
        assert_true(r->cas_lost);
        break;
    default:
        assert_int_equal(count, 0);
        break;
    }
}

/* Asserts that the outcome of a write with enough time after all faults is
 * known, unless so many writes have followed that its id is no longer
 * stored. When the first read fails, the write ends with ERR_STORE_DOWN. */
static void
check_outcome_is_known(const struct run *r)
{
    enum error_kind kind = r->w.outcome.status.kind;

    if (r->script[0] != FAULT_NONE) {
        assert_int_equal(kind, ERR_STORE_DOWN);
        return;
    }
    if (r->concurrent_writes == CONCURRENT_WRITES_OVERRUN &&
        kind == ERR_STORE_UNKNOWN) {
        return;
    }
    if (r->concurrent_at == SIZE_MAX) {
        assert_int_equal(kind, ERR_NONE);
        return;
    }
    assert_true(kind == ERR_NONE || kind == ERR_CONFLICT ||
                (r->concurrent_at == 0 && kind == ERR_PRECONDITION));
}

static void
start_run(struct run *r, bool present, uint64_t limit_us)
{
    struct operator_request request = {
        .precondition = present ? PRECONDITION_VERSION : PRECONDITION_ABSENT,
        .version = 3,
        .write_id = "mine",
        .time_limit_us = limit_us,
    };

    static struct write_log log;

    log.count = 0;
    r->store.log = &log;
    r->store.present = present;
    init_host(&r->store.value, present ? 3 : 0);
    r->store.last_revision = 10;
    r->store.revision = present ? 10 : 0;
    init_host(&request.wanted, 0);
    request.wanted.host.state = ADMIN_DRAINING;
    r->now = 1;
    operator_write_init(&r->w, &request, r->now, SEED);
}

static void
run_script(size_t number, size_t concurrent_at, unsigned concurrent_writes,
           bool present, uint64_t limit_us)
{
    struct run r = {.concurrent_at = concurrent_at,
                    .concurrent_writes = concurrent_writes};

    for (size_t i = 0; i < SCRIPT_OPERATIONS; i++) {
        r.script[i] = (enum fault)(number % FAULT_COUNT);
        number /= FAULT_COUNT;
    }
    start_run(&r, present, limit_us);
    run_to_end(&r);
    check_outcome_is_true(&r);
    if (limit_us == LONG_TIME_LIMIT_US) {
        check_outcome_is_known(&r);
    }
}

/* Every combination of faults of the first SCRIPT_OPERATIONS store operations,
 * without and with another operator who writes before one of them: once, or so
 * often that the id of the write is no longer stored. */
static void
test_every_fault_sequence(void **state)
{
    static const uint64_t limits[] = {LONG_TIME_LIMIT_US, SHORT_TIME_LIMIT_US};
    size_t scripts = 1;
    size_t runs = 0;

    for (int i = 0; i < SCRIPT_OPERATIONS; i++) {
        scripts *= FAULT_COUNT;
    }
    for (size_t n = 0; n < scripts; n++) {
        for (size_t limit = 0; limit < 2; limit++) {
            run_script(n, SIZE_MAX, 0, true, limits[limit]);
            run_script(n, SIZE_MAX, 0, false, limits[limit]);
            runs += 2;
            for (size_t at = 0; at <= SCRIPT_OPERATIONS; at++) {
                run_script(n, at, 1, true, limits[limit]);
                run_script(n, at, CONCURRENT_WRITES_OVERRUN, true,
                           limits[limit]);
                runs += 2;
            }
        }
    }
    print_message("%zu runs\n", runs);
    assert_int_equal(runs, 16807 * 2 * (2 + 2 * 6));
}

/* A write that is repeated with the same id through another balancer takes
 * effect once. The outcome has the version that it created. */
static void
test_repeated_write(void **state)
{
    struct run r = {.concurrent_at = SIZE_MAX};
    struct operator_request request;

    start_run(&r, true, LONG_TIME_LIMIT_US);
    request = r.w.request;
    run_to_end(&r);
    assert_int_equal(r.w.outcome.version, 4);
    store_concurrent_writes(&r.store, 2);
    operator_write_init(&r.w, &request, r.now, SEED);
    run_to_end(&r);
    assert_int_equal(r.w.outcome.status.kind, ERR_NONE);
    assert_int_equal(r.w.outcome.version, 4);
    assert_int_equal(r.store.value.version, 6);
    check_outcome_is_true(&r);
}

#define PORT_BEFORE 1111
#define PORT_WANTED 2222

struct precondition_case {
    const char *name;
    bool present;
    bool deleted;  /* the stored resource is a tombstone */
    bool deletion; /* the write is a deletion */
    enum operator_precondition precondition;
    uint64_t version;
    uint64_t known_version;
    enum error_kind kind;     /* of the outcome */
    uint64_t outcome_version; /* 0: absent */
};

static const struct precondition_case precondition_cases[] = {
    {"create", false, false, false, PRECONDITION_NONE, 0, 0, ERR_NONE, 1},
    {"create, if absent", false, false, false, PRECONDITION_ABSENT, 0, 0,
     ERR_NONE, 1},
    {"create a deleted resource, if absent", true, true, false,
     PRECONDITION_ABSENT, 0, 0, ERR_NONE, 4},
    {"create an existing resource, if absent", true, false, false,
     PRECONDITION_ABSENT, 0, 0, ERR_PRECONDITION, 3},
    {"replace without a precondition", true, false, false, PRECONDITION_NONE,
     0, 0, ERR_PRECONDITION, 3},
    {"replace", true, false, false, PRECONDITION_VERSION, 3, 3, ERR_NONE, 4},
    {"replace an old version", true, false, false, PRECONDITION_VERSION, 2, 0,
     ERR_PRECONDITION, 3},
    {"replace an absent resource", false, false, false, PRECONDITION_VERSION,
     1, 0, ERR_PRECONDITION, 0},
    {"replace a deleted resource", true, true, false, PRECONDITION_VERSION, 3,
     0, ERR_PRECONDITION, 3},
    {"delete", true, false, true, PRECONDITION_VERSION, 3, 0, ERR_NONE, 4},
    {"delete without a precondition", true, false, true, PRECONDITION_NONE, 0,
     0, ERR_PRECONDITION, 3},
    {"delete an absent resource", false, false, true, PRECONDITION_NONE, 0, 0,
     ERR_NOT_FOUND, 0},
    {"delete a deleted resource", true, true, true, PRECONDITION_NONE, 0, 0,
     ERR_NOT_FOUND, 3},
    {"store has an older version than known", true, false, false,
     PRECONDITION_VERSION, 3, 4, ERR_STORE_REGRESSED, 3},
    {"store lacks a known resource", false, false, false, PRECONDITION_ABSENT,
     0, 1, ERR_STORE_REGRESSED, 0},
};

static void
test_preconditions(void **state)
{
    for (size_t i = 0;
         i < sizeof(precondition_cases) / sizeof(*precondition_cases); i++) {
        const struct precondition_case *c = &precondition_cases[i];
        struct run r = {.concurrent_at = SIZE_MAX};

        start_run(&r, c->present, LONG_TIME_LIMIT_US);
        r.store.value.deleted = c->deleted;
        r.store.value.service.port = PORT_BEFORE;
        r.w.request.wanted.service.port = PORT_WANTED;
        r.w.request.deletion = c->deletion;
        r.w.request.precondition = c->precondition;
        r.w.request.version = c->version;
        r.w.request.known_version = c->known_version;
        run_to_end(&r);
        print_message("%s: %s\n", c->name, r.w.outcome.status.message);
        assert_int_equal(r.w.outcome.status.kind, c->kind);
        assert_int_equal(r.w.outcome.version, c->outcome_version);
        check_outcome_is_true(&r);
        if (c->kind == ERR_NONE) {
            assert_int_equal(r.store.value.deleted, c->deletion);
            /* A tombstone keeps the fields of the deleted resource. */
            assert_int_equal(r.store.value.service.port,
                             c->deletion ? PORT_BEFORE : PORT_WANTED);
        }
    }
}

/* One of two operators that both increment the deadline of the same service,
 * each from the version that it has read, while the store loses answers */
struct writer {
    struct run run;
    unsigned accepted; /* number of writes that succeeded */
    unsigned unknown;  /* number of writes with an unknown outcome */
};

static void
start_writer(struct writer *writer, unsigned number, unsigned round,
             const struct fake_store *store, uint64_t seed)
{
    struct operator_request request = {
        .precondition = PRECONDITION_VERSION,
        .version = store->value.version,
        .time_limit_us = SHORT_TIME_LIMIT_US,
        .wanted = store->value,
    };

    request.wanted.service.deadline_ms++;
    snprintf(request.write_id, sizeof(request.write_id), "%u-%u", number,
             round);
    memset(&writer->run, 0, sizeof(writer->run));
    writer->run.store.log = store->log;
    writer->run.now = 1;
    operator_write_init(&writer->run.w, &request, 1, seed);
}

/* Executes the next step of an operator's write on the shared store. */
static void
step_writer(struct writer *writer, struct fake_store *store,
            struct random *random)
{
    struct run *r = &writer->run;
    struct status st;
    struct list none;
    const struct resource_context context = {.others = &none};

    r->store = *store;
    r->concurrent_at = SIZE_MAX;
    r->operations = 0;
    r->script[0] = FAULT_NONE;
    if (random_below(random, 3) == 0) {
        r->script[0] = (enum fault)random_below(random, FAULT_COUNT);
    }
    switch (r->w.step) {
    case OPERATOR_READ_KEY:
        do_read(r);
        break;
    case OPERATOR_READ_OTHERS:
        list_init(&none);
        status_set_ok(&st);
        operator_write_on_others(&r->w, r->now, &st, &context);
        break;
    case OPERATOR_CAS:
        do_cas(r);
        break;
    default:
        r->now = r->w.wake_at;
        operator_write_on_timer(&r->w, r->now);
        break;
    }
    *store = r->store;
}

static void
finish_writer(struct writer *writer)
{
    check_outcome_is_true(&writer->run);
    if (writer->run.w.outcome.status.kind == ERR_NONE) {
        writer->accepted++;
    }
    else if (writer->run.w.outcome.status.kind == ERR_STORE_UNKNOWN) {
        writer->unknown++;
    }
}

/* Runs two writes to the same version at the same time, with their steps in
 * random order. */
static void
run_two_writes(struct writer writers[2], struct fake_store *store,
               unsigned round, struct random *random)
{
    for (unsigned i = 0; i < 2; i++) {
        start_writer(&writers[i], i, round, store, random_next(random));
    }
    while (writers[0].run.w.step != OPERATOR_DONE ||
           writers[1].run.w.step != OPERATOR_DONE) {
        unsigned i = random_below(random, 2);

        if (writers[i].run.w.step != OPERATOR_DONE) {
            step_writer(&writers[i], store, random);
        }
    }
    deliver_late(store);
    finish_writer(&writers[0]);
    finish_writer(&writers[1]);
}

static void
test_two_concurrent_operators(void **state)
{
    static struct write_log log;
    struct fake_store store = {.present = true, .revision = 1, .log = &log};
    struct writer writers[2] = {0};
    struct random random;

    random_seed(&random, SEED);
    store.value.kind = RESOURCE_SERVICE;
    store.value.version = 1;
    store.last_revision = 1;
    store.check_increments = true;
    for (unsigned round = 0; round < 100; round++) {
        run_two_writes(writers, &store, round, &random);
    }
    print_message("accepted %u and %u, unknown %u and %u, written %zu\n",
                  writers[0].accepted, writers[1].accepted, writers[0].unknown,
                  writers[1].unknown, log.count);
    assert_int_equal(store.value.service.deadline_ms, log.count);
    assert_int_equal(store.value.version, 1 + log.count);
    assert_in_range(log.count, writers[0].accepted + writers[1].accepted, 100);
    assert_in_range(writers[0].accepted, 10, 100);
    assert_in_range(writers[1].accepted, 10, 100);
}

/* The resources that the rules of a write are checked against */
struct others {
    struct list list;
    struct resource services[2];
    struct resource targets[2];
    struct resource host;
};

static void
add_service(struct list *list, struct resource *r, const char *id,
            uint16_t port, const char *domain)
{
    memset(r, 0, sizeof(*r));
    r->kind = RESOURCE_SERVICE;
    snprintf(r->id, sizeof(r->id), "%s", id);
    r->service.port = port;
    r->service.domain_count = 1;
    snprintf(r->service.domains[0], ID_SIZE, "%s", domain);
    list_push_back(list, &r->link);
}

static void
add_target(struct list *list, struct resource *r, const char *service,
           const char *id, uint32_t addr)
{
    memset(r, 0, sizeof(*r));
    r->kind = RESOURCE_TARGET;
    snprintf(r->id, sizeof(r->id), "%s", id);
    snprintf(r->target.service, ID_SIZE, "%s", service);
    snprintf(r->target.domain, ID_SIZE, "%s", "a");
    r->target.addr = addr;
    r->target.port = 80;
    list_push_back(list, &r->link);
}

static void
init_others(struct others *o)
{
    list_init(&o->list);
    add_service(&o->list, &o->services[0], "rigctl", 5683, "a");
    add_service(&o->list, &o->services[1], "old", 5685, "a");
    o->services[1].deleted = true;
    add_target(&o->list, &o->targets[0], "rigctl", "t1", 1);
    add_target(&o->list, &o->targets[1], "rigctl", "gone", 2);
    o->targets[1].deleted = true;
    /* A host in a failure domain that the platform does not know yet */
    o->host =
        (struct resource){.kind = RESOURCE_HOST, .host = {.domain = "d"}};
    list_push_back(&o->list, &o->host.link);
}

struct rule_case {
    struct resource wanted;
    bool deletion;
    const char *message; /* NULL: allowed */
};

#define SERVICE(name, port_, domain_)                                         \
    {                                                                         \
        .kind = RESOURCE_SERVICE, .id = (name), .service = {                  \
            .port = (port_),                                                  \
            .domain_count = 1,                                                \
            .domains = {domain_},                                             \
        }                                                                     \
    }
#define TARGET(service_, name, domain_, addr_)                                \
    {                                                                         \
        .kind = RESOURCE_TARGET, .id = (name), .target = {                    \
            .service = (service_),                                            \
            .domain = (domain_),                                              \
            .addr = (addr_),                                                  \
            .port = 80,                                                       \
        }                                                                     \
    }

static const struct rule_case rule_cases[] = {
    {SERVICE("certdesk", 5684, "a"), false, NULL},
    {SERVICE("rigctl", 5683, "b"), false, NULL},
    {SERVICE("certdesk", 5683, "b"), false, NULL},
    {SERVICE("certdesk", 5685, "a"), false, NULL},
    {SERVICE("certdesk", 5683, "a"), false,
     "port: 5683 is used by service rigctl in failure domain a"},
    {SERVICE("certdesk", 5684, "c"), false,
     "domains[0]: no failure domain c is known"},
    {SERVICE("rigctl", 0, ""), true, "service rigctl still has target t1"},
    {SERVICE("certdesk", 0, ""), true, NULL},
    {TARGET("rigctl", "t1", "a", 1), false, NULL},
    {TARGET("rigctl", "t2", "a", 2), false, NULL},
    {TARGET("rigctl", "t2", "a", 1), false,
     "address: with this port it is used by target t1 of service rigctl"},
    {TARGET("rigctl", "t1", "a", 3), false,
     "address: target t1 keeps its address and port; declare a target with "
     "another id"},
    {TARGET("rigctl", "gone", "a", 2), false, NULL},
    {TARGET("rigctl", "gone", "a", 3), false,
     "address: target gone keeps its address and port; declare a target with "
     "another id"},
    {TARGET("old", "t2", "a", 3), false, "service: there is no service old"},
    {TARGET("rigctl", "t2", "b", 3), false,
     "domain: service rigctl has no failure domain b"},
    {TARGET("rigctl", "t1", "", 0), true, NULL},
    {SERVICE("certdesk", 5684, "d"), false, NULL},
    {{.kind = RESOURCE_HOST, .host = {.domain = "c"}}, false, NULL},
    {{.kind = RESOURCE_KEY_RING},
     true,
     "the key ring cannot be deleted: every token would fail"},
};

static void
test_rules_on_other_resources(void **state)
{
    static const char domains[2][ID_SIZE] = {"a", "b"};
    struct others others;
    struct resource_context context = {
        .others = &others.list, .domains = domains, .domain_count = 2};

    init_others(&others);
    for (size_t i = 0; i < sizeof(rule_cases) / sizeof(*rule_cases); i++) {
        const struct rule_case *c = &rule_cases[i];
        struct status st;
        bool allowed =
            c->deletion
                ? resource_rules_check_delete(&c->wanted, &context, &st)
                : resource_rules_check_put(&c->wanted, &context, &st);

        assert_int_equal(allowed, c->message == NULL);
        if (c->message != NULL) {
            assert_string_equal(st.message, c->message);
        }
    }
}

struct ring_case {
    uint8_t wanted[KEY_RING_KEYS_MAX]; /* key ids, ended by 0 */
    const char *message;
};

/* Key rings that replace one with the keys 1 and 2, of which the first seals
 * tokens */
static const struct ring_case ring_cases[] = {
    {{1, 2, 3}, NULL},
    {{1}, NULL},
    {{2, 1}, NULL},
    {{2, 1, 3}, NULL},
    {{2},
     "keys: key 1 sealed until now and must stay for the tokens that it has "
     "sealed"},
    {{3, 1, 2},
     "keys[0].id: key 3 is new; add it behind the others, and put it first "
     "when that is in force"},
};

/* Sets the ids of the keys. Returns their number. */
static size_t
fill_ring(struct key_ring *ring, const uint8_t *ids)
{
    for (ring->count = 0; ids[ring->count] != 0; ring->count++) {
        ring->keys[ring->count].id = ids[ring->count];
    }
    return ring->count;
}

static void
test_key_ring(void **state)
{
    for (size_t i = 0; i < sizeof(ring_cases) / sizeof(*ring_cases); i++) {
        const struct ring_case *c = &ring_cases[i];
        struct run r = {.concurrent_at = SIZE_MAX};
        struct key_ring *ring = &r.store.value.key_ring;

        start_run(&r, true, LONG_TIME_LIMIT_US);
        r.store.value.kind = RESOURCE_KEY_RING;
        fill_ring(ring, (const uint8_t[]){1, 2, 0});
        memset(ring->keys[0].secret, 0x11, KEY_SECRET_SIZE);
        memset(ring->keys[1].secret, 0x22, KEY_SECRET_SIZE);
        r.w.request.wanted.kind = RESOURCE_KEY_RING;
        memset(&r.w.request.wanted.key_ring, 0, sizeof(struct key_ring));
        fill_ring(&r.w.request.wanted.key_ring, c->wanted);
        memset(r.w.request.secrets, 0x33, sizeof(r.w.request.secrets));
        run_to_end(&r);
        if (c->message != NULL) {
            assert_string_equal(r.w.outcome.status.message, c->message);
            continue;
        }
        assert_int_equal(r.w.outcome.status.kind, ERR_NONE);
        /* The known keys keep their secrets (0x11, 0x22), and the new key 3
         * has the one of the request (0x33). */
        for (size_t k = 0; k < ring->count; k++) {
            assert_int_equal(ring->keys[k].secret[0], ring->keys[k].id * 0x11);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_every_fault_sequence),
        cmocka_unit_test(test_repeated_write),
        cmocka_unit_test(test_preconditions),
        cmocka_unit_test(test_two_concurrent_operators),
        cmocka_unit_test(test_rules_on_other_resources),
        cmocka_unit_test(test_key_ring),
    };

    print_message("seed %u\n", SEED);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
