package loadshare

import (
	"reflect"
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
	for _, c := range []struct{ crashes, parts int }{{crashes: 20, parts: 64}, {crashes: 1, parts: maxPartsSent}} {
		testEvidenceInMessage(t, uint32(c.crashes), c.parts)
	}
}

// testEvidenceInMessage checks the message after a number of crashes for each of 200 parts.
func testEvidenceInMessage(t *testing.T, crashes uint32, want int) {
	tracker := quarantine.NewTracker()
	now := time.Now()
	for i := range 200 {
		part := quarantine.Part(0xf00000000000 + uint64(i))
		for endpoint := range crashes {
			tracker.Merge([]quarantine.Evidence{{
				Part: part, Position: 5, Crashes: []quarantine.Crash{
					{Endpoint: 1<<31 + endpoint, Age: time.Hour, Calls: []uint32{1<<31 + endpoint, 1<<31 + uint32(i)}},
				},
			}}, now)
		}
	}
	empty, err := peer.EncodeFrame(peer.KindLoadShare, 0, false, peer.LoadShare{})
	if err != nil {
		t.Fatal(err)
	}
	var message peer.LoadShare
	addParts(&message, tracker.Evidence(0, maxPartsSent, now))
	parts := message.Parts
	full, err := peer.EncodeFrame(peer.KindLoadShare, 0, false, &message)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d parts: %d bytes", len(parts), len(full)-len(empty))
	if len(parts) != want || len(full)-len(empty) > maxPartsBytes {
		t.Fatalf("%d parts take %d bytes, %d allowed; %d parts expected", len(parts), len(full)-len(empty), maxPartsBytes, want)
	}
}

// TestEvidenceIsSentAndReceivedWhole guards against a field that is lost between two instances.
func TestEvidenceIsSentAndReceivedWhole(t *testing.T) {
	sent := quarantine.Evidence{
		Part: 1 << 63, Position: 2, Served: true,
		Crashes: []quarantine.Crash{
			{Endpoint: 3, Responding: true, Age: time.Second, Calls: []uint32{7}},
			{Endpoint: 4, Refuted: true, Age: time.Minute, Calls: []uint32{8, 9}},
			{Endpoint: 5, Age: time.Minute, Calls: []uint32{}},
		},
	}
	var message peer.LoadShare
	addParts(&message, []quarantine.Evidence{sent})
	received := decodeParts(&message)
	if !reflect.DeepEqual(received, []quarantine.Evidence{sent}) {
		t.Fatalf("sent %+v, received %+v", sent, received)
	}
	message.Extension.PartCalls = message.Extension.PartCalls[:3]
	if received = decodeParts(&message); len(received[0].Crashes) != 3 || received[0].Crashes[1].Calls != nil {
		t.Fatalf("received %+v of a message that lacks calls", received)
	}
}
