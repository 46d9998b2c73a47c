package crash

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/panics"
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/pkg/fatal"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// Name is the name of the kernel service.
const Name = "crash"

const (
	// shareTimeout limits how long a crash is shared with other nodes before the calls that it ended are reported, and may be retried.
	shareTimeout = 50 * time.Millisecond
	// callTimeout limits one control call to another node.
	callTimeout = time.Second
	// maxSharesAtOnce is the number of nodes that are notified at the same time.
	maxSharesAtOnce = 32
	// clearInterval is the interval at which other nodes are notified which requests have got a response after all.
	clearInterval = 50 * time.Millisecond
	// syncInterval is the mean time between two questions to another node for what this one may have missed.
	syncInterval = 2 * time.Second
	// maxCleared bounds the cleared requests of one message; further ones are cleared where they run.
	maxCleared = 1024
)

// Control makes and serves control calls between nodes.
type Control interface {
	Register(name string, receiver any) error
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Members lists the nodes of a service.
type Members interface {
	Members(service string) []member.Entry
	Self() member.Entry
}

// Crashes is the kernel service; it is safe for concurrent use.
type Crashes struct {
	service string
	log     *slog.Logger
	control Control
	members Members
	rows    *rows
	cancel  context.CancelFunc

	mu      sync.Mutex
	table   *fatal.Table
	cleared []fatal.ID
}

// New returns the kernel service for a node whose local backend server belongs to the service.
func New(service string, log *slog.Logger) *Crashes {
	return &Crashes{service: service, log: log, table: fatal.NewTable()}
}

// String returns the name of the service.
func (*Crashes) String() string {
	return Name
}

// Start loads the saved requests and begins to share crashes with other nodes until Stop.
func (s *Crashes) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var table Table
	err := kernel.FindAll(k,
		kernel.Into("control", &s.control),
		kernel.Into("gossip", &s.members),
		kernel.Into(store.Name, &table),
	)
	if err != nil {
		return nil, err
	}
	if err = s.control.Register(receiverName, &Receiver{crashes: s}); err != nil {
		return nil, err
	}
	s.rows = newRows(table, s.service, s.log)
	ctx, s.cancel = context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		done <- panics.Keep(ctx, s.log, "sharing of crashes", func(ctx context.Context) error {
			s.run(ctx)

			return nil
		})
	}()

	return done, nil
}

// Stop cancels the background work.
func (s *Crashes) Stop(context.Context) error {
	s.cancel()

	return nil
}

// Active reports whether any request is a suspect or known.
func (s *Crashes) Active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return !s.table.Empty()
}

// Verdict says whether a request may run.
func (s *Crashes) Verdict(now time.Time, id fatal.ID) fatal.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.table.Verdict(now, id)
}

// RecordCrash records that a process ended while it ran the requests, and notifies the other nodes of the service for at most shareTimeout.
func (s *Crashes) RecordCrash(ctx context.Context, process string, requests []fatal.ID) {
	crash := Crash{Process: process, Requests: requests}
	for _, entry := range s.apply(crash) {
		s.rows.keep(entry)
	}
	shared := make(chan struct{})
	go func() {
		defer close(shared)
		s.share(context.WithoutCancel(ctx), methodRecord, crash)
	}()
	timer := time.NewTimer(shareTimeout)
	defer timer.Stop()
	select {
	case <-shared:
	case <-timer.C:
	}
}

// apply adds a crash to the table, and returns the requests that are known as a result.
func (s *Crashes) apply(crash Crash) []fatal.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.table.RecordCrash(time.Now(), crash.Process, crash.Requests)
	for _, entry := range known {
		s.log.Warn("request crashes backend servers", slog.String("request", entry.ID.String()), slog.Any("processes", entry.Processes),
			slog.Duration("keptFor", fatal.QuarantineTime))
	}

	return known
}

// RecordResponse clears a request that a backend server has answered.
func (s *Crashes) RecordResponse(id fatal.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.RecordResponse(id) && len(s.cleared) < maxCleared {
		s.cleared = append(s.cleared, id)
	}
}

// clear removes requests that have got a response at another node.
func (s *Crashes) clear(requests []fatal.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range requests {
		s.table.RecordResponse(id)
	}
	s.rows.drop(requests)
}

// share calls a method at all other nodes of the service.
func (s *Crashes) share(ctx context.Context, method string, args any) {
	var calls sync.WaitGroup
	places := make(chan struct{}, maxSharesAtOnce)
	for _, entry := range s.others() {
		places <- struct{}{}
		calls.Go(func() {
			defer func() { <-places }()
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if err := s.control.Call(ctx, entry.Control, method, args, &struct{}{}); err != nil {
				// that node asks for it at its next synchronisation
				s.log.Info("crash not shared", slog.String("subject", entry.ID), slog.String("error", err.Error()))
			}
		})
	}
	calls.Wait()
}

// others returns the other nodes of the service.
func (s *Crashes) others() []member.Entry {
	self := s.members.Self().ID
	var others []member.Entry
	for _, entry := range s.members.Members(s.service) {
		if entry.ID != self && entry.Control != "" {
			others = append(others, entry)
		}
	}

	return others
}

// run loads the saved requests, then shares and synchronises until the context ends.
func (s *Crashes) run(ctx context.Context) {
	clearing := time.NewTicker(clearInterval)
	defer clearing.Stop()
	rowsEnded := make(chan struct{})
	go func() {
		defer close(rowsEnded)
		s.rows.run(ctx, s.merge)
	}()
	defer func() { <-rowsEnded }()
	syncAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-clearing.C:
			s.shareCleared(ctx)
			if now.Before(syncAt) {
				continue
			}
			if s.synchronise(ctx) {
				syncAt = now.Add(syncInterval/2 + rand.N(syncInterval))
			}
		}
	}
}

// shareCleared notifies the other nodes which requests have got a response.
func (s *Crashes) shareCleared(ctx context.Context) {
	s.mu.Lock()
	cleared := s.cleared
	s.cleared = nil
	s.mu.Unlock()
	if len(cleared) > 0 {
		s.share(ctx, methodClear, cleared)
		s.rows.drop(cleared)
	}
}

// synchronise asks one other node for the requests with several crashes, and reports whether there is one to ask.
func (s *Crashes) synchronise(ctx context.Context) bool {
	others := s.others()
	if len(others) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var entries []fatal.Entry
	if err := s.control.Call(ctx, others[rand.IntN(len(others))].Control, methodList, struct{}{}, &entries); err != nil {
		// membership finds out whether that node is gone; another one is asked next
		s.log.Debug("crashes not synchronised", slog.String("error", err.Error()))
	}
	s.merge(entries)

	return true
}

// merge adds entries from another node or from the table.
func (s *Crashes) merge(entries []fatal.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.table.Merge(now, entries)
	s.table.Expire(now)
}
