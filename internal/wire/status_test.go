package wire_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/testkit"
	"github.com/acacialift/acacialift/internal/wire"
)

func TestWire(t *testing.T) { testkit.RunSpecs(t, "wire") }

var _ = Describe("the status of a response", func() {
	// Guards against numbers that are no status of HTTP: nobody knows what they mean, and a lower one counts as interim.
	It("is rejected unless it is a number from 100 to 599", func() {
		for number := range 1000 {
			for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
				response, err := wire.ParseResponse(fmt.Appendf(nil, "%s %03d X\r\nContent-Length: 0\r\n\r\n", version, number))
				if number >= 100 && number <= 599 {
					Expect(err).NotTo(HaveOccurred())
					Expect(response.Status).To(Equal(number))
					continue
				}
				var malformed *wire.MalformedError
				Expect(errors.As(err, &malformed)).To(BeTrue(), "status %03d: %v", number, err)
			}
		}
	})

	// Guards against text that a parser of numbers accepts.
	It("is rejected if it is not three digits", func() {
		for _, status := range testkit.InvalidStatuses {
			var malformed *wire.MalformedError
			_, err := wire.ParseResponse([]byte("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"))
			Expect(errors.As(err, &malformed)).To(BeTrue(), "status line %q: %v", status, err)
		}
		_, err := wire.ParseResponse([]byte("HTTP/1.1\r\nContent-Length: 0\r\n\r\n"))
		Expect(err).To(HaveOccurred())
	})
})
