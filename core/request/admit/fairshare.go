package admit

import "slices"

// FairShare returns the max-min fair share of a capacity: demands below it are met in
// full, and each of the others gets exactly this share. So a hot key takes no capacity
// from the other keys of its server. If the capacity meets all demands, the share is the
// highest of them.
func FairShare(demands []float64, capacity float64) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	for i, d := range sorted {
		remaining := len(sorted) - i
		if d*float64(remaining) >= capacity {
			return capacity / float64(remaining)
		}
		capacity -= d
	}
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)-1]
}
