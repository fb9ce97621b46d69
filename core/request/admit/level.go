package admit

import "slices"

// Level returns the load up to which each of several demands is met when they share
// a capacity: those below it are met in full, and the others get as much each. So
// one hot key takes nothing from the others of its holder.
func Level(demands []float64, capacity float64) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	for i, d := range sorted {
		left := len(sorted) - i
		if d*float64(left) >= capacity {
			return capacity / float64(left)
		}
		capacity -= d
	}
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)-1]
}
