package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/strictyaml"
)

// failure is an invalid setting.
type failure struct {
	field   string
	message string
}

// checker collects failures.
type checker struct {
	failures []failure
}

func (c *checker) require(valid bool, field, format string, arguments ...any) {
	if !valid {
		c.failures = append(c.failures, failure{field, fmt.Sprintf(format, arguments...)})
	}
}

// check returns all settings that are invalid by themselves or in combination with others.
func check(s Settings) []failure {
	checks := &checker{}
	checks.name("node", s.Node)
	checks.name("region", s.Region)
	checks.name("zone", s.Zone)
	if s.Role == RoleNode {
		checks.addresses(s)
		checks.platform(s.Platform)
	} else {
		checks.role(s)
	}
	checks.limits(s.Limits)
	checks.ledger(s.Ledger)
	checks.quota(s.Bounds)
	checks.zones(s.Zones)
	checks.evacuation(s.Bounds)
	checks.coldStarts(s.Bounds)
	_, err := zerolog.ParseLevel(s.LogLevel)
	checks.require(err == nil && s.LogLevel != "", "logLevel",
		"%q is not a level; allowed are trace, debug, info, warn, error", strictyaml.Shorten(s.LogLevel))
	return checks.failures
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func (c *checker) name(field, value string) {
	c.require(namePattern.MatchString(value), field,
		"wants a name of 1 to 63 of a-z, 0-9 and -, not beginning or ending with -, not %q", strictyaml.Shorten(value))
}

func (c *checker) address(field string, value netip.AddrPort) {
	c.require(value.IsValid() && value.Port() != 0, field, "wants an IP number and a port above 0, such as 127.0.0.1:8080")
}

func (c *checker) addresses(s Settings) {
	listenAddresses := []struct {
		field string
		value netip.AddrPort
	}{{"callerAddress", s.CallerAddress}, {"adminAddress", s.AdminAddress}, {"peerAddress", s.PeerAddress}}
	fieldByPort := map[uint16]string{}
	for _, address := range listenAddresses {
		c.address(address.field, address.value)
		if !address.value.IsValid() {
			continue
		}
		other, inUse := fieldByPort[address.value.Port()]
		c.require(!inUse, address.field, "port %d is already the one of %s", address.value.Port(), other)
		fieldByPort[address.value.Port()] = address.field
	}
	c.require(!s.PeerAddress.Addr().IsUnspecified(), "peerAddress",
		"wants the number under which other nodes reach this one, not %s", s.PeerAddress.Addr())
	c.require(!s.AdminAddress.Addr().IsUnspecified(), "adminAddress",
		"wants the number under which this node is reached, not %s", s.AdminAddress.Addr())
	for index, peer := range s.SeedPeers {
		c.address(fmt.Sprintf("seedPeers[%d]", index), peer)
	}
}

// role checks the settings of an edge or a storage node.
func (c *checker) role(s Settings) {
	c.require(s.Role == RoleEdge || s.Role == RoleStorage, "role",
		"%q is not a role; allowed are edge and storage, or none", strictyaml.Shorten(string(s.Role)))
	c.address("peerAddress", s.PeerAddress)
	c.address("adminAddress", s.AdminAddress)
	c.address("platform.metadataStore", s.Platform.MetadataStore)
	if s.Role == RoleEdge {
		c.address("callerAddress", s.CallerAddress)
		c.address("readinessAddress", s.ReadinessAddress)
	}
	if s.Role == RoleStorage {
		c.require(s.DataFolder != "", "dataFolder", "a storage node wants a folder")
	}
	for index, machine := range s.SeedMachines {
		c.address(fmt.Sprintf("seedMachines[%d]", index), machine)
	}
	for index, peer := range s.SeedPeers {
		c.address(fmt.Sprintf("seedPeers[%d]", index), peer)
	}
}

func (c *checker) platform(p Platform) {
	c.require(len(p.KeyValue) > 0, "platform.keyValue", "wants at least one address of the key-value service")
	for index, address := range p.KeyValue {
		c.address(fmt.Sprintf("platform.keyValue[%d]", index), address)
	}
	c.address("platform.machineList", p.MachineList)
	c.address("platform.weightStore", p.WeightStore)
	c.require(p.KeyValueRequestsPerSecond > 0, "platform.keyValueRequestsPerSecond", "wants a number above 0")
}

func (c *checker) limits(l Limits) {
	positive := []struct {
		field string
		value int64
	}{
		{"limits.maxBodyBytes", l.MaxBodyBytes},
		{"limits.maxBatchFileBytes", l.MaxBatchFileBytes},
		{"limits.maxConnections", int64(l.MaxConnections)},
		{"limits.batchConcurrency", int64(l.BatchConcurrency)},
	}
	for _, limit := range positive {
		c.require(limit.value > 0, limit.field, "wants a number above 0, not %d", limit.value)
	}
	c.require(l.MemoryMegabytes >= 0, "limits.memoryMegabytes", "wants 0 for no bound or a number above, not %d", l.MemoryMegabytes)
	c.require(l.FileDescriptors >= 0, "limits.fileDescriptors", "wants 0 for no bound or a number above, not %d", l.FileDescriptors)
	c.require(l.DiskMegabytes >= 0, "limits.diskMegabytes", "wants 0 for no bound or a number above, not %d", l.DiskMegabytes)
	durations := []struct {
		field string
		value time.Duration
	}{
		{"limits.headerTimeout", l.HeaderTimeout},
		{"limits.bodyTimeout", l.BodyTimeout},
		{"limits.drainTimeout", l.DrainTimeout},
	}
	for _, limit := range durations {
		c.require(limit.value >= time.Millisecond, limit.field, "wants at least 1ms, not %s", limit.value)
	}
}

func (c *checker) quota(b Bounds) {
	c.require(b.QuotaWindow > 0, "bounds.quotaWindow", "wants a time above 0, not %s", b.QuotaWindow)
	c.require(b.QuotaTolerance >= 0, "bounds.quotaTolerance", "wants 0 or a number above, not %g", b.QuotaTolerance)
	c.require(b.QuotaSlack >= 0, "bounds.quotaSlack", "wants 0 or a number above, not %g", b.QuotaSlack)
}

func (c *checker) zones(zones []Zone) {
	seen := map[string]bool{}
	for index, zone := range zones {
		field := fmt.Sprintf("zones[%d]", index)
		c.name(field+".name", zone.Name)
		c.name(field+".region", zone.Region)
		c.require(!seen[zone.Name], field+".name", "zone %q stands twice", strictyaml.Shorten(zone.Name))
		seen[zone.Name] = true
	}
}

func (c *checker) evacuation(b Bounds) {
	c.require(b.Evacuate > 0, "bounds.evacuate", "wants a time above 0, not %s", b.Evacuate)
}

func (c *checker) coldStarts(b Bounds) {
	c.require(b.ColdBurst > 0, "bounds.coldBurst", "wants a number above 0, not %g", b.ColdBurst)
	c.require(b.ColdSlack >= 0, "bounds.coldSlack", "wants 0 or a number above, not %g", b.ColdSlack)
}

const (
	maxPartitions = 1 << 16
	maxReplicas   = 16
)

func (c *checker) ledger(l Ledger) {
	powerOfTwo := l.Partitions > 0 && l.Partitions&(l.Partitions-1) == 0
	c.require(powerOfTwo && l.Partitions <= maxPartitions, "ledger.partitions",
		"wants a power of two up to %d, not %d", maxPartitions, l.Partitions)
	c.require(l.SurvivesMachines >= 0, "ledger.survivesMachines", "wants 0 or a number above, not %d", l.SurvivesMachines)
	c.require(l.SurvivesZones >= 0, "ledger.survivesZones", "wants 0 or a number above, not %d", l.SurvivesZones)
	c.require(l.Replicas >= 1 && l.Replicas <= maxReplicas, "ledger.replicas", "wants 1 to %d, not %d", maxReplicas, l.Replicas)
	c.require(l.WriteQuorum > l.Replicas/2 && l.WriteQuorum <= l.Replicas, "ledger.writeQuorum",
		"wants more than half of the %d replicas and no more than all, not %d", l.Replicas, l.WriteQuorum)
}
