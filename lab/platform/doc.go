// Package platform is the stand-in for what the operators' platform gives: the
// key-value service, the machine list and the weight store, with faults.
package platform
