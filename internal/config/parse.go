package config

import "github.com/acacialift/acacialift/internal/strictyaml"

// MaxDocumentBytes is the size limit of a published value; the configuration service stores values of up to 1 MB.
const MaxDocumentBytes = 1_000_000

// The defaults of optional fields.
const (
	DefaultTeamWeight   = 1
	DefaultLongPrefills = 1
	DefaultShortShare   = 0.25
)

// Finding is one error in a document, with its line, column and field.
type Finding = strictyaml.Finding

// FindingsError reports all findings of a document, ordered by line and column.
type FindingsError = strictyaml.FindingsError

// Parse decodes and validates a document and fills in its defaults. For invalid input it returns a *FindingsError.
func Parse(data []byte) (*Index, error) { return ParseFile("", data) }

// ParseFile is Parse with a file name to prefix the findings with. It does not open the file.
func ParseFile(file string, data []byte) (*Index, error) {
	var doc Document
	c := newChecker(strictyaml.Decode(file, data, MaxDocumentBytes, &doc))
	c.checkDocument(&doc)
	if err := c.report.Err(); err != nil {
		return nil, err
	}
	return NewIndex(&doc), nil
}

// ParseInstances decodes and validates an instance list. For invalid input it returns a *FindingsError.
func ParseInstances(data []byte) (*InstanceList, error) { return ParseInstancesFile("", data) }

// ParseInstancesFile is ParseInstances with a file name to prefix the findings with. It does not open the file.
func ParseInstancesFile(file string, data []byte) (*InstanceList, error) {
	var list InstanceList
	c := newChecker(strictyaml.Decode(file, data, MaxDocumentBytes, &list))
	c.checkInstances(&list)
	if err := c.report.Err(); err != nil {
		return nil, err
	}
	return &list, nil
}
