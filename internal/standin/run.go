package standin

import (
	"context"
	"fmt"
	"net"
	"strconv"
)

// Server is a stand-in that serves until its context ends.
type Server interface {
	Address() string
	Serve(ctx context.Context) error
}

// ConsecutiveAddresses returns count addresses with consecutive ports, beginning with the first address.
func ConsecutiveAddresses(first string, count int) ([]string, error) {
	host, portText, err := net.SplitHostPort(first)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("port %q is not a number", portText)
	}
	addresses := make([]string, count)
	for i := range addresses {
		addresses[i] = net.JoinHostPort(host, strconv.Itoa(port+i))
	}
	return addresses, nil
}

// ServeAll runs the servers until the context ends or one of them fails. It returns the first error.
func ServeAll[S Server](ctx context.Context, servers []S) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(servers))
	for _, server := range servers {
		go func() { results <- server.Serve(ctx) }()
	}
	var first error
	for range servers {
		if err := <-results; err != nil && first == nil {
			first = err
			cancel()
		}
	}
	return first
}
