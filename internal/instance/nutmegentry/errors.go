package nutmegentry

import (
	"errors"
	"fmt"
)

// ListenError reports an address that could not be opened for listening.
type ListenError struct {
	Setting string
	Address string
	Err     error
}

// Error returns the setting, the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("%s %q could not be opened; free the port or change the setting: %v", e.Setting, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Err
}

var (
	errStopped      = errors.New("the instance has stopped")
	errNoPermitHome = errors.New("no home of the rate limit has answered lately")
	errNoSegments   = errors.New("the configuration is one piece here; fetch the revision")
)
