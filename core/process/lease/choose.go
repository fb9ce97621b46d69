package lease

import (
	"slices"

	"catkinstep/core/version/grant"
)

// Choose returns n witnesses from live daemons, in their order of preference; nil if fewer are
// live, in which case the leader has no witnesses.
func Choose(live []grant.Witness, n int) []grant.Witness {
	if n <= 0 || len(live) < n {
		return nil
	}
	return slices.Clone(live[:n])
}

// Replace returns the set with the lost witnesses replaced by live daemons, in their order of
// preference. A lost witness for which there is no live daemon stays. A restarted daemon replaces
// its earlier incarnation.
func Replace(set, live []grant.Witness, isLost func(grant.Witness) bool) []grant.Witness {
	out := slices.Clone(set)
	for i, w := range out {
		if !isLost(w) {
			continue
		}
		j := slices.IndexFunc(live, func(l grant.Witness) bool {
			return !slices.ContainsFunc(out, func(o grant.Witness) bool { return o.Name == l.Name && (o == l || o.Name != w.Name) })
		})
		if j >= 0 {
			out[i] = live[j]
		}
	}
	return out
}
