package settings

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sloelift/sloelift/internal/region"
)

// Role says which part of the system a process runs.
type Role string

// Roles of a process.
const (
	// RoleNode runs the whole system: callers' and operators' interfaces, batch jobs and the ledger.
	RoleNode Role = ""
	// RoleEdge takes requests that are passed on unchanged.
	RoleEdge Role = "edge"
	// RoleStorage keeps the ledger's records and runs batch jobs.
	RoleStorage Role = "storage"
)

// Settings of one node process.
type Settings struct {
	// Node names this node; it stays the same across restarts.
	Node   string `yaml:"node"`
	Role   Role   `yaml:"role"`
	Region string `yaml:"region"`
	Zone   string `yaml:"zone"`
	// CallerAddress serves callers, AdminAddress operators, PeerAddress other nodes.
	CallerAddress netip.AddrPort `yaml:"callerAddress"`
	AdminAddress  netip.AddrPort `yaml:"adminAddress"`
	PeerAddress   netip.AddrPort `yaml:"peerAddress"`
	// ReadinessAddress tells whether an edge takes new connections.
	ReadinessAddress netip.AddrPort `yaml:"readinessAddress"`
	// DataFolder is empty on a node that keeps nothing.
	DataFolder string   `yaml:"dataFolder"`
	Platform   Platform `yaml:"platform"`
	Limits     Limits   `yaml:"limits"`
	Ledger     Ledger   `yaml:"ledger"`
	Bounds     Bounds   `yaml:"bounds"`
	LogLevel   string   `yaml:"logLevel"`
	// Zones are the zones of the deployment with their regions; none where all are one region.
	Zones []Zone `yaml:"zones"`
	// SeedPeers are peer addresses to join through when the platform is down.
	SeedPeers []netip.AddrPort `yaml:"seedPeers"`
	// SeedMachines are addresses of some machines, at any of their ports, whose nodes take messages of other nodes at the port that this one
	// uses, as on a platform with the same ports on all machines.
	SeedMachines []netip.AddrPort `yaml:"seedMachines"`
}

// Seeds returns the peer addresses to join through: those that are named and those of SeedMachines, without this node's own.
func (s Settings) Seeds() []netip.AddrPort {
	seeds := slices.Clone(s.SeedPeers)
	for _, machine := range s.SeedMachines {
		address := netip.AddrPortFrom(machine.Addr(), s.PeerAddress.Port())
		if address != s.PeerAddress {
			seeds = append(seeds, address)
		}
	}
	return seeds
}

// Zone is a zone of the deployment.
type Zone struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
}

// Topology returns the regions of the zones.
func (s Settings) Topology() region.Topology {
	regionOf := make(map[string]string, len(s.Zones)+1)
	regionOf[s.Zone] = s.Region
	for _, zone := range s.Zones {
		regionOf[zone.Name] = zone.Region
	}
	return region.NewTopology(regionOf)
}

// Platform holds the addresses of what the platform gives.
type Platform struct {
	KeyValue    []netip.AddrPort `yaml:"keyValue"`
	MachineList netip.AddrPort   `yaml:"machineList"`
	WeightStore netip.AddrPort   `yaml:"weightStore"`
	// MetadataStore is the key-value service of edges and storage nodes.
	MetadataStore netip.AddrPort `yaml:"metadataStore"`
	// KeyValueRequestsPerSecond bounds this node's own calls.
	KeyValueRequestsPerSecond float64 `yaml:"keyValueRequestsPerSecond"`
}

// Limits bound what one node holds.
type Limits struct {
	MaxBodyBytes      int64         `yaml:"maxBodyBytes"`
	MaxBatchFileBytes int64         `yaml:"maxBatchFileBytes"`
	HeaderTimeout     time.Duration `yaml:"headerTimeout"`
	BodyTimeout       time.Duration `yaml:"bodyTimeout"`
	MaxConnections    int           `yaml:"maxConnections"`
	// DrainTimeout bounds how long a planned stop waits for streams.
	DrainTimeout time.Duration `yaml:"drainTimeout"`
	// BatchConcurrency bounds batch items in flight from this node.
	BatchConcurrency int `yaml:"batchConcurrency"`
	// MemoryMegabytes is what the process may use; 0 is no bound.
	MemoryMegabytes int `yaml:"memoryMegabytes"`
	// DiskMegabytes is the size of the data folder's disk; 0 is no bound.
	DiskMegabytes int `yaml:"diskMegabytes"`
	// FileDescriptors is what the process may have open, connections among them; 0 is no bound.
	FileDescriptors int `yaml:"fileDescriptors"`
}

