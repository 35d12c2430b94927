/* How fresh a forwarder's view is (docs/design/flow-forwarding.md): one change
 * in the store, two balancers of which the first watches, in steps of time.
 *
 * Balancer 0 is first in rank. Messages between the two may be lost at any
 * time. One fault strikes at any time and heals at any time: the store's way
 * to a balancer goes silent, a connection goes silent for good while new ones
 * work, a balancer stands still, the first dies, the second is restarted with
 * a read that returns what was there before the change.
 *
 * Each mechanism can be taken out by a macro; spec/check-models shows that the
 * model then fails. */

/* Steps of half a second, for the users' bounds of 3 s and 4 s. */
#define WAIT 3     /* the store holds a watch back for so long */
#define LIMIT 1    /* a call that is later than that has failed */
#define TAKEOVER 4 /* age at which the second in rank asks */
#define BOUND 6    /* a change is in force after it */
#define CALM 8     /* from the end of a fault on the bound holds again */
#define AGE_MAX 9
#define STEPS 22

#define BALANCERS 2

bool changed;            /* the store holds the change */
byte change_age;         /* since then */
bool has[BALANCERS];     /* the view holds the change */
bool claims[BALANCERS];  /* the view's revision is that of the change */
byte confirmed[BALANCERS]; /* age of the store's last known answer */
byte heard[BALANCERS];   /* age of the last one to a balancer of better rank */
bool watching[BALANCERS];
bool dead_connection[BALANCERS]; /* that of the watch under way */
byte left[BALANCERS];    /* until the watch ends */
bool silent[BALANCERS];  /* the way to the store */
bool frozen[BALANCERS];
bool gone[BALANCERS];
byte calm[BALANCERS];    /* steps since the last fault */
bool struck;

inline older(age)
{
    if
    :: age < AGE_MAX -> age++
    :: else -> skip
    fi
}

/* Balancer i tells the other what the store has answered. */
inline tell(i)
{
    if
    :: !frozen[1 - i] && !gone[1 - i] ->
        if
        :: claims[i] && !claims[1 - i] ->
#ifdef CONFIRMS_WITHOUT_NEWS
            skip
#else
            has[1 - i] = has[i];
            claims[1 - i] = true
#endif
        :: else -> skip
        fi;
        confirmed[1 - i] = 0;
        if
        :: i == 0 -> heard[1] = 0
        :: else -> skip
        fi
    :: skip /* lost */
    fi
}

/* The store's answer to a watch of balancer i. */
inline answer(i)
{
    watching[i] = false;
    if
    :: changed && !claims[i] ->
        has[i] = true;
        claims[i] = true
    :: else -> skip
    fi;
    confirmed[i] = 0;
    tell(i)
}

inline step_watch(i)
{
    if
    :: silent[i] || dead_connection[i] ->
        if
        :: left[i] > 0 -> left[i]--
        :: else ->
#ifdef NO_CALL_LIMIT
            watching[i] = !silent[i]
#else
            watching[i] = false;
            dead_connection[i] = false
#endif
        fi
    :: else ->
        if
        :: (changed && !claims[i]) || left[i] <= LIMIT -> answer(i)
        :: else -> left[i]--
        fi
    fi
}

inline start_watch(i)
{
    watching[i] = true;
    dead_connection[i] = false;
    if
    :: confirmed[i] > WAIT -> left[i] = LIMIT
    :: else -> left[i] = WAIT + LIMIT
    fi
}

inline step(i)
{
    if
    :: gone[i] || frozen[i] -> skip
    :: else ->
        if
        :: watching[i] -> step_watch(i)
        :: else -> skip
        fi;
        if
        :: !watching[i] && i == 0 -> start_watch(i)
#ifndef NO_TAKEOVER
        :: !watching[i] && i == 1 && heard[1] >= TAKEOVER -> start_watch(i)
#endif
        :: else -> skip
        fi;
        older(confirmed[i]);
        older(heard[i])
    fi;
    if
    :: frozen[i] || silent[i] || gone[i] -> calm[i] = 0
    :: else -> older(calm[i])
    fi
}

/* A read that is behind: what it returns does not hold the change, and is
 * whole only up to what it returns. */
inline restart_second()
{
    watching[1] = false;
    dead_connection[1] = false;
    has[1] = false;
#ifdef TRUSTS_STALE_READ
    claims[1] = changed;
#else
    claims[1] = false;
#endif
    confirmed[1] = AGE_MAX;
    heard[1] = 0;
    calm[1] = 0
}

inline strike()
{
    struck = true;
    if
    :: silent[0] = true
    :: silent[1] = true
    :: watching[0] -> dead_connection[0] = true; calm[0] = 0; calm[1] = 0
    :: watching[1] -> dead_connection[1] = true; calm[0] = 0; calm[1] = 0
    :: frozen[0] = true
    :: frozen[1] = true
    :: gone[0] = true; watching[0] = false
    :: restart_second()
    fi
}

/* A balancer that wakes relies on nothing from before. */
inline wake(i)
{
    frozen[i] = false;
    watching[i] = false;
    confirmed[i] = AGE_MAX;
    heard[i] = AGE_MAX
}

inline heal()
{
    if
    :: silent[0] -> silent[0] = false
    :: silent[1] -> silent[1] = false
    :: frozen[0] -> wake(0)
    :: frozen[1] -> wake(1)
    :: skip
    fi
}

inline check(i)
{
    assert(change_age <= BOUND || has[i] || gone[i] || calm[i] < CALM)
}

active proctype world()
{
    byte now;

    calm[0] = AGE_MAX;
    calm[1] = AGE_MAX;
    do
    :: now < STEPS ->
        atomic {
            now++;
            if
            :: !changed -> changed = true
            :: skip
            fi;
            if
            :: !struck -> strike()
            :: struck -> heal()
            :: skip
            fi;
            step(0);
            step(1);
            if
            :: changed -> older(change_age)
            :: else -> skip
            fi;
            check(0);
            check(1)
        }
    :: else -> break
    od
}
