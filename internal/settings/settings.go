package settings

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sloelift/sloelift/internal/region"
)

// Role is the part of the system that a process runs.
type Role string

// Roles of a process.
const (
	// RoleNode runs the whole system: callers' and operators' interfaces, batch jobs and the ledger.
	RoleNode Role = ""
	// RoleEdge accepts requests of callers and forwards them unchanged.
	RoleEdge Role = "edge"
	// RoleStorage stores the ledger's records and runs batch jobs.
	RoleStorage Role = "storage"
)

// Settings of one node process.
type Settings struct {
	// Node is the name of this node; it stays the same across restarts.
	Node   string `yaml:"node"`
	Role   Role   `yaml:"role"`
	Region string `yaml:"region"`
	Zone   string `yaml:"zone"`
	// CallerAddress is the listen address for callers, AdminAddress for operators, PeerAddress for other nodes.
	CallerAddress netip.AddrPort `yaml:"callerAddress"`
	AdminAddress  netip.AddrPort `yaml:"adminAddress"`
	PeerAddress   netip.AddrPort `yaml:"peerAddress"`
	// ReadinessAddress is the address at which an edge reports whether it accepts new connections.
	ReadinessAddress netip.AddrPort `yaml:"readinessAddress"`
	// DataFolder is empty on a node without persistent storage.
	DataFolder string   `yaml:"dataFolder"`
	Platform   Platform `yaml:"platform"`
	Limits     Limits   `yaml:"limits"`
	Ledger     Ledger   `yaml:"ledger"`
	Bounds     Bounds   `yaml:"bounds"`
	LogLevel   string   `yaml:"logLevel"`
	// Zones are the zones of the deployment with their regions; empty if all zones are in one region.
	Zones []Zone `yaml:"zones"`
	// SeedPeers are peer addresses through which to join the cluster when the platform is down.
	SeedPeers []netip.AddrPort `yaml:"seedPeers"`
	// SeedMachines are addresses of some machines, with any port. Their nodes are expected to use the same peer port as this node, as on a
	// platform with the same ports on all machines.
	SeedMachines []netip.AddrPort `yaml:"seedMachines"`
}

// Seeds returns the peer addresses through which to join the cluster: SeedPeers and the peer addresses of SeedMachines, without the own one.
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

// Topology returns the regions of the zones, including the zone of this node.
func (s Settings) Topology() region.Topology {
	regionOf := make(map[string]string, len(s.Zones)+1)
	regionOf[s.Zone] = s.Region
	for _, zone := range s.Zones {
		regionOf[zone.Name] = zone.Region
	}
	return region.NewTopology(regionOf)
}

// Platform contains the addresses of the platform's services.
type Platform struct {
	KeyValue    []netip.AddrPort `yaml:"keyValue"`
	MachineList netip.AddrPort   `yaml:"machineList"`
	WeightStore netip.AddrPort   `yaml:"weightStore"`
	// MetadataStore is the key-value service of edges and storage nodes.
	MetadataStore netip.AddrPort `yaml:"metadataStore"`
	// KeyValueRequestsPerSecond limits the calls of this node to the key-value service.
	KeyValueRequestsPerSecond float64 `yaml:"keyValueRequestsPerSecond"`
}

// Limits are the resource limits of one node.
type Limits struct {
	MaxBodyBytes      int64         `yaml:"maxBodyBytes"`
	MaxBatchFileBytes int64         `yaml:"maxBatchFileBytes"`
	HeaderTimeout     time.Duration `yaml:"headerTimeout"`
	BodyTimeout       time.Duration `yaml:"bodyTimeout"`
	MaxConnections    int           `yaml:"maxConnections"`
	// DrainTimeout limits how long a planned stop waits for streams.
	DrainTimeout time.Duration `yaml:"drainTimeout"`
	// BatchConcurrency limits the batch items in flight from this node.
	BatchConcurrency int `yaml:"batchConcurrency"`
	// MemoryMegabytes is the memory that the process may use; 0 means no limit.
	MemoryMegabytes int `yaml:"memoryMegabytes"`
	// DiskMegabytes is the size of the data folder's disk; 0 means no limit.
	DiskMegabytes int `yaml:"diskMegabytes"`
	// FileDescriptors is the number of open file descriptors, including connections, that the process may have; 0 means no limit.
	FileDescriptors int `yaml:"fileDescriptors"`
}

