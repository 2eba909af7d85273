package settings

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is written as a string with a unit, as in "1.5s".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) (err error) {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("want a string with a unit, as in \"1.5s\"")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("want a duration with a unit, as in \"1.5s\", not %q", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

func (d Duration) std() time.Duration {
	return time.Duration(d)
}
