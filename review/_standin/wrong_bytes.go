package main

import (
	"context"
	"time"
)

const (
	// spoiltShare is the share of the replicas that hand out wrong bytes, spoiltAnswers the share of their answers that are spoilt. They
	// do so spoiltTimes times for spoiltTime, with pauses of spoiltPause.
	spoiltShare   = 0.392
	spoiltAnswers = 0.0282
	spoiltTime    = 4970 * time.Millisecond
	spoiltPause   = 2030 * time.Millisecond
	spoiltTimes   = 9
	// The day counts 0 if processes end by themselves this many times on this many machines, or on half of the machines with a disk.
	endsOfMachine = 3
	endsMachines  = 2
)

// wrongBytes lets some replicas hand out wrong bytes in some of their answers, and counts the processes that end by themselves.
func (p *play) wrongBytes(ctx context.Context) (kept bool, err error) {
	began, answers := time.Now(), 0
	spoils := func(string) bool {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		round := time.Since(began) / (spoiltTime + spoiltPause)
		if round >= spoiltTimes || time.Since(began)%(spoiltTime+spoiltPause) >= spoiltTime {
			return false
		}
		answers++
		return int(float64(answers)*spoiltAnswers) != int(float64(answers-1)*spoiltAnswers)
	}
	for number, faulty := range p.replicas {
		if p.trouble && number < int(spoiltShare*float64(len(p.replicas))) {
			faulty.spoil = spoils
		}
	}
	length := spoiltTimes * (spoiltTime + spoiltPause)
	sending, stopSending := context.WithTimeout(ctx, length)
	defer stopSending()
	reading, stopReading := context.WithTimeout(ctx, length+completion)
	defer stopReading()
	p.traffic(sending, reading, p.shape.jobsPerSecond).Wait()
	ends, often := 0, 0
	for _, machine := range p.fleet.machines {
		machine.mutex.Lock()
		own := len(machine.ends)
		machine.mutex.Unlock()
		if own > 0 {
			p.record.note("processes of %s that ended by themselves: %d", machine.name, own)
		}
		ends += own
		if own >= endsOfMachine {
			often++
		}
	}
	unlisted, accepted := 0, 0
	for _, job := range p.jobs {
		if job.accepted {
			accepted += len(job.items)
			unlisted += len(job.items) - len(job.results)
		}
	}
	p.record.note("accepted items: %d, not listed at the end: %d", accepted, unlisted)
	p.record.note("processes that ended by themselves: %d; %d times or more on %d machines", ends, endsOfMachine, often)
	return often < endsMachines, nil
}
