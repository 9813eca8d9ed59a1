package presetter

// Operators read the preset in force back from the log, change it and publish it again, so the printed form must be the
// form that Parse accepts.
//
// Example: text, err := Print(p); Parse(text) returns p again.

import (
	"bytes"
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"github.com/jackdawtide/jackdawtide/internal/checker"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

type presetForm struct {
	Name           string        `toml:"name"`
	RetryAllowance uint8         `toml:"retryAllowance"`
	Domains        []domainForm  `toml:"domain"`
	Services       []serviceForm `toml:"service"`
	Routes         []routeForm   `toml:"route"`
	Teams          []teamForm    `toml:"team"`
}

type domainForm struct {
	Name  string `toml:"name"`
	Share string `toml:"share"`
}

type serviceForm struct {
	Name    string `toml:"name"`
	Timeout string `toml:"timeout"`
	MaxBody string `toml:"maxBody"`
}

type routeForm struct {
	Service    string `toml:"service"`
	Method     string `toml:"method"`
	Prefix     string `toml:"prefix"`
	Priority   string `toml:"priority"`
	Idempotent bool   `toml:"idempotent"`
}

type teamForm struct {
	Name   string `toml:"name"`
	Rate   string `toml:"rate"`
	Burst  int64  `toml:"burst"`
	Weight int    `toml:"weight"`
}

// Print returns the TOML form of a preset.
func Print(p definer.Preset) ([]byte, error) {
	f := presetForm{Name: string(p.Name), RetryAllowance: p.RetryAllowance}
	for _, d := range p.Domains {
		f.Domains = append(f.Domains, domainForm{Name: string(d.Domain), Share: formatShare(d.PerMille)})
	}
	for _, s := range p.Services {
		f.Services = append(f.Services, formOfService(s))
		for _, r := range s.Routes {
			f.Routes = append(f.Routes, formOfRoute(s, r))
		}
	}
	for _, t := range p.Teams {
		f.Teams = append(f.Teams, formOfTeam(t))
	}
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(f); err != nil {
		return nil, fmt.Errorf("print preset %s: %w", p.Name, err)
	}
	return b.Bytes(), nil
}

func formOfService(s definer.Service) serviceForm {
	return serviceForm{
		Name:    string(s.Name),
		Timeout: checker.FormatDuration(s.Timeout),
		MaxBody: checker.FormatSize(s.MaxBody),
	}
}

func formOfRoute(s definer.Service, r definer.Route) routeForm {
	return routeForm{
		Service:    string(s.Name),
		Method:     r.Method,
		Prefix:     r.Prefix,
		Priority:   r.Priority.String(),
		Idempotent: r.Idempotent,
	}
}

func formOfTeam(t definer.Team) teamForm {
	return teamForm{
		Name:   string(t.Name),
		Rate:   formatRate(t.Rate),
		Burst:  int64(t.Burst / identifier.TokensPerCall),
		Weight: t.Weight,
	}
}
