package snapshotcache

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/membership"
)

// powerLoss is a cluster of storage nodes and edges in which all nodes have lost power.
type powerLoss struct {
	*cluster
	folders []string
	stores  int
	edges   int
}

// losePower runs stores and edges with a service at revision, and then stops all of them.
func losePower(t *testing.T, stores, edges int, revision int64) *powerLoss {
	system := &powerLoss{cluster: newCluster(t), stores: stores, edges: edges}
	store := serviceAt(revision)
	var members []membership.Member
	for number := 1; number <= stores+edges; number++ {
		members = append(members, memberOf(number, number <= stores))
	}
	for number := 1; number <= stores+edges; number++ {
		options := nodeOptions{store: store, members: members[:number-1]}
		options.members = append(options.members[:number-1:number-1], members[number:]...)
		if number <= stores {
			options.folder = t.TempDir()
			system.folders = append(system.folders, options.folder)
		}
		system.start(number, options)
	}
	time.Sleep(2 * saveInterval)
	system.stop()
	return system
}

// restart starts all nodes while the service is silent. They know other nodes only from their disks.
func (p *powerLoss) restart() (edges []*node) {
	for number := 1; number <= p.stores+p.edges; number++ {
		options := nodeOptions{store: silentService()}
		if number <= p.stores {
			options.folder = p.folders[number-1]
			p.start(number, options)
			continue
		}
		edges = append(edges, p.start(number, options))
	}
	return edges
}

// TestLossOfAllPower: after a power loss only the disks of storage nodes have copies. Storage nodes offer them to the edges, which know no
// other node.
func TestLossOfAllPower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := losePower(t, 5, 12, 7)
		edges := system.restart()
		time.Sleep(soon + offerInterval)
		for _, edge := range edges {
			edge.wantCopies(7)
			if _, _, held := edge.state(); held[prefix+"a"] != "revision 7" {
				t.Errorf("%s holds %v", edge.address, held)
			}
			if len(edge.joined) == 0 {
				t.Errorf("%s knows no node to join", edge.address)
			}
		}
		system.stop()
	})
}

// TestLossOfAllPowerAndTwoDisks: two of the disks are empty after the restart; every edge still has an offerer.
func TestLossOfAllPowerAndTwoDisks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := losePower(t, 5, 12, 7)
		for _, folder := range system.folders[:2] {
			if err := os.RemoveAll(filepath.Join(folder, fileFolder)); err != nil {
				t.Fatal(err)
			}
		}
		edges := system.restart()
		time.Sleep(soon + 2*offerInterval)
		for _, restarted := range append(edges, system.nodes[0], system.nodes[1]) {
			restarted.wantCopies(7)
		}
		system.stop()
	})
}

// TestDamagedFileIsNotTaken: a file that is truncated or modified is not used.
func TestDamagedFileIsNotTaken(t *testing.T) {
	for _, test := range []struct {
		name   string
		damage func(held []byte) []byte
	}{
		{"torn", func(held []byte) []byte { return held[:len(held)/2] }},
		{"empty", func([]byte) []byte { return nil }},
		{"changed", func(held []byte) []byte {
			held[len(held)-1] ^= 1
			return held
		}},
		{"checksum of nothing", func(held []byte) []byte { return held[:checksumBytes] }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				system := losePower(t, 1, 0, 7)
				path := newFile(system.folders[0]).path()
				held, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, test.damage(held), fileMode); err != nil {
					t.Fatal(err)
				}
				system.restart()
				time.Sleep(soon)
				system.nodes[0].wantCopies()
				system.stop()
			})
		})
	}
}

// TestOwnFileIsTaken: a single storage node uses its own file, and an older copy of another node does not replace it.
func TestOwnFileIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := losePower(t, 1, 0, 7)
		older := system.start(9, nodeOptions{store: serviceAt(4)})
		time.Sleep(soon)
		late := system.start(1, nodeOptions{store: silentService(), folder: system.folders[0], seeds: []netip.AddrPort{older.address}})
		time.Sleep(5 * time.Second)
		late.wantCopies(7)
		system.stop()
	})
}

// TestFileIsWrittenSeldom: many changes within one second are written once.
func TestFileIsWrittenSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		store := serviceAt(5)
		folder := t.TempDir()
		c.start(1, nodeOptions{store: store, folder: folder})
		time.Sleep(2 * saveInterval)
		before := modified(t, folder)
		for index := range 10 {
			store.put(prefix+"a", fmt.Sprint("change ", index))
			synctest.Wait()
		}
		saved, err := newFile(folder).load()
		if err != nil || saved.Copies[0].Revision == store.revision {
			t.Errorf("revision %d saved before saveInterval has passed (%v)", saved.Copies[0].Revision, err)
		}
		time.Sleep(2 * saveInterval)
		if saved, err = newFile(folder).load(); err != nil || saved.Copies[0].Revision != store.revision {
			t.Errorf("revision %d saved (%v), want %d", saved.Copies[0].Revision, err, store.revision)
		}
		if after := modified(t, folder); after == before {
			t.Error("not written")
		}
		c.stop()
	})
}

func modified(t *testing.T, folder string) int64 {
	t.Helper()
	info, err := os.Stat(newFile(folder).path())
	if err != nil {
		t.Fatal(err)
	}
	return info.ModTime().UnixNano()
}

// TestOffersWhileServiceIsAway: while the service is down, running nodes offer copies to starting nodes that know no other node.
func TestOffersWhileServiceIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		edge := memberOf(9, false)
		holder := c.start(1, nodeOptions{store: serviceAt(5), folder: t.TempDir(), members: []membership.Member{edge}})
		time.Sleep(soon)
		late := c.start(9, nodeOptions{store: silentService()})
		time.Sleep(5 * time.Second)
		late.wantCopies()
		holder.mutex.Lock()
		holder.unheard = true
		holder.mutex.Unlock()
		time.Sleep(offerInterval + soon)
		late.wantCopies(5)
		c.stop()
	})
}

// TestEachNodeHasSeveralOfferers: for random sets of nodes, each node has offerersPerNode offerers, or all other storage nodes if there are
// fewer.
func TestEachNodeHasSeveralOfferers(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	for range 50 {
		var machines []machine
		stores := 0
		for number := range 1 + random.IntN(60) {
			member := memberOf(number, random.IntN(3) == 0)
			machines = append(machines, machine{id: member.ID, address: member.PeerAddress, store: member.Store})
			if member.Store {
				stores++
			}
		}
		offered := map[netip.AddrPort]int{}
		for _, offerer := range machines {
			if !offerer.store {
				continue
			}
			for _, address := range targetsOf(offerer.id, machines) {
				offered[address]++
			}
		}
		for _, target := range machines {
			others := stores
			if target.store {
				others--
			}
			if got := offered[target.address]; got != min(offerersPerNode, others) {
				t.Errorf("%s has %d offerers of %d", target.id, got, others)
			}
		}
	}
}

// TestTooLargeFileIsNotWritten: content over the size limit is refused and the previous file stays.
func TestTooLargeFileIsNotWritten(t *testing.T) {
	held := newFile(t.TempDir())
	if err := held.save([]byte{}); err != nil {
		t.Fatal(err)
	}
	if err := held.save(make([]byte, maxFileBytes+1)); err == nil {
		t.Error("written although over the size limit")
	}
	if _, err := held.load(); err != nil {
		t.Errorf("the previous file is gone: %v", err)
	}
}
