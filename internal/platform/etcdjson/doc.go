// Package etcdjson defines the messages of the etcd v3 JSON gateway that this system
// uses. As in the gateway, keys and values are base64, 64-bit integers are strings, and
// fields with their zero value are omitted.
package etcdjson
