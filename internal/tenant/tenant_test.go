package tenant

import (
	"fmt"
	"testing"
)

func TestKeysAreFound(t *testing.T) {
	directory := NewDirectory([]Declaration{
		{Tenant{Name: "one", Limit: Limit{RequestsPerSecond: 5, Burst: 2}}, []string{"k1", "k2"}},
		{Tenant{Name: "two"}, []string{"k3", "k1", ""}},
	})
	for key, want := range map[string]string{"k1": "one", "k2": "one", "k3": "two", "": "", "K1": "", "k": ""} {
		name := ""
		if found := directory.ByKey(key); found != nil {
			name = found.Name
		}
		if name != want {
			t.Errorf("key %q belongs to %q, want %q", key, name, want)
		}
	}
	if directory.ByKey("k1").Limit.Unlimited() || !directory.ByKey("k3").Limit.Unlimited() {
		t.Error("a limit was assigned to the wrong tenant")
	}
}

func BenchmarkByKey(b *testing.B) {
	for _, count := range []int{200, 30_000} {
		declared := make([]Declaration, count)
		for index := range declared {
			declared[index] = Declaration{Tenant{Name: fmt.Sprint(index)}, []string{fmt.Sprintf("key-%020d", index)}}
		}
		directory := NewDirectory(declared)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				if directory.ByKey("key-00000000000000000150") == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}
