package main

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// statusCommand shows the status of the deployment.
type statusCommand struct {
	connectionOptions
}

func (s *statusCommand) run() error {
	client, err := s.client()
	if err != nil {
		return err
	}
	status, err := client.Status()
	if err != nil {
		return err
	}
	return s.print(status, statusText(status))
}

// statusText formats a status: a summary, a table of the VMs and one of the endpoints.
func statusText(s *pb.OperatorStatus) string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d, last changed by an operator in %d, as VM %s knows it\n", s.Revision, s.DeclaredRevision, s.VM)
	fmt.Fprintf(&b, "failure domains out: %s\n", listOrNone(s.FailureDomainsOut))
	fmt.Fprintf(&b, "endpoints drained: %s\n", listOrNone(s.EndpointsDrained))
	if s.PoisonedRequests > 0 {
		fmt.Fprintf(&b, "requests refused because they crash endpoints: %d\n", s.PoisonedRequests)
	}
	for _, m := range s.Moves {
		fmt.Fprintf(&b, "move of %s: %s to %s, %v at share %.3f, time set %s; %s\n", m.Target, m.FromVersion, m.ToVersion,
			m.Phase, m.Share, time.Unix(0, m.FinishBy).UTC().Format(time.RFC3339), m.Reason)
	}
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nVM\tin force\tleader\tterm\tcommit\tvoters")
	voters := map[string]*pb.StatusReply{}
	for _, v := range s.Voters {
		voters[v.VM] = v
	}
	for _, standing := range s.Standings {
		fmt.Fprintf(w, "%s\t%d", standing.VM, standing.RevisionInForce)
		if v := voters[standing.VM]; v != nil && v.Term > 0 {
			fmt.Fprintf(w, "\t%s\t%d\t%d\t%s", v.Leader, v.Term, v.CommitIndex, strings.Join(v.Members.GetVoters(), " "))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "\nendpoint\tfailure domain\tusable\tversions\towners\twhy not")
	for _, e := range s.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\t%s\n", e.Name, e.FailureDomain, e.Usable, strings.Join(e.Versions, " "), strings.Join(e.Owners, " "), e.Why)
	}
	// A tabwriter on a strings.Builder cannot fail.
	_ = w.Flush()
	return b.String()
}

func listOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
