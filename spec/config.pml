/* Model of the configuration protocol (docs/design/protocol.md). A macro
 * selects one of two parts:
 *
 * PART_WRITES: operators write one key of the store concurrently with
 * compare-and-swap. Calls to the store and its answers may be late or lost.
 *
 * PART_SPREAD: an address moves from one service to another while balancers
 * receive the change late, pause, crash and restart.
 *
 * Each safety mechanism can be disabled by a macro. spec/check-models checks
 * that the model then violates an assertion. */

#ifdef PART_WRITES

#define OPERATORS 3
#define CALLS_MAX 2     /* maximum number of store calls for one write */
#define WRITE_IDS_MAX 1 /* number of ids of past writes in the value */

/* Outcomes of a write as reported to its operator, and answers of the store. */
#define NONE 0
#define ACCEPTED 1
#define CONFLICT 2
#define UNKNOWN 3

byte version;
/* Ids of the last writes, newest first. The last element is no longer stored
 * in the value. */
byte last_writes[WRITE_IDS_MAX + 1];
byte base[OPERATORS]; /* version that the operator's write replaces */
bool call[OPERATORS * CALLS_MAX]; /* sent and not yet handled by the store */
byte answer[OPERATORS]; /* of the store: NONE, ACCEPTED or CONFLICT */
byte reported_outcome[OPERATORS];
byte applied[OPERATORS]; /* number of times that the write was applied */

/* "An accepted configuration ... never reverts": a write never replaces a
 * version that its operator has not read, no write is applied twice, and a
 * write that was reported as a conflict is not applied later. */
inline apply(o)
{
    assert(applied[o] == 0);
    assert(version == base[o]);
    assert(reported_outcome[o] != CONFLICT);
    applied[o]++;
    version++;
    for (i : 1 .. WRITE_IDS_MAX) {
        last_writes[WRITE_IDS_MAX - i + 1] = last_writes[WRITE_IDS_MAX - i]
    }
    last_writes[0] = o + 1;
    i = 0
}

inline report_outcome(o, outcome)
{
    assert(outcome != ACCEPTED || applied[o] == 1);
    assert(outcome != CONFLICT || applied[o] == 0);
    reported_outcome[o] = outcome
}

active proctype store()
{
    byte i, c;

    do
    :: atomic {
        select(c : 0 .. OPERATORS * CALLS_MAX - 1);
        if
        :: call[c] ->
            call[c] = false;
            if
            :: skip /* the call is lost */
#ifdef NO_COMPARE
            :: true ->
#else
            :: version == base[c / CALLS_MAX] ->
#endif
                apply(c / CALLS_MAX);
                if
                :: answer[c / CALLS_MAX] = ACCEPTED
                :: skip /* the answer is lost */
                fi
            :: version != base[c / CALLS_MAX] ->
                if
                :: answer[c / CALLS_MAX] = CONFLICT
                :: skip
                fi
            fi
        :: else -> skip
        fi;
        c = 0
       }
    od
}

/* Reads the value back to find out whether the write was applied: when the
 * answer is late or lost, or when a repeated call ended in a conflict. */
inline read_back(o)
{
    if
    :: last_writes[0] == o + 1 -> report_outcome(o, ACCEPTED)
    :: last_writes[0] != o + 1 && version == base[o] && calls < CALLS_MAX ->
        call[o * CALLS_MAX + calls] = true;
        calls++
    :: last_writes[0] != o + 1 && version == base[o] && calls == CALLS_MAX ->
        report_outcome(o, UNKNOWN)
    :: last_writes[0] != o + 1 && version != base[o] ->
#ifdef RETRY_ON_NEW_VERSION
        base[o] = version;
        if
        :: calls < CALLS_MAX -> call[o * CALLS_MAX + calls] = true; calls++
        :: else -> report_outcome(o, UNKNOWN)
        fi
#else
        if
#ifdef FORGETS_DROPPED_WRITES
        :: true -> report_outcome(o, CONFLICT)
#else
        :: version - base[o] <= WRITE_IDS_MAX -> report_outcome(o, CONFLICT)
        :: else ->
            report_outcome(o, UNKNOWN) /* the id may no longer be stored */
#endif
        fi
#endif
    fi
}

active [OPERATORS] proctype operator()
{
    byte o = _pid - 1;
    byte calls;

    atomic {
        base[o] = version;
        call[o * CALLS_MAX] = true;
        calls = 1
    }
    do
    :: atomic { answer[o] == ACCEPTED -> report_outcome(o, ACCEPTED); break }
    :: atomic {
        answer[o] == CONFLICT ->
#ifndef TRUSTS_CONFLICT_OF_A_RETRY
        if
        :: calls > 1 -> answer[o] = NONE; read_back(o)
        :: else -> report_outcome(o, CONFLICT)
        fi;
#else
        report_outcome(o, CONFLICT);
#endif
        if
        :: reported_outcome[o] != NONE -> break
        :: else -> skip
        fi
       }
    :: atomic { /* the answer is late or lost */
        answer[o] == NONE ->
        read_back(o);
        if
        :: reported_outcome[o] != NONE -> break
        :: else -> skip
        fi
       }
    od
#ifdef REACH_ACCEPTED_BY_READ_BACK
    ; assert(!(reported_outcome[o] == ACCEPTED && answer[o] == NONE))
#endif
}

