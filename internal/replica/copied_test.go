package replica

import (
	"testing"
	"time"
)

// TestMisdirectedReplicaOfCopyIsGone checks that a replica known only from a copy is not used once another service answers at its
// address: not after the next copy either, only after the key-value service names it. A replica that the key-value service named is
// avoided only for a while.
func TestMisdirectedReplicaOfCopyIsGone(t *testing.T) {
	known := []Info{{ID: "a", Service: "s", Slots: 2}, {ID: "b", Service: "s", Slots: 3}}
	directory := NewDirectory()
	directory.ReplaceByCopy(known)
	if !directory.Loaded() {
		t.Error("directory is not loaded after a copy")
	}
	moved := directory.View().Find("a")
	moved.NoteMisdirected(time.Now())
	directory.ReplaceByCopy(known)
	if moved.Usable() || directory.View().Slots("s") != 3 {
		t.Errorf("misdirected replica is used again after the next copy; %d slots, want 3", directory.View().Slots("s"))
	}
	directory.Replace(known)
	if !moved.Usable() {
		t.Error("replica is not usable though the key-value service names it")
	}
	moved.NoteMisdirected(time.Now())
	if !moved.Usable() || !moved.Avoided(time.Now()) {
		t.Error("misdirected replica that the key-value service names is not usable or not avoided")
	}
}
