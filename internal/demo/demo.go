package demo

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/wire"
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
	settings, err := loadTree(examples, options.Example)
	if err != nil {
		return err
	}
	services, err := shapes(options.Example)
	if err != nil {
		return err
	}
	mesh, stop, err := newMesh(ctx, settings, services, settings.Places(), options.Seed)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Fprintf(out, "%s: %d nodes, each beside its backend server\n", options.Example, len(mesh.nodes))
	for i, service := range services {
		for _, route := range service.routes {
			entryNode := mesh.nodes[i%len(mesh.nodes)]
			if err := tryCall(ctx, out, entryNode.Addresses().Callers, service.name, route.Method, route.Prefix); err != nil {
				return err
			}
		}
	}
	if !options.Serve {
		return nil
	}
	printCalls(out, mesh, services)
	<-ctx.Done()

	return nil
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

func printCalls(out io.Writer, m *mesh, services []serviceShape) {
	fmt.Fprintln(out, "\ntry:")
	for i, service := range services {
		address := m.nodes[i%len(m.nodes)].Addresses()
		fmt.Fprintf(out, "  curl -i -H '%s: %s' http://%s%s\n", wire.HeaderService, service.name, address.Callers, service.routes[0].Prefix)
	}
	fmt.Fprintf(out, "operators' pages of one node: http://%s/metrics\nstop with Ctrl-C\n", m.nodes[0].Addresses().Operators)
}
