package procs

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/fault"
	"github.com/pistachiotack/pistachiotack/pkg/config"
)

// link is the way from one data centre to one node.
type link struct {
	from    string
	to      config.Target
	peers   *fault.Proxy
	control *fault.Proxy
}

// Links are fault proxies from each data centre to each node.
type Links struct {
	dataCentres []string
	links       []link
	closers     []func()
}

func newLinks(dataCentres []string) *Links {
	return &Links{dataCentres: dataCentres}
}

// connect starts the proxies.
func (l *Links) connect(ctx context.Context, targets []config.Target) error {
	if l == nil {
		return nil
	}
	for _, from := range l.dataCentres {
		for _, target := range targets {
			peers, err := l.proxy(ctx, target.Peers)
			if err != nil {
				return err
			}
			control, err := l.proxy(ctx, target.Control)
			if err != nil {
				return err
			}
			l.links = append(l.links, link{from: from, to: target, peers: peers, control: control})
		}
	}

	return nil
}

func (l *Links) proxy(ctx context.Context, target string) (*fault.Proxy, error) {
	proxy, clean, err := fault.New(context.WithoutCancel(ctx), target)
	if err != nil {
		return nil, errors.Wrapf(err, "put a proxy before %s", target)
	}
	l.closers = append(l.closers, clean)

	return proxy, nil
}

// seenFrom returns the targets with the addresses that a data centre reaches them by.
func (l *Links) seenFrom(dataCentre string, targets []config.Target) []config.Target {
	if l == nil {
		return targets
	}
	var seen []config.Target
	for _, link := range l.links {
		if link.from != dataCentre {
			continue
		}
		target := link.to
		target.Peers = link.peers.Address()
		target.Control = link.control.Address()
		seen = append(seen, target)
	}

	return seen
}

// Set switches a fault on the links between a data centre and all others, in both directions.
func (l *Links) Set(dataCentre string, fault fault.Fault) {
	for _, link := range l.links {
		if (link.from == dataCentre) != (link.to.DataCentre == dataCentre) {
			link.peers.Set(fault)
			link.control.Set(fault)
		}
	}
}

// Reset ends all connections between a data centre and the others, as the two ends learn after a cut.
func (l *Links) Reset(dataCentre string) {
	for _, link := range l.links {
		if (link.from == dataCentre) != (link.to.DataCentre == dataCentre) {
			link.peers.ResetOpen()
			link.control.ResetOpen()
		}
	}
}

// SilenceOpen makes all open connections to a node silent for good, while new ones work.
func (l *Links) SilenceOpen(node string) int {
	silenced := 0
	for _, link := range l.links {
		if link.to.Name == node {
			silenced += link.peers.SilenceOpen() + link.control.SilenceOpen()
		}
	}

	return silenced
}

// CutAnswers ends each connection for calls to a node after that many bytes of answer, zero for no cut.
func (l *Links) CutAnswers(node string, bytes int64) {
	for _, link := range l.links {
		if link.to.Name == node {
			link.peers.Set(fault.Fault{CutAfter: bytes})
		}
	}
}

func (l *Links) close() {
	if l == nil {
		return
	}
	for _, closer := range l.closers {
		closer()
	}
}
