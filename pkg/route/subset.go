package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	minSubsetSize = 3
	// connectionShare is the share of a target's connections that the subsets use on average. The rest is headroom, because
	// subsets are not spread evenly.
	connectionShare = 0.5
)

// subset returns the members that the entry node self keeps connections to, half of them in its own data centre where
// possible. The choice is deterministic (rendezvous hashing), so that it stays stable between updates.
func subset(self, dataCentre string, members []member.Entry, entries, size int) []member.Entry {
	size = subsetSize(members, entries, size)
	if size >= len(members) {
		return members
	}
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b member.Entry) int {
		if x, y := a.DataCentre == dataCentre, b.DataCentre == dataCentre; x != y {
			if x {
				return -1
			}

			return 1
		}

		return cmp.Compare(score(self, a.ID), score(self, b.ID))
	})
	nearCount := 0
	for nearCount < len(ordered) && ordered[nearCount].DataCentre == dataCentre {
		nearCount++
	}
	keep := min(nearCount, max(size-size/2, size-(len(ordered)-nearCount)))

	return slices.Concat(ordered[:keep], ordered[nearCount:nearCount+size-keep])
}

// subsetSize returns how many targets an entry node may connect to: size if it is positive, else as many as the connections of
// the members allow for that number of entry nodes.
func subsetSize(members []member.Entry, entries, size int) int {
	if size > 0 || len(members) == 0 {
		if size <= 0 {
			return len(members)
		}

		return size
	}
	connections := 0
	for i := range members {
		connections += members[i].Connections
	}
	if connections == 0 || entries == 0 {
		return len(members)
	}

	return max(int(connectionShare*float64(connections)/float64(entries)), minSubsetSize)
}

func score(self, id string) uint64 {
	return xxhash.Sum64String(self + "/" + id)
}
