// Package platform defines the ports to the services of the operators' platform, which are the
// key-value service, the machine list and the weight store, with one adapter each.
//
// The key-value service is rate-limited, has outages, and the answer to a change that took
// effect can be lost. Callers of KeyValue must therefore treat an error of
// KindUnknownOutcome as "may have taken effect" and find out by reading back.
package platform
