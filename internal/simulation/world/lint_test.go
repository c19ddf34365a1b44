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

// cores are the packages whose files must not use the clock, the network or goroutines; they get
// times and bytes as arguments. The files listed for a package are exempt, as they are shells.
var cores = map[string][]string{
	"policy": nil, "iscsi": nil, "scsi": nil, "reserve": nil, "diskproto": nil, "announce": nil, "rates": nil, "rules": nil,
	"placement": nil, "plan": nil, "region": nil,
	"http1": nil, "timerqueue": nil, "scheduler": {"loop.go", "frontend.go", "readahead.go", "connpool.go", "discovery.go", "lifecycle.go", "serverstates.go", "client.go", "presence.go", "memory.go", "loglimit.go", "serverconn.go", "quarantine.go"},
	"bgp": {"speaker.go"}, "inventory": {"client.go", "caller.go"},
}

// shells are the packages that run in the world and may use the outside only through package env.
// Of a package that is also in cores, the files listed there are checked.
var shells = []string{"gateway", "writequeue", "initiator", "standin", "bgp", "inventory", "scheduler"}

// allowedFindings are the exempted findings, each with its reason.
var allowedFindings = map[string]string{
	"gateway/gateway.go: go statement": "the HTTP admin API does not run in a world",
}

var forbiddenCoreImports = []string{"net", "net/http", "os", "os/exec", "time", "context", "sync", "merlinhitch/internal/runtime/locks", "crypto/rand", "math/rand", "runtime"}

var forbiddenShellImports = []string{"os/exec", "crypto/rand", "math/rand"}

// forbiddenShellCalls are functions, by package, that bypass package env.
var forbiddenShellCalls = map[string][]string{
	"time":    {"Now", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Since", "Until"},
	"net":     {"Dial", "DialTimeout", "Listen", "ListenPacket"},
	"rand":    {"Int", "IntN", "Float64", "Uint64", "Uint64N", "Perm", "Shuffle", "N", "Int64N", "Read"},
	"runtime": {"GOMAXPROCS", "NumCPU", "Gosched"},
	"context": {"WithTimeout", "WithDeadline"},
}

// forbiddenUses returns the imports, calls and statements in a file that bypass package env; a core
// may import less than a shell.
func forbiddenUses(name string, src any, core bool) (findings []string, err error) {
	files := token.NewFileSet()
	f, err := parser.ParseFile(files, name, src, 0)
	if err != nil {
		return nil, err
	}
	add := func(format string, args ...any) { findings = append(findings, name+": "+fmt.Sprintf(format, args...)) }
	forbidden := forbiddenShellImports
	if core {
		forbidden = forbiddenCoreImports
	}
	for _, spec := range f.Imports {
		path, _ := strconv.Unquote(spec.Path.Value)
		for _, b := range forbidden {
			if path == b {
				add("imports %s", path)
			}
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			add("go statement")
		case *ast.SelectStmt:
			add("select statement")
		case *ast.ChanType:
			add("channel")
		case *ast.SelectorExpr:
			pkg, ok := n.X.(*ast.Ident)
			if !ok {
				break
			}
			if pkg.Name == "sync" && (n.Sel.Name == "WaitGroup" || n.Sel.Name == "Cond" || n.Sel.Name == "NewCond") {
				add("sync.%s", n.Sel.Name)
			}
			for _, c := range forbiddenShellCalls[pkg.Name] {
				if n.Sel.Name == c {
					add("%s.%s", pkg.Name, c)
				}
			}
		}
		return true
	})
	return findings, nil
}

// No file of a core or shell may bypass package env, since a run would then depend on more than its
// seed.
func TestOnlyEnvReachesOutside(t *testing.T) {
	files := 0
	checkDir := func(dir string, core bool, include func(file string) bool) {
		paths := sourceFiles(t, dir)
		for _, path := range paths {
			if strings.HasSuffix(path, "_test.go") || !include(filepath.Base(path)) {
				continue
			}
			files++
			src, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			findings, err := forbiddenUses(dir+"/"+filepath.Base(path), src, core)
			if err != nil {
				t.Fatal(err)
			}
			for _, finding := range findings {
				if allowedFindings[finding] == "" {
					t.Error(finding)
				}
			}
		}
	}
	for dir, shellFiles := range cores {
		checkDir(dir, true, func(file string) bool { return !contains(shellFiles, file) })
	}
	for _, dir := range shells {
		checkDir(dir, false, func(file string) bool { return cores[dir] == nil || contains(cores[dir], file) })
	}
	if files < 40 {
		t.Errorf("checked only %d files, want at least 40", files)
	}
}

// sourceFiles returns the Go files of a package, which is at the top level or in a group under
// internal.
func sourceFiles(t *testing.T, name string) []string {
	t.Helper()
	for _, dir := range []string{filepath.Join("..", "..", "..", name), filepath.Join("..", "..", "*", name)} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
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

func TestForbiddenUsesRejects(t *testing.T) {
	for _, source := range []string{
		"import \"time\"\nfunc f() { time.Now() }", "import \"time\"\nfunc f() { time.Sleep(1) }", "func f() { go f() }",
		"var c chan int", "func f() { select {} }", "import \"sync\"\nvar w sync.WaitGroup", "import \"net\"\nfunc f() { net.Dial(\"\", \"\") }",
		"import \"math/rand/v2\"\nvar x = rand.IntN(3)", "import \"crypto/rand\"", "import \"runtime\"\nvar n = runtime.GOMAXPROCS(0)",
	} {
		if findings, err := forbiddenUses("x.go", "package x\n"+source, false); err != nil || len(findings) == 0 {
			t.Errorf("not rejected: %s (%v)", source, err)
		}
	}
	for _, source := range []string{"import \"net\"", "import \"sync\"", "import \"time\"", "import \"os\""} {
		if findings, err := forbiddenUses("x.go", "package x\n"+source, true); err != nil || len(findings) == 0 {
			t.Errorf("not rejected in a core: %s (%v)", source, err)
		}
	}
}
