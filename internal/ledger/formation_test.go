package ledger

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"
	"go.uber.org/fx/fxtest"

	"github.com/sloelift/sloelift/internal/settings"
)

func TestOtherNumberOfPartitionsIsLoggedOnce(t *testing.T) {
	for name, down := range map[string]bool{"from the key-value service": false, "from other nodes": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 6)
				for range 4 {
					c.add(true)
				}
				defer c.stopAll()
				c.put(0, "a")
				const event = "ledger_setting_differs"
				if log := c.log.tail(math.MaxInt); strings.Contains(log, event) {
					t.Fatal("logged by nodes whose settings are the ledger's")
				}
				c.keyValue.set(func() { c.keyValue.down = down })
				c.ledger.Partitions = 8
				newcomer := c.add(false)
				c.eventually("the newcomer logs the difference", func() bool {
					return strings.Contains(c.log.tail(math.MaxInt), fmt.Sprintf("%s node=%s partitions=2 setting=8 ", event, newcomer.id))
				})
				if !newcomer.manager.directory.complete() {
					t.Fatal("logged before the directory is complete")
				}
				if count := strings.Count(c.log.tail(math.MaxInt), event); count != 1 {
					t.Fatalf("logged %d times", count)
				}
			})
		})
	}
}

func TestDataFolderInUseIsNamed(t *testing.T) {
	node := settings.Settings{DataFolder: t.TempDir()}
	lifecycle := fxtest.NewLifecycle(t)
	if _, err := NewDisk(lifecycle, node, zerolog.Nop()); err != nil {
		t.Fatal(err)
	}
	defer lifecycle.RequireStart().RequireStop()
	if _, err := NewDisk(lifecycle, node, zerolog.Nop()); err == nil || !strings.Contains(err.Error(), node.DataFolder) {
		t.Fatalf("second opening: %v", err)
	}
}

// TestNodeWithoutStoreAsksItsPeers checks that a node without a store, which owns nothing, learns the ensembles from its
// peers and makes no call to the key-value service.
func TestNodeWithoutStoreAsksItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newStorageCluster(t, 26)
		defer c.stopAll()
		c.put(0, "a")
		c.keyValue.set(func() { c.keyValue.calls = 0 })
		newcomer := c.add(false)
		c.eventually("the newcomer knows the ensembles", newcomer.manager.directory.complete)
		c.keyValue.set(func() {
			if c.keyValue.calls > 0 {
				t.Errorf("%d calls of the key-value service", c.keyValue.calls)
			}
		})
	})
}
