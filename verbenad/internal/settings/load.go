package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
)

// Load reads and validates a file. Its error wraps FieldErrors if fields are invalid.
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

// Parse decodes and validates the text of a file.
func Parse(data []byte) (s Settings, err error) {
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return Settings{}, fmt.Errorf("not JSON: %w", err)
	}
	s = Defaults()
	var errs FieldErrors
	decodeValue("", raw, reflect.ValueOf(&s).Elem(), &errs)
	validate(&s, &errs)
	if len(errs) > 0 {
		return Settings{}, errs
	}
	return s, nil
}

// decodeValue decodes a struct field by field, so that one invalid field doesn't hide the others.
func decodeValue(path string, raw json.RawMessage, target reflect.Value, errs *FieldErrors) {
	_, custom := target.Addr().Interface().(json.Unmarshaler)
	if target.Kind() != reflect.Struct || custom {
		if err := json.Unmarshal(raw, target.Addr().Interface()); err != nil {
			*errs = append(*errs, FieldError{path, decodeReason(err, target.Kind())})
		}
		return
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		*errs = append(*errs, FieldError{path, "want an object"})
		return
	}
	known := map[string]bool{}
	for i := range target.NumField() {
		name, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		known[name] = true
		if value, given := fields[name]; given {
			decodeValue(joinPath(path, name), value, target.Field(i), errs)
		}
	}
	for _, n := range sortedKeys(fields) {
		if !known[n] {
			*errs = append(*errs, FieldError{joinPath(path, n), "unknown field"})
		}
	}
}

func decodeReason(err error, k reflect.Kind) string {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return "want a " + k.String()
	}
	return err.Error()
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
