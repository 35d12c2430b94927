/* Two models of a forwarder's view (docs/design/flow-forwarding.md).
 *
 * PART_FRESHNESS models its freshness in discrete time: one change in the
 * store and two balancers, of which balancer 0 is first in rank and watches
 * the store.
 *
 * Messages between the two balancers may be lost at any time. At most one of
 * these faults occurs, at any time:
 * - the path between the store and a balancer is silent, until any later time,
 * - one connection becomes silent permanently while new connections work,
 * - a balancer is paused, until any later time,
 * - balancer 0 crashes,
 * - balancer 1 is restarted and its read of the store, or of the snapshot in
 *   it, returns the state before the change.
 *
 * PART_ERAS models a store that is restored from older copies, each time in a
 * new era, in which it gives out its revisions again. One target writes its
 * entry with a rising sequence number; two balancers read it, send each other
 * their views, and write snapshots of them under a condition.
 *
 * PART_ORDERS models the operator's order to empty a failure domain, which is
 * given and taken back any number of times. Two balancers read the store, send
 * each other their views and restart; the store is restored from older copies.
 *
 * Each safety mechanism can be disabled by a macro. spec/check-models checks
 * that the model then violates an assertion. */

#ifdef PART_FRESHNESS

/* One step is half a second. The users' bounds are 3 s and 4 s. */
/* Steps after which the store answers a watch if nothing has changed */
#define WATCH_STEPS 3
#define CALL_TIMEOUT_STEPS 1 /* a call that takes longer has failed */
/* Steps since the last known answer to balancer 0 after which balancer 1
 * watches as well */
#define TAKEOVER_STEPS 4
#define APPLY_BOUND_STEPS 6  /* a change is applied everywhere within it */
#define RECOVERY_STEPS 8     /* after a fault, until the bound holds again */
#define AGE_STEPS_MAX 9      /* ages are not counted beyond it */
#define STEPS_MAX 22         /* length of a run */

#define BALANCERS 2

bool changed;            /* the store contains the change */
byte change_age;         /* steps since the change */
bool has_change[BALANCERS];   /* the view contains the change */
bool has_revision[BALANCERS]; /* the view's revision is that of the change */
byte confirmed_age[BALANCERS]; /* steps since the store's last known answer */
/* Steps since the last known answer to a balancer of better rank. */
byte better_rank_age[BALANCERS];
bool watching[BALANCERS];
/* The connection of the current watch is silent permanently. */
bool connection_dead[BALANCERS];
byte watch_left[BALANCERS];   /* steps until the watch ends */
bool store_silent[BALANCERS]; /* no packet passes to or from the store */
bool paused[BALANCERS];
bool crashed[BALANCERS];
/* Steps since the end of the last fault, or since its start for a connection
 * that became silent. */
byte fault_age[BALANCERS];
bool fault_injected;

inline increase_age(age)
{
    if
    :: age < AGE_STEPS_MAX -> age++
    :: else -> skip
    fi
}

/* Balancer i sends the store's last answer to the other balancer. */
inline notify_other(i)
{
    if
    :: !paused[1 - i] && !crashed[1 - i] ->
        if
        :: has_revision[i] && !has_revision[1 - i] ->
#ifdef CONFIRMS_WITHOUT_NEWS
            skip
#else
            has_change[1 - i] = has_change[i];
            has_revision[1 - i] = true
#endif
        :: else -> skip
        fi;
        confirmed_age[1 - i] = 0;
        if
        :: i == 0 -> better_rank_age[1] = 0
        :: else -> skip
        fi
    :: skip /* lost */
    fi
}

/* The store answers a watch of balancer i. */
inline answer_watch(i)
{
    watching[i] = false;
    if
    :: changed && !has_revision[i] ->
        has_change[i] = true;
        has_revision[i] = true
    :: else -> skip
    fi;
    confirmed_age[i] = 0;
    notify_other(i)
}

