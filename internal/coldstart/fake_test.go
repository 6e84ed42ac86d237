package coldstart

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/platform"
)

// memoryStore is a linearizable key-value service with leases.
type memoryStore struct {
	mutex    sync.Mutex
	revision int64
	entries  map[string]platform.Entry
	leases   map[platform.LeaseID]time.Time
	writes   int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{revision: 7, entries: map[string]platform.Entry{}, leases: map[platform.LeaseID]time.Time{}}
}

// expire removes the keys whose leases have expired. The mutex is held.
func (m *memoryStore) expire(now time.Time) {
	for key, entry := range m.entries {
		if until, leased := m.leases[entry.LeaseID]; leased && !now.Before(until) {
			delete(m.entries, key)
		}
	}
}

func (m *memoryStore) grant(timeToLive time.Duration) platform.LeaseID {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.revision++
	m.writes++
	m.leases[platform.LeaseID(m.revision)] = time.Now().Add(timeToLive)
	return platform.LeaseID(m.revision)
}

func (m *memoryStore) commit(transaction platform.Transaction) (platform.CommitResult, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.writes++
	now := time.Now()
	m.expire(now)
	for _, change := range transaction.Changes {
		if until, known := m.leases[change.LeaseID]; !known || !now.Before(until) {
			return platform.CommitResult{}, platform.KindLeaseNotFound.New("lease is over")
		}
	}
	result := platform.CommitResult{Committed: true}
	for _, condition := range transaction.Conditions {
		current := m.entries[condition.Key]
		current.Key = condition.Key
		result.Current = append(result.Current, current)
		result.Committed = result.Committed && current.ModRevision == condition.ModRevision
	}
	if !result.Committed {
		return result, nil
	}
	m.revision++
	for _, change := range transaction.Changes {
		m.entries[change.Key] = platform.Entry{Key: change.Key, Value: change.Value, ModRevision: m.revision, LeaseID: change.LeaseID}
	}
	return platform.CommitResult{Committed: true, Revision: m.revision}, nil
}

// faultyStore is one node's connection to the store. Unguarded fields are set before the first call.
type faultyStore struct {
	platform.KeyValue
	store *memoryStore
	// resume returns once the node's process is not paused.
	resume func()

	mutex  sync.Mutex
	random *rand.Rand
	// unansweredShare is the share of calls without an answer. Half of them take effect, some of these up to 6 s late.
	unansweredShare float64
	// cut fails all calls without effect.
	cut bool
	// answeredCalls, if above 0, is the number of calls that are answered; later ones take effect without an answer.
	answeredCalls int
	calls         int
}

func (f *faultyStore) set(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

// drawOutcome draws the latency of a call, whether it takes effect and is answered, and by how much its effect is late.
func (f *faultyStore) drawOutcome() (delay time.Duration, done, answered bool, lateBy time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delay = time.Duration(2+f.random.IntN(30)) * time.Millisecond
	if f.cut {
		return delay, false, false, 0
	}
	if f.answeredCalls > 0 {
		f.calls++
		return delay, true, f.calls <= f.answeredCalls, 0
	}
	if f.random.Float64() >= f.unansweredShare {
		return delay, true, true, 0
	}
	if f.random.IntN(2) == 0 {
		lateBy = time.Duration(f.random.IntN(6000)) * time.Millisecond
	}
	return delay, f.random.IntN(2) == 0, false, lateBy
}

// call runs do as one call to the store, possibly late or without an answer.
func (f *faultyStore) call(ctx context.Context, do func()) error {
	delay, done, answered, lateBy := f.drawOutcome()
	time.Sleep(delay)
	switch {
	case answered:
		do()
		time.Sleep(delay)
		f.resume()
		return nil
	case done && lateBy > 0:
		time.AfterFunc(lateBy, do)
	case done:
		do()
	}
	<-ctx.Done()
	f.resume()
	return platform.KindUnknownOutcome.New("no answer")
}

func (f *faultyStore) GrantLease(ctx context.Context, timeToLive time.Duration) (platform.LeaseID, error) {
	var lease platform.LeaseID
	err := f.call(ctx, func() { lease = f.store.grant(timeToLive) })
	if err != nil {
		return 0, err
	}
	return lease, nil
}

func (f *faultyStore) Commit(ctx context.Context, transaction platform.Transaction) (platform.CommitResult, error) {
	var result platform.CommitResult
	var failure error
	if err := f.call(ctx, func() { result, failure = f.store.commit(transaction) }); err != nil {
		return platform.CommitResult{}, err
	}
	return result, failure
}
