package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"bluebellhaven.org/bluebell/bluebellhead"
	"bluebellhaven.org/bluebell/bluebellquarantine"
)

// quarantineTimeout bounds one call. A core process answers within a second.
const quarantineTimeout = 2 * time.Second

// quarantineCommand lists or lifts the quarantines of a discovered deployment. It calls a core
// process directly, since such a deployment has no entries that operators can call.
type quarantineCommand struct {
	Control string                 `arg:"--control,required,env:BLUEBELL_CONTROL" help:"control address of a core process, HOST:PORT"`
	List    *quarantineListCommand `arg:"subcommand:list" help:"list the quarantines, also those that have ended"`
	Lift    *quarantineLiftCommand `arg:"subcommand:lift" help:"end a quarantine"`
}

type quarantineListCommand struct{}

type quarantineLiftCommand struct {
	Key string `arg:"positional,required" help:"key of the quarantine, as listed"`
}

func (q *quarantineCommand) run() error {
	switch {
	case q.List != nil:
		return q.list()
	case q.Lift != nil:
		_, err := q.call(http.MethodDelete, bluebellquarantine.ListPath+"/"+q.Lift.Key)
		return err
	}
	return errNoCommand
}

func (q *quarantineCommand) list() error {
	body, err := q.call(http.MethodGet, bluebellquarantine.ListPath)
	if err != nil {
		return err
	}
	var list []bluebellquarantine.Listing
	if err := json.Unmarshal(body, &list); err != nil {
		return fmt.Errorf("decode the quarantines: %w", err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "key\tsubject\tin force\tsince\tuntil\tcount\treason")
	for _, one := range list {
		subject := "block"
		if one.WholeCall {
			subject = "call"
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\t%d\t%s\n", one.Key, subject, one.InForce, one.Since.Format(time.RFC3339), one.Until.Format(time.RFC3339),
			one.Count, one.Reason)
	}
	return w.Flush()
}

// call calls the control interface and returns the body of a successful answer.
func (q *quarantineCommand) call(method, path string) ([]byte, error) {
	r, err := http.NewRequest(method, "http://"+q.Control+path, nil)
	if err != nil {
		return nil, exitWith(exitFindings, "control address %q: %v", q.Control, err)
	}
	response, err := (&http.Client{Timeout: quarantineTimeout}).Do(r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	if err := errors.Join(err, response.Body.Close(), bluebellhead.CheckResponse(response)); err != nil {
		return nil, err
	}
	switch {
	case response.StatusCode == http.StatusOK:
		return body, nil
	case response.StatusCode < http.StatusInternalServerError:
		return nil, exitWith(exitRefused, "%s", strings.TrimSpace(string(body)))
	}
	return nil, fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(body)))
}
