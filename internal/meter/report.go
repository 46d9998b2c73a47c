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

// kind is a metric type of the Prometheus text format.
type kind string

const (
	kindCounter   kind = "counter"
	kindGauge     kind = "gauge"
	kindSummary   kind = "summary"
	kindHistogram kind = "histogram"
)

// reporter implements tally.StatsReporter. It accumulates the reported increments, since Prometheus expects cumulative values.
type reporter struct {
	mu       sync.Mutex
	families map[string]*family
}

// family holds the metrics of one name. The keys of series are sample names with their labels.
type family struct {
	kind   kind
	series map[string]float64
}

func newReporter() *reporter {
	return &reporter{families: map[string]*family{}}
}

// Capabilities returns the reporter, which supports reporting and tags.
func (r *reporter) Capabilities() tally.Capabilities { return r }

// Reporting returns true, because reported values are kept.
func (r *reporter) Reporting() bool { return true }

// Tagging returns true, because tags become labels.
func (r *reporter) Tagging() bool { return true }

// Flush does nothing, because values are not buffered.
func (r *reporter) Flush() {}

// ReportCounter adds the increment since the last report.
func (r *reporter) ReportCounter(name string, tags map[string]string, value int64) {
	r.add(kindCounter, name, name+labels(tags), float64(value))
}

// ReportGauge replaces the value of a gauge.
func (r *reporter) ReportGauge(name string, tags map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.family(kindGauge, name).series[name+labels(tags)] = value
}

// ReportTimer adds an interval to the sum, in seconds, and to the count of a summary.
func (r *reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.add(kindSummary, name, name+"_sum"+labels(tags), interval.Seconds())
	r.add(kindSummary, name, name+"_count"+labels(tags), 1)
}

// ReportHistogramValueSamples adds samples to every bucket from upper on, because Prometheus buckets are cumulative.
func (r *reporter) ReportHistogramValueSamples(
	name string, tags map[string]string, buckets tally.Buckets, _, upper float64, samples int64,
) {
	for _, bound := range buckets.AsValues() {
		if bound >= upper {
			r.addBucket(name, tags, strconv.FormatFloat(bound, 'g', -1, 64), samples)
		}
	}
	r.addBucket(name, tags, "+Inf", samples)
	r.add(kindHistogram, name, name+"_count"+labels(tags), float64(samples))
}

// ReportHistogramDurationSamples adds samples of durations, with bucket bounds in seconds, like ReportHistogramValueSamples.
func (r *reporter) ReportHistogramDurationSamples(
	name string, tags map[string]string, buckets tally.Buckets, _, upper time.Duration, samples int64,
) {
	for _, bound := range buckets.AsDurations() {
		if bound >= upper {
			r.addBucket(name, tags, strconv.FormatFloat(bound.Seconds(), 'g', -1, 64), samples)
		}
	}
	r.addBucket(name, tags, "+Inf", samples)
	r.add(kindHistogram, name, name+"_count"+labels(tags), float64(samples))
}

// WriteText writes all metrics in the Prometheus text format, sorted by name and labels.
func (r *reporter) WriteText(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var text strings.Builder
	for _, name := range sortedKeys(r.families) {
		text.WriteString("# TYPE " + name + " " + string(r.families[name].kind) + "\n")
		for _, series := range sortedKeys(r.families[name].series) {
			text.WriteString(series + " " + strconv.FormatFloat(r.families[name].series[series], 'g', -1, 64) + "\n")
		}
	}
	_, err := io.WriteString(w, text.String())

	return err
}

func (r *reporter) addBucket(name string, tags map[string]string, bound string, samples int64) {
	bucketTags := map[string]string{"le": bound}
	for key, value := range tags {
		bucketTags[key] = value
	}
	r.add(kindHistogram, name, name+"_bucket"+labels(bucketTags), float64(samples))
}

func (r *reporter) add(kind kind, name, series string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.family(kind, name).series[series] += value
}

func (r *reporter) family(kind kind, name string) *family {
	existing, found := r.families[name]
	if !found {
		existing = &family{kind: kind, series: map[string]float64{}}
		r.families[name] = existing
	}

	return existing
}

// labels formats tags as {key="value",…}, sorted by key.
func labels(tags map[string]string) string {
	if len(tags) == 0 {
		return ""
	}
	parts := make([]string, 0, len(tags))
	for _, key := range sortedKeys(tags) {
		parts = append(parts, key+"="+strconv.Quote(tags[key]))
	}

	return "{" + strings.Join(parts, ",") + "}"
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)

	return keys
}
