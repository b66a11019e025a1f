package explain

import "slices"

// Shares of a route's generations, by size.
const (
	largestShare  = 0.1
	largeShare    = 0.3
	smallestShare = 0.1
)

// sizeKey is a size of a route.
type sizeKey struct {
	route string
	size  float64
}

// sizeLabels tells for each size of each route in which part of the route's generations it lies: the
// largest tenth, the fifth below it, the smallest tenth or the others.
func (l Losses) sizeLabels() map[sizeKey]string {
	byRoute := map[string][]float64{}
	for _, one := range l.endings {
		if one.size > 0 {
			byRoute[one.route] = append(byRoute[one.route], one.size)
		}
	}
	labels := map[sizeKey]string{}
	for route, sizes := range byRoute {
		slices.Sort(sizes)
		count := float64(len(sizes))
		for index, size := range sizes {
			labels[sizeKey{route: route, size: size}] = route + " " + partOf(float64(index)/count)
		}
	}
	return labels
}

// partOf names the part of a route's generations of which a share is smaller.
func partOf(smaller float64) string {
	switch {
	case smaller >= 1-largestShare:
		return "largest tenth"
	case smaller >= 1-largeShare:
		return "fifth below"
	case smaller < smallestShare:
		return "smallest tenth"
	}
	return "others"
}
