package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queuedLines is the number of lines that wait for a slow reader; further ones are dropped.
const queuedLines = 4096

// Queue passes lines on to a writer without ever blocking. When the reader is too slow the newest lines are dropped; the
// next line that is written tells how many.
type Queue struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	ended   sync.WaitGroup
	closing sync.Once
	stop    chan struct{}
}

// NewQueue starts passing lines on.
func NewQueue(to io.Writer) *Queue {
	q := &Queue{to: to, lines: make(chan []byte, queuedLines), stop: make(chan struct{})}
	q.ended.Add(1)
	go q.pass()
	return q
}

// Write implements io.Writer. It takes one whole line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the lines that wait, and ends.
func (q *Queue) Close() {
	q.closing.Do(func() { close(q.stop) })
	q.ended.Wait()
}

func (q *Queue) pass() {
	defer q.ended.Done()
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-q.stop:
			q.flush()
			return
		}
	}
}

func (q *Queue) flush() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			return
		}
	}
}

// write passes a line on. An error of the writer cannot be reported anywhere else.
func (q *Queue) write(line []byte) {
	if dropped := q.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(q.to, "level=warn event=log_lines_dropped lines=%d\n", dropped)
	}
	_, _ = q.to.Write(line)
}
