// Package strictyaml decodes YAML into structs, accepts only known fields and collects every finding with its location.
package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault of a YAML document.
type Finding struct {
	// File is the name under which the document was read; it may be empty.
	File string `json:"file,omitempty"`
	// Line and Column count from 1; Column counts characters.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path is the field, such as "endpoints[3].address"; it is empty for the whole document.
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// String returns the finding as "file:line:column: path: message".
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
	}
	fmt.Fprintf(&b, "%d:%d: ", f.Line, f.Column)
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// FindingsError reports all findings of one document, ordered by line and column.
type FindingsError struct {
	Findings []Finding
	// Omitted counts the findings beyond the limit of the list.
	Omitted int
}

// Error implements the error interface; it has one line for each finding.
func (e *FindingsError) Error() string {
	lines := make([]string, 0, len(e.Findings)+1)
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("%d more findings are not listed", e.Omitted))
	}
	return strings.Join(lines, "\n")
}

// maxFindings bounds the list, since a document of 1 MB can hold a fault in every line.
const maxFindings = 200

type position struct {
	line   int
	column int
}

// Report collects the findings of one document and knows the position of each field that was read.
type Report struct {
	file      string
	findings  []Finding
	omitted   int
	positions map[string]position
	// rejected holds the fields whose value could not be read.
	rejected map[string]bool
}

func newReport(file string) *Report {
	return &Report{file: file, positions: make(map[string]position), rejected: make(map[string]bool)}
}

// Has tells whether the document contains the field.
func (r *Report) Has(path string) bool {
	_, ok := r.positions[path]
	return ok
}

// Line returns the line of a field, or that of its closest parent in the document.
func (r *Report) Line(path string) int { return r.position(path).line }

// Add reports a finding about a field. A field that is not in the document is reported at its closest parent. Findings
// about a field that could not be read, or that is part of one, are dropped, since that was reported before.
func (r *Report) Add(path, format string, args ...any) {
	if r.Unreadable(path) {
		return
	}
	r.add(r.position(path), path, fmt.Sprintf(format, args...))
}

// Unreadable tells whether the field, or one that it is part of, was reported because it could not be read.
func (r *Report) Unreadable(path string) bool {
	for path != "" && !r.rejected[path] {
		path = parentOf(path)
	}
	return r.rejected[path]
}

func (r *Report) position(path string) position {
	for {
		if at, ok := r.positions[path]; ok {
			return at
		}
		if path == "" {
			return position{line: 1, column: 1}
		}
		path = parentOf(path)
	}
}

func parentOf(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

func (r *Report) reject(at position, path, format string, args ...any) {
	r.rejected[path] = true
	r.add(at, path, fmt.Sprintf(format, args...))
}

func (r *Report) add(at position, path, message string) {
	if len(r.findings) >= maxFindings {
		r.omitted++
		return
	}
	r.findings = append(r.findings, Finding{
		File: r.file, Line: at.line, Column: at.column, Path: path, Message: message,
	})
}

// Err returns a *FindingsError with all findings, or nil if there are none.
func (r *Report) Err() error {
	if len(r.findings) == 0 {
		return nil
	}
	sorted := slices.Clone(r.findings)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return &FindingsError{Findings: sorted, Omitted: r.omitted}
}
