package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/jackdawtide/jackdawtide/internal/loader"
)

// `settings check` runs the same check as `node`, or as `sidecar` with --sidecar, so that a settings file, or the file
// that a platform generates from a template, can be checked before it is rolled out.

type checkedSettings struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failureDomain"`
	Caller        string `json:"caller"`
	Local         string `json:"local"`
	Peer          string `json:"peer"`
	Admin         string `json:"admin"`
	// AdminTLS reports whether the admin endpoint requires an operator's certificate.
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

type checkedSidecar struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failureDomain"`
	Service       string `json:"service"`
	Endpoint      string `json:"endpoint"`
	Outbound      string `json:"outbound"`
	Inbound       string `json:"inbound"`
	Store         string `json:"store"`
	MemoryMB      int    `json:"memoryMb"`
	Descriptors   int    `json:"descriptors"`
	// RevokeMs and GraceMs are the effective bounds, defaults included.
	RevokeMs int64 `json:"revokeMs"`
	GraceMs  int64 `json:"graceMs"`
}

func (r checkedSidecar) writeText(w io.Writer) error {
	_, err := fmt.Fprintf(w, `settings of node %s in failure domain %s are good
%s at %s, outbound %s, inbound %s, store %s
%d MB, %d descriptors, keys end after %d ms, stops take up to %d ms
`, r.Node, r.FailureDomain, r.Service, r.Endpoint, r.Outbound, r.Inbound, r.Store, r.MemoryMB, r.Descriptors, r.RevokeMs, r.GraceMs)
	return err
}

func addSettings(c *cli) {
	var file string
	var sidecar bool
	group := c.app.Command("settings", "Check a node's settings.")
	clause := c.add(group, "check", "Check a settings file and report every fault in it.",
		"jackdawtide settings check /etc/jackdawtide/node.toml",
		func(context.Context) error {
			if sidecar {
				s, err := readSidecarSettings(file)
				if err != nil {
					return err
				}
				return c.print(checkedSidecarOf(s))
			}
			s, err := readSettings(file)
			if err != nil {
				return err
			}
			return c.print(checkedSettingsOf(s))
		})
	clause.Arg("file", "Settings file.").Required().StringVar(&file)
	clause.Flag("sidecar", "Check the file as settings of the sidecar verb.").BoolVar(&sidecar)
}

func checkedSidecarOf(s loader.Sidecar) checkedSidecar {
	return checkedSidecar{
		Node:          string(s.Name),
		FailureDomain: string(s.Domain),
		Service:       string(s.Service),
		Endpoint:      s.Endpoint.String(),
		Outbound:      s.Listen.Outbound.String(),
		Inbound:       s.Listen.Inbound.String(),
		Store:         s.Store.String(),
		MemoryMB:      s.MemoryMB,
		Descriptors:   s.Descriptors,
		RevokeMs:      int64(s.Bounds.Revoke),
		GraceMs:       int64(s.Bounds.Grace),
	}
}

func checkedSettingsOf(s loader.Settings) checkedSettings {
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
