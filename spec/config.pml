/* Configuration (docs/design/protocol.md), in two parts, chosen by a macro:
 *
 * PART_WRITES: operators race with compare-and-swap on one key of the store,
 * whose answers may be late or lost.
 *
 * PART_SPREAD: an address moves from one service to another while balancers
 * learn of it late, pause, die and restart.
 *
 * Each mechanism can be taken out by a macro; spec/check-models shows that the
 * model then fails. */

#ifdef PART_WRITES

#define OPERATORS 3
#define TRIES 2 /* calls for one write */
#define KEPT 1  /* ids of the last writes in the value */

/* What an operator was told. */
#define NOTHING 0
#define ACCEPTED 1
#define CONFLICT 2
#define UNKNOWN 3

byte version;
byte last_writes[KEPT + 1]; /* newest first; the last one is dropped */
byte base[OPERATORS];       /* version that the operator's write replaces */
bool call[OPERATORS * TRIES];
byte answer[OPERATORS]; /* of the store: NOTHING, ACCEPTED or CONFLICT */
byte told[OPERATORS];
byte applied[OPERATORS];

/* "An accepted configuration ... never reverts": no write replaces one that
 * its operator has not seen, none is applied twice, and an operator who was
 * told of a conflict does not find the write in force later. */
inline apply(o)
{
    assert(applied[o] == 0);
    assert(version == base[o]);
    assert(told[o] != CONFLICT);
    applied[o]++;
    version++;
    for (i : 1 .. KEPT) {
        last_writes[KEPT - i + 1] = last_writes[KEPT - i]
    }
    last_writes[0] = o + 1;
    i = 0
}

inline tell(o, what)
{
    assert(what != ACCEPTED || applied[o] == 1);
    assert(what != CONFLICT || applied[o] == 0);
    told[o] = what
}

active proctype store()
{
    byte i, c;

    do
    :: atomic {
        select(c : 0 .. OPERATORS * TRIES - 1);
        if
        :: call[c] ->
            call[c] = false;
            if
            :: skip /* lost on the way */
#ifdef NO_COMPARE
            :: true ->
#else
            :: version == base[c / TRIES] ->
#endif
                apply(c / TRIES);
                if
                :: answer[c / TRIES] = ACCEPTED
                :: skip /* the answer is lost */
                fi
            :: version != base[c / TRIES] ->
                if
                :: answer[c / TRIES] = CONFLICT
                :: skip
                fi
            fi
        :: else -> skip
        fi;
        c = 0
       }
    od
}

/* Reads the value back after a lost answer. */
inline read_back(o)
{
    if
    :: last_writes[0] == o + 1 -> tell(o, ACCEPTED)
    :: last_writes[0] != o + 1 && version == base[o] && tries < TRIES ->
        call[o * TRIES + tries] = true;
        tries++
    :: last_writes[0] != o + 1 && version == base[o] && tries == TRIES ->
        tell(o, UNKNOWN)
    :: last_writes[0] != o + 1 && version != base[o] ->
#ifdef RETRY_ON_NEW_VERSION
        base[o] = version;
        if
        :: tries < TRIES -> call[o * TRIES + tries] = true; tries++
        :: else -> tell(o, UNKNOWN)
        fi
#else
        if
#ifdef FORGETS_DROPPED_WRITES
        :: true -> tell(o, CONFLICT)
#else
        :: version - base[o] <= KEPT -> tell(o, CONFLICT)
        :: else -> tell(o, UNKNOWN) /* the id may have been dropped */
#endif
        fi
#endif
    fi
}

active [OPERATORS] proctype operator()
{
    byte o = _pid - 1;
    byte tries;

    atomic {
        base[o] = version;
        call[o * TRIES] = true;
        tries = 1
    }
    do
    :: atomic { answer[o] == ACCEPTED -> tell(o, ACCEPTED); break }
    :: atomic {
        answer[o] == CONFLICT ->
#ifndef TRUSTS_CONFLICT_OF_A_RETRY
        if
        :: tries > 1 -> answer[o] = NOTHING; read_back(o)
        :: else -> tell(o, CONFLICT)
        fi;
#else
        tell(o, CONFLICT);
#endif
        if
        :: told[o] != NOTHING -> break
        :: else -> skip
        fi
       }
    :: atomic { /* no answer in time */
        answer[o] == NOTHING ->
        read_back(o);
        if
        :: told[o] != NOTHING -> break
        :: else -> skip
        fi
       }
    od
#ifdef REACH_ACCEPTED_BY_READ_BACK
    ; assert(!(told[o] == ACCEPTED && answer[o] == NOTHING))
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
#define REMOVED 2   /* to none: quarantine */
#define IN_SECOND 3 /* to the second one, whose process listens there now */

#define LIVE 0
#define PAUSED 1
#define DEAD 2

byte stored = IN_FIRST; /* accepted by the store */
byte state[BALANCERS];
byte view[BALANCERS] = IN_FIRST; /* version in force there, 0: none */
bool fresh[BALANCERS] = true;    /* may deliver and may answer peers */
bool listed[BALANCERS] = true;   /* quarantine waits for it */
byte reported[BALANCERS] = IN_FIRST;
byte message[BALANCERS]; /* view on its way to the balancer, 0: none */
byte restarts;
byte pauses;
bool in_force; /* REMOVED was reported in force everywhere */

/* "A packet for one service never reaches another service", and "an accepted
 * configuration is in force ... and never reverts". */
inline deliver(b)
{
    assert(view[b] != IN_FIRST || stored != IN_SECOND);
    assert(view[b] != IN_FIRST || !in_force)
}

inline check_reports()
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
        check_reports();
        if
#ifdef NO_QUARANTINE
        :: true -> stored = IN_SECOND; break
#else
        :: reported_all -> in_force = true; stored = IN_SECOND; break
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
    :: atomic { /* a view leaves the store, or a peer */
        state[b] == LIVE -> message[b] = stored
       }
    :: atomic {
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
    :: atomic { /* it arrives, maybe late or again */
        state[b] == LIVE && message[b] != 0 ->
        /* A view that arrives late may be older than the one in force. */
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
        /* It answers a request of this incarnation, made while listed. */
        if
#ifdef DELIVERS_UNLISTED
        :: true -> fresh[b] = true
#else
        :: listed[b] -> fresh[b] = true
        :: else -> skip
#endif
        fi
       }
    :: atomic {
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
    :: atomic { /* restart with nothing kept */
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
    :: atomic { /* the host list drops who seems gone, and adds who is back */
        state[b] != LIVE && listed[b] -> listed[b] = false
       }
    :: atomic {
        state[b] == LIVE && !listed[b] ->
        listed[b] = true;
        /* It counts from now on, and asks for a view again. */
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
