package lease

import (
	"fmt"
	"strconv"
	"strings"

	"verbenaledge.example/verbena/ids"
)

// Prefix begins the names of lease objects in the platform's store.
const Prefix = "leases/"

// ID identifies one term of one host's lease. The term is part of the object's name, so that a listing
// without values shows whether a lease is a new term or a renewal.
type ID struct {
	Host ids.HostID
	Term ids.Term
}

// ObjectName returns the name of the lease object.
func (i ID) ObjectName() string {
	return fmt.Sprintf("%s%s/%d", Prefix, i.Host, i.Term)
}

// ParseObjectName parses the name of a lease object.
func ParseObjectName(name string) (i ID, ok bool) {
	host, term, found := strings.Cut(strings.TrimPrefix(name, Prefix), "/")
	n, err := strconv.ParseUint(term, 10, 64)
	if !found || err != nil {
		return ID{}, false
	}
	return ID{Host: ids.HostID(host), Term: ids.Term(n)}, true
}
