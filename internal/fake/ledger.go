package fake

import (
	"strings"
	"sync"
	"time"
)

// Ledger counts what backend servers did for each request; several servers may share one.
type Ledger struct {
	mu         sync.Mutex
	requests   map[string]Record
	keys       map[string]int
	operations map[string]int
	totals     Totals
}

// Record is what backend servers did for one request of a caller, hops included.
type Record struct {
	// Arrivals counts attempts that reached any backend server, those it shed included.
	Arrivals int `json:"arrivals"`
	// RootRuns counts executions of the request itself, Runs those of its hops too.
	RootRuns int `json:"rootRuns"`
	Runs     int `json:"runs"`
	// Busy is the time for which slots were held.
	Busy time.Duration `json:"busy"`
	// Operation is the one that the latest execution of the request itself named.
	Operation string `json:"operation"`
}

// Totals are sums over all requests since the start.
type Totals struct {
	Arrivals  int           `json:"arrivals"`
	Runs      int           `json:"runs"`
	Shed      int           `json:"shed"`
	Failed    int           `json:"failed"`
	Cancelled int           `json:"cancelled"`
	Answered  int           `json:"answered"`
	HopFailed int           `json:"hopFailed"`
	HopWrong  int           `json:"hopWrong"`
	Busy      time.Duration `json:"busy"`
	// AfterDrain counts arrivals more than the grace after the server began to drain.
	AfterDrain int `json:"afterDrain"`
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{requests: map[string]Record{}, keys: map[string]int{}, operations: map[string]int{}}
}

// Request returns the record of one request.
func (l *Ledger) Request(id string) Record {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.requests[id]
}

// KeyRuns returns how often the request with that mark or idempotency key was executed.
func (l *Ledger) KeyRuns(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.keys[key]
}

// OperationRuns returns how often the operation was executed.
func (l *Ledger) OperationRuns(operation string) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.operations[operation]
}

// RepeatedKeys returns the number of marks and idempotency keys with that prefix that were executed more than once.
func (l *Ledger) RepeatedKeys(prefix string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	repeated := 0
	for key, runs := range l.keys {
		if runs > 1 && strings.HasPrefix(key, prefix) {
			repeated++
		}
	}

	return repeated
}

// Totals returns the sums so far.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.totals
}

func (l *Ledger) add(id string, change func(*Record, *Totals)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.requests[id]
	change(&record, &l.totals)
	l.requests[id] = record
}

// started notes an execution, which counts from the moment it holds a slot.
func (l *Ledger) started(v visit) {
	l.add(v.request, func(r *Record, t *Totals) {
		r.Runs++
		t.Runs++
		if !v.hop {
			r.RootRuns++
			r.Operation = v.operation
		}
		if v.key != "" && !v.hop {
			l.keys[v.key]++
		}
		if v.operation != "" {
			l.operations[v.operation]++
		}
	})
}

func (l *Ledger) ended(v visit, busy time.Duration) {
	l.add(v.request, func(r *Record, t *Totals) {
		r.Busy += busy
		t.Busy += busy
	})
}
