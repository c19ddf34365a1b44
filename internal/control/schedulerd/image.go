package schedulerd

import (
	"bufio"
	"io"
	"os"
	"strconv"
	"strings"
)

// mappedFileBytes returns the size of all files that are mapped into the process, the program and its
// libraries: the most that their resident pages can take. It returns 0 where the kernel does not
// tell.
func mappedFileBytes() int64 {
	maps, err := os.Open("/proc/self/maps")
	if err != nil {
		return 0
	}
	defer maps.Close()
	return sumMappedFiles(maps)
}

// sumMappedFiles sums the lines of a process's maps (proc_pid_maps(5)) that name a file.
func sumMappedFiles(maps io.Reader) (total int64) {
	for lines := bufio.NewScanner(maps); lines.Scan(); {
		fields := strings.Fields(lines.Text()) // address range, permissions, offset, device, inode, path
		if len(fields) < 6 || fields[4] == "0" {
			continue
		}
		first, last, _ := strings.Cut(fields[0], "-")
		start, err := strconv.ParseInt(first, 16, 64)
		if err != nil {
			continue
		}
		if end, err := strconv.ParseInt(last, 16, 64); err == nil && strings.HasPrefix(fields[1], "r") {
			total += end - start
		}
	}
	return total
}
