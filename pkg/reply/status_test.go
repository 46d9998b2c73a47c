package reply_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/reply"
	adapt "github.com/pistachiotack/pistachiotack/platform"
)

var (
	outcomes = []call.Outcome{call.OutcomeRan, call.OutcomeNotRun, call.OutcomeUnknown}
	reasons  = []call.Reason{
		call.ReasonOverload, call.ReasonDeadline, call.ReasonUnknownService, call.ReasonFairShare, call.ReasonTorn, call.ReasonBackendShed,
		call.ReasonBackendFault, call.ReasonFalseRefusal, call.ReasonWrongIncarnation, call.ReasonDraining, call.ReasonCancelled,
	}
)

// Guards against a status that tells a client that its request has not run although it may have.
func TestOnlyRequestsThatHaveNotRunEndWithAPromise(t *testing.T) {
	t.Parallel()
	dialect := adapt.Dialect{}
	for _, outcome := range outcomes {
		for status := http.StatusOK; status < 1000; status++ {
			refusal := reply.Check(dialect, outcome, status)
			if refusal == nil {
				require.False(t, dialect.PromisesNotRun(status) && outcome != call.OutcomeNotRun, "status %d is passed on, outcome %s", status, outcome)

				continue
			}
			require.True(t, dialect.PromisesNotRun(status), "status %d is replaced", status)
			require.Equal(t, outcome, refusal.Outcome)
			require.Equal(t, http.StatusBadGateway, reply.Status(refusal))
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
		refusal := call.NewRefusal(outcome, rapid.SampledFrom(reasons).Draw(t, "reason"))
		if dialect.PromisesNotRun(reply.Status(refusal)) {
			require.Equal(t, call.OutcomeNotRun, outcome)
		}
	})
}

func TestStatusOfRefusals(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		refusal *call.Refusal
		status  int
	}{
		"not run":                {call.NewRefusal(call.OutcomeNotRun, call.ReasonOverload), http.StatusServiceUnavailable},
		"no time left, not run":  {call.NewRefusal(call.OutcomeNotRun, call.ReasonDeadline), http.StatusServiceUnavailable},
		"no such route":          {call.NewRefusal(call.OutcomeNotRun, call.ReasonUnknownService), http.StatusNotFound},
		"no time left":           {call.NewRefusal(call.OutcomeUnknown, call.ReasonDeadline), http.StatusGatewayTimeout},
		"may have run":           {call.NewRefusal(call.OutcomeUnknown, call.ReasonOverload), http.StatusBadGateway},
		"ran and was refused":    {call.NewRefusal(call.OutcomeRan, call.ReasonFalseRefusal), http.StatusBadGateway},
		"may have run elsewhere": {call.NewRefusal(call.OutcomeUnknown, call.ReasonUnknownService), http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			require.Equal(t, test.status, reply.Status(test.refusal))
		})
	}
}
