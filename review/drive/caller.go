package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
)

const (
	callerRequests = 20
	// otherService is what the clients state as their own service.
	otherService = "kalendar"
)

// playCaller sends requests that state a caller themselves, with trouble in two lines of the header, and checks what the targets are told.
func playCaller(ctx context.Context, w *world) ([]string, error) {
	store, err := w.startStore()
	if err != nil {
		return nil, err
	}
	services := []string{serviceShop, serviceDesk}
	pairs, err := w.startPairs(ctx, services, func(int) string { return store.Address() }, nil)
	if err != nil {
		return nil, err
	}
	stated := []string{otherService}
	if w.trouble {
		stated = append(stated, otherService)
	}
	client := &http.Client{}
	began := map[string]string{}
	for i := range callerRequests {
		entry := pairs[i%len(pairs)]
		request := bookRequest(fmt.Sprintf("%s-%d", entry.node.name, i))
		request.header = http.Header{headerCaller: stated}
		began[request.id] = entry.service
		w.do(ctx, client, entry.node, request)
	}
	var broken []string
	for _, p := range pairs {
		for _, x := range p.allRuns() {
			if strings.Join(x.caller, ", ") != began[x.id] {
				broken = append(broken, fmt.Sprintf("%s began at a machine of %s and ran with %s %q", x.id, began[x.id], headerCaller, x.caller))
			}
		}
	}

	return broken, nil
}