inline step_watch(i)
{
    if
    :: store_silent[i] || connection_dead[i] ->
        if
        :: watch_left[i] > 0 -> watch_left[i]--
        :: else ->
#ifdef NO_CALL_LIMIT
            watching[i] = !store_silent[i]
#else
            watching[i] = false;
            connection_dead[i] = false
#endif
        fi
    :: else ->
        if
        :: (changed && !has_revision[i]) ||
           watch_left[i] <= CALL_TIMEOUT_STEPS -> answer_watch(i)
        :: else -> watch_left[i]--
        fi
    fi
}

/* If the last known answer is older than WATCH_STEPS, the balancer requests an
 * answer at once instead of waiting for a change. */
inline start_watch(i)
{
    watching[i] = true;
    connection_dead[i] = false;
    if
    :: confirmed_age[i] > WATCH_STEPS -> watch_left[i] = CALL_TIMEOUT_STEPS
    :: else -> watch_left[i] = WATCH_STEPS + CALL_TIMEOUT_STEPS
    fi
}

inline step(i)
{
    if
    :: crashed[i] || paused[i] -> skip
    :: else ->
        if
        :: watching[i] -> step_watch(i)
        :: else -> skip
        fi;
        if
        :: !watching[i] && i == 0 -> start_watch(i)
#ifndef NO_TAKEOVER
        :: !watching[i] && i == 1 && better_rank_age[1] >= TAKEOVER_STEPS ->
            start_watch(i)
#endif
        :: else -> skip
        fi;
        increase_age(confirmed_age[i]);
        increase_age(better_rank_age[i])
    fi;
    if
    :: paused[i] || store_silent[i] || crashed[i] -> fault_age[i] = 0
    :: else -> increase_age(fault_age[i])
    fi
}

/* Restarts balancer 1 with a stale read or an old snapshot: the result lacks
 * the change and is complete only up to the revision that it contains itself,
 * which the mutant confuses with that of the store or of the snapshot's
 * key. */
inline restart_second()
{
    watching[1] = false;
    connection_dead[1] = false;
    has_change[1] = false;
#ifdef TRUSTS_STALE_READ
    has_revision[1] = changed;
#else
    has_revision[1] = false;
#endif
    confirmed_age[1] = AGE_STEPS_MAX;
    better_rank_age[1] = 0;
    fault_age[1] = 0
}

inline inject_fault()
{
    fault_injected = true;
    if
    :: store_silent[0] = true
    :: store_silent[1] = true
    :: watching[0] ->
        connection_dead[0] = true; fault_age[0] = 0; fault_age[1] = 0
    :: watching[1] ->
        connection_dead[1] = true; fault_age[0] = 0; fault_age[1] = 0
    :: paused[0] = true
    :: paused[1] = true
    :: crashed[0] = true; watching[0] = false
    :: restart_second()
    fi
}

/* A balancer that resumes after a pause starts a new watch and treats all
 * earlier answers of the store as outdated. */
inline resume(i)
{
    paused[i] = false;
    watching[i] = false;
    confirmed_age[i] = AGE_STEPS_MAX;
    better_rank_age[i] = AGE_STEPS_MAX
}

inline end_fault()
{
    if
    :: store_silent[0] -> store_silent[0] = false
    :: store_silent[1] -> store_silent[1] = false
    :: paused[0] -> resume(0)
    :: paused[1] -> resume(1)
    :: skip
    fi
}

inline check_applied(i)
{
    assert(change_age <= APPLY_BOUND_STEPS || has_change[i] || crashed[i] ||
           fault_age[i] < RECOVERY_STEPS)
}

