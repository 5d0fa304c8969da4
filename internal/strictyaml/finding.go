// Package strictyaml decodes YAML into structs. It accepts only known fields and reports all errors of a document with
// their locations.
package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in a YAML document.
type Finding struct {
	// File is the name of the file; it may be empty.
	File string `json:"file,omitempty"`
	// Line and Column start at 1; Column counts characters, not bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path is the field, such as "endpoints[3].address". It is empty for a finding about the document itself.
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
	// Omitted counts the findings above maxFindings, which are not listed.
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

// maxFindings bounds the list of findings because a document of 1 MB can have an error in every line.
const maxFindings = 200

type position struct {
	line   int
	column int
}

// Report collects the findings of one document and the position of each of its fields.
type Report struct {
	file      string
	findings  []Finding
	omitted   int
	positions map[string]position
	// rejected contains the fields whose value could not be decoded.
	rejected map[string]bool
}

func newReport(file string) *Report {
	return &Report{file: file, positions: make(map[string]position), rejected: make(map[string]bool)}
}

// Has reports whether the document contains the field.
func (r *Report) Has(path string) bool {
	_, ok := r.positions[path]
	return ok
}

// Line returns the line of a field. If the field is missing, it returns the line of its closest parent in the document.
func (r *Report) Line(path string) int { return r.position(path).line }

// Add adds a finding about a field. If the field is missing in the document, the position is that of its closest parent.
// Add does nothing if the field or one of its parents could not be decoded, which is already a finding.
func (r *Report) Add(path, format string, args ...any) {
	if r.Unreadable(path) {
		return
	}
	r.add(r.position(path), path, fmt.Sprintf(format, args...))
}

// Unreadable reports whether the field or one of its parents could not be decoded.
func (r *Report) Unreadable(path string) bool {
	for path != "" && !r.rejected[path] {
		path = parentOf(path)
	}
	return r.rejected[path]
}

func (r *Report) position(path string) position {
	for {
		if pos, ok := r.positions[path]; ok {
			return pos
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

func (r *Report) reject(pos position, path, format string, args ...any) {
	r.rejected[path] = true
	r.add(pos, path, fmt.Sprintf(format, args...))
}

func (r *Report) add(pos position, path, message string) {
	if len(r.findings) >= maxFindings {
		r.omitted++
		return
	}
	r.findings = append(r.findings, Finding{
		File: r.file, Line: pos.line, Column: pos.column, Path: path, Message: message,
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
