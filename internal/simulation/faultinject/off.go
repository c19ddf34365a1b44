//go:build !planted

package faultinject

// Enabled tells whether faults can be planted in this build.
const Enabled = false

// Activate has no effect in this build.
func Activate(string) {}

// Active tells whether that fault is planted.
func Active(string) bool { return false }
