package loader

// Parse returns settings or faults, never both, so that no caller can start a node with part of a file.
//
// Example: s, err := Parse(data); var f checker.Faults; errors.As(err, &f)

import (
	"net/netip"
	"net/url"

	"github.com/jackdawtide/jackdawtide/internal/certifier"
	"github.com/jackdawtide/jackdawtide/internal/checker"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Bounds of the settings.
const (
	minHeaderBytes  = 4 << 10
	maxHeaderBytes  = 1 << 20
	minMemoryBytes  = 32 << 20
	maxMemoryBytes  = 1 << 50
	maxCount        = 1 << 20
	minTimeout      = 100 * clock.Millisecond
	maxTimeout      = clock.Hour
	minRetention    = 10 * clock.Minute
	maxRetention    = 10000 * clock.Hour
	minMaxSilence   = 10 * clock.Second
	maxDrainTimeout = 2 * clock.Hour
)

// Parse returns the settings in a TOML file, or all of its faults.
func Parse(data []byte) (Settings, error) {
	t, err := checker.Parse(data)
	if err != nil {
		return Settings{}, err
	}
	var s Settings
	readNode(t.Table("node"), &s)
	s.Listen = readListen(t.Table("listen"))
	s.Log = readLog(t.Table("log"))
	s.Seeds = t.Table("peers").Addresses("seeds")
	s.Certificates = readCertificates(t.Table("certificates"))
	if t.Has("callerCertificates") {
		s.CallerCertificates = readCallerCertificates(t.Table("callerCertificates"))
	}
	s.Operators = t.Table("operators").Texts("names")
	s.Limits = readLimits(t.Table("limits"))
	if err := t.Finish(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func readNode(t *checker.Table, s *Settings) {
	s.Name = NodeName(t.Name("name"))
	s.Domain = identifier.FailureDomain(t.Name("failureDomain"))
	s.Region = identifier.Region(t.Name("region"))
}

func readListen(t *checker.Table) Listen {
	l := Listen{
		Caller: t.Address("caller"),
		Local:  t.Address("local"),
		Peer:   t.Address("peer"),
		Admin:  t.Address("admin"),
	}
	// Any process that can reach the local address can announce itself as a backend server and send calls of any team
	// whose token it learns. On an address other than loopback that would be the whole network.
	if l.Local.IsValid() && !l.Local.Addr().IsLoopback() {
		t.Fault("local", "want a loopback address")
	}
	if l.Peer.IsValid() && l.Peer.Addr().IsUnspecified() {
		t.Fault("peer", "want the address that other nodes reach, not a wildcard")
	}
	checkDistinct(t, l)
	return l
}

// checkDistinct reports TCP addresses that are given twice: otherwise the second listener would fail only after the
// first has begun to accept calls.
func checkDistinct(t *checker.Table, l Listen) {
	taken := map[netip.AddrPort]string{}
	tcp := []struct {
		key     string
		address netip.AddrPort
	}{{"caller", l.Caller}, {"local", l.Local}, {"admin", l.Admin}}
	for _, a := range tcp {
		if !a.address.IsValid() || a.address.Port() == 0 {
			continue
		}
		if other, duplicate := taken[a.address]; duplicate {
			t.Faultf(a.key, "the same address as listen.%s", other)
		}
		taken[a.address] = a.key
	}
}

func readLog(t *checker.Table) Log {
	l := Log{
		URL:        t.Text("url"),
		Retention:  t.DurationOr("retention", DefaultRetention, minRetention, maxRetention),
		MaxSilence: t.DurationOr("maxSilence", 0, minMaxSilence, checker.MaxDuration),
	}
	u, err := url.Parse(l.URL)
	if l.URL != "" && (err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https")) {
		t.Fault("url", `want a URL such as "http://10.9.0.1:7000"`)
	}
	return l
}

func readCertificates(t *checker.Table) certifier.Files {
	return certifier.Files{
		Authority:   t.Text("authority"),
		Certificate: t.Text("certificate"),
		Key:         t.Text("key"),
	}
}

func readCallerCertificates(t *checker.Table) CallerCertificates {
	return CallerCertificates{Certificate: t.Text("certificate"), Key: t.Text("key")}
}

func readLimits(t *checker.Table) Limits {
	d := DefaultLimits()
	return Limits{
		Memory:            t.SizeOr("memory", d.Memory, minMemoryBytes, maxMemoryBytes),
		MaxHeader:         t.SizeOr("maxHeader", d.MaxHeader, minHeaderBytes, maxHeaderBytes),
		MaxBodies:         t.IntegerOr("maxBodies", d.MaxBodies, 1, maxCount),
		MaxConnections:    t.IntegerOr("maxConnections", d.MaxConnections, 1, maxCount),
		ReadHeaderTimeout: t.DurationOr("readHeaderTimeout", d.ReadHeaderTimeout, minTimeout, maxTimeout),
		IdleTimeout:       t.DurationOr("idleTimeout", d.IdleTimeout, minTimeout, maxTimeout),
		BodyIdleTimeout:   t.DurationOr("bodyIdleTimeout", d.BodyIdleTimeout, minTimeout, maxTimeout),
		DrainTimeout:      t.DurationOr("drainTimeout", d.DrainTimeout, minTimeout, maxDrainTimeout),
	}
}
