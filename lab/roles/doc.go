// Package roles plays the programs of deploy/system.toml as real processes, one a machine on a loopback address of its own: edges and
// storage nodes in several zones, with settings made from deploy/settings.tmpl. The platform's store, the replicas, the callers and the
// operator are stand-ins in this process. Faults are drawn from a seed and come from outside the processes. What callers and replicas saw
// is judged by counts and contents, never by times, so that the verdict does not depend on how fast the machine is.
package roles
