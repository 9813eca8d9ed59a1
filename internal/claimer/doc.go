// Package claimer elects one holder at a time for each named claim. The order of records on the platform's log
// decides who holds a claim in which epoch (a fencing token), and the promises of a witness, another node of the
// failure domain, serve as the holder's short lease.
package claimer
