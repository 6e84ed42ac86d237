package operator

import "runtime/debug"

// Version returns the version of the program: the module version, or else the revision
// of its source; "unknown" if neither is known.
func Version() string {
	info, present := debug.ReadBuildInfo()
	if !present {
		return "unknown"
	}
	if version := info.Main.Version; version != "" && version != "(devel)" {
		return version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "unknown"
}
