// Package deployment builds a whole deployment on loopback in one process: the
// platform's stand-ins, engines in zones, and nodes, with the faults that can
// befall each of them.
package deployment
