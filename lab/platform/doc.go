// Package platform simulates the services of the operators' platform, with faults: the
// key-value service, the machine list and the weight store.
//
// Each zone has its own address that serves all three services, so that a fault can affect the
// callers of a single zone. Tests can use the services in process through KeyValue, MachineList
// and WeightStore, without a network and also in virtual time.
//
// The control port serves JSON:
//
//	GET    /faults                     list the active faults
//	PUT    /faults                     set a Fault, replacing that of its zone and service
//	DELETE /faults?zone=Z&service=S    clear the fault set with exactly this zone and service
//	PUT    /machines                   add or replace a platform.Machine
//	PUT    /machines/{id}/state        MachineStateChange
//	DELETE /machines/{id}              remove a machine from the list
//	PUT    /machine-lag                LagChange
//	POST   /compact                    Compaction of the key-value history
//	GET    /counters                   OperationCount by Operation
package platform
