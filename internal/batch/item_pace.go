package batch

import "time"

const (
	// paceWeight is the weight of the newest observation in a running mean.
	paceWeight = 0.08
	// defaultTimePerToken is the estimated time per token until an item of the route has finished.
	defaultTimePerToken = time.Millisecond
	// minRemainingShare is the share of an item's run that is always assumed to remain, however much text it has.
	minRemainingShare = 0.03
)

// itemPace estimates the time that waiting items of one route need, from its finished items. It is part of the state in the log, so
// that the next owner has it from its first plan on. The zero value has no observations.
type itemPace struct {
	seen uint64
	// timePerToken is the time at replicas per token of an item's size, bytesPerToken the size of the generated text per token.
	timePerToken  time.Duration
	bytesPerToken float64
}

// finishedItem is the size and the cost of one finished item.
type finishedItem struct {
	tokens int64
	// text is the size of the result, in bytes.
	text int
	// runTime is the time at replicas.
	runTime time.Duration
}

// observe adds a finished item to the estimate.
func (p *itemPace) observe(finished finishedItem) {
	if finished.tokens <= 0 || finished.runTime <= 0 {
		return
	}
	timePerToken := float64(finished.runTime) / float64(finished.tokens)
	bytesPerToken := float64(finished.text) / float64(finished.tokens)
	p.seen++
	if p.seen == 1 {
		p.timePerToken, p.bytesPerToken = time.Duration(timePerToken), bytesPerToken
		return
	}
	p.timePerToken += time.Duration(paceWeight * (timePerToken - float64(p.timePerToken)))
	p.bytesPerToken += paceWeight * (bytesPerToken - p.bytesPerToken)
}

// remaining returns the estimated time at replicas that an item still needs after generating textSize bytes.
func (p *itemPace) remaining(tokens int64, textSize int) time.Duration {
	if p.seen == 0 {
		return time.Duration(tokens) * defaultTimePerToken
	}
	total := float64(tokens) * float64(p.timePerToken)
	generatedShare := 0.0
	if expected := p.bytesPerToken * float64(tokens); expected > 0 {
		generatedShare = float64(textSize) / expected
	}
	return time.Duration(total * max(minRemainingShare, 1-generatedShare))
}
