// Package errs has the error that carries the step at which it arose and the
// peer that was involved.
package errs

import "fmt"

// Error is an error with the step and the peer at which it arose.
type Error struct {
	Step string
	Peer string // a process, file or field; empty where there is none
	Err  error
}

// Error gives step, peer and cause as one line.
func (e *Error) Error() string {
	if e.Peer == "" {
		return e.Step + ": " + e.Err.Error()
	}
	return e.Step + " at " + e.Peer + ": " + e.Err.Error()
}

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }

// Wrap adds step and peer to an error; nil stays nil.
func Wrap(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// Errorf makes an error with step and peer; %w wraps a cause.
func Errorf(step, peer, format string, args ...any) error {
	return &Error{Step: step, Peer: peer, Err: fmt.Errorf(format, args...)}
}
