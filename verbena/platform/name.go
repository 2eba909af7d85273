package platform

import (
	"encoding/json"
	"fmt"
	"strings"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
)

// Object names in the store must not contain slashes, so slashes after the first are escaped.
var (
	nameEscaper   = strings.NewReplacer("~", "~0", "/", "~1")
	nameUnescaper = strings.NewReplacer("~1", "/", "~0", "~")
)

// splitName splits a name into the kind of the stored object and the object's name.
func splitName(name string) (kind objects.Kind, objectName string) {
	kindName, objectName, _ := strings.Cut(name, "/")
	return objects.Kind(kindPrefix + kindName), nameEscaper.Replace(objectName)
}

// joinName is the inverse of splitName.
func joinName(kind objects.Kind, objectName string) string {
	return strings.TrimPrefix(string(kind), kindPrefix) + "/" + nameUnescaper.Replace(objectName)
}

func decodeObject(kind objects.Kind, object objects.Object) (o Object, id writeID, err error) {
	var s storedValue
	if err := json.Unmarshal(object.Spec, &s); err != nil {
		return Object{}, id, fmt.Errorf("decode object %s of %s: %w", object.Name, kind, err)
	}
	return Object{Name: joinName(kind, object.Name), Version: ids.Version(object.Revision), Value: s.Value}, s.WriteID, nil
}
