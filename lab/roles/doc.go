// Package roles is a soak test of the programs in deploy/system.toml, run as real processes: edges and storage nodes in several zones,
// each with its own loopback address and settings rendered from deploy/settings.tmpl. The platform's store, the replicas, the callers and
// the operator are simulated in this process. Faults are drawn from a seed and injected from outside the processes. Runs are judged by
// the counts and contents that callers and replicas saw, not by timings, so the verdict does not depend on the speed of the machine.
package roles
