package membership

import (
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Log fields of this package.
const (
	fieldMember      = "member"
	fieldIncarnation = "incarnation"
	fieldChange      = "change"
	fieldSilence     = "silence_ms"
)

// MetricChanges is the name of the counter of members' changes, by the label "kind".
const MetricChanges = "sloelift_membership_changes_total"

// stateNames are the values of the label "state".
var stateNames = map[State]string{Alive: "alive", Leaving: "leaving", Suspect: "suspect", Dead: "dead"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

type metrics struct {
	members *prometheus.GaugeVec
	changes *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	created := &metrics{
		members: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sloelift_membership_members", Help: "Members known here, by state.",
		}, []string{"state"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: MetricChanges, Help: "Changes of members seen here, by kind.",
		}, []string{"kind"}),
	}
	for _, collector := range []prometheus.Collector{created.members, created.changes} {
		if err := registerer.Register(collector); err != nil {
			return nil, err
		}
	}
	return created, nil
}

func (m *metrics) count(view *View) {
	var counts [Dead + 1]int
	for _, member := range view.Members {
		counts[member.State]++
	}
	for state, name := range stateNames {
		m.members.WithLabelValues(name).Set(float64(counts[state]))
	}
}

// jittered returns a random duration between 0.5 and 1.5 times period.
func jittered(period time.Duration) time.Duration {
	return period/2 + time.Duration(rand.Int64N(int64(period)))
}