// Bounds are the service levels that the operators expect of the system. A bound of 0 is unknown.
type Bounds struct {
	// Contact is how long a machine must be undisturbed before the other bounds apply to it.
	Contact time.Duration `yaml:"contact"`
	// Grace is the maximum time from the stop signal to the end of the process.
	Grace time.Duration `yaml:"grace"`
	// Cancel is the maximum time from an acknowledged cancel to the last start of an item of that job.
	Cancel time.Duration `yaml:"cancel"`
	// Sync is the maximum time until a restarted storage node has all its copies again.
	Sync time.Duration `yaml:"sync"`
	// Poll is how long results stay readable.
	Poll time.Duration `yaml:"poll"`
	// QuotaWindow is the length of the window over which tenants' limits are enforced. In any window, the requests of a tenant may exceed its
	// limit by QuotaTolerance, as a fraction of the limit, plus QuotaSlack requests.
	QuotaWindow    time.Duration `yaml:"quotaWindow"`
	QuotaTolerance float64       `yaml:"quotaTolerance"`
	QuotaSlack     float64       `yaml:"quotaSlack"`
	// Evacuate is the maximum time from an operator's request to evacuate a zone to the last request that reaches its replicas.
	Evacuate time.Duration `yaml:"evacuate"`
	// ColdBurst and ColdSlack limit the requests that a cold replica gets in any second from all nodes together: ColdBurst times the requests
	// per second that its service declares for cold replicas, plus ColdSlack requests.
	ColdBurst float64 `yaml:"coldBurst"`
	ColdSlack float64 `yaml:"coldSlack"`
}

// Ledger contains the parameters of the ledger. They are written to the key-value service when the system starts for the first time and
// apply to all nodes from then on. A node whose Partitions differ logs this when it starts.
type Ledger struct {
	Partitions  int `yaml:"partitions"`
	Replicas    int `yaml:"replicas"`
	WriteQuorum int `yaml:"writeQuorum"`
	// OwnersOnStores restricts the ownership of partitions to nodes with a data folder.
	OwnersOnStores bool `yaml:"ownersOnStores"`
	// MembersDecide lets the members of an ensemble decide on the next one, so that a lost disk is replaced even while the key-value
	// service is down. This requires a write quorum of remaining members, which 2n+1 copies have after n losses.
	MembersDecide bool `yaml:"membersDecide"`
	// SurvivesMachines and SurvivesZones are how many storage machines, or zones, may be lost at once. If one of them is
	// above 0, Replicas and WriteQuorum are set to the smallest numbers that survive these losses.
	SurvivesMachines int `yaml:"survivesMachines"`
	SurvivesZones    int `yaml:"survivesZones"`
}

// derive sets Replicas and WriteQuorum from the number n of losses to survive: with 2n+1 copies, of which n+1 are synced before a
// record is acknowledged, a copy remains after n lost disks, and a quorum remains after n lost machines.
func (l *Ledger) derive() {
	losses := max(l.SurvivesMachines, l.SurvivesZones)
	if losses > 0 {
		l.Replicas, l.WriteQuorum = 2*losses+1, losses+1
	}
}

// Defaults returns Settings with all default values.
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
		// The quota values are those of the first deployment with tenants. ColdBurst 1 without slack limits cold replicas to exactly the
		// declared rate.
		Bounds: Bounds{QuotaWindow: 5 * time.Second, QuotaTolerance: 0.1, QuotaSlack: 20, Evacuate: 5 * time.Second, ColdBurst: 1},
	}
}
