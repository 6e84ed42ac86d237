package deployment

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/node"
	labengine "github.com/sloelift/sloelift/lab/engine"
	"github.com/sloelift/sloelift/lab/load"
)

// Options of a deployment.
type Options struct {
	Profile load.Profile
	Seed    uint64
	// Folder holds the data folders of the stores.
	Folder string
	Logger zerolog.Logger
	// NodeLogLevel is the level of the nodes' own log.
	NodeLogLevel string
	// ChangeEngine changes the options of each engine; nil changes nothing.
	ChangeEngine func(*labengine.Options)
	// NodeOptions are given to every node that runs in this process.
	NodeOptions []node.Option
	// Program is the path of the program that runs as a process for each node; where it is empty all nodes run in this process.
	Program string
	// MachineListLag is how late the machine list is.
	MachineListLag time.Duration
	// BatchConcurrentPerReplica and MaxConcurrentPerReplica are declared for the service.
	BatchConcurrentPerReplica int
	MaxConcurrentPerReplica   int
	// configurationChange makes one file differ from another.
	configurationChange int
	// version is the model's declared version.
	version string
}

// Numbers of a deployment that profiles share.
const (
	nodesPerZone        = 2
	wantedStores        = 4
	defaultMachineLag   = 500 * time.Millisecond
	defaultBatchStreams = 16
	defaultStreams      = 16
	defaultQueueLimit   = 256
	partitions          = 16
	writeQuorum         = 3
)

// DefaultOptions returns the options of a deployment of profile.
func DefaultOptions(profile load.Profile, folder string, seed uint64) Options {
	return Options{
		Profile:                   profile,
		Seed:                      seed,
		Folder:                    folder,
		Logger:                    zerolog.Nop(),
		NodeLogLevel:              zerolog.LevelInfoValue,
		MachineListLag:            defaultMachineLag,
		BatchConcurrentPerReplica: defaultBatchStreams,
		MaxConcurrentPerReplica:   defaultStreams,
		version:                   modelVersion,
	}
}
