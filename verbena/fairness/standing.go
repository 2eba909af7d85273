package fairness

// Standing is whether a workspace uses more than its share.
type Standing int

// The standings.
const (
	// None: the workspace takes no part, or there is room for all.
	None Standing = iota
	// Within: the workspace uses its share or less.
	Within
	// Beyond: the workspace uses more than its share.
	Beyond
)

// String returns the standing's name in logs and metrics.
func (s Standing) String() string {
	switch s {
	case Within:
		return "within"
	case Beyond:
		return "beyond"
	case None:
	}
	return "none"
}
