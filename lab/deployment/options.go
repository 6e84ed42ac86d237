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
	// ChangeEngine modifies the options of each engine; it may be nil.
	ChangeEngine func(*labengine.Options)
	// NodeOptions are passed to every node that runs in this process.
	NodeOptions []node.Option
	// Program is the path of the program to run as one process per node; if empty, all nodes run in this process.
	Program string
	// MachineListLag is the lag of the machine list.
	MachineListLag time.Duration
	// BatchConcurrentPerReplica and MaxConcurrentPerReplica are the limits declared for the service.
	BatchConcurrentPerReplica int
	MaxConcurrentPerReplica   int
	// configurationChange makes configuration files differ from each other.
	configurationChange int
	// version is the declared version of the model.
	version string
}

// Sizes and limits that are the same for all profiles.
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
