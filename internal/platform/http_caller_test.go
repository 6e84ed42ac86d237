package platform_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/joomcode/errorx"
	"go.uber.org/goleak"

	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestErrorKinds prints, for each answer of the gateway, the error kinds that a read and a change return.
func TestErrorKinds(t *testing.T) {
	datadriven.RunTest(t, "testdata/error_kinds", func(t *testing.T, data *datadriven.TestData) string {
		var status int
		data.ScanArgs(t, "status", &status)
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			if status == 0 {
				panic(http.ErrAbortHandler)
			}
			writer.WriteHeader(status)
			_, _ = fmt.Fprint(writer, data.Input)
		}))
		defer server.Close()
		return kindsOf(t, addressOf(server.Listener))
	})
}

func TestNextAddressIsTriedAfterARefusedConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(writer, `{"header":{"revision":"3"},"succeeded":true}`)
	}))
	defer server.Close()
	adapter := platform.NewKeyValueHTTP(network.System{}, []netip.AddrPort{closedAddress(t), addressOf(server.Listener)}, 0)
	defer adapter.Close()
	result, err := adapter.Commit(t.Context(), platform.Transaction{})
	if err != nil || !result.Committed || result.Revision != 3 {
		t.Errorf("got %+v, %v", result, err)
	}
}

func TestNoConnectionIsUnavailable(t *testing.T) {
	const want = "read: platform.unavailable\nchange: platform.unavailable\n"
	if got := kindsOf(t, closedAddress(t)); got != want {
		t.Errorf("got %s", got)
	}
}

func kindsOf(t *testing.T, address netip.AddrPort) string {
	adapter := platform.NewKeyValueHTTP(network.System{}, []netip.AddrPort{address}, 0)
	defer adapter.Close()
	_, readError := adapter.Get(t.Context(), "/a")
	_, changeError := adapter.Commit(t.Context(), platform.Transaction{})
	return fmt.Sprintf("read: %s\nchange: %s\n", kindName(readError), kindName(changeError))
}

func kindName(err error) string {
	if err == nil {
		return "none"
	}
	return errorx.Cast(err).Type().FullName()
}

func addressOf(listener net.Listener) netip.AddrPort {
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// closedAddress returns an address on which nothing listens any more.
func closedAddress(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return addressOf(listener)
}
