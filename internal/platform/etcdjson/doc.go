// Package etcdjson holds the messages of the etcd v3 JSON gateway that this system
// uses. Keys and values are base64, 64-bit integers are strings, and fields that
// have their zero value are left out, as the gateway does.
package etcdjson
