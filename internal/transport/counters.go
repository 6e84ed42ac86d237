package transport

import "github.com/prometheus/client_golang/prometheus"

// Methods under which frames without a method are counted.
const (
	methodHello  Method = "transport.hello"
	methodCancel Method = "transport.cancel"
)

// Counters counts frames and bytes by method and direction. Bytes include a frame's
// length prefix and exclude TCP and IP headers.
type Counters struct {
	bytes  *prometheus.CounterVec
	frames *prometheus.CounterVec
	// silentConnections counts connections closed because the peer did not answer a ping.
	silentConnections prometheus.Counter
}

// Directions of the counters' label "direction".
const (
	DirectionSent     = "sent"
	DirectionReceived = "received"
)

// Names of the counters, for code that reads them back.
const (
	MetricBytes  = "sloelift_transport_bytes_total"
	MetricFrames = "sloelift_transport_frames_total"
)

// NewCounters creates the counters and registers them.
func NewCounters(registerer prometheus.Registerer) (*Counters, error) {
	labels := []string{"method", "direction"}
	counters := &Counters{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: MetricBytes, Help: "Bytes of frames between nodes, by method and direction.",
		}, labels),
		frames: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: MetricFrames, Help: "Frames between nodes, by method and direction.",
		}, labels),
		silentConnections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sloelift_transport_silent_connections_total",
			Help: "Connections between nodes that were closed since nothing came over them.",
		}),
	}
	for _, collector := range []prometheus.Collector{counters.bytes, counters.frames, counters.silentConnections} {
		if err := registerer.Register(collector); err != nil {
			return nil, err
		}
	}
	return counters, nil
}

// Sent counts one sent frame of size bytes.
func (c *Counters) Sent(method Method, size int) { c.add(method, DirectionSent, size) }

// Received counts one received frame of size bytes.
func (c *Counters) Received(method Method, size int) { c.add(method, DirectionReceived, size) }

func (c *Counters) add(method Method, direction string, size int) {
	c.bytes.WithLabelValues(string(method), direction).Add(float64(size))
	c.frames.WithLabelValues(string(method), direction).Inc()
}
