package admit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/admit"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

func TestKindThresholdFollowsDownstreamRefusals(t *testing.T) {
	kinds := admit.NewKindThresholds()
	normal, high := call.ClassNormal.MinRank()+9, call.ClassHigh.MinRank()
	kinds.ObserveRefusal(start, "inspection", normal, high)
	require.Equal(t, high, kinds.Threshold(start, "inspection"))
	require.Zero(t, kinds.Threshold(start, "register"))

	kinds.ObserveSuccess(start, "inspection", high+5)
	require.Equal(t, high, kinds.Threshold(start, "inspection"), "success of a higher rank does not lower the threshold")
	kinds.ObserveSuccess(start, "inspection", normal)
	require.Equal(t, normal, kinds.Threshold(start, "inspection"))

	kinds.ObserveRefusal(start, "issue", normal, call.MaxRank)
	require.Equal(t, call.ClassVital.MinRank(), kinds.Threshold(start, "issue"), "the threshold never excludes the vital class")
	require.Zero(t, kinds.Threshold(start.Add(2*time.Second), "issue"))
}
