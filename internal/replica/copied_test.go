package replica

import (
	"testing"
	"time"
)

// TestMisdirectedReplicaOfCopyIsGone: where another service answers at the address of a replica that only a copy names, the replica gets
// nothing more, also by the next copy, until the key-value service names it. One that the service named is avoided for a moment only.
func TestMisdirectedReplicaOfCopyIsGone(t *testing.T) {
	known := []Info{{ID: "a", Service: "s", Slots: 2}, {ID: "b", Service: "s", Slots: 3}}
	directory := NewDirectory()
	directory.ReplaceByCopy(known)
	if !directory.Loaded() {
		t.Error("a copy does not count as content")
	}
	moved := directory.View().Find("a")
	moved.Misdirected(time.Now())
	directory.ReplaceByCopy(known)
	if moved.Usable() || directory.View().Slots("s") != 3 {
		t.Errorf("used again by the next copy; %d slots", directory.View().Slots("s"))
	}
	directory.Replace(known)
	if !moved.Usable() {
		t.Error("not used though the key-value service names it")
	}
	moved.Misdirected(time.Now())
	if !moved.Usable() || !moved.Avoided(time.Now()) {
		t.Error("a replica that the key-value service names is not just avoided")
	}
}
