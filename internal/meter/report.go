package meter

import (
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// kind is a metric type of Prometheus' text format.
type kind string

const (
	kindCounter   kind = "counter"
	kindGauge     kind = "gauge"
	kindSummary   kind = "summary"
	kindHistogram kind = "histogram"
)

// reporter takes what tally reports and keeps the sums that Prometheus asks for.
type reporter struct {
	mu       sync.Mutex
	families map[string]*family
}

// family is all series of one name.
type family struct {
	kind   kind
	series map[string]float64
}

func newReporter() *reporter {
	return &reporter{families: map[string]*family{}}
}

// Capabilities says that values carry tags.
func (r *reporter) Capabilities() tally.Capabilities { return r }

// Reporting says that values are reported.
func (r *reporter) Reporting() bool { return true }

// Tagging says that values carry tags.
func (r *reporter) Tagging() bool { return true }

// Flush has nothing to flush.
func (r *reporter) Flush() {}

// ReportCounter adds what came since the last report.
func (r *reporter) ReportCounter(name string, tags map[string]string, value int64) {
	r.add(kindCounter, name, name+labels(tags), float64(value))
}

// ReportGauge replaces the value.
func (r *reporter) ReportGauge(name string, tags map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.family(kindGauge, name).series[name+labels(tags)] = value
}

// ReportTimer adds to sum and count, in seconds.
func (r *reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.add(kindSummary, name, name+"_sum"+labels(tags), interval.Seconds())
	r.add(kindSummary, name, name+"_count"+labels(tags), 1)
}

// ReportHistogramValueSamples adds to each bucket that holds the samples.
func (r *reporter) ReportHistogramValueSamples(
	name string, tags map[string]string, buckets tally.Buckets, _, upper float64, samples int64,
) {
	for _, bound := range buckets.AsValues() {
		if bound >= upper {
			r.bucket(name, tags, strconv.FormatFloat(bound, 'g', -1, 64), samples)
		}
	}
	r.bucket(name, tags, "+Inf", samples)
	r.add(kindHistogram, name, name+"_count"+labels(tags), float64(samples))
}

// ReportHistogramDurationSamples does the same for durations, in seconds.
func (r *reporter) ReportHistogramDurationSamples(
	name string, tags map[string]string, buckets tally.Buckets, _, upper time.Duration, samples int64,
) {
	for _, bound := range buckets.AsDurations() {
		if bound >= upper {
			r.bucket(name, tags, strconv.FormatFloat(bound.Seconds(), 'g', -1, 64), samples)
		}
	}
	r.bucket(name, tags, "+Inf", samples)
	r.add(kindHistogram, name, name+"_count"+labels(tags), float64(samples))
}

// WriteText writes all metrics in Prometheus' text format, sorted.
func (r *reporter) WriteText(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var text strings.Builder
	for _, name := range sorted(r.families) {
		text.WriteString("# TYPE " + name + " " + string(r.families[name].kind) + "\n")
		for _, series := range sorted(r.families[name].series) {
			text.WriteString(series + " " + strconv.FormatFloat(r.families[name].series[series], 'g', -1, 64) + "\n")
		}
	}
	_, err := io.WriteString(w, text.String())

	return err
}

func (r *reporter) bucket(name string, tags map[string]string, bound string, samples int64) {
	with := map[string]string{"le": bound}
	for key, value := range tags {
		with[key] = value
	}
	r.add(kindHistogram, name, name+"_bucket"+labels(with), float64(samples))
}

func (r *reporter) add(kind kind, name, series string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.family(kind, name).series[series] += value
}

func (r *reporter) family(kind kind, name string) *family {
	known, found := r.families[name]
	if !found {
		known = &family{kind: kind, series: map[string]float64{}}
		r.families[name] = known
	}

	return known
}

// labels writes tags as {key="value",…} in the order of their keys.
func labels(tags map[string]string) string {
	if len(tags) == 0 {
		return ""
	}
	parts := make([]string, 0, len(tags))
	for _, key := range sorted(tags) {
		parts = append(parts, key+"="+strconv.Quote(tags[key]))
	}

	return "{" + strings.Join(parts, ",") + "}"
}

func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)

	return keys
}
