// Package balance chooses the replica for one request: filters drop those that cannot take it, scorers
// rate the others, and the best one is picked.
package balance
