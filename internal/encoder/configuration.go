// Configuration records outlive the version that wrote them, so fields are only added at the end of their wire types.
// Tail carries the records of the log, of all kinds, as the bytes that were read; they are not encoded again.
//
// Example: Encode(configurer.SwitchPreset{…}) gives about 80 bytes, mostly the change's id and names.

package encoder

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	kindPublishPreset Kind = 400 + iota
	kindSwitchPreset
	kindIssueKey
	kindWithdrawKey
	kindConfigurationSnapshot
	kindTailHint
	kindTailRequest
	kindTail
	kindConfigurationState
)

type changeWire struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Operator string
	Wall     int64
	Base     int64
}

type presetWire struct {
	_              struct{} `cbor:",toarray"`
	Name           string
	Domains        []domainShareWire
	RetryAllowance uint8
	Services       []serviceWire
	Teams          []teamWire
}

type domainShareWire struct {
	_        struct{} `cbor:",toarray"`
	Domain   string
	PerMille int
}

type serviceWire struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Timeout int64
	MaxBody int64
	Routes  []routeWire
}

type routeWire struct {
	_          struct{} `cbor:",toarray"`
	Method     string
	Prefix     string
	Priority   uint8
	Idempotent bool
}

type teamWire struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Rate   int64
	Burst  int64
	Weight int
}

type keyWire struct {
	_      struct{} `cbor:",toarray"`
	Hash   string
	Team   string
	Label  string
	Issued int64
}

type publishPresetWire struct {
	_      struct{} `cbor:",toarray"`
	Change changeWire
	Preset presetWire
}

type switchPresetWire struct {
	_      struct{} `cbor:",toarray"`
	Change changeWire
	Preset string
}

type issueKeyWire struct {
	_      struct{} `cbor:",toarray"`
	Change changeWire
	Key    keyWire
}

type withdrawKeyWire struct {
	_      struct{} `cbor:",toarray"`
	Change changeWire
	Hash   string
}

type versionedPresetWire struct {
	_       struct{} `cbor:",toarray"`
	Preset  presetWire
	Version int64
}

type versionedKeyWire struct {
	_         struct{} `cbor:",toarray"`
	Key       keyWire
	Version   int64
	Withdrawn bool
}

type outcomeWire struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Version  int64
	Conflict *conflictWire
}

type conflictWire struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint8
	Name    string
	Reason  uint8
	Base    int64
	Current int64
}

type snapshotWire struct {
	_              struct{} `cbor:",toarray"`
	Through        int64
	Wall           int64
	Version        int64
	InForce        string
	InForceVersion int64
	Presets        []versionedPresetWire
	Keys           []versionedKeyWire
	Outcomes       []outcomeWire
}

type logContactWire struct {
	_      struct{} `cbor:",toarray"`
	Reader string
	Stamp  int64
	Age    int64
}

type hintWire struct {
	_       struct{} `cbor:",toarray"`
	Next    int64
	Contact logContactWire
}

type tailRequestWire struct {
	_     struct{} `cbor:",toarray"`
	From  int64
	State bool
	Skip  bool
}

type recordWire struct {
	_      struct{} `cbor:",toarray"`
	Offset int64
	Raw    []byte
}

type tailWire struct {
	_       struct{} `cbor:",toarray"`
	From    int64
	Next    int64
	Records []recordWire
	End     int64
	Contact logContactWire
}

func init() {
	register(kindPublishPreset, publishPresetToWire, publishPresetFromWire)
	register(kindSwitchPreset, switchPresetToWire, switchPresetFromWire)
	register(kindIssueKey, issueKeyToWire, issueKeyFromWire)
	register(kindWithdrawKey, withdrawKeyToWire, withdrawKeyFromWire)
	register(kindConfigurationSnapshot, snapshotToWire, snapshotFromWire)
	register(kindTailHint, hintToWire, hintFromWire)
	register(kindTailRequest, tailRequestToWire, tailRequestFromWire)
	register(kindTail, tailToWire, tailFromWire)
	register(kindConfigurationState, stateToWire, stateFromWire)
}

// mapSlice keeps nil as nil, so that encoding and decoding give back the same value.
func mapSlice[A, B any](in []A, f func(A) B) []B {
	if in == nil {
		return nil
	}
	out := make([]B, len(in))
	for i, v := range in {
		out[i] = f(v)
	}
	return out
}

func changeToWire(c configurer.Change) changeWire {
	return changeWire{ID: string(c.ID), Operator: c.Operator, Wall: int64(c.Wall), Base: int64(c.Base)}
}

func changeFromWire(w changeWire) configurer.Change {
	return configurer.Change{
		ID:       configurer.ChangeID(w.ID),
		Operator: w.Operator,
		Wall:     clock.Wall(w.Wall),
		Base:     identifier.Version(w.Base),
	}
}

