//go:build planted

package faultinject

// Possible tells whether faults can be planted in this build.
const Possible = true

var planted string

// Set plants a fault, "" for none; before anything runs.
func Set(name string) { planted = name }

// Is tells whether that fault is planted.
func Is(name string) bool { return planted == name }
