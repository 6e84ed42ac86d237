// Package deployment runs a whole deployment on loopback addresses: the simulated
// platform, emulated engines in zones, and nodes, in this process or as processes of
// their own. It can inject faults into each of them.
package deployment
