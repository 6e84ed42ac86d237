package platform

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestOnePurposeLeavesRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 20
		limiter := newCallLimiter(perSecond)
		for range 100 {
			if err := limiter.wait(t.Context(), purposeOf("/sloelift/config/head")); err != nil {
				t.Fatal(err)
			}
		}
		before := time.Now()
		if err := limiter.wait(t.Context(), purposeOf("/sloelift/ledger/partitions/1")); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(before); waited != 0 {
			t.Errorf("a call for the ledger waited %s for those for the configuration", waited)
		}
	})
}

func TestPurposeOf(t *testing.T) {
	for key, want := range map[string]string{
		"/sloelift/config/objects/Tenant/a": "sloelift/config", "/sloelift/ledger/": "sloelift/ledger", "/a": "a", "": "",
	} {
		if got := purposeOf(key); got != want {
			t.Errorf("purpose of %q is %q, want %q", key, got, want)
		}
	}
}
