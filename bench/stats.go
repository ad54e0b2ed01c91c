package bench

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
)

// Record is what became of one submission.
type Record struct {
	Sub      *Submission
	Ended    time.Duration // when the caller had the outcome, zero if never
	Complete bool
	Reason   verdict.Reason
	Verdict  verdict.Verdict
}

// Response is how long the caller waited.
func (r Record) Response() time.Duration { return r.Ended - r.Sub.At }

// Summary is the distribution of response times of complete answers.
type Summary struct {
	Count                int
	Mean, P50, P99, P999 time.Duration
	// Lag is the mean of response time divided by the ideal.
	Lag float64
}

// Summarize covers the complete answers of submissions that arrived in [from, to).
func Summarize(d Deployment, records []Record, from, to time.Duration) Summary {
	var times []time.Duration
	var s Summary
	ideal := d.ideal()
	for _, r := range records {
		if !r.Complete || r.Sub.At < from || r.Sub.At >= to {
			continue
		}
		times = append(times, r.Response())
		s.Mean += r.Response()
		s.Lag += float64(r.Response()) / float64(ideal(r.Sub))
	}
	s.Count = len(times)
	if s.Count == 0 {
		return s
	}
	slices.Sort(times)
	s.Mean /= time.Duration(s.Count)
	s.Lag /= float64(s.Count)
	s.P50, s.P99, s.P999 = percentile(times, 0.5), percentile(times, 0.99), percentile(times, 0.999)
	return s
}

// percentile reads the nearest rank from sorted times.
func percentile(sorted []time.Duration, p float64) time.Duration {
	i := min(int(p*float64(len(sorted))), len(sorted)-1)
	return sorted[i]
}
