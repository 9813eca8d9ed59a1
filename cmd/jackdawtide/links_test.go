package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var markdownLinks = regexp.MustCompile(`\]\(([^):#]+)\)`)

// Relative links in the README and the docs must point to existing files; a moved or missing page breaks them.
func TestLinksPointToFiles(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	assert.NilError(t, err)
	deeper, err := filepath.Glob("../../docs/*/*.md")
	assert.NilError(t, err)
	checked := 0
	for _, page := range append(append(pages, deeper...), "../../README.md") {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, m := range markdownLinks.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), strings.TrimSuffix(m[1], "/")))
			assert.NilError(t, err, page)
			checked++
		}
	}
	assert.Assert(t, checked > 5)
}
