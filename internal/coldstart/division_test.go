package coldstart

import (
	"math"
	"testing"

	"github.com/sloelift/sloelift/internal/route"
)

func TestPassesTogetherStayWithinTheBound(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		rate   float64
		bounds Bounds
		want   passDivision
	}{
		{"no bound", 0, Bounds{Burst: 1.5, Slack: 5}, passDivision{}},
		{"many requests", 23, Bounds{Burst: 1.5, Slack: 5}, passDivision{passes: 11, requests: 3}},
		{"few requests", 4, Bounds{Burst: 1.5, Slack: 5}, passDivision{passes: 2, requests: 3}},
		{"less than a pass", 1, Bounds{Burst: 2, Slack: 5}, passDivision{passes: 1, requests: 2}},
		{"less than a request, with slack", 0.5, Bounds{Burst: 1, Slack: 1}, passDivision{passes: 1, requests: 1}},
		{"less than a request, without slack", 0.5, Bounds{Burst: 1}, passDivision{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			got := test.bounds.divide(route.Service{ColdRequestsPerSecond: test.rate})
			if got != test.want {
				t.Errorf("divided into %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestAnyDivisionStaysWithinTheBound(t *testing.T) {
	t.Parallel()
	for tenths := range 1000 {
		bounds := Bounds{Burst: 1 + float64(tenths%7)/4, Slack: float64(tenths % 11)}
		rate := float64(tenths) / 10
		division := bounds.divide(route.Service{ColdRequestsPerSecond: rate})
		if limit := math.Floor(rate*bounds.Burst + bounds.Slack); float64(division.passes*division.requests) > limit {
			t.Fatalf("rate %g, %+v: %+v is above %g", rate, bounds, division, limit)
		}
	}
}
