package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is the capacity of the queue; further lines are dropped.
const maxQueuedLines = 4096

// Queue is an io.Writer that forwards lines to another writer and never blocks. If the queue is full, new lines are dropped,
// and their number is logged before the next line.
type Queue struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	done      sync.WaitGroup
	closeOnce sync.Once
	stop      chan struct{}
}

// NewQueue returns a queue and starts forwarding its lines.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{})}
	q.done.Add(1)
	go q.run()
	return q
}

// Write implements io.Writer. It expects one complete line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops forwarding.
func (q *Queue) Close() {
	q.closeOnce.Do(func() { close(q.stop) })
	q.done.Wait()
}

func (q *Queue) run() {
	defer q.done.Done()
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

// write forwards a line. It ignores errors, because there is no other place to report them.
func (q *Queue) write(line []byte) {
	if dropped := q.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(q.out, "level=warn event=log_lines_dropped lines=%d\n", dropped)
	}
	_, _ = q.out.Write(line)
}
