package ledger

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// history records the operations of clients and their results.
type history struct {
	mutex      sync.Mutex
	operations []porcupine.Operation
	notRun     []string
	unknown    int
	// last is the final list.
	last string
}

// appendResult is the whole list after an append, or unknown.
type appendResult struct {
	known bool
	list  string
}

// listModel is a list to which values are appended; each append returns the whole list.
var listModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		next := state.(string) + " " + input.(string)
		result := output.(appendResult)
		return !result.known || result.list == next, next
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, " -> ", output) },
}

// putAndList appends value and returns the resulting list. It waits until the append is acknowledged or the ownership
// ends, so that the register's copy of the list is exact while it serves.
func (r *register) putAndList(ctx context.Context, value string) (string, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.owned == nil || r.stopped {
		return "", errNotOwner()
	}
	if err := r.append(ctx, value); err != nil {
		return "", err
	}
	return " " + strings.Join(r.values, " "), nil
}

// client appends values at nodes that seem to own the partition, until stop is closed.
func (h *history) client(c *cluster, id int, random *rand.Rand, nodes []*testNode, stop <-chan struct{}) {
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(400)) * time.Millisecond):
		}
		for _, index := range random.Perm(len(nodes)) {
			machine := nodes[index].register(0)
			if machine == nil || !machine.serves() {
				continue
			}
			value := fmt.Sprintf("%d-%d-%d", id, number, index)
			called := time.Now()
			list, err := machine.putAndList(context.Background(), value)
			h.record(id, value, called, list, err)
			if err == nil {
				break
			}
		}
	}
}

func (h *history) record(id int, value string, called time.Time, list string, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	operation := porcupine.Operation{
		ClientId: id, Input: value, Call: called.UnixNano(), Return: time.Now().UnixNano(), Output: appendResult{known: true, list: list},
	}
	if err != nil {
		if outcome.Of(err) == outcome.NotRun {
			h.notRun = append(h.notRun, value)
			return
		}
		h.unknown++
		operation.ClientId, operation.Return, operation.Output = 1000+h.unknown, math.MaxInt64, appendResult{}
	}
	h.operations = append(h.operations, operation)
}

// injectFaults injects one fault after another until stop is closed. Each fault is ended before the next.
func injectFaults(c *cluster, random *rand.Rand, nodes []*testNode, stop <-chan struct{}) {
	pause := func(limit time.Duration) { time.Sleep(time.Duration(random.Int64N(int64(limit)))) }
	for {
		select {
		case <-stop:
			return
		default:
		}
		pause(3 * time.Second)
		node := nodes[random.IntN(len(nodes))]
		other := nodes[random.IntN(len(nodes))]
		switch random.IntN(6) {
		case 0:
			c.loseDisk(node)
			c.waitForFullEnsemble()
		case 1:
			c.loseDisk(node)
			if other != node {
				c.loseDisk(other)
			}
			c.waitForFullEnsemble()
		case 2:
			c.network.Pause(node.address)
			c.view.change(node.id, func(member *membership.Member) { member.State = membership.Dead })
			pause(5 * time.Second)
			c.view.change(node.id, func(member *membership.Member) { member.State = membership.Alive })
			c.network.Resume(node.address)
		case 3:
			c.keyValue.set(func() { c.keyValue.down = true })
			c.stop(node)
			pause(5 * time.Second)
			c.start(node)
			c.keyValue.set(func() { c.keyValue.down = false })
		case 4:
			c.network.SetConditions(func(netip.AddrPort, netip.AddrPort) memory.Conditions {
				return memory.Conditions{Delay: linkDelay, Loss: 0.2, Jitter: 50 * time.Millisecond}
			})
			pause(5 * time.Second)
			c.network.SetConditions(normalConditions)
		case 5:
			c.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
				return memory.Conditions{Delay: linkDelay, Cut: from == node.address || to == node.address}
			})
			pause(5 * time.Second)
			c.network.SetConditions(normalConditions)
		}
	}
}

// waitForFullEnsemble waits until the ensemble has four full members again, so that no more than two disks are lost at
// once. It gives up after a minute.
func (c *cluster) waitForFullEnsemble() {
	for range 1200 {
		ensemble, _ := c.nodes[0].manager.directory.ensemble(0)
		for _, node := range c.nodes {
			if known, _ := node.manager.directory.ensemble(0); known.Version > ensemble.Version {
				ensemble = known
			}
		}
		lost := 0
		for _, member := range ensemble.Members {
			for _, node := range c.nodes {
				if member.Joining || (string(node.id) == member.Node && node.store.ID() != member.Store) {
					lost++
				}
			}
		}
		if lost == 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var recorded *history
			synctest.Test(t, func(t *testing.T) { recorded = recordHistory(t, seed) })
			recorded.check(t)
		})
	}
}

// recordHistory runs clients and faults for half a minute of virtual time.
func recordHistory(t *testing.T, seed uint64) *history {
	c := newCluster(t, seed)
	c.ledger.Partitions = 1
	c.timing.SnapshotRecords = 20
	for range 4 {
		c.add(true)
	}
	defer c.stopAll()
	c.put(0, "first")
	recorded := &history{}
	stop := make(chan struct{})
	var running sync.WaitGroup
	nodes := append([]*testNode(nil), c.nodes...)
	for id := range 3 {
		running.Go(func() { recorded.client(c, id, rand.New(rand.NewPCG(seed, uint64(id))), nodes, stop) })
	}
	running.Go(func() { injectFaults(c, rand.New(rand.NewPCG(seed, 100)), nodes, stop) })
	time.Sleep(30 * time.Second)
	close(stop)
	running.Wait()
	c.eventually("a last append", func() bool {
		machine := c.owner(0).register(0)
		called := time.Now()
		value := fmt.Sprint("last-", called.UnixNano())
		list, err := machine.putAndList(t.Context(), value)
		recorded.record(999, value, called, list, err)
		recorded.last = list
		return err == nil
	})
	recorded.operations = append(recorded.operations, porcupine.Operation{Input: "first/1", Call: 0, Return: 1, Output: appendResult{}})
	return recorded
}

// check checks with porcupine that the history is linearizable, and that values refused as not run are not in the log.
func (h *history) check(t *testing.T) {
	t.Logf("%d operations, %d of unknown outcome, %d not run", len(h.operations), h.unknown, len(h.notRun))
	if result, _ := porcupine.CheckOperationsVerbose(listModel, h.operations, time.Minute); result != porcupine.Ok {
		t.Fatalf("history is %v; list %s", result, h.last)
	}
	for _, value := range h.notRun {
		if strings.Contains(h.last+" ", " "+value+" ") {
			t.Fatalf("%s was refused as not run and is in the log", value)
		}
	}
}
