// Package load makes online arrivals and heaps of batch jobs from a seed and a profile.
package load
