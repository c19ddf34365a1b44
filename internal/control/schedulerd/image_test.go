package schedulerd

import (
	"os"
	"strings"
	"testing"
)

// The pages of files that are mapped must be counted, and those of the heap and the stack must not.
func TestMappedFilesAreCounted(t *testing.T) {
	maps := `00010000-00210000 r-xp 00000000 fe:00 1234 /bin/merlinhitch-scheduler
00210000-00310000 r--p 00200000 fe:00 1234 /bin/merlinhitch-scheduler
00310000-00320000 rw-p 00300000 fe:00 1234 /bin/merlinhitch-scheduler
4000000000-4004000000 rw-p 00000000 00:00 0 [anon: Go: heap]
ffff8000-ffff9000 r-xp 00000000 00:00 0 [vdso]
ffff9000-ffffa000 ---p 00000000 fe:00 77 /lib/libc.so.6
malformed
`
	if got := sumMappedFiles(strings.NewReader(maps)); got != 0x310000 {
		t.Errorf("got %#x bytes, want %#x", got, 0x310000)
	}
	if _, err := os.Stat("/proc/self/maps"); err == nil && mappedFileBytes() < 1<<20 {
		t.Errorf("got %d bytes for this program, want at least 1 MiB", mappedFileBytes())
	}
}
