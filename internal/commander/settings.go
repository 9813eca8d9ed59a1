package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/jackdawtide/jackdawtide/internal/loader"
)

// `settings check` runs the same check as `node`, so that a file can be tried before it is rolled out.

type checkedSettings struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failureDomain"`
	Caller        string `json:"caller"`
	Local         string `json:"local"`
	Peer          string `json:"peer"`
	Admin         string `json:"admin"`
	// AdminTLS tells that operators must show a certificate at the admin endpoint.
	AdminTLS bool   `json:"adminTls"`
	Log      string `json:"log"`
}

func (r checkedSettings) writeText(w io.Writer) error {
	admin := "loopback"
	if r.AdminTLS {
		admin = "mutual TLS"
	}
	_, err := fmt.Fprintf(w, "settings of node %s in failure domain %s are good\ncaller %s, local %s, peer %s, admin %s (%s)\nlog %s\n",
		r.Node, r.FailureDomain, r.Caller, r.Local, r.Peer, r.Admin, admin, r.Log)
	return err
}

func addSettings(c *cli) {
	var file string
	all := c.app.Command("settings", "Check a node's settings.")
	clause := c.add(all, "check", "Check a settings file whole, and name every fault in it.",
		"jackdawtide settings check /etc/jackdawtide/node.toml",
		func(context.Context) error {
			s, err := readSettings(file)
			if err != nil {
				return err
			}
			return c.print(checkedOf(s))
		})
	clause.Arg("file", "Settings file.").Required().StringVar(&file)
}

func checkedOf(s loader.Settings) checkedSettings {
	return checkedSettings{
		Node:          string(s.Name),
		FailureDomain: string(s.Domain),
		Caller:        s.Listen.Caller.String(),
		Local:         s.Listen.Local.String(),
		Peer:          s.Listen.Peer.String(),
		Admin:         s.Listen.Admin.String(),
		AdminTLS:      s.Listen.AdminNeedsTLS(),
		Log:           s.Log.URL,
	}
}
