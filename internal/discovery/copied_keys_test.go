package discovery

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/tenant"
)

// keyedTranslator decodes configurations of the form "version key key ...", with the API keys that are allowed.
type keyedTranslator struct{ plainTranslator }

func (t keyedTranslator) Table(value []byte) (*route.Table, error) {
	version, keys, _ := strings.Cut(string(value), " ")
	table, err := t.plainTranslator.Table([]byte(version))
	if err == nil {
		table.Tenants = tenant.NewDirectory([]tenant.Declaration{
			{Tenant: tenant.Tenant{Name: "office"}, APIKeys: strings.Fields(keys)},
		})
	}
	return table, err
}

// TestRevokedKeyOfACopy checks that an API key in a copy is valid until a newer configuration, from another copy or the store, revokes it,
// and that a late older copy does not make it valid again.
func TestRevokedKeyOfACopy(t *testing.T) {
	for _, test := range []struct {
		name   string
		revoke func(store *scriptedStore, copies suppliedCopies)
	}{
		{"by a newer copy", func(_ *scriptedStore, copies suppliedCopies) { copies["op/"](copyOf(2, "op/config", "4 kept")) }},
		{"by the store", func(store *scriptedStore, _ suppliedCopies) {
			store.put("op/config", "4 kept")
			store.set(func() { store.down = false })
			time.Sleep(2 * time.Second)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, copies := newScriptedStore(), suppliedCopies{}
				store.down = true
				routes := route.NewHolder()
				service := New(Options{
					Store: store, Translator: keyedTranslator{}, Routes: routes, Directory: replica.NewDirectory(),
					Viewer: &fixedViewer{}, Reporter: &revisionRecorder{}, Copies: copies, Logger: zerolog.Nop(),
				})
				service.Start()
				allowed := func(key string) bool {
					_, allowed := routes.Table().Authenticate(&route.Route{}, key)
					return allowed
				}
				copies["op/"](copyOf(1, "op/config", "3 kept revoked"))
				if !allowed("kept") || !allowed("revoked") {
					t.Error("API keys of the copy are refused")
				}
				test.revoke(store, copies)
				copies["op/"](copyOf(1, "op/config", "3 kept revoked"))
				if !allowed("kept") || allowed("revoked") {
					t.Error("API keys are not those of the newer configuration")
				}
				service.Stop()
			})
		})
	}
}
