package operators

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/status"
)

// WriteTables prints the reports of the instances as tables.
func WriteTables(w io.Writer, responses []Response) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeInstances(table, responses)
	writeEndpoints(table, responses)
	writeLatencies(table, responses)
	writeCounts(table, "RESPONSES TO CALLERS", responses, func(r *status.Report) []peer.AnswerCount {
		return r.Gateway.Stats.Answers
	})
	writeCounts(table, "CREDIT REFUSALS", responses, func(r *status.Report) []peer.AnswerCount {
		return r.Gateway.Refusals
	})
	writeFindings(table, responses)
	return table.Flush()
}

func writeInstances(w io.Writer, responses []Response) {
	fmt.Fprintln(w, "INSTANCE\tDOMAIN\tREVISION\tSOURCE\tAGE\tLIST\tDRAINING\tLIVE\tLEASES\tREQUESTS\tOPEN\tCPU\tMEMORY")
	for _, resp := range responses {
		if resp.Err != nil {
			fmt.Fprintf(w, "%s\t%s\tunreachable: %v\n", resp.Instance.Name, resp.Instance.Domain, resp.Err)
			continue
		}
		r := resp.Report
		live := 0
		for _, m := range r.Members {
			if m.State == peer.MemberAlive {
				live++
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%d\t%t\t%d\t%d\t%d\t%d\t%.1fs\t%dMB\n", r.Instance, r.Domain, r.Config.Revision,
			r.Config.Source, milliseconds(r.Config.AgeMS), r.Instances.Revision, r.Draining, live, len(r.Leases),
			r.Gateway.Stats.Requests, r.Gateway.Stats.Open, r.Control.CPUSeconds, r.Control.ResidentBytes>>20)
	}
}

// writeEndpoints prints each endpoint once, with its most recent state in all reports.
func writeEndpoints(w io.Writer, responses []Response) {
	freshest := make(map[string]status.Endpoint)
	for _, resp := range responses {
		if resp.Err != nil {
			continue
		}
		for _, e := range resp.Report.Endpoints {
			previous, known := freshest[e.Name]
			if !known || previous.EvidenceAgeMS < 0 || (e.EvidenceAgeMS >= 0 && e.EvidenceAgeMS < previous.EvidenceAgeMS) {
				freshest[e.Name] = e
			}
		}
	}
	names := make([]string, 0, len(freshest))
	for name := range freshest {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintln(w, "\nENDPOINT\tSERVICE\tDOMAIN\tACCEPTS\tSTATE\tOWNER\tFREE TOKENS\tFREE STREAMS\tEVIDENCE AGE")
	for _, name := range names {
		e := freshest[name]
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%s\t%s\t%d\t%d\t%s\n", e.Name, e.Service, e.Domain, e.AcceptsWork, e.State, e.Owner,
			e.FreeTokens, e.FreeStreams, milliseconds(e.EvidenceAgeMS))
	}
}

func writeLatencies(w io.Writer, responses []Response) {
	fmt.Fprintln(w, "\nTIME TO FIRST TOKEN\tCLASS\tCOUNT\tP50\tP95\tP99")
	for _, resp := range responses {
		if resp.Err != nil {
			continue
		}
		for _, l := range resp.Report.Gateway.Stats.FirstToken {
			fmt.Fprintf(w, "%s\t%s\t%d\t%.0fms\t%.0fms\t%.0fms\n", resp.Report.Instance, l.Class, l.Count, l.P50MS, l.P95MS, l.P99MS)
		}
	}
}

func writeCounts(w io.Writer, title string, responses []Response, counts func(*status.Report) []peer.AnswerCount) {
	total := make(map[string]int64)
	for _, resp := range responses {
		if resp.Err != nil {
			continue
		}
		for _, count := range counts(resp.Report) {
			total[fmt.Sprintf("%s\t%s\t%s", count.Code, count.Outcome, count.Stage)] += count.Count
		}
	}
	keys := make([]string, 0, len(total))
	for key := range total {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	fmt.Fprintf(w, "\n%s\tOUTCOME\tSTAGE\tCOUNT\n", title)
	for _, key := range keys {
		fmt.Fprintf(w, "%s\t%d\n", key, total[key])
	}
}

func writeFindings(w io.Writer, responses []Response) {
	for _, resp := range responses {
		if resp.Err != nil {
			continue
		}
		for _, finding := range resp.Report.Config.Rejected {
			fmt.Fprintf(w, "%s rejected a configuration: %s\n", resp.Report.Instance, finding)
		}
		if resp.Report.Config.Conflict {
			fmt.Fprintf(w, "%s received two configurations with revision %d\n", resp.Report.Instance, resp.Report.Config.Revision)
		}
	}
}

func milliseconds(ms int64) string {
	if ms < 0 {
		return "none"
	}
	return fmt.Sprintf("%.1fs", float64(ms)/1000)
}
