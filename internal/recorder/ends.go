package recorder

// A request that ends backend servers comes again under other ids and at other nodes, and as a nested call of other runs. Lines
// that share a fingerprint tell its whole history: each end of a server, and each offer after the first end.
//
// Example: "endpoint ended" names r-1 with 5f01c2a9d3b4, "suspect request offered" r-2 with the same and "ends":1.

import "github.com/jackdawtide/jackdawtide/internal/identifier"

// maxRequestsInLine bounds the requests in one line, at some 60 bytes each.
const maxRequestsInLine = 50

// EndedRequest is a request under which a backend server ended.
type EndedRequest struct {
	Request string
	// Fingerprints are those of the request, as in all lines about it.
	Fingerprints string
}

// EndedEndpoint is the end of the local endpoint while it ran requests.
type EndedEndpoint struct {
	Endpoint identifier.Endpoint
	Requests []EndedRequest
	// Innocent is how many more ran that an endpoint had answered shortly before.
	Innocent int
}

type wireEndedRequest struct {
	Request      string `json:"request"`
	Fingerprints string `json:"fingerprints"`
}

// EndpointEnded records that the local endpoint ended.
func (r *Recorder) EndpointEnded(e EndedEndpoint) {
	r.meters.add("endpoint_ends", 1, "under", underOf(e))
	ok, leftOut := r.allow("endpoint ended", linesPerSecond)
	if !ok {
		return
	}
	requests := make([]wireEndedRequest, 0, min(len(e.Requests), maxRequestsInLine))
	for _, q := range e.Requests[:min(len(e.Requests), maxRequestsInLine)] {
		requests = append(requests, wireEndedRequest(q))
	}
	r.logger.Warn("endpoint ended", "endpoint", string(e.Endpoint), "requests", requests, "more", len(e.Requests)-len(requests),
		"innocent", e.Innocent, "leftOut", leftOut)
}

// underOf returns whether an endpoint ended under suspect requests.
func underOf(e EndedEndpoint) string {
	if len(e.Requests) == 0 {
		return "none"
	}
	return "suspects"
}

// SuspectOffer is an offer of a request under which backend servers had ended before.
type SuspectOffer struct {
	Request      string
	Fingerprints string
	// Ends is how many had ended under it, as far as the offering node knew.
	Ends  int
	Offer Offer
}

// SuspectOffered records such an offer when it has ended.
func (r *Recorder) SuspectOffered(s SuspectOffer) {
	r.meters.increment("suspect_offers", "outcome", s.Offer.Outcome)
	ok, leftOut := r.allow("suspect offered", offersPerSecond)
	if !ok {
		return
	}
	r.logger.Warn("suspect request offered", "request", s.Request, "fingerprints", s.Fingerprints, "ends", s.Ends,
		"endpoint", string(s.Offer.Endpoint), "at", string(s.Offer.Node), "outcome", s.Offer.Outcome, "status", s.Offer.Status,
		"tookMs", int64(s.Offer.Took), "leftOut", leftOut)
}