active proctype environment()
{
    byte now;

    fault_age[0] = AGE_STEPS_MAX;
    fault_age[1] = AGE_STEPS_MAX;
    do
    :: now < STEPS_MAX ->
        atomic {
            now++;
            if
            :: !changed -> changed = true
            :: skip
            fi;
            if
            :: !fault_injected -> inject_fault()
            :: fault_injected -> end_fault()
            :: skip
            fi;
            step(0);
            step(1);
            if
            :: changed -> increase_age(change_age)
            :: else -> skip
            fi;
            check_applied(0);
            check_applied(1)
        }
    :: else -> break
    od
}

#endif

#ifdef PART_ERAS

#define BALANCERS 2
#define REVISIONS 3
#define ERAS 2 /* restores */

byte era;
byte revision;
byte entry[REVISIONS + 1];    /* sequence number of the entry, by revision */
byte key[REVISIONS + 1];      /* revision of the snapshot's key, 0: none */
byte snapshot[REVISIONS + 1]; /* sequence number that it contains */
byte sequence;                /* of the target's last write, in all eras */

/* The views: position, and sequence number of the known entry. */
byte view_era[BALANCERS];
byte view_revision[BALANCERS];
byte view_sequence[BALANCERS];

/* What a balancer has seen of the snapshot: its next write's condition, and
 * the sequence number that the snapshot contains. */
byte seen_era[BALANCERS];
byte seen_key[BALANCERS];
byte seen_sequence[BALANCERS];

/* Changes the known entry; no entry may replace a newer one. */
inline learn(reader, learned)
{
    assert(learned >= view_sequence[reader]);
    view_sequence[reader] = learned
}

/* A balancer that is at the store's newest position knows the newest entry. */
inline check_complete(reader)
{
    assert(view_era[reader] != era || view_revision[reader] != revision ||
           view_sequence[reader] >= entry[revision])
}

inline write_entry()
{
    revision++;
    sequence++;
    entry[revision] = sequence;
    key[revision] = key[revision - 1];
    snapshot[revision] = snapshot[revision - 1]
}

inline restore_store()
{
    era++;
    do
    :: revision > 0 -> revision--; break
    :: revision > 1 -> revision--
    od
}

/* The store answers a watch from the view's position. */
inline answer_watch(watcher)
{
    if
    :: entry[revision] != entry[view_revision[watcher]] ->
        learn(watcher, entry[revision])
    :: else -> skip
    fi;
    view_revision[watcher] = revision;
    view_era[watcher] = era
}

/* The store answers a read of everything. In a new era the copy may be older
 * than the view. */
inline answer_read(asker)
{
#ifdef TRUSTS_COPY
    learn(asker, entry[revision]);
#else
    if
    :: entry[revision] >= view_sequence[asker] -> learn(asker, entry[revision])
    :: else -> skip
    fi;
#endif
    view_revision[asker] = revision;
    view_era[asker] = era
}

inline ask_store(b)
{
    if
    :: view_era[b] == era && view_revision[b] <= revision -> answer_watch(b)
#ifdef RESUMES_WATCH
    :: view_era[b] != era && view_revision[b] <= revision -> answer_watch(b)
#else
    :: view_era[b] != era -> answer_read(b)
#endif
    :: else -> answer_read(b)
    fi;
    check_complete(b)
}

/* A balancer sends its view to the other. */
inline send_view(sender)
{
    if
#ifdef ORDERS_BY_REVISION
    :: view_revision[sender] > view_revision[1 - sender] ->
        learn(1 - sender, view_sequence[sender]);
#else
    :: view_era[sender] > view_era[1 - sender] ||
       (view_era[sender] == view_era[1 - sender] &&
        view_revision[sender] > view_revision[1 - sender]) ->
        if
        :: view_sequence[sender] >= view_sequence[1 - sender] ->
            learn(1 - sender, view_sequence[sender])
        :: else -> skip
        fi;
#endif
        view_era[1 - sender] = view_era[sender];
        view_revision[1 - sender] = view_revision[sender]
    :: else -> skip
    fi;
    check_complete(1 - sender)
}

