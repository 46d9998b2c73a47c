package states_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/states"
)

type lamp string

func TestFire(t *testing.T) {
	machine := states.New[lamp]()
	machine.Configure(lamp("off")).Permit("press", lamp("on")).Ignore("wait")
	machine.Configure(lamp("on")).Permit("press", lamp("off"))
	for name, test := range map[string]struct {
		from  lamp
		event string
		to    lamp
		fails bool
	}{
		"allowed":   {"off", "press", "on", false},
		"and back":  {"on", "press", "off", false},
		"ignored":   {"off", "wait", "off", false},
		"forbidden": {"on", "wait", "on", true},
	} {
		t.Run(name, func(t *testing.T) {
			to, err := machine.Fire(test.from, test.event)
			require.Equal(t, test.to, to)
			require.Equal(t, test.fails, err != nil)
		})
	}
}
