package deliverer

import (
	"errors"
	"math"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against announcements that no backend server makes: with a billion slots the node would use up its memory.
func TestOddAnnouncementsAreRefused(t *testing.T) {
	valid := announcement{Endpoint: "ice-1", Service: "ice", Address: "127.0.0.1:9000", Slots: 40, ConnectionLimit: 340}
	assert.NilError(t, valid.check())
	for name, change := range map[string]func(a *announcement){
		"no name":             func(a *announcement) { a.Endpoint = "" },
		"name of 10 kB":       func(a *announcement) { a.Endpoint = strings.Repeat("a", 10_000) },
		"no service":          func(a *announcement) { a.Service = "" },
		"service of 10 kB":    func(a *announcement) { a.Service = strings.Repeat("a", 10_000) },
		"no address":          func(a *announcement) { a.Address = "" },
		"no port":             func(a *announcement) { a.Address = "127.0.0.1" },
		"port 0":              func(a *announcement) { a.Address = "127.0.0.1:0" },
		"port 99999":          func(a *announcement) { a.Address = "127.0.0.1:99999" },
		"a billion slots":     func(a *announcement) { a.Slots = 1_000_000_000 },
		"no slots":            func(a *announcement) { a.Slots = 0 },
		"connections of 2^62": func(a *announcement) { a.ConnectionLimit = math.MaxInt64 / 2 },
		"negative cold start": func(a *announcement) { a.ColdStartMs = -1 },
		"endless cold start":  func(a *announcement) { a.ColdStartMs = math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			a := valid
			change(&a)
			var invalid AnnouncementError
			assert.Assert(t, errors.As(a.check(), &invalid), "%+v", a)
		})
	}
	for name, body := range map[string]string{
		"wrong type":          `{"endpoint":"a","slots":"many"}`,
		"fraction":            `{"endpoint":"a","slots":1.5}`,
		"number too large":    `{"endpoint":"a","slots":1e400}`,
		"beyond 2^63":         `{"endpoint":"a","slots":9223372036854775808}`,
		"unknown field":       `{"endpoint":"a","colour":1}`,
		"nested deeply":       strings.Repeat(`{"endpoint":`, 100_000),
		"arrays":              strings.Repeat("[", 100_000),
		"bytes":               "\xff\xfe",
		"nothing":             "",
		"more than the bound": `{"endpoint":"` + strings.Repeat("a", maxAnnouncementBytes) + `"}`,
	} {
		t.Run(name, func(t *testing.T) {
			var a announcement
			assert.Assert(t, decode(httptest.NewRecorder(), httptest.NewRequest("POST", "/", strings.NewReader(body)), &a) != nil)
		})
	}
}
