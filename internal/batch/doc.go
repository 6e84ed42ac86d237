// Package batch runs jobs. The items of a job are requests that are forwarded unchanged. A job is accepted once it is durable in the
// ledger. The owner of its partition sends the items to replicas as far as online requests leave room, and lists each result at its own
// position, in the order of the ledger's records. The first result of an item counts. Items run in the order of their due times; a
// plan determines which can be in time, and the others wait behind these.
//
// All jobs of one host belong to one partition, so that the quota of waiting tokens is a single number at a single owner.
package batch
