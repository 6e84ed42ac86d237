package experiment

import (
	"time"

	"github.com/sloelift/sloelift/lab/histogram"
)

// latenessInterval is the duration of the probe's timers.
const latenessInterval = 2 * time.Millisecond

// latenessProbe measures how late timers fire, which shows how much a busy machine
// affected the times of a run.
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
