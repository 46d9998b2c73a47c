package tree

import (
	"slices"
	"strings"
)

const (
	wildcard     = "*"
	wildcardRest = "**"
)

// matcher decides whether a request belongs to a kind, by method and path.
type matcher struct {
	// method is empty for any method.
	method string
	// segments are literals or wildcards; rest reports that any further segments match as well.
	segments []string
	rest     bool
}

// newMatcher returns the matcher of a valid pattern; an empty method matches any.
func newMatcher(method, pattern string) matcher {
	segments := strings.Split(strings.Trim(pattern, "/"), "/")
	m := matcher{method: method}
	if segments[len(segments)-1] == wildcardRest {
		m.rest = true
		segments = segments[:len(segments)-1]
	}
	if pattern == "/" {
		segments = nil
	}
	m.segments = segments

	return m
}

// validPattern reports whether the pattern is an absolute path whose wildcards are whole segments, with ** only as the last.
func validPattern(pattern string) bool {
	if !strings.HasPrefix(pattern, "/") || strings.ContainsAny(pattern, "?# ") {
		return false
	}
	if pattern == "/" {
		return true
	}
	segments := strings.Split(pattern[1:], "/")
	for i, segment := range segments {
		last := i == len(segments)-1
		wrong := segment == "" || segment == wildcardRest && !last
		if wrong || strings.Contains(segment, wildcard) && segment != wildcard && segment != wildcardRest {
			return false
		}
	}

	return true
}

// matches reports whether the request belongs to the kind; the path must come from cleanPath.
func (m matcher) matches(method, path string) bool {
	if m.method != "" && m.method != method && (m.method != "GET" || method != "HEAD") {
		return false
	}
	for _, want := range m.segments {
		if path == "" {
			return false
		}
		segment, rest, _ := strings.Cut(path, "/")
		if want != wildcard && want != segment {
			return false
		}
		path = rest
	}

	return m.rest || path == ""
}

// compare orders matchers from the most to the least specific: segment by segment from the left, then by whether they have
// a method.
func (m matcher) compare(other matcher) int {
	if c := slices.CompareFunc(m.ranks(), other.ranks(), func(a, b int) int { return a - b }); c != 0 {
		return c
	}

	return strings.Compare(other.method, m.method)
}

// ranks returns the rank of each segment and of the end of the pattern; a lower rank is more specific.
func (m matcher) ranks() []int {
	const literal, single, end, rest = 0, 1, 2, 3
	ranks := make([]int, 0, len(m.segments)+1)
	for _, segment := range m.segments {
		if segment == wildcard {
			ranks = append(ranks, single)
		} else {
			ranks = append(ranks, literal)
		}
	}
	if m.rest {
		return append(ranks, rest)
	}

	return append(ranks, end)
}

// cleanPath returns the path without its query and without leading and trailing slashes.
func cleanPath(path string) string {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}

	return strings.Trim(path, "/")
}
