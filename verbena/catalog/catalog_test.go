package catalog

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
)

func example() *Catalog {
	three := 3
	return New(7, []Route{
		{Name: "short", Host: "h", Prefix: "/a/", Kind: KindStream},
		{Name: "long", Host: "h", Prefix: "/a/b/", Kind: KindIdempotent, Priority: 1},
		{Name: "other", Host: "g", Prefix: "/a/", Kind: KindNonIdempotent},
	}, nil, []Workspace{{ID: "w", Keys: []string{"k1", "k2"}, Priority: &three}, {ID: "v", Keys: []string{"k3"}}}, Limits{})
}

func TestMatch(t *testing.T) {
	for _, tt := range []struct{ host, path, want string }{
		{"h", "/a/x", "short"},
		{"h", "/a/b/x", "long"},
		{"h:80", "/a/b/", "long"},
		{"h", "/a/b", "short"},
		{"g", "/a/b/x", "other"},
		{"h", "/a", ""},
		{"x", "/a/x", ""},
		{"h", "", ""},
	} {
		r, ok := example().Match(tt.host, tt.path)
		qt.Check(t, ok, qt.Equals, tt.want != "", qt.Commentf("%v", tt))
		if ok {
			qt.Check(t, r.Name, qt.Equals, tt.want)
		}
	}
}

func TestKeys(t *testing.T) {
	c := example()
	w, ok := c.WorkspaceByKey("k2")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, w.ID, qt.Equals, ids.WorkspaceID("w"))
	_, ok = c.WorkspaceByKey("")
	qt.Assert(t, ok, qt.IsFalse)
}

func TestPriorityOf(t *testing.T) {
	c := example()
	r, _ := c.Route("long")
	w, _ := c.Workspace("w")
	v, _ := c.Workspace("v")
	qt.Assert(t, r.PriorityOf(w), qt.Equals, 3)
	qt.Assert(t, r.PriorityOf(v), qt.Equals, 1)
	qt.Assert(t, r.PriorityOf(nil), qt.Equals, 1)
}

func TestRepeatable(t *testing.T) {
	qt.Assert(t, (&Route{Kind: KindIdempotent}).Repeatable(), qt.IsTrue)
	qt.Assert(t, (&Route{Kind: KindNonIdempotent}).Repeatable(), qt.IsFalse)
	qt.Assert(t, (&Route{Kind: KindStream}).Repeatable(), qt.IsFalse)
	qt.Assert(t, (&Route{Kind: KindStream, Resumable: true}).Repeatable(), qt.IsTrue)
}

func TestPickService(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	for roll, want := range map[float64]ids.ServiceName{0: "a", 0.89: "a", 0.91: "b", 0.9999: "b"} {
		got, ok := r.PickService(roll)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, got, qt.Equals, want)
	}
	_, ok := (&Route{}).PickService(0)
	qt.Assert(t, ok, qt.IsFalse)
}

// TestRateWithoutBurstAdmitsRequests guards against a workspace that has a rate and no burst, and whose requests are all refused.
func TestRateWithoutBurstAdmitsRequests(t *testing.T) {
	for _, tc := range []struct{ rate, burst, want float64 }{{0, 0, 0}, {5, 0, 1}, {0.2, 0, 1}, {44, 0, 4.4}, {44, 0.5, 1}, {44, 2, 2}, {44, 11, 11}} {
		c := New(1, nil, nil, []Workspace{{ID: "w", Keys: []string{"k"}, RatePerSecond: tc.rate, Burst: tc.burst}}, Limits{})
		w, ok := c.WorkspaceByKey("k")
		qt.Assert(t, ok, qt.IsTrue)
		qt.Check(t, w.Burst, qt.Equals, tc.want, qt.Commentf("rate %v/s, burst %v", tc.rate, tc.burst))
	}
}
