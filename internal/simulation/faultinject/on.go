//go:build planted

package faultinject

// Enabled reports whether faults can be activated in this build.
const Enabled = true

var active string

// Activate activates the named fault in place of any other; "" activates none. It must be
// called before any other goroutine calls Active.
func Activate(name string) { active = name }

// Active reports whether the named fault is active.
func Active(name string) bool { return active == name }
