// Package registrar keeps the announced state of the local endpoint and ignores late, foreign or outdated
// announcements.
package registrar
