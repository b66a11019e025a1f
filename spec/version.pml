/* Version pinning and fenced orders (internal/agent, internal/entry, emulator).
 *
 * Two incarnations of an agent send load orders to one engine; the older one may be
 * paused between deciding and sending. The engine rejects a fence that is not higher
 * than the last one. A request is pinned to the version that the agent serves, and
 * the version of each token is checked against it.
 *
 * Properties: the engine never returns to an older version; all tokens of an answer
 * are of one version.
 *
 * BROKEN_FENCE: the engine accepts any order. BROKEN_PINNING: tokens are not checked.
 */
#define LIVES 2

byte engineVersion = 0;
byte highest = 0;          /* highest version ever loaded by the engine */
byte lastFence = 0;
bool wentBack = false;
bool mixed = false;

proctype agentLife(byte life)
{
    byte wanted, fence;
    /* Incarnation 1 read revision 1, incarnation 2 read revision 2. Either may pause here. */
    wanted = life;
    fence = life;
    atomic {
#ifndef BROKEN_FENCE
        if
        :: fence > lastFence ->
#endif
            lastFence = fence;
            engineVersion = wanted;
            if
            :: wanted < highest -> wentBack = true
            :: else -> highest = wanted
            fi
#ifndef BROKEN_FENCE
        :: else -> skip
        fi
#endif
    }
}

proctype request()
{
    byte pinned, token, seen, delivered;
    pinned = engineVersion;
    seen = 0;
    delivered = 0;
    do
    :: delivered < 3 ->
        token = engineVersion;      /* the engine answers with the loaded version */
#ifndef BROKEN_PINNING
        if
        :: token != pinned -> break /* withheld; the attempt ends with a typed error */
        :: else -> skip
        fi;
#endif
        if
        :: seen != 0 && token + 1 != seen -> mixed = true
        :: else -> skip
        fi;
        seen = token + 1;
        delivered++
    :: delivered == 3 -> break
    od
}

init
{
    atomic { run agentLife(1); run agentLife(2); run request() }
}

ltl never_back { [] !wentBack }
ltl one_version { [] !mixed }
