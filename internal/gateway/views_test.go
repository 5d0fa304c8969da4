package gateway

import (
	"testing"
	"time"

	"github.com/acacialift/acacialift/internal/peer"
)

// Guards against a gateway that loses owners after a partial view, keeps old owners after a full view, or modifies a view
// that a request still uses.
func TestMergeOwners(t *testing.T) {
	a := peer.OwnerView{Resource: "endpoint/a", Instance: "x", Address: "x:1"}
	b := peer.OwnerView{Resource: "endpoint/b", Instance: "y", Address: "y:1"}
	first := mergeOwners(nil, []peer.OwnerView{a}, true)
	second := mergeOwners(first, []peer.OwnerView{b}, false)
	if len(first) != 1 || len(second) != 2 || second[a.Resource] != a {
		t.Fatalf("first %v, second %v", first, second)
	}
	if third := mergeOwners(second, []peer.OwnerView{{Resource: a.Resource}}, false); len(third) != 1 ||
		third[b.Resource] != b {
		t.Fatalf("after the end of an owner: %v", third)
	}
	if fourth := mergeOwners(second, nil, true); len(fourth) != 0 {
		t.Fatalf("after an empty full view: %v", fourth)
	}
}

// Guards against an owner's reply from a short load peak that hides the controller's newer summaries permanently.
func TestEndpointLoad(t *testing.T) {
	now := time.Now()
	v := &views{ownerReplies: make(map[string]ownerReply)}
	current := &view{requestedAt: now, summaries: map[string]peer.EndpointSummary{"a": {Endpoint: "a", FreeStreams: 16}}}
	v.storeOwnerReply(peer.EndpointSummary{Endpoint: "a", FreeStreams: 0})
	if s, _, known := v.endpointLoad(now, current, "a"); !known || s.FreeStreams != 0 {
		t.Fatalf("immediately after the reply: %+v", s)
	}
	if s, age, _ := v.endpointLoad(now.Add(2*ownerReplyPrecedence), current, "a"); s.FreeStreams != 16 ||
		age != 2*ownerReplyPrecedence {
		t.Fatalf("after the precedence of the reply: %+v, age %s", s, age)
	}
	if _, _, known := v.endpointLoad(now, current, "b"); known {
		t.Fatal("an endpoint without a summary is known")
	}
}

// Guards against a new owner that does not receive the held reservations at the next check, and against reservations that
// are reported too rarely or at every check.
func TestHeldReports(t *testing.T) {
	now := time.Now()
	v := &views{}
	owned := func(address string) {
		v.current.Store(&view{owners: map[string]peer.OwnerView{"endpoint/a": {Address: address}}})
	}
	credits := newCreditClient(nil, v, "entry-1", 7)
	credits.held["x"] = heldCredit{
		CreditReportItem: peer.CreditReportItem{RequestID: "x", Endpoint: "a"}, reportedTo: "old", reportedAt: now,
	}
	credits.openClaims["home"], credits.claimsReportedAt = 1, now
	owned("old")
	if reports := credits.dueReports(now.Add(ownerCheckInterval)); len(reports) != 0 {
		t.Fatalf("reported again before the interval: %v", reports)
	}
	owned("new")
	if reports := credits.dueReports(now.Add(2 * ownerCheckInterval)); len(reports) != 1 || len(reports["new"]) != 1 {
		t.Fatalf("new owner: %v", reports)
	}
	if reports := credits.dueReports(now.Add(3 * ownerCheckInterval)); len(reports) != 0 {
		t.Fatalf("reported to the new owner twice: %v", reports)
	}
	reports := credits.dueReports(now.Add(2*ownerCheckInterval + heldReportInterval))
	if _, kept := reports["home"]; !kept || len(reports["new"]) != 1 || reports["new"][0].State != peer.ReportHeld {
		t.Fatalf("after the interval: %v", reports)
	}
}
