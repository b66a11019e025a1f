package dissemination

// Message tells one peer of chunks that are here, or asks it for them. A peer is told of all
// chunks of a turn at once: each is a request of its own to it otherwise.
type Message struct {
	Peer MachineID
	// Query is set for a question, and not for an offer.
	Query  bool
	Chunks []int
}

// Batch is what a Fetcher wants done at a time.
type Batch struct {
	// Messages are the offers and questions, at most one of each for a peer, in the order in
	// which peers were first named.
	Messages []Message
	// Fetches are the transfers of chunks, of kind Fetch or FetchOrigin.
	Fetches []Action
}

// GroupByPeer joins the offers and questions to each peer.
func GroupByPeer(actions []Action) Batch {
	type recipient struct {
		peer MachineID
		ask  bool
	}
	var turn Batch
	indexes := map[recipient]int{}
	for _, action := range actions {
		if action.Kind == Fetch || action.Kind == FetchOrigin {
			turn.Fetches = append(turn.Fetches, action)
			continue
		}
		to := recipient{peer: action.Peer, ask: action.Kind == Query}
		index, known := indexes[to]
		if !known {
			index = len(turn.Messages)
			indexes[to] = index
			turn.Messages = append(turn.Messages, Message{Peer: to.peer, Query: to.ask})
		}
		turn.Messages[index].Chunks = append(turn.Messages[index].Chunks, action.Chunk)
	}
	return turn
}
