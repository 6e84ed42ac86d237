package batch

import "time"

const (
	// paceWeight is the part of the newest observation in a running mean.
	paceWeight = 0.08
	// unknownPace is the time that an item is taken to run, by token, until one of its route has finished.
	unknownPace = time.Millisecond
	// leastLeft is the part of an item's run that is taken to be left however much it has made.
	leastLeft = 0.03
)

// itemPace estimates, from the finished items of one route, what those that wait need. It is a part of the log's state, so that the next owner has
// it from its first plan on. The zero value has seen none.
type itemPace struct {
	seen uint64
	// perToken is the time at replicas by token of an item's size, textPerToken the bytes of text made by token.
	perToken     time.Duration
	textPerToken float64
}

// finishedItem is what one item took.
type finishedItem struct {
	tokens int64
	// text is the size of the result, in bytes.
	text int
	// ran is the time at replicas.
	ran time.Duration
}

// observe takes in a finished item.
func (p *itemPace) observe(finished finishedItem) {
	if finished.tokens <= 0 || finished.ran <= 0 {
		return
	}
	perToken := float64(finished.ran) / float64(finished.tokens)
	textPerToken := float64(finished.text) / float64(finished.tokens)
	p.seen++
	if p.seen == 1 {
		p.perToken, p.textPerToken = time.Duration(perToken), textPerToken
		return
	}
	p.perToken += time.Duration(paceWeight * (perToken - float64(p.perToken)))
	p.textPerToken += paceWeight * (textPerToken - p.textPerToken)
}

// left returns the time at replicas that an item still needs that has made that much text.
func (p *itemPace) left(tokens int64, madeText int) time.Duration {
	if p.seen == 0 {
		return time.Duration(tokens) * unknownPace
	}
	whole := float64(tokens) * float64(p.perToken)
	made := 0.0
	if expected := p.textPerToken * float64(tokens); expected > 0 {
		made = float64(madeText) / expected
	}
	return time.Duration(whole * max(leastLeft, 1-made))
}
