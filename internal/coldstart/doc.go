// Package coldstart bounds the requests that a replica gets while it is cold: for some time after its start, or after it has been idle, it
// bears a few requests a second only and falls over well above them. The bound holds over all nodes together.
package coldstart
