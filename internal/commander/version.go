package commander

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
)

// Version is the release of this source; the build adds the revision.
const Version = "0.1.0"

type buildVersion struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

func (r buildVersion) writeText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s %s, revision %s, %s\n", program, r.Version, orDash(r.Revision), r.Go)
	return err
}

func addVersion(c *cli) {
	c.add(c.app, "version", "Print the version.", "jackdawtide version --format json",
		func(context.Context) error {
			return c.print(buildVersion{Version: Version, Revision: revision(), Go: runtime.Version()})
		})
}

func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return ""
}
