package turnover

// Layers is a range of a model's layers, To exclusive.
type Layers struct {
	From, To int
}

// Count is how many layers the range has.
func (l Layers) Count() int { return l.To - l.From }

// pieces are the pieces that layers consist of, end exclusive. Two layers may share a piece.
func (l Layers) pieces(pieces, layers int) (first, end int) {
	return l.From * pieces / layers, (l.To*pieces + layers - 1) / layers
}

// CompleteLayers returns the longest range of layers, of a number in all, of which every piece is
// held; the first one of several, and an empty one when no layer is whole.
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

func allHeld(held []bool, one Layers, layers int) bool {
	first, end := one.pieces(len(held), layers)
	for _, here := range held[first:end] {
		if !here {
			return false
		}
	}
	return first < end
}

// Pieces lists the pieces that the layers consist of, of a model with a number of pieces and
// layers.
func (l Layers) Pieces(pieces, layers int) []int {
	first, end := l.pieces(pieces, layers)
	listed := make([]int, 0, end-first)
	for piece := first; piece < end; piece++ {
		listed = append(listed, piece)
	}
	return listed
}
