// Package platform holds the ports to what the operators' platform gives: the
// key-value service, the machine list and the weight store, with one adapter each.
//
// The key-value service is rate-limited, has outages and can lose the answer to a
// change that took effect. Callers of KeyValue must therefore treat an error of
// KindUnknownOutcome as "may have happened" and settle it by reading back.
package platform
