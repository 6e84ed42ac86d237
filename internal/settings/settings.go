package settings

import (
	"net/netip"
	"time"
)

// Settings of one node process.
type Settings struct {
	// Node names this node; it stays the same across restarts.
	Node   string `yaml:"node"`
	Region string `yaml:"region"`
	Zone   string `yaml:"zone"`
	// CallerAddress serves callers, AdminAddress operators, PeerAddress other nodes.
	CallerAddress netip.AddrPort `yaml:"callerAddress"`
	AdminAddress  netip.AddrPort `yaml:"adminAddress"`
	PeerAddress   netip.AddrPort `yaml:"peerAddress"`
	// DataFolder is empty on a node that keeps nothing.
	DataFolder string   `yaml:"dataFolder"`
	Platform   Platform `yaml:"platform"`
	Limits     Limits   `yaml:"limits"`
	Ledger     Ledger   `yaml:"ledger"`
	LogLevel   string   `yaml:"logLevel"`
	// SeedPeers are peer addresses to join through when the platform is down.
	SeedPeers []netip.AddrPort `yaml:"seedPeers"`
}

// Platform holds the addresses of what the platform gives.
type Platform struct {
	KeyValue    []netip.AddrPort `yaml:"keyValue"`
	MachineList netip.AddrPort   `yaml:"machineList"`
	WeightStore netip.AddrPort   `yaml:"weightStore"`
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
}

// Ledger holds the ledger's numbers. They are written to the key-value service at the first start of the system and
// then hold for all nodes; a node whose Partitions differ logs it at its start.
type Ledger struct {
	Partitions  int `yaml:"partitions"`
	Replicas    int `yaml:"replicas"`
	WriteQuorum int `yaml:"writeQuorum"`
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
	}
}
