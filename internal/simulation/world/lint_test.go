package world

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// cores are given times and bytes: they meet neither the clock nor the network, and
// start nothing. Files named after a slash are shells in the same package.
var cores = map[string][]string{
	"policy": nil, "iscsi": nil, "scsi": nil, "reserve": nil, "diskproto": nil, "announce": nil, "rates": nil, "rules": nil,
	"placement": nil, "plan": nil, "region": nil,
	"http1": nil, "timerqueue": nil, "scheduler": {"loop.go", "frontend.go", "readahead.go", "connpool.go", "discovery.go", "lifecycle.go", "serverstates.go", "client.go", "serverconn.go"},
	"bgp": {"speaker.go"}, "inventory": {"client.go", "caller.go"},
}

// shells run in the world: all that they do to the outside goes through package env.
var shells = []string{"gateway", "writequeue", "initiator", "standin", "bgp", "inventory", "scheduler"}

// allowedFindings are the lines that a world has no part in, each with its reason.
var allowedFindings = map[string]string{
	"gateway/gateway.go: go statement": "the admin API of HTTP, which a world has not",
}

var forbiddenCoreImports = []string{"net", "net/http", "os", "os/exec", "time", "context", "sync", "crypto/rand", "math/rand", "runtime"}

var forbiddenShellImports = []string{"os/exec", "crypto/rand", "math/rand"}

// forbiddenShellCalls reach past package env.
var forbiddenShellCalls = map[string][]string{
	"time":    {"Now", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Since", "Until"},
	"net":     {"Dial", "DialTimeout", "Listen", "ListenPacket"},
	"rand":    {"Int", "IntN", "Float64", "Uint64", "Uint64N", "Perm", "Shuffle", "N", "Int64N", "Read"},
	"runtime": {"GOMAXPROCS", "NumCPU", "Gosched"},
	"context": {"WithTimeout", "WithDeadline"},
}

// forbiddenUses names what in a file reaches past package env; core is stricter.
func forbiddenUses(name string, src any, core bool) (found []string, err error) {
	set := token.NewFileSet()
	f, err := parser.ParseFile(set, name, src, 0)
	if err != nil {
		return nil, err
	}
	say := func(format string, args ...any) { found = append(found, name+": "+fmt.Sprintf(format, args...)) }
	barred := forbiddenShellImports
	if core {
		barred = forbiddenCoreImports
	}
	for _, im := range f.Imports {
		path, _ := strconv.Unquote(im.Path.Value)
		for _, b := range barred {
			if path == b {
				say("imports %s", path)
			}
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			say("go statement")
		case *ast.SelectStmt:
			say("select statement")
		case *ast.ChanType:
			say("channel")
		case *ast.SelectorExpr:
			x, ok := n.X.(*ast.Ident)
			if !ok {
				break
			}
			if x.Name == "sync" && (n.Sel.Name == "WaitGroup" || n.Sel.Name == "Cond" || n.Sel.Name == "NewCond") {
				say("sync.%s", n.Sel.Name)
			}
			for _, c := range forbiddenShellCalls[x.Name] {
				if n.Sel.Name == c {
					say("%s.%s", x.Name, c)
				}
			}
		}
		return true
	})
	return found, nil
}

// Nothing that runs in the world reaches past package env.
func TestOnlyEnvReachesOutside(t *testing.T) {
	files := 0
	look := func(dir string, core bool, only func(file string) bool) {
		names := sourceFiles(t, dir)
		for _, n := range names {
			if strings.HasSuffix(n, "_test.go") || !only(filepath.Base(n)) {
				continue
			}
			files++
			src, err := os.ReadFile(n)
			if err != nil {
				t.Fatal(err)
			}
			found, err := forbiddenUses(dir+"/"+filepath.Base(n), src, core)
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range found {
				if allowedFindings[s] == "" {
					t.Error(s)
				}
			}
		}
	}
	for dir, but := range cores {
		look(dir, true, func(file string) bool { return !contains(but, file) })
	}
	for _, dir := range shells {
		look(dir, false, func(file string) bool { return cores[dir] == nil || contains(cores[dir], file) })
	}
	if files < 40 {
		t.Errorf("only %d files were looked at", files)
	}
}

// sourceFiles are the files of a package, which stands at the top or in a group under internal.
func sourceFiles(t *testing.T, name string) []string {
	t.Helper()
	for _, folder := range []string{filepath.Join("..", "..", "..", name), filepath.Join("..", "..", "*", name)} {
		files, err := filepath.Glob(filepath.Join(folder, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		if len(files) > 0 {
			return files
		}
	}
	t.Fatal("no package", name)
	return nil
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// The check rejects each thing that it is for.
func TestForbiddenUsesRejects(t *testing.T) {
	for _, bad := range []string{
		"import \"time\"\nfunc f() { time.Now() }", "import \"time\"\nfunc f() { time.Sleep(1) }", "func f() { go f() }",
		"var c chan int", "func f() { select {} }", "import \"sync\"\nvar w sync.WaitGroup", "import \"net\"\nfunc f() { net.Dial(\"\", \"\") }",
		"import \"math/rand/v2\"\nvar x = rand.IntN(3)", "import \"crypto/rand\"", "import \"runtime\"\nvar n = runtime.GOMAXPROCS(0)",
	} {
		if found, err := forbiddenUses("x.go", "package x\n"+bad, false); err != nil || len(found) == 0 {
			t.Errorf("not rejected: %s (%v)", bad, err)
		}
	}
	for _, bad := range []string{"import \"net\"", "import \"sync\"", "import \"time\"", "import \"os\""} {
		if found, err := forbiddenUses("x.go", "package x\n"+bad, true); err != nil || len(found) == 0 {
			t.Errorf("not rejected in a core: %s (%v)", bad, err)
		}
	}
}
