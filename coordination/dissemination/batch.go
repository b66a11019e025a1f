package dissemination

// Message offers chunks to one peer or queries it for them. All chunks of a batch go to a peer in
// one message, because each message is a request of its own.
type Message struct {
	Peer MachineID
	// Query is true for a query and false for an offer.
	Query  bool
	Chunks []int
}

// Batch holds the actions that a Fetcher requests at one time.
type Batch struct {
	// Messages holds the offers and queries, at most one of each per peer, in the order of each
	// peer's first action.
	Messages []Message
	// Fetches holds the transfers of chunks, of kind Fetch or FetchOrigin.
	Fetches []Action
}

// GroupByPeer combines the offers and queries to each peer.
func GroupByPeer(actions []Action) Batch {
	type recipient struct {
		peer  MachineID
		query bool
	}
	var batch Batch
	indexes := map[recipient]int{}
	for _, action := range actions {
		if action.Kind == Fetch || action.Kind == FetchOrigin {
			batch.Fetches = append(batch.Fetches, action)
			continue
		}
		to := recipient{peer: action.Peer, query: action.Kind == Query}
		index, known := indexes[to]
		if !known {
			index = len(batch.Messages)
			indexes[to] = index
			batch.Messages = append(batch.Messages, Message{Peer: to.peer, Query: to.query})
		}
		batch.Messages[index].Chunks = append(batch.Messages[index].Chunks, action.Chunk)
	}
	return batch
}
