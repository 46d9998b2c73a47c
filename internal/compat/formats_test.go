package compat_test

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/claim"
	"github.com/pistachiotack/pistachiotack/internal/crash"
	"github.com/pistachiotack/pistachiotack/internal/demand"
	"github.com/pistachiotack/pistachiotack/internal/exec"
	"github.com/pistachiotack/pistachiotack/internal/gossip"
	"github.com/pistachiotack/pistachiotack/internal/holder"
	"github.com/pistachiotack/pistachiotack/internal/rules"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/fanout"
	"github.com/pistachiotack/pistachiotack/pkg/shed"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

var update = flag.Bool("update", false, "write the formats of this build to "+formatsFile)

const (
	formatsFile = "testdata/formats.txt"
	modulePath  = "github.com/pistachiotack/pistachiotack/"
)

// formats collects a line for each field of the types that leave the process.
type formats struct {
	lines map[string]bool
}

func (f *formats) add(format string, args ...any) {
	f.lines[fmt.Sprintf(format, args...)] = true
}

// addMethods adds the methods that net/rpc serves on a receiver, with the types of their arguments and replies.
func (f *formats) addMethods(receiver reflect.Type) {
	for i := range receiver.NumMethod() {
		method := receiver.Method(i)
		if method.Type.NumIn() != 3 || method.Type.NumOut() != 1 {
			continue
		}
		args, reply := method.Type.In(1), method.Type.In(2)
		f.add("%s.%s(%s, %s)", nameOf(receiver), method.Name, nameOf(args), nameOf(reply))
		f.addType(args)
		f.addType(reply)
	}
}

// addType adds the exported fields of a type and of the types that it holds. gob sends the names, encoding/json and TOML the tags.
func (f *formats) addType(t reflect.Type) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		f.addType(t.Elem())
	case reflect.Map:
		f.addType(t.Key())
		f.addType(t.Elem())
	case reflect.Struct:
		f.addFields(t)
	default:
	}
}

func (f *formats) addFields(t reflect.Type) {
	if !strings.HasPrefix(t.PkgPath(), modulePath) {
		return
	}
	for _, field := range reflect.VisibleFields(t) {
		if !field.IsExported() {
			continue
		}
		f.add("%s.%s %s `%s`", nameOf(t), field.Name, nameOf(field.Type), field.Tag)
		if field.Type != t {
			f.addType(field.Type)
		}
	}
}

func nameOf(t reflect.Type) string {
	return t.String() + kindOf(t)
}

// kindOf returns the basic type behind a named one, which is what is sent.
func kindOf(t reflect.Type) string {
	if t.Name() == "" || t.Kind() == reflect.Struct || t.Kind().String() == t.Name() {
		return ""
	}

	return " (" + t.Kind().String() + ")"
}

// addHeaders adds the values of the headers between nodes, for an example of each.
func (f *formats) addHeaders() {
	var request protocol.RequestHeader
	wire.SetHop(&request, wire.Hop{
		Route: "r-1", Service: "keuring", Caller: "logboek", Remaining: 1500 * time.Millisecond, Rank: 2, Once: true, Attempt: 3, Revision: 12, LevelEstimate: 0.25,
	})
	f.add("%s: %s", wire.HeaderHop, request.Peek(wire.HeaderHop))
	var response protocol.ResponseHeader
	wire.SetReport(&response, wire.Report{
		Outcome: call.OutcomeRan, Reason: call.ReasonBackendFault, State: "serving", Running: 4, Waiting: 5, Slots: 6, Revision: 12, Origin: fanout.OriginServers,
		LocalFault: true, IntegralLevel: 0.5, Levels: []shed.Level{{Service: "alarm", Value: 0.75}}, NeedsKnown: true, Needs: []fanout.Need{{Service: "alarm", Calls: 8}},
	})
	f.add("%s: %s", wire.HeaderReport, response.Peek(wire.HeaderReport))
	for _, name := range []string{
		wire.HeaderService, wire.HeaderCaller, wire.HeaderTimeout, wire.HeaderParent, wire.HeaderOperation, wire.HeaderOutcome, wire.HeaderLoad, wire.HeaderDraining,
		wire.HeaderRetryAfter, wire.HeaderRetryAfterDuration, wire.HeaderIdempotencyKey, wire.HeaderTicket, wire.HeaderEnvelope, wire.HeaderFeedback,
	} {
		f.add("header %s", name)
	}
}

// current returns the formats of this build, sorted.
func current() []string {
	f := &formats{lines: map[string]bool{}}
	for _, receiver := range []reflect.Type{
		reflect.TypeFor[*crash.Receiver](), reflect.TypeFor[*exec.Control](), reflect.TypeFor[*gossip.Receiver](), reflect.TypeFor[*holder.Receiver](), reflect.TypeFor[*rules.Receiver](),
	} {
		f.addMethods(receiver)
	}
	for _, sent := range []reflect.Type{
		reflect.TypeFor[call.Envelope](), reflect.TypeFor[call.Feedback](), reflect.TypeFor[claim.Ticket](), reflect.TypeFor[config.Node](),
		reflect.TypeFor[demand.Snapshot](), reflect.TypeFor[gossip.Status](), reflect.TypeFor[holder.Record](), reflect.TypeFor[trace.Decision](),
		reflect.TypeFor[trial.Proposal](),
	} {
		f.addType(sent)
	}
	f.addHeaders()
	lines := make([]string, 0, len(f.lines))
	for line := range f.lines {
		lines = append(lines, line)
	}
	slices.Sort(lines)

	return lines
}

// TestFormatsAreThoseOfTheLastRelease fails if a field that leaves the process was renamed, retyped, added or dropped: net/rpc and
// encoding/json skip unknown fields silently. docs/STYLE.md says how formats change over two releases.
func TestFormatsAreThoseOfTheLastRelease(t *testing.T) {
	lines := current()
	if *update {
		require.NoError(t, os.WriteFile(formatsFile, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	}
	text, err := os.ReadFile(formatsFile)
	require.NoError(t, err)
	require.Equal(t, strings.Split(strings.TrimSpace(string(text)), "\n"), lines)
}
