package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	stopMachines = 5
	// stopGap is the pause between two stops, and restartDelay that between the end of a process and its next start.
	stopGap      = time.Second
	restartDelay = time.Second
	// checkInterval and missesOut are those of the platform's readiness checks.
	checkInterval = time.Second
	missesOut     = 2
	// exemptAfter is the time after the SIGTERM up to which a request may be cut in the last sixth of the grace period.
	exemptAfter = 3 * time.Second
	// stopClients is the number of clients beside each machine.
	stopClients = 8
	// usualWork is the mean of the site for bookings, and longWork is below the route's timeout of 1.5 s and the site's maximum of 1.7 s;
	// one request in longEach takes so long.
	usualWork = 290 * time.Millisecond
	longWork  = 1400 * time.Millisecond
	longEach  = 4
)

// machine is a pair as the platform sees it.
type machine struct {
	*pair

	mu       sync.Mutex
	misses   int
	stopAt   []time.Time
	requests int
}

// platform checks the readiness of the machines, and tells clients whether they may send.
type platform struct {
	machines []*machine
}

// in reports whether the last two questions weren't both missed.
func (m *machine) in() bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.misses < missesOut
}

// check asks each machine once a second until the context ends.
func (p *platform) check(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		for _, m := range p.machines {
			go m.check()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *machine) check() {
	ready := m.node.ready()
	m.mu.Lock()
	defer m.mu.Unlock()
	if ready {
		m.misses = 0
	} else {
		m.misses++
	}
	m.record.add("platform: readiness of %s %t, missed %d", m.node.name, ready, m.misses)
}

// maySend reports whether clients of the machine get new work: it is in, or fewer than half of the zone are.
func (p *platform) maySend(m *machine) bool {
	in := 0
	for _, other := range p.machines {
		if other.in() {
			in++
		}
	}

	return m.in() || 2*in < len(p.machines)
}

// client sends one request after the other, each on a connection as the answers allow.
func (p *platform) client(ctx context.Context, w *world, m *machine, answers chan<- answer) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 3 * time.Second}}
	for ctx.Err() == nil {
		if !p.maySend(m) {
			time.Sleep(clientPause)

			continue
		}
		m.mu.Lock()
		m.requests++
		number := m.requests
		m.mu.Unlock()
		work := usualWork
		if number%longEach == 0 {
			work = longWork
		}
		request := bookRequest(fmt.Sprintf("%s-%d", m.node.name, number))
		request.work = work
		answers <- w.do(context.WithoutCancel(ctx), client, m.node, request)
		time.Sleep(clientPause)
	}
}

// roll stops the machines' processes in turn, and starts each again after its end.
func (p *platform) roll(w *world) error {
	var restarts sync.WaitGroup
	errs := make([]error, len(p.machines))
	for i, m := range p.machines {
		restarts.Go(func() {
			m.mu.Lock()
			m.stopAt = append(m.stopAt, time.Now())
			m.mu.Unlock()
			w.record.add("platform: SIGTERM to %s", m.node.name)
			m.node.stop()
			w.record.add("platform: %s has ended", m.node.name)
			time.Sleep(restartDelay)
			errs[i] = m.node.start()
		})
		time.Sleep(stopGap)
	}
	restarts.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}

	return nil
}

// playStop stops the nodes of a zone in turn under steady bookings, and looks for bookings that are cut.
func playStop(ctx context.Context, w *world) ([]string, error) {
	store, err := w.startStore()
	if err != nil {
		return nil, err
	}
	p := &platform{}
	services := slices.Repeat([]string{serviceDesk}, stopMachines)
	pairs, err := w.startPairs(ctx, services, func(int) string { return store.Address() }, nil)
	if err != nil {
		return nil, err
	}
	for _, one := range pairs {
		p.machines = append(p.machines, &machine{pair: one})
	}
	checkCtx, stopChecks := context.WithCancel(ctx)
	defer stopChecks()
	go p.check(checkCtx)
	time.Sleep(2 * time.Second)
	answers := make(chan answer, 1<<16)
	clientCtx, stopAsking := context.WithCancel(ctx)
	defer stopAsking()
	var clients sync.WaitGroup
	for _, m := range p.machines {
		for range stopClients {
			clients.Go(func() { p.client(clientCtx, w, m, answers) })
		}
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		if err := p.roll(w); err != nil {
			return nil, err
		}
	} else {
		time.Sleep(stopMachines * stopGap)
	}
	time.Sleep(4 * time.Second)
	stopAsking()
	clients.Wait()
	close(answers)

	return p.findCut(answers), nil
}

// findCut returns the requests that LOST counts: they were sent more than exemptAfter after the SIGTERM of their machine, and their connection
// ended without a complete answer before the route's timeout, while a target was at work on them.
func (p *platform) findCut(answers <-chan answer) []string {
	byNode := map[string]*machine{}
	for _, m := range p.machines {
		byNode[m.node.name] = m
	}
	var broken []string
	for a := range answers {
		took := a.endAt.Sub(a.sentAt)
		after, stopped := byNode[a.node].stopped(a.sentAt)
		if a.err == nil || !stopped || after <= exemptAfter || took >= bookTimeout || !p.working(a) {
			continue
		}
		broken = append(broken, fmt.Sprintf("%s, sent %.2f s after the SIGTERM of %s, was at work on a target when its connection ended after %.2f s: %v",
			a.ask.id, after.Seconds(), a.node, took.Seconds(), a.err))
	}

	return broken
}

// stopped returns how long before the time the machine's last SIGTERM was.
func (m *machine) stopped(at time.Time) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, stop := range m.stopAt {
		if after := at.Sub(stop); after >= 0 && after < graceTime+time.Second {
			return after, true
		}
	}

	return 0, false
}

// working reports whether a target was at work on the request when the client's connection ended.
func (p *platform) working(a answer) bool {
	for _, m := range p.machines {
		for _, x := range m.runsOf(a.ask.id) {
			if x.ended.IsZero() || x.ended.After(a.endAt) {
				return true
			}
		}
	}

	return false
}
