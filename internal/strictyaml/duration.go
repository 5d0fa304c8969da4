package strictyaml

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written like "30s" in YAML.
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// SetText implements TextValue. It parses a duration such as "30s".
func (d *Duration) SetText(text string) error {
	value, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"30s\"", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalYAML implements yaml.Marshaler. It returns the form that SetText parses.
func (d Duration) MarshalYAML() (any, error) { return d.Std().String(), nil }
