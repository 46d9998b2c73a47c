package call

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Class orders kinds of request by importance, the highest is refused last.
type Class uint8

// Classes from the first to be refused to the last.
const (
	ClassBulk Class = iota
	ClassNormal
	ClassHigh
	ClassVital
)

// ErrUnknownClass is returned for a class name that is not defined.
var ErrUnknownClass = errors.New("unknown priority class")

var classNames = [...]string{"bulk", "normal", "high", "vital"}

// ParseClass returns the class of that name, or an error that wraps ErrUnknownClass.
func ParseClass(name string) (Class, error) {
	for i, known := range classNames {
		if known == name {
			return Class(i), nil
		}
	}

	return ClassBulk, errors.Wrapf(ErrUnknownClass, "parse %q, allowed are %s", name, strings.Join(classNames[:], ", "))
}

// String returns the name that the settings tree uses.
func (c Class) String() string {
	if int(c) >= len(classNames) {
		return "invalid"
	}

	return classNames[c]
}

// Rank is the full priority of a request: its class, and within the class a stable hash of its root.
type Rank uint16

const rankBitsInClass = 8

// MaxRank is a threshold that no request reaches.
const MaxRank Rank = Rank(ClassVital+1) << rankBitsInClass

// NewRank returns the rank that every hop of the root computes alike.
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
