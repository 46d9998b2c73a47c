package demo

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/mesh"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Options choose what the demo runs.
type Options struct {
	Example string
	Serve   bool
	Seed    uint64
}

const callTimeout = 10 * time.Second

// Run starts the example, makes a call of each kind and prints what became of it.
func Run(ctx context.Context, out io.Writer, examples fs.FS, options Options) error {
	fleet, services, stop, err := start(ctx, examples, options)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Fprintf(out, "%s: %d nodes, each beside its backend server\n", options.Example, len(fleet.Targets))
	for _, service := range services {
		address := fleet.Targets[0].Node.Addresses().Callers
		for i, route := range service.Routes {
			if err := tryCall(ctx, out, address, service.Name, route.Method, service.Paths[i]); err != nil {
				return err
			}
		}
	}
	if !options.Serve {
		return nil
	}
	printCalls(out, fleet, services)
	<-ctx.Done()

	return nil
}

func start(ctx context.Context, examples fs.FS, options Options) (*mesh.Mesh, []mesh.Service, func(), error) {
	text, err := fs.ReadFile(examples, "examples/"+options.Example+"/tree.toml")
	if err != nil {
		return nil, nil, nil, errors.Wrap(err, "read example")
	}
	settings, err := tree.Parse(string(text))
	if err != nil {
		return nil, nil, nil, errors.Wrap(err, "parse example")
	}
	services, err := mesh.Example(options.Example)
	if err != nil {
		return nil, nil, nil, err
	}
	fleet, stop, err := mesh.New(ctx, mesh.Options{
		Services: services,
		Places:   settings.Places(),
		Snapshot: tree.NewSnapshot(1, settings),
		Seed:     options.Seed,
	})

	return fleet, services, stop, err
}

func tryCall(ctx context.Context, out io.Writer, address, service, method, path string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "build call")
	}
	request.Header.Set(wire.HeaderService, service)
	began := time.Now()
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "call %s", service)
	}
	defer func() { _ = answer.Body.Close() }()
	size, err := io.Copy(io.Discard, answer.Body)
	if err != nil {
		return errors.Wrapf(err, "read answer of %s", service)
	}
	fmt.Fprintf(out, "%-4s %-12s %-16s %d %s %d bytes %s\n",
		method, service, path, answer.StatusCode, answer.Header.Get(wire.HeaderOutcome), size, time.Since(began).Round(time.Microsecond))

	return nil
}

func printCalls(out io.Writer, fleet *mesh.Mesh, services []mesh.Service) {
	fmt.Fprintln(out, "\ntry:")
	addresses := fleet.Targets[0].Node.Addresses()
	for _, service := range services {
		fmt.Fprintf(out, "  curl -i -X %s -H '%s: %s' http://%s%s\n",
			service.Routes[0].Method, wire.HeaderService, service.Name, addresses.Callers, service.Paths[0])
	}
	fmt.Fprintf(out, "operators' pages of that node: http://%s/metrics\nstop with Ctrl-C\n", addresses.Operators)
}
