package platform

import (
	"encoding/json"
	"fmt"
	"strings"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
)

// The name of an object may hold no slash, so those of the rest of a name are spelled otherwise.
var (
	spelled   = strings.NewReplacer("~", "~0", "/", "~1")
	unspelled = strings.NewReplacer("~1", "/", "~0", "~")
)

// split returns the kind that a name belongs to, and the name of the object in it.
func split(name string) (kind objects.Kind, rest string) {
	first, rest, _ := strings.Cut(name, "/")
	return objects.Kind(kindPrefix + first), spelled.Replace(rest)
}

// joined is the name that split took apart.
func joined(kind objects.Kind, rest string) string {
	return strings.TrimPrefix(string(kind), kindPrefix) + "/" + unspelled.Replace(rest)
}

func decode(kind objects.Kind, object objects.Object) (o Object, m mark, err error) {
	var s stored
	if err := json.Unmarshal(object.Spec, &s); err != nil {
		return Object{}, m, fmt.Errorf("object %s of %s can't be read: %w", object.Name, kind, err)
	}
	return Object{Name: joined(kind, object.Name), Version: ids.Version(object.Revision), Value: s.Value}, s.Mark, nil
}
