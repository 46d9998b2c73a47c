package kernel

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of registration and look-up.
var (
	ErrNameTaken = errors.New("service name is taken")
	ErrNotFound  = errors.New("service not found")
	ErrWrongType = errors.New("service has another type")
)

// Service is one part of a process; it may look others up by name from Start on.
type Service interface {
	// String returns the name under which others find the service.
	String() string
	// Start returns once the service works; the channel reports its end, exactly once.
	Start(ctx context.Context, k *Kernel) (<-chan error, error)
	// Stop ends the service; its channel reports afterwards.
	Stop(ctx context.Context) error
}

// Kernel holds the services of one process.
type Kernel struct {
	log *slog.Logger

	mu       sync.RWMutex
	byName   map[string]Service
	services []Service
}

// New returns a kernel without services.
func New(log *slog.Logger) *Kernel {
	return &Kernel{log: log, byName: map[string]Service{}}
}

// Register adds a service behind those already there, ErrNameTaken if its name is in use.
func (k *Kernel) Register(service Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()

	name := service.String()
	if _, taken := k.byName[name]; taken {
		return errors.Wrapf(ErrNameTaken, "register %q", name)
	}
	k.byName[name] = service
	k.services = append(k.services, service)

	return nil
}

// Find returns the service of that name as a T, ErrNotFound or ErrWrongType otherwise.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()

	var none T
	service, found := k.byName[name]
	if !found {
		return none, errors.Wrapf(ErrNotFound, "find %q", name)
	}
	typed, ok := service.(T)
	if !ok {
		return none, errors.Wrapf(ErrWrongType, "find %q", name)
	}

	return typed, nil
}

// Lookup finds one service and keeps it.
type Lookup func(k *Kernel) error

// Into wants the service of that name as a T, kept in the variable.
func Into[T any](name string, into *T) Lookup {
	return func(k *Kernel) error {
		found, err := Find[T](k, name)
		if err == nil {
			*into = found
		}

		return err
	}
}

// FindAll finds all that is wanted, and returns the first ErrNotFound or ErrWrongType.
func FindAll(k *Kernel, wanted ...Lookup) error {
	for _, find := range wanted {
		if err := find(k); err != nil {
			return err
		}
	}

	return nil
}

// Started is a process whose services run.
type Started struct {
	kernel  *Kernel
	running []running
	ended   chan ending
}

type running struct {
	service Service
	done    <-chan error
}

type ending struct {
	name string
	err  error
}

// Start starts the services in order; if one fails, those before it are stopped again.
func (k *Kernel) Start(ctx context.Context) (*Started, error) {
	started := &Started{kernel: k, ended: make(chan ending, len(k.services))}
	for _, service := range k.services {
		done, err := service.Start(ctx, k)
		if err != nil {
			err = errors.Wrapf(err, "start %s", service)

			return nil, errors.CombineErrors(err, started.Stop(ctx))
		}
		started.running = append(started.running, running{service: service, done: done})
		k.log.LogAttrs(ctx, slog.LevelDebug, "service started", slog.String("service", service.String()))
	}

	return started, nil
}

// Wait returns when the context ends, or with an error when a service ends before that.
func (s *Started) Wait(ctx context.Context) error {
	watch, stop := context.WithCancel(ctx)
	defer stop()
	for i := range s.running {
		go s.watch(watch, &s.running[i])
	}
	select {
	case <-ctx.Done():
		return nil
	case end := <-s.ended:
		if end.err != nil {
			return errors.Wrapf(end.err, "service %s ended", end.name)
		}

		return errors.Newf("service %s ended early", end.name)
	}
}

// watch reports on the ended channel, which is wide enough for all.
func (s *Started) watch(ctx context.Context, r *running) {
	select {
	case <-ctx.Done():
	case err := <-r.done:
		s.ended <- ending{name: r.service.String(), err: err}
	}
}

// Stop stops the services in reverse order and returns all their errors.
func (s *Started) Stop(ctx context.Context) error {
	var all error
	for i := len(s.running) - 1; i >= 0; i-- {
		service := s.running[i].service
		began := time.Now()
		if err := service.Stop(ctx); err != nil {
			all = errors.CombineErrors(all, errors.Wrapf(err, "stop %s", service))
		}
		s.kernel.log.LogAttrs(ctx, slog.LevelDebug, "service stopped",
			slog.String("service", service.String()), slog.Duration("took", time.Since(began)))
	}

	return all
}
