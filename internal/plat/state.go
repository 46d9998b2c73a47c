package plat

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Row is one row of the table service as it is listed.
type Row struct {
	Key   string `json:"key"`
	ETag  string `json:"etag"`
	Value []byte `json:"value"`
}

// Condition guards a write: IfMatch names the row's present ETag, IfAbsent asks that there is none.
type Condition struct {
	IfMatch  string
	IfAbsent bool
}

func (c Condition) holds(present Row, found bool) bool {
	if c.IfAbsent {
		return !found
	}

	return c.IfMatch == "" || found && present.ETag == c.IfMatch
}

// Counts are the requests that reached the platform since its start.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// state holds rows and objects, and the copy that a restore brings back.
type state struct {
	mu      sync.Mutex
	rows    map[string]Row
	objects map[string]Row
	saved   map[string]Row
	version uint64
	counts  Counts
	fault   Fault
}

func newState() *state {
	return &state{rows: map[string]Row{}, objects: map[string]Row{}, saved: map[string]Row{}, fault: NewFault(ModeNone)}
}

func (s *state) setFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *state) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.fault
}

func (s *state) count(write bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if write {
		s.counts.Writes++
	} else {
		s.counts.Reads++
	}
}

func (s *state) totals() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.counts
}

func (s *state) get(space map[string]Row, key string) (Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, found := space[key]

	return row, found
}

// put writes if the condition holds and returns the row that is there afterwards.
func (s *state) put(space map[string]Row, key string, value []byte, condition Condition) (Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present, found := space[key]
	if !condition.holds(present, found) {
		return present, false
	}
	s.version++
	row := Row{Key: key, ETag: strconv.Quote(strconv.FormatUint(s.version, 16)), Value: slices.Clone(value)}
	space[key] = row

	return row, true
}

func (s *state) remove(key string, condition Condition) (removed, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present, found := s.rows[key]
	if !found || !condition.holds(present, found) {
		return false, found
	}
	delete(s.rows, key)

	return true, true
}

// list returns rows of the prefix behind a key, in the order of their keys.
func (s *state) list(prefix, after string, limit int) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []Row{}
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })

	return rows[:min(limit, len(rows))]
}

func (s *state) save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = maps.Clone(s.rows)
}

func (s *state) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.rows)
	maps.Copy(s.rows, s.saved)
}
