package loader

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/jackdawtide/jackdawtide/internal/certifier"
	"github.com/jackdawtide/jackdawtide/internal/checker"
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

func read(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	assert.NilError(t, err)
	return string(data)
}

func TestValidSettings(t *testing.T) {
	s, err := Parse([]byte(read(t, "good.toml")))
	assert.NilError(t, err)
	want := Settings{
		Name:   "portal-1",
		Domain: "bratislava",
		Region: "westernSlovakia",
		Listen: Listen{
			Caller: netip.MustParseAddrPort("10.1.0.5:8080"),
			Local:  netip.MustParseAddrPort("127.0.0.1:8081"),
			Peer:   netip.MustParseAddrPort("10.1.0.5:8443"),
			Admin:  netip.MustParseAddrPort("127.0.0.1:8082"),
		},
		Log:   Log{URL: "http://10.9.0.1:7000", Retention: 48 * clock.Hour, MaxSilence: 5 * clock.Minute},
		Seeds: []netip.AddrPort{netip.MustParseAddrPort("10.1.0.6:8443"), netip.MustParseAddrPort("[fd00::7]:8443")},
		Certificates: certifier.Files{
			Authority:   "/etc/jackdawtide/authority.pem",
			Certificate: "/etc/jackdawtide/node.pem",
			Key:         "/etc/jackdawtide/node.key",
		},
		CallerCertificates: CallerCertificates{
			Certificate: "/etc/jackdawtide/callers.pem",
			Key:         "/etc/jackdawtide/callers.key",
		},
		Operators: []string{"eva", "jozef"},
		Limits: Limits{
			MaxHeader:         32 << 10,
			MaxBodies:         512,
			MaxConnections:    1000,
			ReadHeaderTimeout: 2500 * clock.Millisecond,
			IdleTimeout:       90 * clock.Second,
			BodyIdleTimeout:   20 * clock.Second,
			DrainTimeout:      15 * clock.Minute,
		},
	}
	assert.Equal(t, fmt.Sprintf("%+v", s), fmt.Sprintf("%+v", want))
	assert.Assert(t, !s.Listen.AdminNeedsTLS())

	open, _, _ := strings.Cut(read(t, "good.toml"), "[operators]")
	s, err = Parse([]byte(strings.ReplaceAll(open, "127.0.0.1:8082", "10.1.0.5:8082")))
	assert.NilError(t, err)
	assert.Equal(t, s.Limits, DefaultLimits())
	assert.Assert(t, s.Listen.AdminNeedsTLS())
}

// An operator makes several mistakes in the settings of a VM. If only the first were reported, they would restart the
// node once for each; if part of the file were applied, the node would run with settings that no file describes.
func TestAllFaultsAtOnce(t *testing.T) {
	cases := map[string]string{
		"faulty": read(t, "faulty.toml"),
		"empty":  "",
		"syntax": "[node]\nname = \"portal-1\nregion = 3\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			s, err := Parse([]byte(text))
			var f checker.Faults
			assert.Assert(t, errors.As(err, &f))
			golden.Assert(t, err.Error()+"\n", name+".golden")
			assert.Equal(t, fmt.Sprintf("%+v", s), fmt.Sprintf("%+v", Settings{}), "an invalid file must leave all settings empty")
		})
	}
}

// A file contains a value of the wrong type or a misspelt key and is otherwise valid. If it were accepted, a default
// would stay in force that the operator believes to have replaced.
func TestWrongTypesAndUnknownKeysAreRejected(t *testing.T) {
	good := read(t, "good.toml")
	lines := regexp.MustCompile(`(?m)^([A-Za-z]+) = .*$`).FindAllStringSubmatchIndex(good, -1)
	assert.Equal(t, len(lines), 24)
	for _, l := range lines {
		key := good[l[2]:l[3]]
		for _, wrong := range []string{key + " = true", key + " = {a = 1}", key + " = [1]", key + " = 1.5", key + "s = \"2s\""} {
			_, err := Parse([]byte(good[:l[0]] + wrong + good[l[1]:]))
			assert.Assert(t, err != nil, "%s was accepted, want a fault", wrong)
			assert.ErrorContains(t, err, "."+key)
		}
	}
}
