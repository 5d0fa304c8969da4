package config

import (
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"
)

// UnmarshalYAML reads a duration such as "30s".
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	value, err := time.ParseDuration(node.Value)
	if err != nil {
		return fmt.Errorf("line %d: %q is not a duration", node.Line, node.Value)
	}
	*d = Duration(value)
	return nil
}

// Parse reads and checks a document.
func Parse(data []byte) (*Index, error) {
	var doc Document
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return nil, fmt.Errorf("parse configuration: %w", err)
	}
	return NewIndex(&doc), nil
}
