package tree

import "strings"

// Path identifies a place, service and kind for which settings can be stated; the zero value is the root.
type Path struct {
	Place   string `json:"place,omitempty"`
	Service string `json:"service,omitempty"`
	Kind    string `json:"kind,omitempty"`
}

// String returns the path as a dotted key, or "root".
func (p Path) String() string {
	if keys := p.keys(); len(keys) > 0 {
		return strings.Join(keys, ".")
	}

	return "root"
}

// Dotted returns the dotted key of a setting at the path, as operators type it.
func (p Path) Dotted(key string) string {
	return strings.Join(append(p.keys(), key), ".")
}

// levelMatches reports whether a stated level, empty for all, applies to the name.
func levelMatches(stated, name string) bool {
	return stated == "" || stated == name
}

func (p Path) keys() []string {
	var keys []string
	if p.Place != "" {
		keys = append(keys, levelPlace, p.Place)
	}
	if p.Service != "" {
		keys = append(keys, levelService, p.Service)
	}
	if p.Kind != "" {
		keys = append(keys, levelKind, p.Kind)
	}

	return keys
}

// resolutionOrder returns the paths whose settings apply to this one, from the least to the most specific: root, place, service,
// service at the place, kind, kind at the place.
func (p Path) resolutionOrder() []Path {
	paths := []Path{{}}
	if p.Place != "" {
		paths = append(paths, Path{Place: p.Place})
	}
	for _, kind := range []string{"", p.Kind} {
		if p.Service == "" {
			break
		}
		paths = append(paths, Path{Service: p.Service, Kind: kind})
		if p.Place != "" {
			paths = append(paths, Path{Place: p.Place, Service: p.Service, Kind: kind})
		}
		if p.Kind == "" {
			break
		}
	}

	return paths
}

// level returns the most specific level that the path names.
func (p Path) level() Level {
	switch {
	case p.Kind != "":
		return LevelKind
	case p.Service != "":
		return LevelService
	case p.Place != "":
		return LevelPlace
	default:
		return LevelRoot
	}
}

// Level is a bit set of levels of the tree.
type Level uint8

// Levels from the least to the most specific.
const (
	LevelRoot Level = 1 << iota
	LevelPlace
	LevelService
	LevelKind
)

const (
	levelPlace   = "place"
	levelService = "service"
	levelKind    = "kind"
)

// String returns the names of the levels in the set.
func (l Level) String() string {
	names := make([]string, 0, 4)
	for _, entry := range []struct {
		level Level
		name  string
	}{{LevelRoot, "root"}, {LevelPlace, levelPlace}, {LevelService, levelService}, {LevelKind, levelKind}} {
		if l&entry.level != 0 {
			names = append(names, entry.name)
		}
	}

	return strings.Join(names, ", ")
}
