package kernel

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors that Register and the lookup functions wrap.
var (
	ErrNameTaken = errors.New("service name is taken")
	ErrNotFound  = errors.New("service not found")
	ErrWrongType = errors.New("service has another type")
)

// Service is a component of a process. It may look up other services from Start on.
type Service interface {
	// String returns the unique name of the service.
	String() string
	// Start returns when the service is running. The channel receives exactly one value, the result, when the service ends.
	Start(ctx context.Context, k *Kernel) (<-chan error, error)
	// Stop ends the service, after which its channel receives the result.
	Stop(ctx context.Context) error
}

// Kernel holds the services of a process. Register and the lookup functions are safe for concurrent use.
type Kernel struct {
	log *slog.Logger

	mu       sync.RWMutex
	byName   map[string]Service
	services []Service
}

// New returns a Kernel without services.
func New(log *slog.Logger) *Kernel {
	return &Kernel{log: log, byName: map[string]Service{}}
}

// Register appends a service to the start order. The error is ErrNameTaken if another service has its name.
func (k *Kernel) Register(service Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()

	name := service.String()
	if _, exists := k.byName[name]; exists {
		return errors.Wrapf(ErrNameTaken, "register %q", name)
	}
	k.byName[name] = service
	k.services = append(k.services, service)

	return nil
}

// Find returns the service with the given name as a T. The error is ErrNotFound, or ErrWrongType if it is not a T.
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

// Lookup finds a service and stores it in a variable.
type Lookup func(k *Kernel) error

// Into returns a Lookup that stores the service with the given name in target. It leaves target unchanged on error.
func Into[T any](name string, target *T) Lookup {
	return func(k *Kernel) error {
		service, err := Find[T](k, name)
		if err == nil {
			*target = service
		}

		return err
	}
}

// FindAll runs the lookups in order until one fails, and returns its error.
func FindAll(k *Kernel, lookups ...Lookup) error {
	for _, lookup := range lookups {
		if err := lookup(k); err != nil {
			return err
		}
	}

	return nil
}

// Started is a process whose services are running.
type Started struct {
	kernel  *Kernel
	running []running
	results chan ended
}

type running struct {
	service Service
	done    <-chan error
}

type ended struct {
	name string
	err  error
}

// Start starts the services in the order of their registration. If one fails, it stops those already started.
func (k *Kernel) Start(ctx context.Context) (*Started, error) {
	started := &Started{kernel: k, results: make(chan ended, len(k.services))}
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

// Wait waits until the context ends, and returns an error if a service ends before.
func (s *Started) Wait(ctx context.Context) error {
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	for i := range s.running {
		go s.watch(watchCtx, &s.running[i])
	}
	select {
	case <-ctx.Done():
		return nil
	case end := <-s.results:
		if end.err != nil {
			return errors.Wrapf(end.err, "service %s ended", end.name)
		}

		return errors.Newf("service %s ended early", end.name)
	}
}

// watch sends the result of a service to the results channel, whose buffer has room for all services.
func (s *Started) watch(ctx context.Context, r *running) {
	select {
	case <-ctx.Done():
	case err := <-r.done:
		s.results <- ended{name: r.service.String(), err: err}
	}
}

// Stop stops the services in reverse order, all of them even if some fail, and returns the combined errors.
func (s *Started) Stop(ctx context.Context) error {
	var errs error
	for i := len(s.running) - 1; i >= 0; i-- {
		service := s.running[i].service
		startedAt := time.Now()
		if err := service.Stop(ctx); err != nil {
			errs = errors.CombineErrors(errs, errors.Wrapf(err, "stop %s", service))
		}
		s.kernel.log.LogAttrs(ctx, slog.LevelDebug, "service stopped",
			slog.String("service", service.String()), slog.Duration("took", time.Since(startedAt)))
	}

	return errs
}
