package call

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Class is the priority class of a kind of request. Under overload, lower classes are refused first.
type Class uint8

// Classes in ascending order of priority.
const (
	ClassBulk Class = iota
	ClassNormal
	ClassHigh
	ClassVital
)

// ErrUnknownClass is returned for a class name that is not defined.
var ErrUnknownClass = errors.New("unknown priority class")

var classNames = [...]string{"bulk", "normal", "high", "vital"}

// ParseClass returns the class with the given name, or an error that wraps ErrUnknownClass.
func ParseClass(name string) (Class, error) {
	for i, candidate := range classNames {
		if candidate == name {
			return Class(i), nil
		}
	}

	return ClassBulk, errors.Wrapf(ErrUnknownClass, "parse %q, allowed are %s", name, strings.Join(classNames[:], ", "))
}

// String returns the name of the class in the settings.
func (c Class) String() string {
	if int(c) >= len(classNames) {
		return "invalid"
	}

	return classNames[c]
}

// Rank is the priority of a request: its class in the high bits and a hash of its root request in the low bits.
// A node under overload refuses the requests whose rank is below its threshold.
type Rank uint16

const rankBitsInClass = 8

// MaxRank is one above the highest rank of any request; as a threshold it refuses every request.
const MaxRank Rank = Rank(ClassVital+1) << rankBitsInClass

// NewRank returns the rank of the calls that belong to the root request. It is a pure function, so all nodes compute the
// same rank.
func NewRank(class Class, root Root) Rank {
	hash := xxhash.Sum64String(string(root))

	return Rank(class)<<rankBitsInClass | Rank(hash&(1<<rankBitsInClass-1))
}

// MinRank returns the lowest rank of the class.
func (c Class) MinRank() Rank {
	return Rank(c) << rankBitsInClass
}

// Class returns the class that the rank belongs to.
func (r Rank) Class() Class {
	return Class(min(r>>rankBitsInClass, Rank(ClassVital)))
}
