// Package version tells which build a binary is.
package version

import "runtime/debug"

// String returns the main module's version and the revision it was built from.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision := ""
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = " " + setting.Value
		}
	}
	return info.Main.Version + revision
}
