// Package evacuation tracks the zones that operators have asked to evacuate. No further requests are sent to the replicas of such a zone until
// the operators withdraw theirs.
package evacuation
