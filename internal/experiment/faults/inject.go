package faults

import "time"

// inject makes one fault happen, and end where it has an end.
func (w *world) inject(fault Fault) {
	agent := w.agents[fault.Target%agentCount]
	switch fault.Kind {
	case AgentDies:
		w.kill(agent)
		w.After(fault.Length, func() { w.revive(agent) })
	case AgentRestarts:
		w.kill(agent)
		w.revive(agent)
	case EngineRestarts:
		agent.engine.incarnation++
		agent.engine.version, agent.engine.wrongWeights = 0, false
	case EngineSwitches:
		// The engine moves to the newest version that it was given, also under
		// streams that began on another.
		if agent.engine.version > 0 {
			agent.engine.version++
			agent.staged = 0
		}
	case ProcessPauses:
		all := append(append([]*process(nil), w.entries...), w.agents...)
		paused := all[fault.Target%len(all)]
		paused.pausedUntil = max(paused.pausedUntil, w.Now()+fault.Length)
	case LinkLost:
		w.lose(w.entries[fault.Target%entryCount].links[fault.Target/entryCount%agentCount])
	case LinkStalls:
		w.stall(w.entries[fault.Target%entryCount], fault)
	case Partition:
		w.cutZone = true
		w.loseCrossing()
		w.After(fault.Length, func() { w.cutZone = false })
	case ServiceDown:
		w.serviceOK = false
		w.After(fault.Length, func() { w.serviceOK = true })
	case ServiceStale:
		w.stale = true
		w.After(fault.Length, func() { w.stale = false })
	case VersionChange:
		w.published.Revision++
	case ChunkCorrupt:
		agent.corrupt = true
		w.After(fault.Length, func() { agent.corrupt = false })
	case PlannedStop:
		w.stop(agent)
	}
}

// giveUpStalled is when an entry gives up a link that stalls.
const giveUpStalled = 200 * time.Millisecond

// stall holds what an entry sends on its links; the entry gives them up, and what
// was held arrives later, unless the agent has noticed the loss before.
func (w *world) stall(entry *process, fault Fault) {
	for index := range agentCount {
		stalled := entry.links[index]
		if stalled == nil {
			continue
		}
		const part = 8
		stalled.next[0] = w.Now() + giveUpStalled + fault.Length/part
		w.After(giveUpStalled, func() { w.lose(stalled) })
	}
}

// kill ends an agent's life; its engine and service go on with what they run.
func (w *world) kill(agent *process) {
	agent.dead = true
	for _, entry := range w.entries {
		w.lose(entry.links[agent.index])
	}
}

func (w *world) revive(agent *process) {
	if agent.dead {
		w.startAgent(agent)
	}
}

// lose breaks a link: the entry knows at once, the agent after a while.
func (w *world) lose(broken *link) {
	if broken == nil || !broken.entryUp {
		return
	}
	broken.entryUp = false
	if broken.entry.links[broken.agent.index] == broken {
		delete(broken.entry.links, broken.agent.index)
	}
	w.After(w.randomTime(noticeRange), func() { w.notice(broken) })
	for _, open := range w.requests {
		if open.flight != nil && open.flight.link == broken {
			w.on(broken.entry, func() { open.linkLost(broken) })
		}
	}
}

// notice is the agent's discovery that a link is gone.
func (w *world) notice(broken *link) {
	if !broken.agentUp {
		return
	}
	broken.agentUp = false
	if !broken.agent.dead && broken.agent.incarnation == broken.incarnation {
		broken.agent.ledger.Close(broken.session)
	}
}

func (w *world) loseCrossing() {
	for _, entry := range w.entries {
		for _, agent := range w.agents {
			if !w.connected(entry, agent) {
				w.lose(entry.links[agent.index])
			}
		}
	}
}

// stop begins a planned stop: nothing new is admitted, open work ends first.
func (w *world) stop(agent *process) {
	if agent.dead || agent.leaving {
		return
	}
	agent.leaving, agent.leavingSince = true, w.Now()
	if w.broken == SafeguardDrain {
		for _, cut := range agent.open {
			cut.request.cutByStop = true
		}
		w.kill(agent)
		w.After(longestTime, func() { w.revive(agent) })
		return
	}
	w.finishStop(agent, agent.incarnation)
}

func (w *world) finishStop(agent *process, incarnation uint64) {
	if agent.dead || agent.incarnation != incarnation {
		return
	}
	if len(agent.open) > 0 {
		w.After(tokenTime, func() { w.finishStop(agent, incarnation) })
		return
	}
	w.kill(agent)
	w.After(longestTime, func() { w.revive(agent) })
}
