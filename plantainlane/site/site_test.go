package site

import (
	"testing"

	"github.com/matryer/is"
)

// TestRouteIsTheLongestPrefix guards against a route that is selected by the order of the configuration, by a prefix
// that ends within a path segment, or although it is for another host.
func TestRouteIsTheLongestPrefix(t *testing.T) {
	s := &Site{Routes: []*Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}}
	s.Compile(nil)
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"b.example", "/x/y/1", "other"},
		{"c.example", "/x/", ""},
	}
	for _, tt := range tests {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			got := ""
			if r := s.Route(tt.host, tt.path); r != nil {
				got = r.Name
			}
			is.New(t).Equal(got, tt.want)
		})
	}
}

// TestWeightsSplitARoute guards against services that get more or fewer requests than their weights say. A service of
// weight 0 gets none.
func TestWeightsSplitARoute(t *testing.T) {
	is := is.New(t)
	r := &Route{Splits: []Split{{"none", 0}, {"most", 90}, {"few", 10}}}
	is.Equal(r.Service(0), "most")
	is.Equal(r.Service(0.89), "most")
	is.Equal(r.Service(0.91), "few")
	is.Equal(r.Service(0.999999), "few")
}

// TestKeysSelectTheWorkspace guards against a key that selects the wrong workspace, and against an empty key that
// selects any.
func TestKeysSelectTheWorkspace(t *testing.T) {
	is := is.New(t)
	s := &Site{}
	s.Compile([]*Workspace{{Name: "hostel", Keys: []string{"k1", "k2"}}, {Name: "school", Keys: []string{"k3"}}})
	is.Equal(s.Workspace("k2").Name, "hostel")
	is.Equal(s.Workspace("k3").Name, "school")
	is.True(s.Workspace("") == nil)
	is.True(s.HasWorkspaces)
}

// TestFinalStagesAreNeededByNoOtherStage guards against a request that runs before the results that it needs exist, or
// that is given results of intermediate stages.
func TestFinalStagesAreNeededByNoOtherStage(t *testing.T) {
	r := &Route{Stages: []Stage{{}, {}, {After: []int{1}}, {After: []int{2}}}}
	is.New(t).Equal(r.FinalStages(), []int{0, 3})
}
