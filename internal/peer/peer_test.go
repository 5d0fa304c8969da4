package peer_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestPeer(t *testing.T) { testkit.RunSpecs(t, "peer") }

type echoHandler struct{}

func (echoHandler) Handle(_ peer.Hello, envelope *peer.Envelope) (peer.Kind, any) {
	var request peer.DocumentRequest
	if envelope.Kind != peer.KindDocumentRequest || envelope.Decode(&request) != nil {
		return peer.KindError, peer.Error{Code: "unexpected"}
	}
	return peer.KindDocument, peer.Document{Revision: request.MinRevision}
}

type refusals chan string

func (r refusals) Refused(_, reason string) { r <- reason }

const testKey = "peer-key"

func startServer() (string, refusals) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	Expect(listener.Close()).To(Succeed())
	refused := make(refusals, 16)
	server, err := peer.NewNode(peer.Options{
		Listen: address, Self: peer.Hello{Key: testKey}, Handler: echoHandler{}, Events: refused,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return address, refused
}

func startClient(key string) *peer.Node {
	client, err := peer.NewNode(peer.Options{Self: peer.Hello{Key: key, Name: "c"}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)
	return client
}

func requestDocument(client *peer.Node, address string, revision uint64) (peer.Document, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var document peer.Document
	err := client.Call(ctx, address, peer.KindDocumentRequest, peer.DocumentRequest{MinRevision: revision}, &document)
	return document, err
}

var _ = Describe("Node", func() {
	// Guards against replies that are delivered to another caller on the same connection.
	It("delivers each reply to its own call", func() {
		address, _ := startServer()
		client := startClient(testKey)
		results := make(chan bool, 50)
		for i := range 50 {
			go func() {
				document, err := requestDocument(client, address, uint64(i))
				results <- err == nil && document.Revision == uint64(i)
			}()
		}
		for range 50 {
			Eventually(results, "10s").Should(Receive(BeTrue()))
		}
	})

	// Guards against processes without the key that are accepted as peers, and against keys in the log.
	It("refuses a wrong key without logging it", func() {
		address, refused := startServer()
		_, err := requestDocument(startClient("wrong-secret"), address, 1)
		Expect(err).To(HaveOccurred())
		var reason string
		Eventually(refused, "10s").Should(Receive(&reason))
		Expect(reason).To(ContainSubstring("wrong_key"))
		Expect(reason).NotTo(ContainSubstring("wrong-secret"))
	})

	// Guards against a process that no longer serves its peers after invalid input.
	DescribeTable("stays up after", func(input []byte) {
		address, refused := startServer()
		raw, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer raw.Close()
		_, err = raw.Write(input)
		Expect(err).NotTo(HaveOccurred())
		Eventually(refused, "10s").Should(Receive())
		document, err := requestDocument(startClient(testKey), address, 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(document.Revision).To(Equal(uint64(7)))
	},
		Entry("random bytes", []byte("GET / HTTP/1.1\r\n\r\n")),
		Entry("an oversize frame", []byte{0xff, 0xff, 0xff, 0xff}),
		Entry("an empty frame", []byte{0, 0, 0, 0}),
		Entry("an unknown kind", []byte{0, 0, 0, 5, 0x94, 0x7f, 0x01, 0xc2, 0xc0}),
		Entry("a frame that is not an array", []byte{0, 0, 0, 1, 0x01}),
	)

	// Guards against calls that wait forever when the other process exits.
	It("fails pending calls when the connection closes", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				_, _ = conn.Read(make([]byte, 16))
				_ = conn.Close()
			}
		}()
		_, err = requestDocument(startClient(testKey), listener.Addr().String(), 1)
		Expect(err).To(BeAssignableToTypeOf(&peer.CallError{}))
	})
})

// Guards against decoding that depends on how TCP splits the stream.
func TestDecoderSplits(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 5).Draw(t, "frames")
		var stream []byte
		for i := range count {
			body := peer.Document{Revision: uint64(i), Bytes: rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")}
			frame, err := peer.EncodeFrame(peer.KindDocument, uint64(i), true, body)
			if err != nil {
				t.Fatal(err)
			}
			stream = append(stream, frame...)
		}
		var decoder peer.Decoder
		seen := 0
		for len(stream) > 0 {
			n := rapid.IntRange(1, len(stream)).Draw(t, "split")
			envelopes, err := decoder.Feed(stream[:n])
			if err != nil {
				t.Fatal(err)
			}
			for _, envelope := range envelopes {
				if envelope.Seq != uint64(seen) {
					t.Fatalf("frame %d arrived at position %d", envelope.Seq, seen)
				}
				seen++
			}
			stream = stream[n:]
		}
		if seen != count {
			t.Fatalf("%d of %d frames decoded", seen, count)
		}
	})
}

