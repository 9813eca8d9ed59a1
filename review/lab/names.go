package main

import "github.com/jackdawtide/jackdawtide/platform"

// names are the platform's header fields.
var names = platform.Headers()

// notRun is the field of an answer to a request that was not run.
func notRun() string {
	return names.NotRun + ": 1"
}

// signatureField is the field that each endpoint adds to the answers of its runs.
func signatureField(id string) string {
	return names.Signature + ": signed-" + id
}
