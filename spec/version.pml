/* Version pinning and fenced orders (internal/agent, internal/entry, emulator).
 *
 * Two lives of an agent give load orders to one engine: the older one may be
 * paused between deciding and sending. The engine refuses a fence that is not
 * higher than the last. A request is pinned to the version that the agent serves;
 * tokens are checked against it.
 *
 * Properties: the engine never goes back to an older version; an answer is of one
 * version.
 *
 * BROKEN_FENCE: the engine takes any order. BROKEN_PINNING: tokens are not checked.
 */
#define LIVES 2

byte engineVersion = 0;
byte highest = 0;          /* highest version the engine was ever given */
byte lastFence = 0;
bool wentBack = false;
bool mixed = false;

proctype agentLife(byte life)
{
    byte wanted, fence;
    /* Life 1 read revision 1; life 2 read revision 2. Either may pause here. */
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
        token = engineVersion;      /* the engine answers with what is loaded */
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
