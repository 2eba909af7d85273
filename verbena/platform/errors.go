package platform

import "errors"

// Errors that callers test for.
var (
	ErrNotFound    = errors.New("object not found")
	ErrConflict    = errors.New("object has changed; read it again before writing")
	ErrUnavailable = errors.New("platform is unavailable; try again later")
	ErrTooLarge    = errors.New("value is larger than the platform holds")
)
