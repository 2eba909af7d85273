package caller

import (
	"net/http"
	"strconv"

	"verbenaledge.example/verbenad/internal/backend"
)

// passWhole passes an answer on once all of it has come.
func passWhole(w http.ResponseWriter) backend.Sink {
	return func(a *backend.Response) (tokens int, fault *backend.CallError) {
		body, err := a.ReadAll()
		if err != nil {
			return 0, backend.AsCallError(err)
		}
		if t := a.Header.Get("Content-Type"); t != "" {
			w.Header().Set("Content-Type", t)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(a.Status)
		_, _ = w.Write(body) // the caller has gone if this fails
		return 0, nil
	}
}
