package tree

import (
	"fmt"
	"strings"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Key describes a setting: its type, its allowed range and the levels at which it can be stated.
type Key struct {
	Name string
	Type Type
	// Min and Max bound the value, in nanoseconds for durations and bytes for sizes; both are 0 if there are no bounds.
	Min, Max float64
	Levels   Level
	Doc      string

	// get and set access the field of the policy; both are nil for keys that are no policy settings, see below.
	get func(*Policy) Value
	set func(*Policy, Value)
}

// Keys that declare places, services and kinds rather than set a field of the policy.
const (
	keyPlaces   = "places"
	keyServices = "services"
	keyMethod   = "method"
	keyPath     = "path"
)

const (
	allLevels       = LevelRoot | LevelPlace | LevelService | LevelKind
	levelsAboveKind = LevelRoot | LevelPlace | LevelService
	serviceAndKind  = LevelService | LevelKind
)

// Keys returns the descriptions of all settings.
func Keys() []Key {
	return keys
}

// FindKey returns the description of the setting with the name, false if there is none.
func FindKey(name string) (Key, bool) {
	key, found := keysByName[name]

	return key, found
}

// Range describes the allowed range, or names the type if there are no bounds.
func (k Key) Range() string {
	if k.Min == 0 && k.Max == 0 {
		return string(k.Type)
	}
	low, high := Value{typ: k.Type, number: k.Min}, Value{typ: k.Type, number: k.Max}

	return fmt.Sprintf("%s to %s", low, high)
}

// checkRange returns a problem without path and line if the value is out of range.
func (k Key) checkRange(v Value) *Problem {
	if k.Min == 0 && k.Max == 0 {
		return nil
	}
	if v.number < k.Min || v.number > k.Max {
		return &Problem{Code: CodeOutOfRange, Got: v.String(), Allowed: k.Range()}
	}

	return nil
}

// nearBoundShare is how close a value must be to a bound to be reported: for the upper bound as a share of the whole range,
// for the lower one as a share of the bound.
const nearBoundShare = 0.1

// NearBound describes the bound that the value is close to, empty for none.
func (k Key) NearBound(v Value) string {
	span := k.Max - k.Min
	switch {
	case span <= 0:
		return ""
	case k.Max-v.number <= nearBoundShare*span:
		return fmt.Sprintf("near the most, %s", Value{typ: k.Type, number: k.Max})
	case k.Min > 0 && v.number <= k.Min*(1+nearBoundShare):
		return fmt.Sprintf("near the least, %s", Value{typ: k.Type, number: k.Min})
	default:
		return ""
	}
}

var keys = []Key{
	{Name: keyPlaces, Type: TypeList, Levels: LevelRoot, Doc: "data centres that exist"},
	{Name: keyServices, Type: TypeList, Levels: LevelRoot, Doc: "services that exist"},
	{Name: keyMethod, Type: TypeText, Levels: LevelKind, Doc: "HTTP method of the kind, GET includes HEAD; any method if not stated"},
	{Name: keyPath, Type: TypeText, Levels: LevelKind, Doc: "path pattern of the kind: * matches one segment, a final ** all that remain"},

	classKey("priority", serviceAndKind, func(p *Policy) *call.Class { return &p.Priority }, "class of the requests; under overload, lower classes are refused first"),
	boolKey("once", serviceAndKind, func(p *Policy) *bool { return &p.Once }, "an operation must never run twice"),
	boolKey("idempotent", serviceAndKind, func(p *Policy) *bool { return &p.Idempotent }, "an operation can safely run again"),
	boolKey("stream", serviceAndKind, func(p *Policy) *bool { return &p.Stream }, "responses are archives, streamed and resumed by Range requests"),

	durationKey("deadline", 10*time.Millisecond, time.Hour, allLevels, func(p *Policy) *time.Duration { return &p.Deadline }, "maximum duration of a root request"),
	durationKey("progress", 20*time.Millisecond, time.Minute, allLevels, func(p *Policy) *time.Duration { return &p.Progress }, "time without progress after which the state of an attempt is queried"),
	intKey("attempts", 1, 512, allLevels, func(p *Policy) *int { return &p.Attempts }, "maximum attempts of one root request over all hops, first attempts included"),
	intKey("retries", 0, 32, allLevels, func(p *Policy) *int { return &p.Retries }, "maximum attempts of one root request that are retries"),
	intKey("depth", 1, 64, allLevels, func(p *Policy) *int { return &p.Depth }, "maximum number of hops in a chain of calls"),
	ratioKey("retryRatio", 0, 0.5, allLevels, func(p *Policy) *float64 { return &p.RetryRatio }, "maximum ratio of retries to first attempts"),
	durationKey("retryBackoff", time.Millisecond, 5*time.Second, allLevels, func(p *Policy) *time.Duration { return &p.RetryBackoff }, "mean delay before the first retry"),

	ratioKey("streamShare", 0.05, 0.8, levelsAboveKind, func(p *Policy) *float64 { return &p.StreamShare }, "maximum share of slots used by streams"),
	sizeKey("bufferAnswer", KiB, 2*MiB, allLevels, func(p *Policy) *int64 { return &p.BufferAnswer }, "largest response that is buffered whole"),
	sizeKey("bufferTotal", 256*KiB, 12*MiB, levelsAboveKind, func(p *Policy) *int64 { return &p.BufferTotal }, "maximum size of all buffers of a node"),

	intKey("limitMin", 1, 1000, levelsAboveKind, func(p *Policy) *int { return &p.LimitMin }, "minimum concurrency limit"),
	intKey("limitMax", 0, 10000, levelsAboveKind, func(p *Policy) *int { return &p.LimitMax }, "maximum concurrency limit, 0 for the number of slots"),
	intKey("queueLength", 1, 4096, levelsAboveKind, func(p *Policy) *int { return &p.QueueLength }, "maximum requests in the queue of one node"),
	durationKey("queueWait", time.Millisecond, 10*time.Second, allLevels, func(p *Policy) *time.Duration { return &p.QueueWait }, "maximum time in the queue"),
	durationKey("retryAfter", 100*time.Millisecond, 5*time.Minute, allLevels, func(p *Policy) *time.Duration { return &p.RetryAfter }, "mean delay that refused callers are told to wait"),

	durationKey("slowStart", 100*time.Millisecond, 5*time.Minute, levelsAboveKind, func(p *Policy) *time.Duration { return &p.SlowStart }, "ramp-up time of a target that became ready"),
	ratioKey("spillAt", 0.3, 1, levelsAboveKind, func(p *Policy) *float64 { return &p.SpillAt }, "utilisation of the local data centre above which calls go to others"),
	intKey("ejectAfter", 2, 100, levelsAboveKind, func(p *Policy) *int { return &p.EjectAfter }, "consecutive faults after which a target is ejected"),
	durationKey("ejectFor", 100*time.Millisecond, 5*time.Minute, levelsAboveKind, func(p *Policy) *time.Duration { return &p.EjectFor }, "duration of the first ejection"),
	ratioKey("ejectShare", 0.01, 0.5, levelsAboveKind, func(p *Policy) *float64 { return &p.EjectShare }, "maximum share of targets ejected at once"),
	intKey("subset", 0, 1200, levelsAboveKind, func(p *Policy) *int { return &p.Subset }, "number of targets that an entry node keeps connections to, 0 for all"),

	durationKey("drainDeadline", time.Second, 2*time.Hour, levelsAboveKind, func(p *Policy) *time.Duration { return &p.DrainDeadline }, "maximum time that a draining node waits for requests in flight"),
	listKey("drainTarget", levelsAboveKind, func(p *Policy) *[]string { return &p.DrainTarget }, "nodes or data centres that take no new requests"),

	ratioKey("guardGoodput", 0.5, 0.9999, LevelRoot, func(p *Policy) *float64 { return &p.GuardGoodput }, "share of important requests that must succeed during a trial"),
	ratioKey("trialShare", 0.01, 0.5, LevelRoot, func(p *Policy) *float64 { return &p.TrialShare }, "share of nodes on which a proposal is on trial"),
	durationKey("trialTime", time.Second, time.Minute, LevelRoot, func(p *Policy) *time.Duration { return &p.TrialTime }, "duration of a trial"),
	durationKey("answerMemory", time.Minute, 24*time.Hour, allLevels, func(p *Policy) *time.Duration { return &p.AnswerMemory }, "how long responses of once operations are kept"),
}

var (
	keyNames   = namesOf(keys)
	keysByName = indexOf(keys)
)

func namesOf(keys []Key) []string {
	names := make([]string, len(keys))
	for i, key := range keys {
		names[i] = key.Name
	}

	return names
}

func indexOf(keys []Key) map[string]Key {
	index := make(map[string]Key, len(keys))
	for _, key := range keys {
		index[key.Name] = key
	}

	return index
}

func durationKey(name string, low, high time.Duration, levels Level, field func(*Policy) *time.Duration, doc string) Key {
	return numberKey(name, TypeDuration, float64(low), float64(high), levels, field, doc)
}

func sizeKey(name string, low, high int64, levels Level, field func(*Policy) *int64, doc string) Key {
	return numberKey(name, TypeSize, float64(low), float64(high), levels, field, doc)
}

func intKey(name string, low, high int, levels Level, field func(*Policy) *int, doc string) Key {
	return numberKey(name, TypeInt, float64(low), float64(high), levels, field, doc)
}

func ratioKey(name string, low, high float64, levels Level, field func(*Policy) *float64, doc string) Key {
	return numberKey(name, TypeRatio, low, high, levels, field, doc)
}

func classKey(name string, levels Level, field func(*Policy) *call.Class, doc string) Key {
	return numberKey(name, TypeClass, 0, 0, levels, field, doc)
}

type number interface {
	~int | ~int64 | ~uint8 | ~float64
}

func numberKey[N number](name string, typ Type, low, high float64, levels Level, field func(*Policy) *N, doc string) Key {
	return Key{
		Name: name, Type: typ, Min: low, Max: high, Levels: levels, Doc: doc,
		get: func(p *Policy) Value { return Value{typ: typ, number: float64(*field(p))} },
		set: func(p *Policy, v Value) { *field(p) = N(v.number) },
	}
}

func boolKey(name string, levels Level, field func(*Policy) *bool, doc string) Key {
	return Key{
		Name: name, Type: TypeBool, Levels: levels, Doc: doc,
		get: func(p *Policy) Value {
			if *field(p) {
				return Value{typ: TypeBool, number: 1}
			}

			return Value{typ: TypeBool}
		},
		set: func(p *Policy, v Value) { *field(p) = v.number != 0 },
	}
}

func listKey(name string, levels Level, field func(*Policy) *[]string, doc string) Key {
	return Key{
		Name: name, Type: TypeList, Levels: levels, Doc: doc,
		get: func(p *Policy) Value { return Value{typ: TypeList, list: *field(p)} },
		set: func(p *Policy, v Value) { *field(p) = v.list },
	}
}

// joinNames joins names for Problem.Allowed and truncates long lists.
func joinNames(names []string) string {
	const maxNames = 12
	if len(names) > maxNames {
		return strings.Join(names[:maxNames], ", ") + ", ..."
	}

	return strings.Join(names, ", ")
}
