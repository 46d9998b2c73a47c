package fake

import (
	"container/list"
	"context"
	"sync"
)

// slots bounds the requests that run at once and queues the others in order of arrival.
type slots struct {
	mu      sync.Mutex
	size    int
	waiting int
	used    int
	queue   list.List
}

// resize lets waiting requests in when the number grew.
func (s *slots) resize(size, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.size = size
	s.waiting = waiting
	s.admit()
}

// acquire waits for a slot; errShed if the queue is full, else the context's error.
func (s *slots) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.used < s.size {
		s.used++
		s.mu.Unlock()

		return nil
	}
	if s.queue.Len() >= s.waiting {
		s.mu.Unlock()

		return errShed
	}
	ready := make(chan struct{})
	element := s.queue.PushBack(ready)
	s.mu.Unlock()

	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return s.abandon(ctx, ready, element)
	}
}

// abandon leaves the queue, or gives back the slot that came at the same time.
func (s *slots) abandon(ctx context.Context, ready chan struct{}, element *list.Element) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-ready:
		s.used--
		s.admit()
	default:
		s.queue.Remove(element)
	}

	return ctx.Err()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	s.admit()
}

// admit hands free slots to the longest waiting; the caller holds the lock.
func (s *slots) admit() {
	for s.used < s.size && s.queue.Len() > 0 {
		ready, _ := s.queue.Remove(s.queue.Front()).(chan struct{})
		s.used++
		close(ready)
	}
}

// load returns the share of slots in use, with those that wait it goes above one.
func (s *slots) load() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return float64(s.used+s.queue.Len()) / float64(max(1, s.size))
}
