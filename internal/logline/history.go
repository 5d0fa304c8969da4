package logline

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Event is one log line about a request.
type Event struct {
	Line
	// Source is the instance and process that wrote the line, or the name of its log.
	Source string
}

// History collects the log lines about one request.
type History struct {
	RequestID string
	// Events is in order of time after Sort; events without a time come last. Clocks of different instances may differ.
	Events []Event
}

// Add reads the lines about the request from a log. name is the source of lines that name no instance or process.
func (h *History) Add(name string, log io.Reader) error {
	reader := bufio.NewReader(log)
	for {
		text, err := reader.ReadString('\n')
		if strings.Contains(text, h.RequestID) {
			h.addLine(name, Parse(strings.TrimRight(text, "\r\n")))
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
}

// matches reports whether an ID is that of the request or of one of its dispatches, which owners log as "ID:PART".
func (h *History) matches(id string) bool {
	return id == h.RequestID || strings.HasPrefix(id, h.RequestID+":")
}

func (h *History) addLine(name string, line Line) {
	if !h.matches(line.Value(KeyRequestID)) {
		return
	}
	source := strings.Trim(line.Value(KeyInstance)+"/"+line.Value(KeyProcess), "/")
	if source == "" {
		source = name
	}
	h.Events = append(h.Events, Event{Line: line, Source: source})
}

// Sort orders the events by time; events of the same time keep their order.
func (h *History) Sort() {
	slices.SortStableFunc(h.Events, func(a, b Event) int {
		if a.Time.IsZero() != b.Time.IsZero() {
			if a.Time.IsZero() {
				return 1
			}
			return -1
		}
		return a.Time.Compare(b.Time)
	})
}

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// WriteTable writes the events as a table, with the milliseconds since the first event.
func (h *History) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "time\tms\tsource\tlevel\tevent\tdetails")
	for _, event := range h.Events {
		timestamp, elapsed := "-", "-"
		if !event.Time.IsZero() {
			timestamp = event.Time.UTC().Format(timeFormat)
			elapsed = fmt.Sprintf("%+.1f", milliseconds(event.Time.Sub(h.Events[0].Time)))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", timestamp, elapsed, event.Source, event.Value(KeyLevel), event.Message,
			details(event.Line))
	}
	return t.Flush()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// details returns the pairs that have no column in the table.
func details(line Line) string {
	var parts []string
	for _, pair := range line.Pairs {
		switch pair.Key {
		case KeyRequestID, KeyInstance, KeyProcess, KeyLevel:
			continue
		}
		value := pair.Value
		if value == "" || strings.ContainsAny(value, " \t\n\"") {
			value = fmt.Sprintf("%q", value)
		}
		parts = append(parts, pair.Key+"="+value)
	}
	return strings.Join(parts, " ")
}
