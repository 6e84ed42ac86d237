package logging

// Names of log fields used by more than one slice. Other fields are constants of
// their slice.
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
	// FieldPrefix is a key prefix of the key-value service.
	FieldPrefix = "prefix"
)
