package reserver

// A bound for each connection bounds nothing while the number of connections is not bounded as well: a thousand heads of 60 KiB take
// a gigabyte once they are parsed. Therefore whatever a connection holds for its caller is reserved from one pool, whose size is a
// fraction of the machine's memory. What every connection needs for an ordinary request is free, so that callers with ordinary
// requests are served while others hold the whole pool.
//
// Example: p := New(PartOf(284 << 20)); a := p.Account(); if !a.Resize(70 << 10) { the request is refused }

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

const (
	// divisor gives the part of a machine's memory that connections may hold. The garbage collector may let the heap grow to twice
	// its live size, and the rest of the process needs up to half of the memory.
	divisor = 8
	// FreeBytes is what each account may hold without a reservation: an ordinary request's head, parsed and copied.
	FreeBytes = 6 << 10
)

// PartOf returns the part of a machine's memory that all connections together may hold.
func PartOf(memory int64) int64 {
	return memory / divisor
}

// MachineMemory returns the memory of this machine.
func MachineMemory() (int64, error) {
	var i unix.Sysinfo_t
	if err := unix.Sysinfo(&i); err != nil {
		return 0, fmt.Errorf("read the machine's memory: %w", err)
	}
	return int64(i.Totalram) * int64(i.Unit), nil
}

// ExhaustedError reports that a pool has no room for what a connection would have to hold.
type ExhaustedError struct {
	// Wanted is the number of bytes that were not reserved, Limit the size of the pool.
	Wanted, Limit int64
}

// Error names both sizes.
func (e ExhaustedError) Error() string {
	return fmt.Sprintf("no memory for %d more bytes: connections may hold %d together", e.Wanted, e.Limit)
}

// StatusOf returns the status with which a request is refused whose body could not be read: 503 if there was no memory for it, and
// otherwise the given one.
func StatusOf(err error, otherwise int) int {
	var exhausted ExhaustedError
	if errors.As(err, &exhausted) {
		return http.StatusServiceUnavailable
	}
	return otherwise
}

// Pool is the memory that all connections of a process may hold together; it is safe for concurrent use.
type Pool struct {
	limit int64
	held  atomic.Int64
	// refused counts the reservations that found no room.
	refused atomic.Int64
}

// New returns a pool of the given size in bytes.
func New(limit int64) *Pool {
	return &Pool{limit: limit}
}

// Take reserves n bytes, or none with an ExhaustedError.
func (p *Pool) Take(n int64) error {
	if held := p.held.Add(n); n > 0 && held > p.limit {
		p.held.Add(-n)
		p.refused.Add(1)
		return ExhaustedError{Wanted: n, Limit: p.limit}
	}
	return nil
}

// Give returns n reserved bytes.
func (p *Pool) Give(n int64) {
	p.held.Add(-n)
}

// Held returns how many bytes are reserved.
func (p *Pool) Held() int64 { return p.held.Load() }

// Limit returns the size of the pool.
func (p *Pool) Limit() int64 { return p.limit }

// Refused returns how many reservations have found no room.
func (p *Pool) Refused() int64 { return p.refused.Load() }

// Account returns an account that holds nothing.
func (p *Pool) Account() Account {
	return Account{pool: p}
}

// Account is what one connection holds of a pool, beyond FreeBytes. It is not safe for concurrent use.
type Account struct {
	pool     *Pool
	reserved int64
}

// Resize changes what the account holds to n bytes. Without room for more, it holds as much as before.
func (a *Account) Resize(n int64) error {
	wanted := max(0, n-FreeBytes)
	if err := a.pool.Take(wanted - a.reserved); err != nil {
		return err
	}
	a.reserved = wanted
	return nil
}
