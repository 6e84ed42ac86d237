// Package settings reads a process's own settings: addresses as IP numbers, zone,
// region, data folder, platform addresses and limits. Unknown keys, wrong units and
// host names are errors; nothing starts half.
package settings
