package batch

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// unreachableOnce fails the next dial while failNext is set, with an error that does not show that the replica has ended.
type unreachableOnce struct {
	network.Network
	failNext atomic.Bool
}

func (u *unreachableOnce) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if u.failNext.CompareAndSwap(true, false) {
		return nil, errors.New("no route to host")
	}
	return u.Network.Dial(ctx, address)
}

// TestProgressClearsEndsIfAFurtherLeaseIsNotReached guards an item against ends that its answer has progressed past: they are cleared at the
// end of a run that progressed, also if the run ends because its replica, which lives, took no connection for a further lease.
func TestProgressClearsEndsIfAFurtherLeaseIsNotReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newCrashingReplicas(4)
		replicas.interval, replicas.closeConnections = 4*eventInterval, true
		records := acceptanceRecords(testSubmission("j", 1), time.Now().UnixMilli())
		for number := range 2 {
			records = append(records, newRecord(ledger.KindBatchCrashed, &batchpb.Crashed{JobId: "j", Replica: uint64(100 + number), Reached: proto.Uint32(3)}))
		}
		owner := startOwnerWithQuarantine(t, replicas, records...)
		defer owner.stop()
		unreachable := &unreachableOnce{Network: replicas}
		owner.service.client = replica.NewClient(unreachable, replicatest.Headers)
		key := itemKey{job: "j"}
		for owner.eventCount(key) == 0 {
			time.Sleep(time.Millisecond)
		}
		unreachable.failNext.Store(true)
		for unreachable.failNext.Load() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		if made := owner.eventCount(key); made <= 50 {
			t.Fatalf("the answer has %d events", made)
		}
		if got := owner.service.options.Quarantine.Check(owner.messageKey(key)); got != quarantine.Allowed {
			t.Errorf("the message is %s after a run that progressed past all ends, want allowed", got)
		}
		owner.results(t, "j", 1, 60*time.Second)
	})
}
