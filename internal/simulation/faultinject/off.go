//go:build !planted

package faultinject

// Possible tells whether faults can be planted in this build.
const Possible = false

// Set has no effect in this build.
func Set(string) {}

// Is tells whether that fault is planted.
func Is(string) bool { return false }
