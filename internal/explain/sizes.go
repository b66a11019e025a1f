package explain

import "slices"

// Fractions of a route's generations in the size classes; largeFraction includes largestFraction.
const (
	largestFraction  = 0.1
	largeFraction    = 0.3
	smallestFraction = 0.1
)

// sizeKey identifies a generation size of a route.
type sizeKey struct {
	route string
	size  float64
}

// sizeLabels returns the size class of each size of each route: the largest tenth, the fifth just below
// the largest tenth, the smallest tenth, or the others.
func (l Losses) sizeLabels() map[sizeKey]string {
	byRoute := map[string][]float64{}
	for _, one := range l.requests {
		if one.size > 0 {
			byRoute[one.route] = append(byRoute[one.route], one.size)
		}
	}
	labels := map[sizeKey]string{}
	for route, sizes := range byRoute {
		slices.Sort(sizes)
		count := float64(len(sizes))
		for index, size := range sizes {
			labels[sizeKey{route: route, size: size}] = route + " " + sizeClass(float64(index)/count)
		}
	}
	return labels
}

// sizeClass returns the size class of a generation, given the fraction of the route's generations that
// are smaller.
func sizeClass(smaller float64) string {
	switch {
	case smaller >= 1-largestFraction:
		return "largest tenth"
	case smaller >= 1-largeFraction:
		return "fifth below"
	case smaller < smallestFraction:
		return "smallest tenth"
	}
	return "others"
}
