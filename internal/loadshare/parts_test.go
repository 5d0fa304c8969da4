package loadshare

import (
	"testing"
	"time"

	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/quarantine"
)

// maxPartsBytes is what the evidence may add to a message. With 24 members and a message every allPartsInterval, an aggregator
// sends 13 KB/s of the 21 KB/s that it may send.
const maxPartsBytes = 16 << 10

// TestEvidenceInMessageIsBounded guards against messages that grow with the number of crashes or parts.
func TestEvidenceInMessageIsBounded(t *testing.T) {
	tracker := quarantine.NewTracker()
	now := time.Now()
	for i := range 100 {
		part := quarantine.Part(0xf00000000000 + uint64(i))
		for endpoint := range uint32(20) {
			tracker.Merge([]quarantine.Evidence{{
				Part: part, Position: 5, Crashes: []quarantine.Crash{{Endpoint: 1<<31 + endpoint, Age: time.Hour}},
			}}, now)
		}
	}
	empty, err := peer.EncodeFrame(peer.KindLoadShare, 0, false, peer.LoadShare{})
	if err != nil {
		t.Fatal(err)
	}
	parts := encodeParts(tracker.Evidence(0, maxPartsSent, now))
	full, err := peer.EncodeFrame(peer.KindLoadShare, 0, false, peer.LoadShare{Parts: parts})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d parts: %d bytes", len(parts), len(full)-len(empty))
	if len(parts) != maxPartsSent || len(full)-len(empty) > maxPartsBytes {
		t.Fatalf("%d parts take %d bytes, %d allowed", len(parts), len(full)-len(empty), maxPartsBytes)
	}
}

// TestEvidenceIsSentAndReceivedWhole guards against a field that is lost between two instances.
func TestEvidenceIsSentAndReceivedWhole(t *testing.T) {
	sent := quarantine.Evidence{
		Part: 1 << 63, Position: 2, Served: true,
		Crashes: []quarantine.Crash{{Endpoint: 3, Responding: true, Age: time.Second}, {Endpoint: 4, Refuted: true, Age: time.Minute}},
	}
	received := decodeParts(encodeParts([]quarantine.Evidence{sent}))
	if len(received) != 1 || received[0].Part != sent.Part || received[0].Position != sent.Position || !received[0].Served ||
		len(received[0].Crashes) != 2 || received[0].Crashes[0] != sent.Crashes[0] || received[0].Crashes[1] != sent.Crashes[1] {
		t.Fatalf("sent %+v, received %+v", sent, received)
	}
}
