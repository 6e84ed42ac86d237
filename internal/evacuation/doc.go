// Package evacuation keeps which zones operators have asked to evacuate: nothing more is sent to the replicas of such a zone until the
// request is taken back.
package evacuation
