package quarantine

import "github.com/prometheus/client_golang/prometheus"

// metrics count the known messages and what this node does about them.
type metrics struct {
	messages *prometheus.GaugeVec
	ended    prometheus.Counter
	cut      prometheus.Counter
	admitted *prometheus.CounterVec
	retries  prometheus.Counter
	notices  prometheus.Counter
	losses   prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	created := &metrics{
		messages: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sloelift_quarantine_messages",
			Help: "Messages under which replicas ended, by what follows.",
		}, []string{"verdict"}),
		ended: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sloelift_quarantine_replicas_ended_total",
			Help: "Replicas that ended while this node had runs there.",
		}),
		cut: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sloelift_quarantine_runs_cut_total",
			Help: "Runs cut off because their message became suspected.",
		}),
		admitted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_quarantine_admissions_total",
			Help: "Suspected messages that asked to run, by verdict.",
		}, []string{"verdict"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sloelift_quarantine_retries_total",
			Help: "Runs of batch items whose message was rejected.",
		}),
		notices: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sloelift_quarantine_notices_total",
			Help: "Notices sent to other nodes.",
		}),
		losses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sloelift_quarantine_runs_lost_total",
			Help: "Runs without a whole answer whose replica was not found to have ended.",
		}),
	}
	registerer.MustRegister(created.messages, created.ended, created.cut, created.admitted, created.retries, created.notices, created.losses)
	return created
}

// setMessages sets the numbers of suspected and rejected messages.
func (m *metrics) setMessages(suspected, rejected int) {
	m.messages.WithLabelValues(Apart.String()).Set(float64(suspected))
	m.messages.WithLabelValues(Rejected.String()).Set(float64(rejected))
}
