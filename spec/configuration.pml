/* Monotonic configuration (coordination/monotonic, internal/relay).
 *
 * A service publishes revisions 1 to 3; a stale replica of it still returns
 * revision 1. A relay reads either and forwards updates to a follower over a
 * channel that delays, duplicates, loses and reorders them. The follower may lose
 * its relay and read the stale replica itself.
 *
 * Property: the revision in force at the relay or the follower never decreases.
 *
 * BROKEN_ORDERING: updates are applied without comparing versions.
 */
#define NEWEST 3

byte service = 1;
byte relayVersion = 0;
byte followerVersion = 0;
bool wentBack = false;
chan updates = [3] of { byte };

inline apply(held, offered)
{
    atomic {
        if
#ifdef BROKEN_ORDERING
        :: true ->
#else
        :: offered > held ->
#endif
            if
            :: offered < held -> wentBack = true
            :: else -> skip
            fi;
            held = offered
#ifndef BROKEN_ORDERING
        :: else -> skip
#endif
        fi
    }
}

proctype publisher()
{
    do
    :: service < NEWEST -> service++
    :: service == NEWEST -> break
    od
}

proctype relay()
{
    byte read, rounds = 0;
    do
    :: rounds < 4 ->
        rounds++;
        if
        :: read = service
        :: read = 1                      /* the stale replica */
        fi;
        apply(relayVersion, read);
        if
        :: updates!relayVersion
        :: updates!relayVersion; updates!relayVersion
        :: skip                          /* lost */
        fi
    :: rounds == 4 -> break
    od
}

proctype follower()
{
    byte offered, other, rounds = 0;
    do
    :: updates?offered -> apply(followerVersion, offered)
    :: atomic { len(updates) > 1 -> updates?offered; updates?other; updates!other; updates!offered }
    :: rounds < 2 -> rounds++; apply(followerVersion, 1)   /* reads the stale replica */
    :: timeout -> break
    od
}

init
{
    atomic { run publisher(); run relay(); run follower() }
}

ltl monotonic { [] !wentBack }