inline read_snapshot(holder)
{
    seen_era[holder] = era;
    seen_key[holder] = key[revision];
    seen_sequence[holder] = snapshot[revision]
}

/* A balancer that knows the store's era replaces a snapshot that contains less
 * than its view. */
inline write_snapshot(writer)
{
    if
#ifdef SENDS_OLD_CONDITION
    :: key[revision] == seen_key[writer] ->
#else
    :: seen_era[writer] == view_era[writer] && key[revision] == seen_key[writer] ->
#endif
        assert(view_sequence[writer] >= snapshot[revision]);
        revision++;
        entry[revision] = entry[revision - 1];
        key[revision] = revision;
        snapshot[revision] = view_sequence[writer];
        read_snapshot(writer)
    :: else -> skip
    fi
}

active [BALANCERS] proctype balancer()
{
    byte self = _pid;

    do
    :: atomic { true -> ask_store(self) }
    :: atomic { true -> send_view(self) }
    :: atomic { view_era[self] == era -> read_snapshot(self) }
    :: atomic { view_era[self] == era && revision < REVISIONS &&
                view_sequence[self] > seen_sequence[self] -> write_snapshot(self) }
    od
}

active proctype environment()
{
    do
    :: atomic { revision < REVISIONS -> write_entry() }
    :: atomic { era < ERAS && revision > 0 -> restore_store() }
    od
}

#endif

#ifdef PART_ORDERS

#define BALANCERS 2
#define REVISIONS 4
#define ERAS 1 /* restores */

byte era;
byte revision;
byte order[REVISIONS + 1]; /* number of the order, 0: none, by revision */
byte given;                /* number of the last order */
byte ended;                /* number of the last order taken back */

/* The views: whether there is one, its position, the order in effect (0: none)
 * and the position of its record, which is kept after its removal. */
bool started[BALANCERS];
byte view_era[BALANCERS];
byte view_revision[BALANCERS];
byte known[BALANCERS];
byte known_era[BALANCERS];
byte known_revision[BALANCERS];
byte i; /* scratch, 0 between the steps */

/* An order in effect ends only after the operator has taken it back. */
inline set_order(b, number, number_era, number_revision)
{
    assert(known[b] == 0 || number != 0 || known[b] <= ended);
    known[b] = number;
    known_era[b] = number_era;
    known_revision[b] = number_revision
}

inline apply_record(b, number, number_era, number_revision)
{
    if
    :: number_era > known_era[b] || (number_era == known_era[b] &&
                                     number_revision > known_revision[b]) ->
        set_order(b, number, number_era, number_revision)
    :: else -> skip
    fi
}

/* A complete list of a position lacks the order. */
inline apply_missing(b, list_era, list_revision)
{
    if
#ifdef ENDS_LOST_ORDER
    :: known[b] != 0 ->
#else
    :: known[b] != 0 && known_era[b] == list_era ->
#endif
        set_order(b, 0, list_era, list_revision)
    :: else -> skip
    fi
}

/* A balancer that is at the store's newest position knows its order. */
inline check_complete(b)
{
    assert(!started[b] || view_era[b] != era || view_revision[b] != revision ||
           order[revision] == 0 || known[b] != 0)
}

/* The store answers a read of everything as of the revision "to". */
inline answer_read(b, to)
{
    i = to;
    do
    :: i > 0 && order[i] == order[i - 1] -> i--
    :: else -> break
    od;
    if
    :: order[to] != 0 -> apply_record(b, order[to], era, i)
    :: else -> apply_missing(b, era, to)
    fi;
    i = 0;
    started[b] = true;
    view_era[b] = era;
    view_revision[b] = to
}

/* A stale read is complete up to what it contains itself. It is not used when
 * the store was restored: what it lacks may have happened before that, but its
 * position would tell that it happened since. */
inline answer_stale_read(b)
{
    i = revision;
    do
    :: i > 0 -> i--
    :: break
    od;
    view_revision[b] = i;
    answer_read(b, view_revision[b]);
#ifdef TRUSTS_STALE_READ
    view_revision[b] = revision
#endif
}

