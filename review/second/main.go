package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the cases by name. Each registers itself.
var cases = map[string]func(*bench) (result, error){}

// servers are the stand-ins that run as processes of their own, by name.
var servers = map[string]func([]string) error{}

// main plays the case that the first argument names and writes its record to the second.
func main() {
	if len(os.Args) > 2 && servers[os.Args[1]] != nil {
		if err := servers[os.Args[1]](os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE RECORD")
		os.Exit(int(failed))
	}
	os.Exit(int(play(cases[os.Args[1]], os.Args[2])))
}

func play(run func(*bench) (result, error), record string) result {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	b := &bench{trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir, start: time.Now(), file: file}
	r, err := run(b)
	if name := b.lost(); name != "" && err == nil {
		err = fmt.Errorf("%s has ended by itself", name)
	}
	b.end()
	if logs, _ := filepath.Glob(filepath.Join(dir, "*.log")); os.Getenv("KEEP") == "" || len(logs) == 0 {
		os.RemoveAll(dir)
	} else {
		fmt.Println("kept", dir)
	}
	if err != nil {
		b.say("the case could not run: %v", err)
		return failed
	}
	return r
}
