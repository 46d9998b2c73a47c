package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	subsetLeast = 3
	// connectionShare is the part of a target's connections that the subsets fill on average, the rest is for chance.
	connectionShare = 0.5
)

// subset returns the members that the entry keeps connections to: the same ones each time, and as many near as far.
func subset(self, near string, members []member.Entry, entries, size int) []member.Entry {
	size = subsetSize(members, entries, size)
	if size >= len(members) {
		return members
	}
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b member.Entry) int {
		if x, y := a.DataCentre == near, b.DataCentre == near; x != y {
			if x {
				return -1
			}

			return 1
		}

		return cmp.Compare(score(self, a.ID), score(self, b.ID))
	})
	nears := 0
	for nears < len(ordered) && ordered[nears].DataCentre == near {
		nears++
	}
	keep := min(nears, max(size-size/2, size-(len(ordered)-nears)))

	return slices.Concat(ordered[:keep], ordered[nears:nears+size-keep])
}

// subsetSize returns how many targets an entry may connect to, all of them while connections allow.
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

	return max(int(connectionShare*float64(connections)/float64(entries)), subsetLeast)
}

func score(self, id string) uint64 {
	return xxhash.Sum64String(self + "/" + id)
}
