package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
)

// Severity states what a finding means for the document.
type Severity int

// The severities in their order.
const (
	// Error means that instances reject the document or a part of it, or that its entries contradict each other.
	Error Severity = iota
	// Warning means that an entry has no effect or another one than its author may expect.
	Warning
	// Difference means that the document differs from the version in force.
	Difference
)

// String returns the name of the severity.
func (s Severity) String() string { return [...]string{"error", "warning", "difference"}[s] }

// List is a list of the document.
type List int

// The lists in the order in which findings about them are sorted.
const (
	// NoList is the document itself.
	NoList List = iota
	Profiles
	Services
	Teams
)

// Field is a field of the document or of an entry of its lists.
type Field int

// The fields in the order in which findings about them are sorted. NoField is the document or the entry itself.
const (
	NoField Field = iota
	FieldVersion
	FieldName
	FieldHost
	FieldPathPrefix
	FieldKind
	FieldTimeLimit
	FieldObjective
	FieldMaxGap
	FieldPriority
	FieldService
	FieldTrafficSplit
	FieldWeight
	FieldAttempts
	FieldPublic
	FieldResumable
	FieldHealthPath
	FieldMaxConnections
	FieldColdRate
	FieldEngine
	FieldKeys
	FieldTeams
	FieldMaxHeaderBytes
	FieldMaxBodyBytes
	FieldHeadTimeout
	FieldIdleTimeout
)

// Names holds the names of lists and fields in the format of the document.
type Names struct {
	Lists  map[List]string
	Fields map[Field]string
}

// noIndex is the index of an entry that the document does not have, and of a field that is no list.
const noIndex = -1

// Place is the place of a finding.
type Place struct {
	List List
	// Index is the index of the entry in its list; negative for an entry that only the version in force has.
	Index int
	// Name is the name of the entry.
	Name  string
	Field Field
	// Element is the index of an element of the field, which has the field Sub; negative if the whole field is meant.
	Element int
	Sub     Field
}

func document(field Field) Place { return Place{Field: field, Element: noIndex} }

func entry(list List, index int, name string) Place {
	return Place{List: list, Index: index, Name: name, Element: noIndex}
}

func (p Place) field(f Field) Place {
	p.Field = f
	return p
}

func (p Place) element(f Field, index int, sub Field) Place {
	p.Field, p.Element, p.Sub = f, index, sub
	return p
}

// Text returns the place with the names of a format, for example routes[3] "name".field.
func (p Place) Text(names Names) string {
	text := ""
	if p.List != NoList {
		text = names.Lists[p.List]
		if p.Index >= 0 {
			text += "[" + strconv.Itoa(p.Index) + "]"
		}
		text += " " + strconv.Quote(p.Name)
	}
	if p.Field != NoField {
		if text != "" {
			text += "."
		}
		text += names.Fields[p.Field]
	}
	if p.Element >= 0 {
		text += "[" + strconv.Itoa(p.Element) + "]"
		if p.Sub != NoField {
			text += "." + names.Fields[p.Sub]
		}
	}
	return text
}

func comparePlaces(a, b Place) int {
	return cmp.Or(
		cmp.Compare(a.List, b.List),
		// Entries that only the version in force has come last.
		cmp.Compare(uint(a.Index), uint(b.Index)),
		cmp.Compare(a.Name, b.Name), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Element, b.Element), cmp.Compare(a.Sub, b.Sub),
	)
}

// Finding is what a check has found at a place.
type Finding struct {
	Severity Severity
	Place    Place
	Message  string
}

// NewError returns an error about the document as a whole.
func NewError(message string) Finding {
	return Finding{Severity: Error, Place: document(NoField), Message: message}
}

// NewEntryError returns an error about an entry that the adapter of the format has found.
func NewEntryError(list List, index int, name, message string) Finding {
	return Finding{Severity: Error, Place: entry(list, index, name), Message: message}
}

// findings collects the findings of a check.
type findings []Finding

func (f *findings) add(severity Severity, place Place, format string, args ...any) {
	*f = append(*f, Finding{Severity: severity, Place: place, Message: fmt.Sprintf(format, args...)})
}

// Sort sorts findings by severity, then by place.
func Sort(list []Finding) {
	slices.SortStableFunc(list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), comparePlaces(a.Place, b.Place), cmp.Compare(a.Message, b.Message))
	})
}
