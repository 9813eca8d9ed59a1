package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/certifier"
)

// `cert` never overwrites a file: with an overwritten CA, the nodes of a fleet would refuse each other's certificates
// from their next restart on, without a visible cause.

const (
	authorityName            = "authority"
	certificateSuffix        = ".pem"
	keySuffix                = ".key"
	secretFileMode           = 0o600
	directoryMode            = 0o700
	defaultValidity          = "2160h"
	defaultAuthorityValidity = "87600h"
)

type writtenFiles struct {
	Identity    string `json:"identity"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Until       string `json:"until"`
}

func (r writtenFiles) writeText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s, valid until %s\ncertificate: %s\nkey: %s\n", r.Identity, r.Until, r.Certificate, r.Key)
	return err
}

type certFlags struct {
	directory string
	valid     time.Duration
}

func bindCert(clause *kingpin.CmdClause, valid string) *certFlags {
	f := &certFlags{}
	clause.Flag("directory", "Directory of the files; it is created if missing.").
		Default(".").StringVar(&f.directory)
	clause.Flag("valid", "How long the certificate is valid.").Default(valid).DurationVar(&f.valid)
	return f
}

func addCert(c *cli) {
	group := c.app.Command("cert", "Create a CA and the certificates of nodes and operators.")
	addCertAuthority(c, group)
	addCertIssue(c, group, certifier.Node, "Create the certificate of a node, signed by the CA in the same directory.",
		"jackdawtide cert node --directory certs portal-1")
	addCertIssue(c, group, certifier.Operator, "Create the certificate of an operator, signed by the CA in the same directory.",
		"jackdawtide cert operator --directory certs eva")
}

func addCertAuthority(c *cli, group *kingpin.CmdClause) {
	clause := c.add(group, authorityName, "Create a CA for tests; do not store its key on the VMs.",
		"jackdawtide cert authority --directory certs", nil)
	flags := bindCert(clause, defaultAuthorityValidity)
	c.runs[clause.FullCommand()] = func(context.Context) error {
		a, err := certifier.NewAuthority(c.Now(), flags.valid)
		if err != nil {
			return err
		}
		return c.writePair(flags, authorityName, "authority", a.Pair)
	}
}

func addCertIssue(c *cli, group *kingpin.CmdClause, role certifier.Role, help, example string) {
	var name string
	clause := c.add(group, string(role), help, example, nil)
	flags := bindCert(clause, defaultValidity)
	clause.Arg("name", "Name in the certificate.").Required().StringVar(&name)
	c.runs[clause.FullCommand()] = func(context.Context) error {
		if name == authorityName || filepath.Base(name) != name {
			return UsageError{Cause: fmt.Errorf("name %q: want a file name without a path, other than %q", name, authorityName)}
		}
		a, err := readAuthority(flags.directory)
		if err != nil {
			return err
		}
		i := certifier.Identity{Role: role, Name: name}
		p, err := a.Issue(i, c.Now(), flags.valid)
		if err != nil {
			return err
		}
		return c.writePair(flags, name, i.String(), p)
	}
}

func readAuthority(directory string) (certifier.Authority, error) {
	base := filepath.Join(directory, authorityName)
	certificate, err := os.ReadFile(base + certificateSuffix)
	if err != nil {
		return certifier.Authority{}, InputError{Cause: err}
	}
	key, err := os.ReadFile(base + keySuffix)
	if err != nil {
		return certifier.Authority{}, InputError{Cause: err}
	}
	return certifier.LoadAuthority(certifier.Pair{Certificate: certificate, Key: key})
}

func (c *cli) writePair(f *certFlags, name, identity string, p certifier.Pair) error {
	if err := os.MkdirAll(f.directory, directoryMode); err != nil {
		return InputError{Cause: err}
	}
	base := filepath.Join(f.directory, name)
	if err := writeNew(base+keySuffix, p.Key); err != nil {
		return err
	}
	if err := writeNew(base+certificateSuffix, p.Certificate); err != nil {
		return err
	}
	return c.print(writtenFiles{
		Identity:    identity,
		Certificate: base + certificateSuffix,
		Key:         base + keySuffix,
		Until:       c.Now().Add(f.valid).UTC().Format(time.RFC3339),
	})
}

func writeNew(name string, data []byte) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretFileMode)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Close())
}
