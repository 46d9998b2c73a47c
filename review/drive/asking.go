package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// clientsPerNode is the number of clients beside a machine; each pauses for clientPause between an answer and its next request.
	clientsPerNode = 3
	clientPause    = 40 * time.Millisecond
	clientBudget   = 6 * time.Second
	maxAnswers     = 1 << 16
	// shortWork is below the mean of the site for both kinds of request.
	shortWork = 100 * time.Millisecond
)

// readRequest is a read, which may be repeated.
func readRequest(id string) ask {
	return ask{id: id, method: http.MethodGet, host: hostName, path: readPath + "1", work: shortWork, budget: clientBudget}
}

// bookRequest is a booking, which may run once at most.
func bookRequest(id string) ask {
	return ask{id: id, method: http.MethodPost, host: hostName, path: bookPath + "1", work: shortWork, budget: clientBudget}
}

// asking are clients that send requests until they are stopped.
type asking struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
	answers chan answer
}

// startAsking starts clients beside each of the machines.
func (w *world) startAsking(ctx context.Context, pairs []*pair, request func(id string) ask) *asking {
	a := &asking{answers: make(chan answer, maxAnswers)}
	ctx, a.cancel = context.WithCancel(ctx)
	for index, p := range pairs {
		for i := range clientsPerNode {
			a.clients.Go(func() {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 3 * time.Second}}
				for number := 0; ctx.Err() == nil; number++ {
					id := fmt.Sprintf("%s-%d-%d", p.node.name, index*clientsPerNode+i, number)
					a.answers <- w.do(context.WithoutCancel(ctx), client, p.node, request(id))
					time.Sleep(clientPause)
				}
			})
		}
	}

	return a
}

// stop stops the clients and returns all answers.
func (a *asking) stop() <-chan answer {
	a.cancel()
	a.clients.Wait()
	close(a.answers)

	return a.answers
}
