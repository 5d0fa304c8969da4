package config_test

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"

	"github.com/acacialift/acacialift/internal/config"
)

var badSeeds = []string{
	"", "\x00", "\xff\xfe", "---\n", "a: &a [*a]", "revision: 1\n---\nrevision: 2", "? [a]\n: b", "<<: {revision: 1}",
	"revision: !!binary MQ==", "- revision", "{", "domains: [{}]", "teams: [1, {weight: .inf}, null]", "%YAML 1.1\n---\n{}",
	"services: [{warm: 3, cold: {streams: 0x7fffffffffffffff}}]", strings.Repeat("[", 1000), "revision: 1 # \u2028",
}

// Guards against panics, findings without a location, and valid documents that change when they are encoded and parsed
// again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(document))
	for _, seed := range badSeeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		index, err := config.Parse(data)
		if err != nil {
			checkFindings(t, data, err)
			return
		}
		encoded, err := yaml.Marshal(index.Document)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := config.Parse(encoded)
		if err != nil {
			t.Fatalf("an encoded document is rejected: %v\n%s", err, encoded)
		}
		if !reflect.DeepEqual(index.Document, decoded.Document) {
			t.Fatalf("%+v became %+v", index.Document, decoded.Document)
		}
	})
}

// Guards against the same failures for instance lists.
func FuzzParseInstances(f *testing.F) {
	f.Add([]byte(instances))
	for _, seed := range badSeeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := config.ParseInstances(data)
		if err != nil {
			checkFindings(t, data, err)
			return
		}
		encoded, err := yaml.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := config.ParseInstances(encoded)
		if err != nil || !reflect.DeepEqual(list, decoded) {
			t.Fatalf("%+v became %+v (%v)", list, decoded, err)
		}
	})
}

func checkFindings(t *testing.T, data []byte, err error) {
	t.Helper()
	var all *config.FindingsError
	if !errors.As(err, &all) || len(all.Findings) == 0 {
		t.Fatalf("no findings: %v", err)
	}
	for _, finding := range all.Findings {
		if finding.Line < 1 || finding.Column < 1 || finding.Line > len(data)+1 || finding.Message == "" {
			t.Fatalf("finding without a location: %+v", finding)
		}
	}
}
