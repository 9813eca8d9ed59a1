package commander

// A node's admin endpoint listens on loopback or requires an operator's certificate; the same flags serve both cases.
//
// Example: --admin https://10.1.0.5:8082 --authority ca.pem --certificate eva.pem --key eva.key

import (
	"errors"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/certifier"
	"github.com/jackdawtide/jackdawtide/internal/inspector"
)

type adminFlags struct {
	files   certifier.Files
	timeout time.Duration
}

func bindAdmin(clause *kingpin.CmdClause) *adminFlags {
	f := &adminFlags{}
	clause.Flag("authority", "Certificate of the CA, for an admin endpoint with mutual TLS.").
		PlaceHolder("FILE").StringVar(&f.files.Authority)
	clause.Flag("certificate", "The operator's certificate; requires --authority and --key.").
		PlaceHolder("FILE").StringVar(&f.files.Certificate)
	clause.Flag("key", "The operator's private key; requires --authority and --certificate.").
		PlaceHolder("FILE").StringVar(&f.files.Key)
	clause.Flag("timeout", "How long to wait for an answer.").
		Default(defaultTimeout).DurationVar(&f.timeout)
	return f
}

func bindAdminAddress(clause *kingpin.CmdClause) *string {
	return clause.Flag("admin", "URL of a node's admin endpoint.").
		Envar(adminVariable).PlaceHolder("URL").Required().String()
}

func (c *cli) adminClient(address string, f *adminFlags) (*inspector.Client, error) {
	h, err := c.adminHTTP(f)
	if err != nil {
		return nil, UsageError{Cause: err}
	}
	client, err := inspector.NewClient(address, h)
	if err != nil {
		return nil, UsageError{Cause: err}
	}
	return client, nil
}

func (c *cli) adminHTTP(f *adminFlags) (*http.Client, error) {
	given := 0
	for _, name := range []string{f.files.Authority, f.files.Certificate, f.files.Key} {
		if name != "" {
			given++
		}
	}
	if given == 0 {
		return c.HTTP, nil
	}
	if given < 3 {
		return nil, errors.New("--authority, --certificate and --key must be given together")
	}
	trust, err := certifier.Load(f.files)
	if err != nil {
		return nil, err
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: trust.Client(nil)}}, nil
}
