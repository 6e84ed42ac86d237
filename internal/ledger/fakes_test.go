package ledger

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/platform/platformtest"
)

// memoryKeyValue is an in-memory key-value service that can be down or lose answers.
type memoryKeyValue struct {
	*platformtest.KeyValue
	mutex       sync.Mutex
	down        bool
	loseAnswers bool
	// calls counts all calls.
	calls int
}

func newMemoryKeyValue() *memoryKeyValue {
	return &memoryKeyValue{KeyValue: platformtest.NewKeyValue()}
}

func (k *memoryKeyValue) set(change func()) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	change()
}

// begin counts a call, and returns an error while the service is down.
func (k *memoryKeyValue) begin() error {
	k.calls++
	if k.down {
		return platform.KindUnavailable.New("down")
	}
	return nil
}

func (k *memoryKeyValue) Get(ctx context.Context, key string) (platform.Entry, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if err := k.begin(); err != nil {
		return platform.Entry{}, err
	}
	return k.KeyValue.Get(ctx, key)
}

func (k *memoryKeyValue) List(ctx context.Context, prefix string) (platform.Listing, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if err := k.begin(); err != nil {
		return platform.Listing{}, err
	}
	return k.KeyValue.List(ctx, prefix)
}

func (k *memoryKeyValue) Commit(ctx context.Context, transaction platform.Transaction) (platform.CommitResult, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if err := k.begin(); err != nil {
		return platform.CommitResult{}, err
	}
	result, err := k.KeyValue.Commit(ctx, transaction)
	if err == nil && result.Committed && k.loseAnswers {
		return platform.CommitResult{}, platform.KindUnknownOutcome.New("answer lost")
	}
	return result, err
}

// sharedView is the membership that all nodes of a test see.
type sharedView struct {
	mutex   sync.Mutex
	members []membership.Member
	// isolated is the node that sees all others as dead.
	isolated membership.NodeID
	// allIsolated makes every node see all others as dead.
	allIsolated bool
}

func (s *sharedView) change(id membership.NodeID, change func(*membership.Member)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i := range s.members {
		if s.members[i].ID == id {
			change(&s.members[i])
			return
		}
	}
	s.members = append(s.members, membership.Member{ID: id})
	change(&s.members[len(s.members)-1])
}

func (s *sharedView) find(node string) (membership.Member, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return (&membership.View{Members: s.members}).Find(membership.NodeID(node))
}

type nodeViewer struct {
	shared *sharedView
	self   membership.NodeID
}

// isolateAll makes each node see all others as dead, as if all had just started; false ends that.
func (s *sharedView) isolateAll(isolated bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.allIsolated = isolated
}

// isolate makes one node see all others as dead; an empty id ends that.
func (s *sharedView) isolate(id membership.NodeID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isolated = id
}

func (v nodeViewer) View() *membership.View {
	v.shared.mutex.Lock()
	defer v.shared.mutex.Unlock()
	members := append([]membership.Member(nil), v.shared.members...)
	for i := range members {
		switch {
		case members[i].ID == v.self && members[i].State == membership.Suspect:
			// A node never suspects itself.
			members[i].State = membership.Alive
		case (v.self == v.shared.isolated || v.shared.allIsolated) && members[i].ID != v.self:
			members[i].State = membership.Dead
		}
	}
	return &membership.View{Self: v.self, Members: members}
}

func (v nodeViewer) Subscribe(func(*membership.View)) func() { return func() {} }

// channelMutex is a mutex whose waiters count as durably blocked in a synctest bubble, so that it can be held during an
// append.
type channelMutex chan struct{}

func (m channelMutex) Lock()   { m <- struct{}{} }
func (m channelMutex) Unlock() { <-m }

// register is a state machine that keeps all payloads in order.
type register struct {
	mutex  channelMutex
	upTo   Position
	values []string
	// indeterminate holds values whose Append call ended before the ledger acknowledged or rejected them.
	indeterminate []string
	owned         Owned
	stopped       bool
	// onQuiesce is called by Quiesce, if set.
	onQuiesce func(ctx context.Context)
}

func (r *register) Quiesce(ctx context.Context) {
	if r.onQuiesce != nil {
		r.onQuiesce(ctx)
	}
}

func (r *register) Restore(snapshot []byte) error {
	if snapshot == nil {
		return nil
	}
	var count int
	text := string(snapshot)
	if _, err := fmt.Sscanf(text, "%d %d\n", &r.upTo, &count); err != nil {
		return err
	}
	if count > 0 {
		r.values = strings.Split(strings.SplitN(text, "\n", 2)[1], "\n")
	}
	return nil
}

func (r *register) Apply(position Position, record Record) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if position != r.upTo+1 {
		return fmt.Errorf("position %d applied after %d", position, r.upTo)
	}
	r.upTo = position
	if record.Kind != KindNoOperation {
		r.values = append(r.values, string(record.Payload))
	}
	return nil
}

func (r *register) Serve(owned Owned) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.owned = owned
}

func (r *register) Snapshot() (Position, Position, []byte, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	text := fmt.Sprintf("%d %d\n%s", r.upTo, len(r.values), strings.Join(r.values, "\n"))
	return r.upTo, r.upTo + 1, []byte(text), nil
}

func (r *register) Stop() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.stopped = true
}

// put appends value. It holds the lock during the append, so that values are applied in log order.
func (r *register) put(ctx context.Context, value string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.owned == nil || r.stopped {
		return errNotOwner()
	}
	return r.append(ctx, value)
}

// append appends value after those whose own call ended first: while the ownership lasts, they precede it in the log.
// The mutex must be held.
func (r *register) append(ctx context.Context, value string) error {
	position, err := r.owned.Append(ctx, []Record{{Kind: KindItemCompleted, Payload: []byte(value)}})
	if outcome.Of(err) == outcome.Indeterminate {
		r.indeterminate = append(r.indeterminate, value)
	}
	if err != nil {
		return err
	}
	if position != r.upTo+1+Position(len(r.indeterminate)) {
		return fmt.Errorf("position %d appended after %d and %d indeterminate values", position, r.upTo, len(r.indeterminate))
	}
	r.upTo = position
	r.values = append(append(r.values, r.indeterminate...), value)
	r.indeterminate = nil
	return nil
}

func (r *register) list() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]string(nil), r.values...)
}
