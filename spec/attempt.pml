/* Attempts at most once (coordination/attempt, internal/agent, internal/entry).
 *
 * An entry submits a non-repeatable attempt over a link that may lose the
 * message, lose the link, or deliver late; it may revoke it and try a second
 * agent when told that the attempt did not run. The agent may restart.
 *
 * Properties: the work runs at most once over both agents; when the entry reports
 * not-run, it has not run and never does.
 *
 * BROKEN_TOMBSTONE: a revocation is not remembered.
 * BROKEN_UNKNOWN: a lost link is taken for proof that the attempt did not run.
 */
#define AGENTS 2

mtype = { submit, revoke };
mtype = { none, notrun, unknown, ran };

chan link[AGENTS] = [3] of { mtype };
chan reply[AGENTS] = [3] of { mtype };

byte runs = 0;
bool tombstone[AGENTS];
bool started[AGENTS];
byte lives[AGENTS];        /* restarts so far */
mtype verdict = none;

proctype agent(byte self)
{
    mtype message;
    do
    :: link[self]?message ->
        if
        :: message == submit ->
            if
            :: lives[self] > 0 -> reply[self]!notrun        /* another incarnation */
            :: lives[self] == 0 && (tombstone[self] || started[self]) -> skip
            :: lives[self] == 0 && !tombstone[self] && !started[self] ->
                atomic { started[self] = true; runs++ }
                if
                :: reply[self]!ran
                :: skip                                     /* the answer is lost */
                fi
            fi
        :: message == revoke ->
            if
            :: lives[self] > 0 -> reply[self]!unknown       /* a later life can't know */
            :: lives[self] == 0 && started[self] -> reply[self]!unknown
            :: lives[self] == 0 && !started[self] ->
#ifndef BROKEN_TOMBSTONE
                tombstone[self] = true;
#endif
                reply[self]!notrun
            fi
        fi
    :: lives[self] == 0 -> atomic { lives[self]++; tombstone[self] = false; started[self] = false }
    :: timeout -> break
    od
}

/* The network may drop a message or let a revocation overtake a submission. */
proctype network(byte self)
{
    mtype first, second;
    do
    :: atomic { len(link[self]) > 0 -> link[self]?first }            /* lost */
    :: atomic { len(link[self]) > 1 -> link[self]?first; link[self]?second;
                link[self]!second; link[self]!first }                /* reordered */
    :: timeout -> break
    od
}

proctype entry()
{
    byte target = 0;
    mtype answer;
again:
    link[target]!submit;
    if
    :: reply[target]?answer
    :: answer = unknown;                                             /* the link is lost */
#ifdef BROKEN_UNKNOWN
       answer = notrun
#else
       link[target]!revoke;
       if
       :: reply[target]?answer
       :: answer = unknown
       fi
#endif
    fi;
    if
    :: answer == notrun && target + 1 < AGENTS -> target++; goto again
    :: else -> verdict = answer
    fi
}

init
{
    atomic {
        run agent(0); run agent(1);
        run network(0); run network(1);
        run entry()
    }
}

ltl at_most_once { [] (runs <= 1) }
ltl not_run_is_true { [] (verdict == notrun -> [] (runs == 0)) }
