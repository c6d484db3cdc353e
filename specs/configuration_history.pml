/*
 * Configuration, accepted for ever.
 *
 * Models: the head object with its history of accepted submissions, and two
 * operators who race for it; conditional updates that land late, twice or never
 * and whose answer is lost; the platform away at any moment; settling by reading
 * the history.
 *
 * Leaves out: the content of sections and its checks, the daemon that carries a
 * submission (its death is a lost answer), trimming of the history, the daemons
 * that apply a version (configuration_spread.pml).
 *
 * Assumes: the head's reads and conditional updates are linearizable.
 *
 * Stands for: submission and its settling in the command line and the daemon.
 *
 * Bounds: two operators, at most SUBMISSIONS submissions, LOSSES updates lost or
 * doubled, OUTAGES outages.  Within them every run ends, so the liveness property
 * says: whenever faults end, each submission is settled.
 */

#ifndef SUBMISSIONS
#define SUBMISSIONS 5
#endif
#ifndef LOSSES
#define LOSSES 3
#endif
#ifndef OUTAGES
#define OUTAGES 3
#endif
#define OPERATORS 2
#define FIRST 1                     /* the version in force at the start */
#define LAST  (FIRST + SUBMISSIONS)

mtype = { Ready, Sent, Accepted, NotAccepted };

/* Platform. */
bool platform_up = true;
byte outages;
byte losses;
byte head = FIRST;
byte history[LAST + 1];             /* history[v]: the submission accepted as v */

/* Operators. */
byte submissions;                   /* ids handed out so far */
mtype state[OPERATORS];
byte id[OPERATORS];
byte base[OPERATORS];               /* the head that the update builds on */

/* Updates by id; one that is out may land at any later moment. */
bool update_out[SUBMISSIONS + 1];
byte built_on[SUBMISSIONS + 1];

/* Ghosts, by id. */
bool told_accepted[SUBMISSIONS + 1];
bool told_not_accepted[SUBMISSIONS + 1];

#define is_at(v, i)      (v <= head && history[v] == i)
#define is_in_history(i) (is_at(2, i) || is_at(3, i) || is_at(4, i) || \
                          is_at(5, i) || is_at(6, i))
#define is_settled(o)    (state[o] != Sent)

ltl settles { <> [] (platform_up && is_settled(0) && is_settled(1)) }

inline check(i) {
    assert(!told_accepted[i] || is_in_history(i));
    assert(!told_not_accepted[i] || !is_in_history(i))
}

inline check_all() {
    check(1); check(2); check(3); check(4); check(5)
}

/* The update takes effect.  Without the condition it would drop from the history
 * what another operator has been told is accepted. */
inline land(i) {
    if
#ifdef FAULT_UPDATE_WITHOUT_CONDITION
    :: !is_in_history(i) ->
#else
    :: head == built_on[i] ->
#endif
        head = built_on[i] + 1;
        history[head] = i;
        check_all()
    :: else     /* conflict */
    fi
}

inline send(i) {
    built_on[i] = base[o];
    update_out[i] = true
}

proctype Operator(byte o) {
end:
    do
    :: atomic { state[o] != Sent && platform_up && submissions < SUBMISSIONS ->
        submissions++;
        id[o] = submissions;
        base[o] = head;
        state[o] = Sent;
        send(id[o]) }
    /* The answer to the update, or a reading of the history: it is there. */
    :: atomic { state[o] == Sent && platform_up && is_in_history(id[o]) ->
        state[o] = Accepted;
        told_accepted[id[o]] = true }
    :: atomic { state[o] == Sent && platform_up && !is_in_history(id[o]) &&
                /* It isn't there, but while the head is still the one that the
                 * update builds on, the update may land later: told `not
                 * accepted`, the operator would see it come into force. */
#ifndef FAULT_SETTLED_AT_ITS_BASE
                head > base[o] &&
#endif
                true ->
        state[o] = NotAccepted;
        told_not_accepted[id[o]] = true }
    /* Neither: the same update goes out again, on the same head. */
    :: atomic { state[o] == Sent && platform_up && !update_out[id[o]] &&
                !is_in_history(id[o]) && head == base[o] ->
        send(id[o]) }
#ifdef FAULT_SILENCE_IS_NOT_ACCEPTED
    :: atomic { state[o] == Sent ->
        state[o] = NotAccepted;
        told_not_accepted[id[o]] = true;
        check(id[o]) }
#endif
    od
}

proctype Platform() {
    byte i;
end:
    do
    :: atomic { platform_up && outages < OUTAGES -> outages++; platform_up = false }
    :: atomic { !platform_up -> platform_up = true }
    :: atomic { update_out[1] || update_out[2] || update_out[3] ||
                update_out[4] || update_out[5] ->
        if
        :: update_out[1] -> i = 1
        :: update_out[2] -> i = 2
        :: update_out[3] -> i = 3
        :: update_out[4] -> i = 4
        :: update_out[5] -> i = 5
        fi;
        update_out[i] = false;
        if
        :: losses < LOSSES -> losses++                  /* lost on the way */
        :: losses < LOSSES ->                           /* lands, and once more */
            losses++;
            update_out[i] = true;
            land(i)
        :: land(i)
        fi;
        i = 0 }
    od
}

init {
    atomic {
        state[0] = Ready;
        state[1] = Ready;
        run Operator(0);
        run Operator(1);
        run Platform()
    }
}
