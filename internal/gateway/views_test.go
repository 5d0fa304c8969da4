package gateway

import (
	"testing"
	"time"

	"github.com/acacialift/acacialift/internal/peer"
)

// Guards against a gateway that loses owners with a view of changes, keeps them after a full view, or changes a view that
// a request still uses.
func TestMergeOwners(t *testing.T) {
	a := peer.OwnerView{Resource: "endpoint/a", Instance: "x", Address: "x:1"}
	b := peer.OwnerView{Resource: "endpoint/b", Instance: "y", Address: "y:1"}
	first := mergeOwners(nil, []peer.OwnerView{a}, true)
	second := mergeOwners(first, []peer.OwnerView{b}, false)
	if len(first) != 1 || len(second) != 2 || second[a.Resource] != a {
		t.Fatalf("first %v, second %v", first, second)
	}
	if third := mergeOwners(second, []peer.OwnerView{{Resource: a.Resource}}, false); len(third) != 1 || third[b.Resource] != b {
		t.Fatalf("after the end of an owner: %v", third)
	}
	if fourth := mergeOwners(second, nil, true); len(fourth) != 0 {
		t.Fatalf("after an empty full view: %v", fourth)
	}
}

// Guards against a reply that caught a short peak and then hides the controller's figures for good.
func TestLatestLoad(t *testing.T) {
	now := time.Now()
	v := &views{direct: make(map[string]direct)}
	current := &view{received: now, summary: map[string]peer.EndpointSummary{"a": {Endpoint: "a", FreeStreams: 16}}}
	v.learn(peer.EndpointSummary{Endpoint: "a", FreeStreams: 0})
	if s, _, known := v.latest(now, current, "a"); !known || s.FreeStreams != 0 {
		t.Fatalf("right after the reply: %+v", s)
	}
	if s, age, _ := v.latest(now.Add(2*directPrecedence), current, "a"); s.FreeStreams != 16 || age != 2*directPrecedence {
		t.Fatalf("later: %+v, age %s", s, age)
	}
	if _, _, known := v.latest(now, current, "b"); known {
		t.Fatal("an endpoint that nobody reported is known")
	}
}

// Guards against a new owner that does not learn at once what is held, and against reservations that are repeated too
// seldom or at every look.
func TestHeldReports(t *testing.T) {
	now := time.Now()
	v := &views{}
	owned := func(address string) {
		v.current.Store(&view{owners: map[string]peer.OwnerView{"endpoint/a": {Address: address}}})
	}
	h := newHeldCredits(nil, v, "entry-1", 7)
	h.held["x"] = heldItem{CreditReportItem: peer.CreditReportItem{RequestID: "x", Endpoint: "a"}, owner: "old", told: now}
	h.homes["home"], h.homesTold = 1, now
	owned("old")
	if reports := h.dueReports(now.Add(heldCheck)); len(reports) != 0 {
		t.Fatalf("repeated too early: %v", reports)
	}
	owned("new")
	if reports := h.dueReports(now.Add(2 * heldCheck)); len(reports) != 1 || len(reports["new"]) != 1 {
		t.Fatalf("new owner: %v", reports)
	}
	if reports := h.dueReports(now.Add(3 * heldCheck)); len(reports) != 0 {
		t.Fatalf("new owner told twice: %v", reports)
	}
	reports := h.dueReports(now.Add(2*heldCheck + heldInterval))
	if _, kept := reports["home"]; !kept || len(reports["new"]) != 1 || reports["new"][0].State != peer.ReportHeld {
		t.Fatalf("after the interval: %v", reports)
	}
}
