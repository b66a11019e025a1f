package turnover

// Layers is a range of a model's layers, To exclusive.
type Layers struct {
	From, To int
}

// Count returns the number of layers in the range.
func (l Layers) Count() int { return l.To - l.From }

// pieceRange returns the range of pieces that the layers consist of, end exclusive. Two adjacent
// layers may share a piece.
func (l Layers) pieceRange(pieces, layers int) (first, end int) {
	return l.From * pieces / layers, (l.To*pieces + layers - 1) / layers
}

// CompleteLayers returns the longest range of layers of which every piece is held, out of layers
// in total: the first of several equally long ones, an empty range when no layer is complete.
func CompleteLayers(held []bool, layers int) Layers {
	var longest, present Layers
	for layer := range layers {
		if !allHeld(held, Layers{From: layer, To: layer + 1}, layers) {
			present = Layers{From: layer + 1, To: layer + 1}
			continue
		}
		present.To = layer + 1
		if present.Count() > longest.Count() {
			longest = present
		}
	}
	return longest
}

func allHeld(held []bool, r Layers, layers int) bool {
	first, end := r.pieceRange(len(held), layers)
	for _, here := range held[first:end] {
		if !here {
			return false
		}
	}
	return first < end
}

// Pieces returns the indexes of the pieces that the layers consist of, in a model with the given
// numbers of pieces and layers.
func (l Layers) Pieces(pieces, layers int) []int {
	first, end := l.pieceRange(pieces, layers)
	indexes := make([]int, 0, end-first)
	for piece := first; piece < end; piece++ {
		indexes = append(indexes, piece)
	}
	return indexes
}