// Bounds are the times within which the operators expect the system to act. A bound of 0 is unknown.
type Bounds struct {
	// Contact is how long a machine is undisturbed before it is held to the other bounds.
	Contact time.Duration `yaml:"contact"`
	// Grace is the time from the signal to stop to the end of the process.
	Grace time.Duration `yaml:"grace"`
	// Cancel is the time from an acknowledged cancel to the last start of an item of that job.
	Cancel time.Duration `yaml:"cancel"`
	// Sync is the time in which a storage node that came back holds all its copies again.
	Sync time.Duration `yaml:"sync"`
	// Poll is how long results stay readable.
	Poll time.Duration `yaml:"poll"`
	// QuotaWindow is the length of the spans over which tenants' limits are judged. In any of them a tenant's requests may exceed its
	// limit by QuotaTolerance, as a part of the limit, and QuotaSlack requests.
	QuotaWindow    time.Duration `yaml:"quotaWindow"`
	QuotaTolerance float64       `yaml:"quotaTolerance"`
	QuotaSlack     float64       `yaml:"quotaSlack"`
	// Evacuate is the time from an operator's request to evacuate a zone to the last request that reaches its replicas.
	Evacuate time.Duration `yaml:"evacuate"`
	// ColdBurst and ColdSlack bound what a cold replica gets in any second from all nodes together: the requests a second that its service
	// declares for cold replicas, times ColdBurst, and ColdSlack requests.
	ColdBurst float64 `yaml:"coldBurst"`
	ColdSlack float64 `yaml:"coldSlack"`
}

// Ledger holds the ledger's numbers. They are written to the key-value service at the first start of the system and
// then hold for all nodes; a node whose Partitions differ logs it at its start.
type Ledger struct {
	Partitions  int `yaml:"partitions"`
	Replicas    int `yaml:"replicas"`
	WriteQuorum int `yaml:"writeQuorum"`
	// OwnersOnStores has only nodes with a data folder own partitions.
	OwnersOnStores bool `yaml:"ownersOnStores"`
	// MembersDecide has the members of an ensemble decide on the next one, so that a lost disk is replaced also while the key-value
	// service is down. A write quorum of members must be left for it, which 2n+1 copies have after n losses.
	MembersDecide bool `yaml:"membersDecide"`
	// SurvivesMachines and SurvivesZones are how many storage machines, or zones, may be lost at once. Where one of them is
	// above 0, Replicas and WriteQuorum are the fewest that survive it.
	SurvivesMachines int `yaml:"survivesMachines"`
	SurvivesZones    int `yaml:"survivesZones"`
}

// derive sets the numbers that follow from the losses to survive: with 2n+1 copies, of which n+1 are synced before a record is
// acknowledged, n lost disks leave a copy, and n lost machines leave a quorum.
func (l *Ledger) derive() {
	losses := max(l.SurvivesMachines, l.SurvivesZones)
	if losses > 0 {
		l.Replicas, l.WriteQuorum = 2*losses+1, losses+1
	}
}

// Defaults returns Settings with every default filled in.
func Defaults() Settings {
	return Settings{
		LogLevel: "info",
		Platform: Platform{KeyValueRequestsPerSecond: 20},
		Limits: Limits{
			MaxBodyBytes:      4 << 20,
			MaxBatchFileBytes: 512 << 20,
			HeaderTimeout:     5 * time.Second,
			BodyTimeout:       30 * time.Second,
			MaxConnections:    8192,
			DrainTimeout:      5 * time.Minute,
			BatchConcurrency:  256,
		},
		Ledger: Ledger{Partitions: 16, Replicas: 4, WriteQuorum: 3},
		// The quotas' values are those of the first deployment with tenants. ColdBurst 1 and no slack is what a service declares, and no more.
		Bounds: Bounds{QuotaWindow: 5 * time.Second, QuotaTolerance: 0.1, QuotaSlack: 20, Evacuate: 5 * time.Second, ColdBurst: 1},
	}
}
