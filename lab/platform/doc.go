// Package platform is the stand-in for what the operators' platform gives: the
// key-value service, the machine list and the weight store, with faults.
//
// Each zone has an address of its own that serves all three, so that a fault can meet the
// callers of one zone only. Tests use the same services in process, without a network and
// also on virtual time, through KeyValue, MachineList and WeightStore.
//
// The control port serves JSON:
//
//	GET    /faults                     the faults that are on
//	PUT    /faults                     a Fault, in place of that of its zone and service
//	DELETE /faults?zone=Z&service=S    switch one off; both empty as they were set
//	PUT    /machines                   add or replace a platform.Machine
//	PUT    /machines/{id}/state        MachineStateChange
//	DELETE /machines/{id}              take a machine off the list
//	PUT    /machine-lag                LagChange
//	POST   /compact                    Compaction of the key-value history
//	GET    /counters                   OperationCount by Operation
package platform
