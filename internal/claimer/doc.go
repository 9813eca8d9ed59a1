// Package claimer decides which node holds which claim, by the order of the platform's log and a witness's promise.
package claimer
