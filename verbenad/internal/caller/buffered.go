package caller

import (
	"net/http"
	"strconv"

	"verbenaledge.example/verbenad/internal/backend"
)

// forwardBuffered returns a sink that writes a response to the caller once its whole body has been read.
func forwardBuffered(w http.ResponseWriter) backend.Sink {
	return func(r *backend.Response) (tokens int, callErr *backend.CallError) {
		body, err := r.ReadAll()
		if err != nil {
			return 0, backend.AsCallError(err)
		}
		if contentType := r.Header.Get("Content-Type"); contentType != "" {
			w.Header().Set("Content-Type", contentType)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(r.Status)
		_, _ = w.Write(body) // the caller has disconnected if this fails
		return 0, nil
	}
}
