package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	port "github.com/sloelift/sloelift/internal/platform"
)

// Options of a Server.
type Options struct {
	// Seed determines which responses are lost.
	Seed uint64
	// Zones get an address each, by which faults tell the callers of different zones apart.
	// AnyZone always has an address as well.
	Zones []string
	// ListenAddresses holds the addresses by zone; the default is a free port on 127.0.0.1.
	ListenAddresses map[string]netip.AddrPort
	// ControlAddress is the address of the control port; the zero value is a free port on 127.0.0.1.
	ControlAddress netip.AddrPort
	// Machines is the initial machine list; later changes become visible after MachineListLag.
	Machines       []port.Machine
	MachineListLag time.Duration
	Weights        []port.Weights
	// FetchesPerSecond limits reservations at the weight store; 0 means no limit.
	FetchesPerSecond float64
}

// Server simulates the whole platform. It can be used in process through KeyValue,
// MachineList and WeightStore, and over HTTP between Start and Stop.
type Server struct {
	options  Options
	faults   *Faults
	counters *counters
	store    *store
	machines *Machines
	weights  *weights

	addresses map[string]netip.AddrPort
	control   netip.AddrPort
	servers   []*http.Server
	serving   sync.WaitGroup
}

// NewServer returns a Server that is not listening yet.
func NewServer(options Options) *Server {
	return &Server{
		options:   options,
		faults:    newFaults(options.Seed),
		counters:  newCounters(),
		store:     newStore(),
		machines:  newMachines(options.MachineListLag, options.Machines),
		weights:   newWeights(options.Weights, options.FetchesPerSecond),
		addresses: make(map[string]netip.AddrPort),
	}
}

// Faults returns the server's faults, to set and clear them.
func (s *Server) Faults() *Faults { return s.faults }

// Machines returns the machine list, to change it.
func (s *Server) Machines() *Machines { return s.machines }

// Counters returns the number of calls so far.
func (s *Server) Counters() map[Operation]OperationCount { return s.counters.snapshot() }

// Compact discards the key-value history up to and including revision.
func (s *Server) Compact(revision int64) { s.store.compact(revision) }

// KeyValue returns the in-process key-value service for the callers of zone.
func (s *Server) KeyValue(zone string) port.KeyValue { return &client{server: s, zone: zone} }

// MachineList returns the in-process machine list for the callers of zone.
func (s *Server) MachineList(zone string) port.MachineList {
	return &machineClient{server: s, zone: zone}
}

// WeightStore returns the in-process weight store for the callers of zone.
func (s *Server) WeightStore(zone string) port.WeightStore {
	return &weightClient{server: s, zone: zone}
}

// Address returns the address of all three services for the callers of zone; valid after Start.
func (s *Server) Address(zone string) netip.AddrPort { return s.addresses[zone] }

// ControlAddress returns the address of the control port; valid after Start.
func (s *Server) ControlAddress() netip.AddrPort { return s.control }

// Start listens on all addresses and serves until Stop.
func (s *Server) Start() error {
	for _, zone := range append([]string{AnyZone}, s.options.Zones...) {
		address, err := s.serve(s.options.ListenAddresses[zone], s.zoneHandler(zone))
		if err != nil {
			s.Stop()
			return fmt.Errorf("zone %q: %w", zone, err)
		}
		s.addresses[zone] = address
	}
	address, err := s.serve(s.options.ControlAddress, s.controlHandler())
	if err != nil {
		s.Stop()
		return fmt.Errorf("control port: %w", err)
	}
	s.control = address
	return nil
}

// anyLoopback is a free port on 127.0.0.1.
var anyLoopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

func (s *Server) serve(address netip.AddrPort, handler http.Handler) (netip.AddrPort, error) {
	if !address.IsValid() {
		address = anyLoopback
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, server)
	s.serving.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err) // Serve must not fail before Stop.
		}
	})
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Stop closes all connections and stops the leases' timers.
func (s *Server) Stop() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.serving.Wait()
	s.servers = nil
	s.store.stop()
}

// Run starts the server and stops it when ctx ends.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	s.Stop()
	return nil
}
