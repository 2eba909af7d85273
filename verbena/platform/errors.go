package platform

import "errors"

// Errors that callers compare with errors.Is.
var (
	ErrNotFound    = errors.New("object not found")
	ErrConflict    = errors.New("object has changed; read it again before writing")
	ErrUnavailable = errors.New("platform is unavailable; try again later")
	ErrTooLarge    = errors.New("value exceeds the platform's size limit")
)
