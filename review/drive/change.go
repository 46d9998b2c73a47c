package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pistachiotack/pistachiotack/platform/stand"
)

// applyTime is config_apply_s of the site.
const applyTime = 2 * time.Second

// change is an acknowledged manifest and the service to which it sends the reads.
type change struct {
	version int
	at      time.Time
	service string
}

// firstChange is the manifest with which a case starts.
func firstChange() change {
	return change{version: 1, at: time.Now().Add(-time.Hour), service: serviceShop}
}

// changeRoute writes a manifest that sends the reads to the service, and returns it with the time of its acknowledgement.
func (w *world) changeRoute(store *stand.Store, version int, service string) (change, error) {
	manifest, err := stand.Manifest(version, rules(service)...)
	if err != nil {
		return change{}, err
	}
	store.Put("op", "config", manifest)
	w.record.add("platform: manifest r%d acknowledged, %s goes to %s", version, readPath, service)

	return change{version: version, at: time.Now(), service: service}, nil
}

// findStale returns the requests that were run by a service to which only older manifests sent them: those sent later than applyTime
// after the acknowledgement of a manifest must not be handled as before it.
func findStale(answers <-chan answer, changes []change) []string {
	var broken []string
	for a := range answers {
		earliest, latest := 0, 0
		for i, c := range changes {
			if c.at.Add(applyTime).Before(a.sentAt) {
				earliest = i
			}
			if c.at.Before(a.endAt) {
				latest = i
			}
		}
		allowed := a.status != http.StatusOK
		for _, c := range changes[earliest : latest+1] {
			allowed = allowed || strings.Contains(a.body, "answer of i-"+c.service)
		}
		if !allowed {
			broken = append(broken, fmt.Sprintf("%s, sent to %s %.2f s after the acknowledgement of r%d, got %q",
				a.ask.id, a.node, a.sentAt.Sub(changes[earliest].at).Seconds(), changes[earliest].version, a.body))
		}
	}

	return broken
}