#else /* PART_SPREAD */

#define BALANCERS 3
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define PAUSES 1

/* Versions of one target resource. */
#define IN_FIRST 1  /* the address belongs to the first service */
#define REMOVED 2   /* the address belongs to no service and is in quarantine */
#define IN_SECOND 3 /* it belongs to the second service, which listens there */

#define LIVE 0
#define PAUSED 1
#define DEAD 2

byte stored = IN_FIRST; /* version accepted by the store */
byte state[BALANCERS];
byte view[BALANCERS] = IN_FIRST; /* version applied by the balancer; 0: none */
bool fresh[BALANCERS] = true;    /* may deliver packets and answer peers */
bool listed[BALANCERS] = true;   /* quarantine waits for its report */
byte reported[BALANCERS] = IN_FIRST; /* version reported as applied */
byte message[BALANCERS]; /* version in transit to the balancer; 0: none */
byte restarts;
byte pauses;
bool removal_applied; /* every listed balancer reported REMOVED as applied */

/* "A packet for one service never reaches another service", and "an accepted
 * configuration is in force ... and never reverts". Checked whenever balancer b
 * delivers a packet. */
inline deliver(b)
{
    assert(view[b] != IN_FIRST || stored != IN_SECOND);
    assert(view[b] != IN_FIRST || !removal_applied)
}

/* Sets "reported_all" to whether every listed balancer reported that it applied
 * the removal of the address. */
inline check_all_reported()
{
    reported_all = true;
    for (i : 0 .. BALANCERS - 1) {
        reported_all = reported_all && (!listed[i] || reported[i] >= REMOVED)
    }
    i = 0
}

active proctype operator()
{
    byte i;
    bool reported_all;

    atomic { stored = REMOVED }
    do
    :: atomic {
        check_all_reported();
        if
#ifdef NO_QUARANTINE
        :: true -> stored = IN_SECOND; break
#else
        :: reported_all -> removal_applied = true; stored = IN_SECOND; break
#endif
        :: else -> skip
        fi;
        reported_all = false
       }
    od
}

active [BALANCERS] proctype balancer()
{
    byte b = _pid - 1;
    byte peer;

    do
    :: atomic { /* the store sends its version */
        state[b] == LIVE -> message[b] = stored
       }
    :: atomic { /* a peer sends its version */
        state[b] == LIVE ->
        select(peer : 0 .. BALANCERS - 1);
        if
#ifdef ANSWERS_WHILE_STALE
        :: state[peer] == LIVE && view[peer] != 0 ->
#else
        :: state[peer] == LIVE && view[peer] != 0 && fresh[peer] ->
#endif
            message[b] = view[peer]
        :: else -> skip
        fi;
        peer = 0
       }
    :: atomic { /* a sent version arrives, possibly late or more than once */
        state[b] == LIVE && message[b] != 0 ->
        /* A version that arrives late may be older than the applied one. */
        if
#ifdef APPLIES_ANY_VERSION
        :: true ->
#else
        :: message[b] > view[b] ->
#endif
            assert(message[b] >= view[b]);
            view[b] = message[b]
        :: else -> skip
        fi;
        /* The message answers a request that this incarnation sent while it
         * was listed. */
        if
#ifdef DELIVERS_UNLISTED
        :: true -> fresh[b] = true
#else
        :: listed[b] -> fresh[b] = true
        :: else -> skip
#endif
        fi
       }
    :: atomic { /* the balancer reports the version that it applied */
        state[b] == LIVE && view[b] != 0 && reported[b] != view[b] ->
        reported[b] = view[b]
       }
    :: atomic { state[b] == LIVE && fresh[b] -> deliver(b) }
    :: atomic {
        state[b] == LIVE && pauses < PAUSES ->
        state[b] = PAUSED;
        pauses++
       }
    :: atomic {
        state[b] == PAUSED ->
        state[b] = LIVE;
#ifndef NO_REFRESH_AFTER_PAUSE
        fresh[b] = false
#endif
       }
    :: atomic { state[b] == LIVE -> state[b] = DEAD }
    :: atomic { /* restart without stored state */
        state[b] == DEAD && restarts < RESTARTS ->
        restarts++;
        state[b] = LIVE;
        view[b] = 0;
        fresh[b] = false;
#ifndef MESSAGE_REACHES_NEXT_INCARNATION
        message[b] = 0;
#endif
#ifndef REPORT_OUTLIVES_RESTART
        reported[b] = 0
#endif
       }
    :: atomic { /* the host list removes a balancer that seems unavailable */
        state[b] != LIVE && listed[b] -> listed[b] = false
       }
    :: atomic { /* the host list adds the balancer again */
        state[b] == LIVE && !listed[b] ->
        listed[b] = true;
        /* Quarantine waits for its report again, and the balancer requests a
         * new view. */
        reported[b] = 0;
#ifndef ASKS_BEFORE_LISTED
        message[b] = 0
#endif
       }
    od
}

#ifdef REACH_SECOND_SERVICE
active proctype reach()
{
    atomic { stored == IN_SECOND && view[0] == IN_SECOND -> assert(false) }
}
#endif

#endif