func presetToWire(p definer.Preset) presetWire {
	return presetWire{
		Name: string(p.Name),
		Domains: mapSlice(p.Domains, func(d definer.DomainShare) domainShareWire {
			return domainShareWire{Domain: string(d.Domain), PerMille: d.PerMille}
		}),
		RetryAllowance: p.RetryAllowance,
		Services:       mapSlice(p.Services, serviceToWire),
		Teams: mapSlice(p.Teams, func(t definer.Team) teamWire {
			return teamWire{Name: string(t.Name), Rate: int64(t.Rate), Burst: int64(t.Burst), Weight: t.Weight}
		}),
	}
}

func presetFromWire(w presetWire) definer.Preset {
	return definer.Preset{
		Name: identifier.Preset(w.Name),
		Domains: mapSlice(w.Domains, func(d domainShareWire) definer.DomainShare {
			return definer.DomainShare{Domain: identifier.FailureDomain(d.Domain), PerMille: d.PerMille}
		}),
		RetryAllowance: w.RetryAllowance,
		Services:       mapSlice(w.Services, serviceFromWire),
		Teams: mapSlice(w.Teams, func(t teamWire) definer.Team {
			return definer.Team{
				Name:   identifier.Team(t.Name),
				Rate:   identifier.Tokens(t.Rate),
				Burst:  identifier.Tokens(t.Burst),
				Weight: t.Weight,
			}
		}),
	}
}

func serviceToWire(s definer.Service) serviceWire {
	return serviceWire{
		Name:    string(s.Name),
		Timeout: int64(s.Timeout),
		MaxBody: s.MaxBody,
		Routes: mapSlice(s.Routes, func(r definer.Route) routeWire {
			return routeWire{Method: r.Method, Prefix: r.Prefix, Priority: uint8(r.Priority), Idempotent: r.Idempotent}
		}),
	}
}

func serviceFromWire(w serviceWire) definer.Service {
	return definer.Service{
		Name:    identifier.Service(w.Name),
		Timeout: clock.Duration(w.Timeout),
		MaxBody: w.MaxBody,
		Routes: mapSlice(w.Routes, func(r routeWire) definer.Route {
			return definer.Route{
				Method:     r.Method,
				Prefix:     r.Prefix,
				Priority:   identifier.Priority(r.Priority),
				Idempotent: r.Idempotent,
			}
		}),
	}
}

func keyToWire(k definer.Key) keyWire {
	return keyWire{Hash: string(k.Hash), Team: string(k.Team), Label: k.Label, Issued: int64(k.Issued)}
}

func keyFromWire(w keyWire) definer.Key {
	return definer.Key{
		Hash:   identifier.KeyHash(w.Hash),
		Team:   identifier.Team(w.Team),
		Label:  w.Label,
		Issued: clock.Wall(w.Issued),
	}
}

func publishPresetToWire(r configurer.PublishPreset) publishPresetWire {
	return publishPresetWire{Change: changeToWire(r.Change), Preset: presetToWire(r.Preset)}
}

func publishPresetFromWire(w publishPresetWire) configurer.PublishPreset {
	return configurer.PublishPreset{Change: changeFromWire(w.Change), Preset: presetFromWire(w.Preset)}
}

func switchPresetToWire(r configurer.SwitchPreset) switchPresetWire {
	return switchPresetWire{Change: changeToWire(r.Change), Preset: string(r.Preset)}
}

func switchPresetFromWire(w switchPresetWire) configurer.SwitchPreset {
	return configurer.SwitchPreset{Change: changeFromWire(w.Change), Preset: identifier.Preset(w.Preset)}
}

func issueKeyToWire(r configurer.IssueKey) issueKeyWire {
	return issueKeyWire{Change: changeToWire(r.Change), Key: keyToWire(r.Key)}
}

func issueKeyFromWire(w issueKeyWire) configurer.IssueKey {
	return configurer.IssueKey{Change: changeFromWire(w.Change), Key: keyFromWire(w.Key)}
}

func withdrawKeyToWire(r configurer.WithdrawKey) withdrawKeyWire {
	return withdrawKeyWire{Change: changeToWire(r.Change), Hash: string(r.Hash)}
}

func withdrawKeyFromWire(w withdrawKeyWire) configurer.WithdrawKey {
	return configurer.WithdrawKey{Change: changeFromWire(w.Change), Hash: identifier.KeyHash(w.Hash)}
}

func outcomeToWire(o configurer.Outcome) outcomeWire {
	w := outcomeWire{ID: string(o.ID), Version: int64(o.Version)}
	if c := o.Conflict; c != nil {
		w.Conflict = &conflictWire{
			Kind:    uint8(c.Subject.Kind),
			Name:    c.Subject.Name,
			Reason:  uint8(c.Reason),
			Base:    int64(c.Base),
			Current: int64(c.Current),
		}
	}
	return w
}