/* The changes after the revision "from" reach the other balancer at once, or
 * are lost. It refuses them when it may lack changes before them. */
inline push_changes(b, from)
{
    if
    :: started[1 - b] && view_era[1 - b] == era &&
#ifndef ACCEPTS_GAP
       from <= view_revision[1 - b] &&
#endif
       view_revision[1 - b] < revision ->
        if
        :: known_era[b] == era && known_revision[b] > from ->
            apply_record(1 - b, known[b], known_era[b], known_revision[b])
        :: else -> skip
        fi;
        view_revision[1 - b] = revision
    :: skip
    fi;
    check_complete(1 - b)
}

inline answer_watch(b)
{
    i = view_revision[b] + 1;
    do
    :: i <= revision ->
        if
        :: order[i] != order[i - 1] -> apply_record(b, order[i], era, i)
        :: else -> skip
        fi;
        i++
    :: else -> break
    od;
    i = view_revision[b];
    view_revision[b] = revision;
    push_changes(b, i);
    i = 0
}

/* The other balancer pulls: the changes since its position, or a complete list
 * when it has no view or one of an earlier era. */
inline answer_pull(b)
{
    if
    :: !started[1 - b] || view_era[b] > view_era[1 - b] ->
#ifdef LISTS_OMIT_ORDERS
        skip;
#else
        if
        :: known_revision[b] != 0 ->
            apply_record(1 - b, known[b], known_era[b], known_revision[b])
        :: else -> skip
        fi;
#endif
        if
        :: known[b] == 0 ->
            apply_missing(1 - b, view_era[b], view_revision[b])
        :: else -> skip
        fi;
        /* A balancer that starts knows what its peer knows. */
        assert(started[1 - b] || known[b] == 0 || known[1 - b] != 0);
        started[1 - b] = true;
        view_era[1 - b] = view_era[b];
        view_revision[1 - b] = view_revision[b]
    :: started[1 - b] && view_era[b] == view_era[1 - b] &&
       view_revision[b] > view_revision[1 - b] ->
        if
        :: known_era[b] == view_era[b] &&
           known_revision[b] > view_revision[1 - b] ->
            apply_record(1 - b, known[b], known_era[b], known_revision[b])
        :: else -> skip
        fi;
        view_revision[1 - b] = view_revision[b]
    :: else -> skip
    fi;
    check_complete(1 - b)
}

inline restart(b)
{
    started[b] = false;
    view_era[b] = 0;
    view_revision[b] = 0;
    known[b] = 0;
    known_era[b] = 0;
    known_revision[b] = 0
}

active [BALANCERS] proctype balancer()
{
    byte self = _pid;

    do
    :: atomic { started[self] && view_era[self] == era ->
                answer_watch(self); check_complete(self) }
    :: atomic { !started[self] || view_era[self] != era ->
                answer_read(self, revision); check_complete(self) }
#ifdef READS_OLD_ERA
    :: atomic { !started[self] ->
#else
    :: atomic { !started[self] && era == 0 ->
#endif
                answer_stale_read(self); check_complete(self) }
    :: atomic { started[self] -> answer_pull(self) }
    :: atomic { started[self] -> restart(self) }
    od
}

active proctype environment()
{
    do
    :: atomic { revision < REVISIONS && order[revision] == 0 ->
                revision++; given++; order[revision] = given }
    :: atomic { revision < REVISIONS && order[revision] != 0 ->
                revision++; order[revision] = 0; ended = given }
    :: atomic { revision < REVISIONS ->
                revision++; order[revision] = order[revision - 1] }
    :: atomic { era < ERAS && revision > 0 ->
                era++;
                do
                :: revision > 0 -> revision--; break
                :: revision > 1 -> revision--
                od }
    od
}

#endif
