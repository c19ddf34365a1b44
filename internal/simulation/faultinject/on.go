//go:build planted

package faultinject

// Enabled tells whether faults can be planted in this build.
const Enabled = true

var planted string

// Activate plants a fault, "" for none; before anything runs.
func Activate(name string) { planted = name }

// Active tells whether that fault is planted.
func Active(name string) bool { return planted == name }
