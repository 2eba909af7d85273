package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
)

// Load reads and checks a file. Wrong places come back as Faults, all at once.
func Load(path string) (s Settings, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load settings %s: %w", path, err)
		}
	}()
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(data)
}

// Parse reads and checks the text of a file.
func Parse(data []byte) (s Settings, err error) {
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return Settings{}, fmt.Errorf("not JSON: %w", err)
	}
	s = Defaults()
	var faults FieldErrors
	decode("", raw, reflect.ValueOf(&s).Elem(), &faults)
	check(&s, &faults)
	if len(faults) > 0 {
		return Settings{}, faults
	}
	return s, nil
}

// decode fills a value field by field, so that one wrong place doesn't hide the others.
func decode(path string, raw json.RawMessage, into reflect.Value, faults *FieldErrors) {
	_, custom := into.Addr().Interface().(json.Unmarshaler)
	if into.Kind() != reflect.Struct || custom {
		if err := json.Unmarshal(raw, into.Addr().Interface()); err != nil {
			*faults = append(*faults, FieldError{path, reason(err, into.Kind())})
		}
		return
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		*faults = append(*faults, FieldError{path, "want an object"})
		return
	}
	known := map[string]bool{}
	for i := range into.NumField() {
		name, _, _ := strings.Cut(into.Type().Field(i).Tag.Get("json"), ",")
		known[name] = true
		if value, given := fields[name]; given {
			decode(join(path, name), value, into.Field(i), faults)
		}
	}
	for _, name := range sortedNames(fields) {
		if !known[name] {
			*faults = append(*faults, FieldError{join(path, name), "unknown field"})
		}
	}
}

func reason(err error, k reflect.Kind) string {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return "want a " + k.String()
	}
	return err.Error()
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
