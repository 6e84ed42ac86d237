package operator

import "runtime/debug"

// Version returns the version that the program was built as: the module's version,
// or the revision of its source.
func Version() string {
	information, present := debug.ReadBuildInfo()
	if !present {
		return "unknown"
	}
	if version := information.Main.Version; version != "" && version != "(devel)" {
		return version
	}
	for _, setting := range information.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "unknown"
}
