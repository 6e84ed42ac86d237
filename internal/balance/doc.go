// Package balance picks the replica for a request: filters drop replicas that cannot take it,
// scorers rate the others, and the one with the highest score wins.
//
// Scores and penalties are in units of a replica's capacity: 1 is about the difference between an
// idle replica and one whose slots are all in use.
package balance
