package config

import (
	"fmt"
	"net"
	"reflect"
	"strings"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/spell"
)

// Rails of the settings file.
const (
	maxProcessors  = 64
	maxSlots       = 10_000
	maxConnections = 100_000
	maxLogBuffer   = 1 << 20
	minInterval    = 10 * time.Millisecond
	maxInterval    = time.Hour
)

type rule struct {
	key     string
	ok      bool
	problem string
}

// check returns the first rule that the settings break, nil if they break none.
func check(n Node) *FileError {
	for _, r := range rules(n) {
		if !r.ok {
			return &FileError{Key: r.key, Problem: r.problem}
		}
	}

	return nil
}

func rules(n Node) []rule {
	all := []rule{
		{"name", n.Name != "", "is required, a name that is unique in the fleet"},
		{"dataCentre", n.DataCentre != "", "is required, the data centre of this VM"},
		{"service", n.Service != "" || n.Backend.Address == "", "is required when backend.address is set"},
		oneOf("policy", n.Policy, PolicyAdaptive, PolicyBaseline),
		oneOf("backend.orphanCalls", n.Backend.OrphanCalls, OrphanRefuse, OrphanRoot),
		oneOf("log.level", n.Log.Level, "debug", "info", "warn", "error"),
		upTo("processors", n.Processors, maxProcessors),
		upTo("backend.slots", n.Backend.Slots, maxSlots),
		upTo("backend.connections", n.Backend.Connections, maxConnections),
		upTo("log.buffer", n.Log.Buffer, maxLogBuffer),
		address("listen.callers", n.Listen.Callers),
		address("listen.peers", n.Listen.Peers),
		address("listen.control", n.Listen.Control),
		address("listen.backend", n.Listen.Backend),
		address("listen.operators", n.Listen.Operators),
		address("backend.address", n.Backend.Address),
		address("platform.table", n.Platform.Table),
		address("platform.objects", n.Platform.Objects),
		span("platform.timeout", n.Platform.Timeout),
		span("fleet.gossip", n.Fleet.Gossip),
		span("fleet.probe", n.Fleet.Probe),
		span("fleet.suspect", n.Fleet.Suspect),
		span("fleet.contacts", n.Fleet.Contacts),
		span("fleet.poll", n.Fleet.Poll),
	}
	for _, seed := range n.Fleet.Seeds {
		all = append(all, address("fleet.seeds", seed))
	}
	for _, target := range n.Fleet.Targets {
		all = append(all, address("fleet.targets.peers", target.Peers))
	}

	return all
}

func oneOf(key, value string, allowed ...string) rule {
	for _, each := range allowed {
		if value == each {
			return rule{key: key, ok: true}
		}
	}

	return rule{key: key, problem: fmt.Sprintf("%q is not allowed, use one of %s", value, strings.Join(allowed, ", "))}
}

func upTo(key string, value, most int) rule {
	return rule{key, value >= 1 && value <= most, fmt.Sprintf("%d is out of range, allowed are 1 to %d", value, most)}
}

func span(key string, value Duration) rule {
	ok := value.Std() >= minInterval && value.Std() <= maxInterval

	return rule{key, ok, fmt.Sprintf("%s is out of range, allowed are %s to %s", value.Std(), minInterval, maxInterval)}
}

// address allows an empty value, which means none.
func address(key, value string) rule {
	if value == "" {
		return rule{key: key, ok: true}
	}
	host, _, err := net.SplitHostPort(value)
	ok := err == nil && net.ParseIP(host) != nil

	return rule{key, ok, fmt.Sprintf("%q is not an address, write IP:PORT", value)}
}

// suggestion names the known key that is nearest to an unknown one.
func suggestion(key string) string {
	name := key[strings.LastIndexByte(key, '.')+1:]
	best := spell.Nearest(name, keysOf(reflect.TypeFor[Node]()))
	if best == "" {
		return ""
	}

	return fmt.Sprintf(", did you mean %q", best)
}

func keysOf(t reflect.Type) []string {
	if t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var keys []string
	for field := range t.Fields() {
		if name := field.Tag.Get("toml"); name != "" {
			keys = append(keys, name)
			keys = append(keys, keysOf(field.Type)...)
		}
	}

	return keys
}
