package logging

// Names of log fields that more than one slice uses. A slice's own fields are
// constants of that slice.
const (
	FieldNode      = "node"
	FieldZone      = "zone"
	FieldSlice     = "slice"
	FieldReplica   = "replica"
	FieldTenant    = "tenant"
	FieldRequest   = "request"
	FieldJob       = "job"
	FieldPartition = "partition"
	FieldRevision  = "revision"
	FieldOutcome   = "outcome"
	FieldReason    = "reason"
	FieldPeer      = "peer"
	// FieldPrefix is the prefix of keys of the key-value service.
	FieldPrefix = "prefix"
)
