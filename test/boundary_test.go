package test

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// platformNames matches names that belong to the users' platform. Only platform/,
// deploy/, docs/PLATFORM.md and docs/incidents/ may contain them.
var platformNames = regexp.MustCompile(`Instances\.(Heartbeat|Deregister)|Config\.(Put|Get)|Base-Version|Expected-Instance|Deadline-Ms|` +
	`Not-Executed|Response-Signature|Server-Limit|Server-Leaving|Caller-Service|cold_remaining|traffic_split|path_prefix|target_latency|rate_per_s|api_keys|` +
	`control_plane|app_address|internal_ports|heartbeat_address|cold_per_s|cold_start|Cold-Ms|cold_overage|cold_slack|Evacuate\.(Start|End)`)

// TestPlatformNamesStayInTheirFolder checks that the other source files and pages
// contain no name of the platform.
func TestPlatformNamesStayInTheirFolder(t *testing.T) {
	// This file and interface_test.go need the platform's names.
	self := "boundary_test.go"
	walkFiles(t, func(path string, text []byte) {
		inside := strings.HasPrefix(path, "platform/") || strings.HasPrefix(path, "deploy/") || path == "docs/PLATFORM.md" ||
			strings.HasPrefix(path, "docs/incidents/")
		if inside || filepath.Base(path) == self || filepath.Base(path) == "interface_test.go" {
			return
		}
		qt.Check(t, string(platformNames.Find(text)), qt.Equals, "", qt.Commentf("%s", path))
	})
}

// TestProductDoesNotImportPlatform checks that only cmd/, platform/ and tests import
// the package platform.
func TestProductDoesNotImportPlatform(t *testing.T) {
	walkFiles(t, func(path string, text []byte) {
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "cmd/") || strings.HasPrefix(path, "platform/") {
			return
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, text, parser.ImportsOnly)
		qt.Assert(t, err, qt.IsNil)
		for _, imported := range file.Imports {
			qt.Check(t, strings.HasSuffix(strings.Trim(imported.Path.Value, `"`), "/platform"), qt.IsFalse, qt.Commentf("%s", path))
		}
	})
}

// walkFiles calls check with each source file and page of the repository.
func walkFiles(t *testing.T, check func(path string, text []byte)) {
	root := os.DirFS("..")
	seen := 0
	for _, pattern := range []string{"*.md", "*/*.go", "*/*/*.go", "*/*/*/*.go", "docs/*.md", "docs/*/*.md", "platform/*", "deploy/*"} {
		paths, err := filepath.Glob(filepath.Join("..", pattern))
		qt.Assert(t, err, qt.IsNil)
		for _, path := range paths {
			relative, err := filepath.Rel("..", path)
			qt.Assert(t, err, qt.IsNil)
			file, err := root.Open(filepath.ToSlash(relative))
			qt.Assert(t, err, qt.IsNil)
			info, err := file.Stat()
			file.Close()
			qt.Assert(t, err, qt.IsNil)
			if info.IsDir() {
				continue
			}
			text, err := os.ReadFile(path)
			qt.Assert(t, err, qt.IsNil)
			check(filepath.ToSlash(relative), text)
			seen++
		}
	}
	qt.Assert(t, seen > 100, qt.IsTrue)
}
