// Package settings reads the settings of a process: addresses as IP numbers, zone,
// region, data folder, platform addresses and limits. Unknown keys, wrong units and
// host names are errors; a process with invalid settings does not start.
package settings