// Guards against reservations that are reported under another id than the one they were granted under.
func TestReportIDs(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		id := peer.RequestID{
			Gateway:     rapid.SampledFrom([]string{"entry-1", "entry-12", "other"}).Draw(t, "gateway"),
			Incarnation: rapid.Int64Range(1, 99).Draw(t, "incarnation"), Sequence: rapid.Uint64().Draw(t, "sequence"),
			Part: rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "part"),
		}
		ids := []string{id.String(), rapid.StringMatching(`[a-z:1-9]{0,20}`).Filter(func(s string) bool {
			return len(s) == 0 || s[0] != ':'
		}).Draw(t, "other")}
		report := peer.CreditReport{Gateway: "entry-1", Incarnation: rapid.Int64Range(1, 99).Draw(t, "local incarnation")}
		for _, text := range ids {
			report.Items = append(report.Items, peer.CreditReportItem{RequestID: text})
		}
		report.ShortenIDs()
		report.RestoreIDs()
		for i, text := range ids {
			if report.Items[i].RequestID != text {
				t.Fatalf("%q became %q", text, report.Items[i].RequestID)
			}
		}
	})
}

// Guards against large bodies that arrive changed, and against small frames that decompress to more than the limit.
func TestCompressedBodies(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		unit := rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(t, "unit")
		size := rapid.IntRange(1, 3<<20).Draw(t, "size")
		content := bytes.Repeat(unit, size/len(unit)+1)
		frame, err := peer.EncodeFrame(peer.KindDocument, 1, true, peer.Document{Bytes: content})
		if err != nil {
			t.Fatal(err)
		}
		var decoder peer.Decoder
		envelopes, err := decoder.Feed(frame)
		if len(content) > peer.MaxFrameBytes {
			if len(envelopes) != 0 || err == nil {
				t.Fatalf("%d bytes were accepted in a frame of %d", len(content), len(frame))
			}
			return
		}
		var document peer.Document
		if err != nil || len(envelopes) != 1 || envelopes[0].Decode(&document) != nil {
			// The encoding of the body itself takes a few bytes and may exceed the limit.
			if len(content) < peer.MaxFrameBytes-16 {
				t.Fatalf("%d bytes: %v", len(content), err)
			}
			return
		}
		if !bytes.Equal(document.Bytes, content) {
			t.Fatalf("%d bytes arrived changed", len(content))
		}
	})
}

// FuzzDecoder guards against panics and unbounded memory use on invalid bytes.
func FuzzDecoder(f *testing.F) {
	frame, err := peer.EncodeFrame(peer.KindClaim, 3, false, peer.Claim{Holder: "a", Items: []peer.ClaimItem{{}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add(bytes.Repeat([]byte{0, 0, 0, 1, 0xdd}, 3))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var decoder peer.Decoder
		envelopes, _ := decoder.Feed(data)
		for i := range envelopes {
			var claim peer.Claim
			_ = envelopes[i].Decode(&claim)
			var view peer.View
			_ = envelopes[i].Decode(&view)
		}
	})
}

var _ = Describe("closing a node", func() {
	const (
		rounds       = 40
		servers      = 20
		closeTimeout = 10 * time.Second
	)

	// Guards against a process that does not end because connections were opened while its node was closing: nothing closed
	// them, and the node waited for their end.
	It("ends although connections to other instances are being opened", func() {
		var addresses []string
		for range servers {
			addresses = append(addresses, startSilentServer())
		}
		for range rounds {
			node, err := peer.NewNode(peer.Options{Self: peer.Hello{Key: testKey}})
			Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithCancel(context.Background())
			for _, address := range addresses {
				go func() { _ = node.Send(ctx, address, peer.KindHeartbeat, peer.Heartbeat{}) }()
			}
			time.Sleep(time.Millisecond)
			closed := make(chan struct{})
			go func() {
				node.Close()
				close(closed)
			}()
			Eventually(closed, closeTimeout).Should(BeClosed())
			cancel()
		}
	})
})

var _ = Describe("a node that closes at once", func() {
	const rounds = 100

	// Guards against a process that gets a signal in its first milliseconds and does not end.
	It("ends", func() {
		address := testkit.FreeAddresses(1)[0]
		for range rounds {
			node, err := peer.NewNode(peer.Options{Listen: address, Self: peer.Hello{Key: testKey}, Handler: echoHandler{}})
			Expect(err).NotTo(HaveOccurred())
			closed := make(chan struct{})
			go func() {
				node.Close()
				close(closed)
			}()
			Eventually(closed, 10*time.Second).Should(BeClosed())
		}
	})
})

// startSilentServer returns the address of a server that accepts connections, keeps them open and sends nothing.
func startSilentServer() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
		}
	}()
	return listener.Addr().String()
}
