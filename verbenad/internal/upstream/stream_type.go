package upstream

import "strings"

// MayBeStream reports whether the response's type allows it to be a stream of events. Servers that state no type pass, as do
// those whose HTTP library then states text/plain.
func (r *Response) MayBeStream() bool {
	mediaType, _, _ := strings.Cut(r.Header.Get("Content-Type"), ";")
	switch strings.ToLower(strings.TrimSpace(mediaType)) {
	case "", "text/event-stream", "text/plain":
		return true
	}
	return false
}
