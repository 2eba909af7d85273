package lateanswers

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"regexp"
	"strconv"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbenalab/internal/process"
)

// The roles of hosts.
const (
	roleEntry   = "front"
	roleStorage = "storage"
)

// host is one process of verbenad.
type host struct {
	name, role, ip string
	process        *process.Process
}

func (h *host) callerAddress() string { return address(h.ip, callerPort) }

// start writes the settings and starts the process.
func (h *host) start(o Options, store string, seeds []string) (err error) {
	s := standin.HostSettings{Name: h.name, IP: h.ip, Zone: zone, Serves: h.role, PeerPort: peerPort, Store: store, Seeds: seeds}
	if h.role == roleEntry {
		s.CallerPort, s.ReadyPort = callerPort, readyPort
	}
	settings := filepath.Join(o.Dir, h.name+".json")
	if err := standin.WriteSettings(settings, s); err != nil {
		return err
	}
	h.process, err = process.Start(o.Dir, h.name, standin.SettingsEnv(settings), filepath.Join(o.ProgramsDir, "verbenad"), h.role)
	return err
}

// hasConnection reports whether the other end of a connection belongs to the host's process. A connection that has ended has no owner.
func (h *host) hasConnection(accepted net.Conn) bool {
	has, err := h.process.HasConnection(accepted.RemoteAddr(), accepted.LocalAddr())
	return err == nil && has
}

// metricLine matches a counter, with its labels if it has any.
var metricLine = regexp.MustCompile(`(?m)^(\w+)((?:\{[^}]*\})?) (\d+)$`)

// metrics returns the host's counters by their names and labels.
func (h *host) metrics() (values map[string]int, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read metrics of %s: %w", h.name, err)
		}
	}()
	response, err := http.Get("http://" + address(h.ip, peerPort+1) + "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // read errors are returned
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	values = make(map[string]int)
	for _, m := range metricLine.FindAllStringSubmatch(string(text), -1) {
		n, err := strconv.Atoi(m[3])
		if err != nil {
			return nil, err
		}
		values[m[1]+m[2]] = n
	}
	return values, nil
}
