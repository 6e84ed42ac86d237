// Package load generates online requests and bursts of batch jobs from a seed and a profile, sends them to nodes, and checks
// what callers received against what engines recorded.
package load
