package strictyaml

import (
	"fmt"
	"time"
)

// Duration is a time.Duration written as in "30s".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// SetText reads a duration such as "30s".
func (d *Duration) SetText(text string) error {
	value, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"30s\"", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalYAML returns the form that SetText reads.
func (d Duration) MarshalYAML() (any, error) { return d.Std().String(), nil }
