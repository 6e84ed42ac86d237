package experiment

import (
	"time"

	"github.com/sloelift/sloelift/lab/histogram"
)

// latenessInterval is the timer that the probe sets again and again.
const latenessInterval = 2 * time.Millisecond

// latenessProbe measures how late timers fire, which tells how far the run's times are
// those of a busy machine.
type latenessProbe struct {
	ended chan struct{}
	done  chan struct{}
	seen  *histogram.Histogram
}

func startLatenessProbe() *latenessProbe {
	probe := &latenessProbe{ended: make(chan struct{}), done: make(chan struct{}), seen: histogram.New()}
	go probe.run()
	return probe
}

func (p *latenessProbe) run() {
	defer close(p.done)
	for {
		due := time.Now().Add(latenessInterval)
		select {
		case <-p.ended:
			return
		case <-time.After(latenessInterval):
			p.seen.Record(time.Since(due))
		}
	}
}

func (p *latenessProbe) stop() histogram.Distribution {
	close(p.ended)
	<-p.done
	return p.seen.Distribution()
}