func outcomeFromWire(w outcomeWire) configurer.Outcome {
	o := configurer.Outcome{ID: configurer.ChangeID(w.ID), Version: identifier.Version(w.Version)}
	if c := w.Conflict; c != nil {
		o.Conflict = &configurer.Conflict{
			Subject: configurer.Subject{Kind: configurer.SubjectKind(c.Kind), Name: c.Name},
			Reason:  configurer.Reason(c.Reason),
			Base:    identifier.Version(c.Base),
			Current: identifier.Version(c.Current),
		}
	}
	return o
}

func snapshotToWire(s configurer.Snapshot) snapshotWire {
	return snapshotWire{
		Through:        int64(s.Through),
		Wall:           int64(s.Wall),
		Version:        int64(s.Version),
		InForce:        string(s.InForce),
		InForceVersion: int64(s.InForceVersion),
		Presets: mapSlice(s.Presets, func(p configurer.VersionedPreset) versionedPresetWire {
			return versionedPresetWire{Preset: presetToWire(*p.Preset), Version: int64(p.Version)}
		}),
		Keys: mapSlice(s.Keys, func(k configurer.VersionedKey) versionedKeyWire {
			return versionedKeyWire{Key: keyToWire(k.Key), Version: int64(k.Version), Withdrawn: k.Withdrawn}
		}),
		Outcomes: mapSlice(s.Outcomes, outcomeToWire),
	}
}

func snapshotFromWire(w snapshotWire) configurer.Snapshot {
	return configurer.Snapshot{
		Through:        identifier.Offset(w.Through),
		Wall:           clock.Wall(w.Wall),
		Version:        identifier.Version(w.Version),
		InForce:        identifier.Preset(w.InForce),
		InForceVersion: identifier.Version(w.InForceVersion),
		Presets: mapSlice(w.Presets, func(p versionedPresetWire) configurer.VersionedPreset {
			preset := presetFromWire(p.Preset)
			return configurer.VersionedPreset{Preset: &preset, Version: identifier.Version(p.Version)}
		}),
		Keys: mapSlice(w.Keys, func(k versionedKeyWire) configurer.VersionedKey {
			return configurer.VersionedKey{
				Key:       keyFromWire(k.Key),
				Version:   identifier.Version(k.Version),
				Withdrawn: k.Withdrawn,
			}
		}),
		Outcomes: mapSlice(w.Outcomes, outcomeFromWire),
	}
}

func logContactToWire(c configurer.Contact) logContactWire {
	return logContactWire{Reader: string(c.Reader), Stamp: int64(c.Stamp), Age: int64(c.Age)}
}

func logContactFromWire(w logContactWire) configurer.Contact {
	return configurer.Contact{
		Reader: identifier.Node(w.Reader),
		Stamp:  clock.Time(w.Stamp),
		Age:    clock.Duration(w.Age),
	}
}

func hintToWire(h configurer.Hint) hintWire {
	return hintWire{Next: int64(h.Next), Contact: logContactToWire(h.Contact)}
}

func hintFromWire(w hintWire) configurer.Hint {
	return configurer.Hint{Next: identifier.Offset(w.Next), Contact: logContactFromWire(w.Contact)}
}

func tailRequestToWire(r configurer.TailRequest) tailRequestWire {
	return tailRequestWire{From: int64(r.From), State: r.State, Skip: r.Skip}
}

func tailRequestFromWire(w tailRequestWire) configurer.TailRequest {
	return configurer.TailRequest{From: identifier.Offset(w.From), State: w.State, Skip: w.Skip}
}

func tailToWire(t configurer.Tail) tailWire {
	return tailWire{
		From: int64(t.From),
		Next: int64(t.Next),
		Records: mapSlice(t.Records, func(r configurer.Record) recordWire {
			return recordWire{Offset: int64(r.Offset), Raw: r.Raw}
		}),
		End:     int64(t.End),
		Contact: logContactToWire(t.Contact),
	}
}

func tailFromWire(w tailWire) configurer.Tail {
	return configurer.Tail{
		From: identifier.Offset(w.From),
		Next: identifier.Offset(w.Next),
		Records: mapSlice(w.Records, func(r recordWire) configurer.Record {
			return configurer.Record{Offset: identifier.Offset(r.Offset), Raw: r.Raw}
		}),
		End:     identifier.Offset(w.End),
		Contact: logContactFromWire(w.Contact),
	}
}

func stateToWire(s configurer.State) snapshotWire {
	return snapshotToWire(s.Snapshot)
}

func stateFromWire(w snapshotWire) configurer.State {
	return configurer.State{Snapshot: snapshotFromWire(w)}
}
