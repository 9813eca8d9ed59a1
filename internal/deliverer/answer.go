package deliverer

// A faulty backend server may send an answer again where the next one on the connection is expected. An answer is therefore taken
// for a call's if it names the call, by its token, or if its connection has carried no other call. Connections are kept only while
// the answers name their calls.
//
// Example: the answers of ice-1 have no token: each call gets a connection of its own, which asks to be closed.

import (
	"net/http"

	"github.com/jackdawtide/jackdawtide/internal/requester"
)

// answers reports whether an answer is one to the request.
func (b *backend) answers(req *http.Request, resp *http.Response) bool {
	token := resp.Header.Get(TokenHeader)
	if token == req.Header.Get(TokenHeader) {
		b.namesCalls.Store(true)
		return requester.CheckHead(resp) == nil
	}
	b.namesCalls.Store(false)
	return token == "" && req.Close && requester.CheckHead(resp) == nil
}
