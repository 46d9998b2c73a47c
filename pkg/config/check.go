package config

import (
	"fmt"
	"net"
	"reflect"
	"strings"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/spell"
)

// Bounds of values in the settings file.
const (
	maxProcessors  = 64
	maxSlots       = 10_000
	maxConnections = 100_000
	maxLogBuffer   = 1 << 20
	minInterval    = 10 * time.Millisecond
	maxInterval    = time.Hour
)

// rule is the result of checking one key; problem describes the fault if ok is false.
type rule struct {
	key     string
	ok      bool
	problem string
}

// check returns the first fault in the settings, without file and line, or nil.
func check(n Node) *FileError {
	for _, r := range rules(n) {
		if !r.ok {
			return &FileError{Key: r.key, Problem: r.problem}
		}
	}

	return nil
}

// rules checks each key and returns all results.
func rules(n Node) []rule {
	checks := []rule{
		{"name", n.Name != "", "is required; use a name that is unique in the fleet"},
		{"dataCentre", n.DataCentre != "", "is required; use the data centre of this VM"},
		{"service", n.Service != "" || n.Backend.Address == "", "is required when backend.address is set"},
		oneOf("policy", n.Policy, PolicyAdaptive, PolicyBaseline),
		oneOf("backend.orphanCalls", n.Backend.OrphanCalls, OrphanRefuse, OrphanRoot),
		oneOf("log.level", n.Log.Level, "debug", "info", "warn", "error"),
		intRange("processors", n.Processors, maxProcessors),
		intRange("backend.slots", n.Backend.Slots, maxSlots),
		intRange("backend.connections", n.Backend.Connections, maxConnections),
		intRange("log.buffer", n.Log.Buffer, maxLogBuffer),
		optionalAddress("listen.callers", n.Listen.Callers),
		optionalAddress("listen.peers", n.Listen.Peers),
		optionalAddress("listen.control", n.Listen.Control),
		optionalAddress("listen.backend", n.Listen.Backend),
		optionalAddress("listen.operators", n.Listen.Operators),
		optionalAddress("backend.address", n.Backend.Address),
		optionalAddress("platform.table", n.Platform.Table),
		optionalAddress("platform.objects", n.Platform.Objects),
		intervalRange("platform.timeout", n.Platform.Timeout),
		intervalRange("fleet.gossip", n.Fleet.Gossip),
		intervalRange("fleet.probe", n.Fleet.Probe),
		intervalRange("fleet.suspect", n.Fleet.Suspect),
		intervalRange("fleet.contacts", n.Fleet.Contacts),
		intervalRange("fleet.poll", n.Fleet.Poll),
	}
	for _, seed := range n.Fleet.Seeds {
		checks = append(checks, optionalAddress("fleet.seeds", seed))
	}
	for _, target := range n.Fleet.Targets {
		checks = append(checks, optionalAddress("fleet.targets.peers", target.Peers))
	}

	return checks
}

func oneOf(key, value string, allowed ...string) rule {
	for _, candidate := range allowed {
		if value == candidate {
			return rule{key: key, ok: true}
		}
	}

	return rule{key: key, problem: fmt.Sprintf("%q is not allowed, use one of %s", value, strings.Join(allowed, ", "))}
}

func intRange(key string, value, maxValue int) rule {
	return rule{key, value >= 1 && value <= maxValue, fmt.Sprintf("%d is out of range, allowed are 1 to %d", value, maxValue)}
}

func intervalRange(key string, value Duration) rule {
	ok := value.Std() >= minInterval && value.Std() <= maxInterval

	return rule{key, ok, fmt.Sprintf("%s is out of range, allowed are %s to %s", value.Std(), minInterval, maxInterval)}
}

// optionalAddress checks an IP:PORT address, which may be empty.
func optionalAddress(key, value string) rule {
	if value == "" {
		return rule{key: key, ok: true}
	}
	host, _, err := net.SplitHostPort(value)
	ok := err == nil && net.ParseIP(host) != nil

	return rule{key, ok, fmt.Sprintf("%q is not an address, write IP:PORT", value)}
}

// suggestion returns a hint that names the valid key most similar to an unknown one, or an empty text.
func suggestion(key string) string {
	name := key[strings.LastIndexByte(key, '.')+1:]
	nearest := spell.Nearest(name, tomlKeys(reflect.TypeFor[Node]()))
	if nearest == "" {
		return ""
	}

	return fmt.Sprintf(", did you mean %q", nearest)
}

// tomlKeys returns the TOML keys of a struct, or of a slice of them, and of the structs within.
func tomlKeys(t reflect.Type) []string {
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
			keys = append(keys, tomlKeys(field.Type)...)
		}
	}

	return keys
}
