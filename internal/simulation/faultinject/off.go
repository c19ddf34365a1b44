//go:build !planted

package faultinject

// Enabled reports whether faults can be activated in this build.
const Enabled = false

// Activate has no effect in this build.
func Activate(string) {}

// Active reports whether the named fault is active: never in this build.
func Active(string) bool { return false }
