/* At-most-once attempts (coordination/attempt, internal/agent, internal/entry).
 *
 * An entry submits a non-repeatable attempt over a link that may lose, delay or
 * reorder messages, or fail. It may revoke the attempt, and tries a second agent after a
 * reply that the attempt did not run. An agent may restart.
 *
 * Properties: the attempt runs at most once on both agents together; when the entry
 * reports not-run, it has not run and never will.
 *
 * BROKEN_TOMBSTONE: a revocation is not remembered.
 * BROKEN_UNKNOWN: a failed link is treated as a reply that the attempt did not run.
 */
#define AGENTS 2

mtype = { submit, revoke };
mtype = { none, notrun, unknown, ran };

chan link[AGENTS] = [3] of { mtype };
chan reply[AGENTS] = [3] of { mtype };

byte runs = 0;
bool tombstone[AGENTS];
bool started[AGENTS];
byte lives[AGENTS];        /* number of restarts */
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
                :: skip                                     /* the reply is lost */
                fi
            fi
        :: message == revoke ->
            if
            :: lives[self] > 0 -> reply[self]!unknown       /* unknown after a restart */
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
    :: answer = unknown;                                             /* the link failed */
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
