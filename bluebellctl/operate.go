package main

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pmezard/go-difflib/difflib"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"bluebellhaven.org/bluebell/bluebellconfig"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebellctl/internal/bluebelloperate"
)

// connectionOptions are the flags of all commands that call entries.
type connectionOptions struct {
	Configuration string   `arg:"-c,--configuration" default:"generated/configuration.jsonc" help:"generated configuration that names the entries"`
	Entries       []string `arg:"--entry,separate" help:"address of an entry, in place of those of the configuration"`
	Key           string   `arg:"--key,env:BLUEBELL_OPERATOR_KEY" help:"operator's key; better given in the environment"`
	JSON          bool     `arg:"--json" help:"print JSON"`
}

// client returns a client for the entries given by --entry, or else for those of the
// configuration file.
func (c *connectionOptions) client() (*bluebelloperate.Client, error) {
	if c.Key == "" {
		return nil, errors.New("set BLUEBELL_OPERATOR_KEY to the operator's key")
	}
	addresses := c.Entries
	if len(addresses) == 0 {
		configuration, err := readConfiguration(c.Configuration)
		if err != nil {
			return nil, err
		}
		for _, v := range configuration.VMs {
			addresses = append(addresses, net.JoinHostPort(v.Address, fmt.Sprint(v.CallerPort)))
		}
	}
	return bluebelloperate.NewClient(addresses, c.Key), nil
}

func readConfiguration(file string) (*pb.Configuration, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	c, findings := bluebellconfig.ParseConfiguration(file, text)
	if !findings.Empty() {
		return nil, findings
	}
	return c, nil
}

// print writes m as JSON if --json is set, otherwise text.
func (c *connectionOptions) print(m proto.Message, text string) error {
	if !c.JSON {
		fmt.Print(text)
		return nil
	}
	data, err := protojson.MarshalOptions{UseProtoNames: true, Multiline: true}.Marshal(m)
	if err != nil {
		return err
	}
	fmt.Println(string(data))
	return nil
}

// changeOptions are the flags of all commands that submit a change.
type changeOptions struct {
	connectionOptions
	ChangeID string        `arg:"--change-id" help:"identity of the change; give the same one to send it again"`
	Base     uint64        `arg:"--base" help:"revision that the change is based on; the latest if not set"`
	Wait     time.Duration `arg:"--wait" default:"5s" help:"how long to wait until the change is in force everywhere"`
}

// submit sends a change and, if it is accepted, waits until it is in force at all VMs. Without
// --base the change is based on the latest revision that an operator declared.
func (c *changeOptions) submit(command *pb.Command) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if c.Base == 0 {
		s, err := client.Status()
		if err != nil {
			return err
		}
		c.Base = s.DeclaredRevision
	}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	command.ChangeID, command.BaseRevision = c.ChangeID, c.Base
	submittedAt := time.Now()
	result, err := client.SubmitChange(command)
	if err != nil {
		return fmt.Errorf("%w\nto send the change again: --change-id %s --base %d", err, c.ChangeID, c.Base)
	}
	switch result.Verdict {
	case pb.Verdict_Accepted:
	case pb.Verdict_Conflict:
		return exitWith(exitConflict, "not accepted: %s", result.Text)
	default:
		return exitWith(exitRefused, "refused: %s", result.Text)
	}
	agreedAfter := time.Since(submittedAt)
	configuration := command.GetApply()
	if configuration == nil {
		if configuration, err = client.Configuration(); err != nil {
			return err
		}
	}
	var vms []string
	for _, v := range configuration.VMs {
		vms = append(vms, v.Name)
	}
	lagging, err := client.WaitInForce(result.Revision, vms, c.Wait)
	if len(lagging) > 0 {
		return exitWith(exitNotInForce, "revision %d is agreed, but %s did not report it to be in force within %v%s",
			result.Revision, strings.Join(lagging, ", "), c.Wait, lastError(err))
	}
	return c.print(result, fmt.Sprintf("revision %d agreed after %v, in force at all %d VMs after %v\n",
		result.Revision, agreedAfter.Round(time.Millisecond), len(vms), time.Since(submittedAt).Round(time.Millisecond)))
}

// applyCommand submits a configuration.
type applyCommand struct {
	File string `arg:"positional" default:"generated/configuration.jsonc" help:"generated configuration"`
	changeOptions
}

func (a *applyCommand) run() error {
	c, err := readConfiguration(a.File)
	if err != nil {
		return err
	}
	a.Configuration = a.File
	if a.ChangeID == "" && a.Base != 0 {
		// Deriving the identity from the configuration and its base makes a second run
		// of the command with both a repetition of the same change.
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
		if err != nil {
			return err
		}
		sum := sha256.Sum256(data)
		a.ChangeID = fmt.Sprintf("apply-%s-%d", hex.EncodeToString(sum[:8]), a.Base)
	}
	return a.submit(&pb.Command{Body: &pb.Command_Apply{Apply: c}})
}

// diffCommand prints a unified diff from the configuration in force to the one in a file.
type diffCommand struct {
	File string `arg:"positional" default:"generated/configuration.jsonc" help:"generated configuration"`
	connectionOptions
}

func (d *diffCommand) run() error {
	c, err := readConfiguration(d.File)
	if err != nil {
		return err
	}
	d.Configuration = d.File
	client, err := d.client()
	if err != nil {
		return err
	}
	inForce, err := client.Configuration()
	if err != nil {
		return err
	}
	before, err := bluebellconfig.Format(inForce)
	if err != nil {
		return err
	}
	after, err := bluebellconfig.Format(c)
	if err != nil {
		return err
	}
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(string(before)), B: difflib.SplitLines(string(after)),
		FromFile: "in force", ToFile: d.File, Context: 2,
	})
	if err != nil {
		return err
	}
	fmt.Print(text)
	return nil
}

// domainCommand takes a failure domain out of use or back into use.
type domainCommand struct {
	Out *namedChangeCommand `arg:"subcommand:out" help:"stop new work in a failure domain"`
	In  *namedChangeCommand `arg:"subcommand:in" help:"take a failure domain back into use"`
}

// namedChangeCommand submits a change of one failure domain or endpoint.
type namedChangeCommand struct {
	Name string `arg:"positional,required" help:"name as declared"`
	changeOptions
}

func (d *domainCommand) run() error {
	switch {
	case d.Out != nil:
		return d.Out.submit(&pb.Command{Body: &pb.Command_SetFailureDomain{SetFailureDomain: &pb.SetFailureDomain{Name: d.Out.Name, Out: true}}})
	case d.In != nil:
		return d.In.submit(&pb.Command{Body: &pb.Command_SetFailureDomain{SetFailureDomain: &pb.SetFailureDomain{Name: d.In.Name}}})
	}
	return errNoCommand
}

// endpointCommand drains an endpoint or takes it back into use.
type endpointCommand struct {
	Drain   *namedChangeCommand `arg:"subcommand:drain" help:"stop new work on an endpoint"`
	Undrain *namedChangeCommand `arg:"subcommand:undrain" help:"take an endpoint back into use"`
}

func (e *endpointCommand) run() error {
	switch {
	case e.Drain != nil:
		return e.Drain.submit(&pb.Command{Body: &pb.Command_SetEndpoint{SetEndpoint: &pb.SetEndpoint{Name: e.Drain.Name, Drained: true}}})
	case e.Undrain != nil:
		return e.Undrain.submit(&pb.Command{Body: &pb.Command_SetEndpoint{SetEndpoint: &pb.SetEndpoint{Name: e.Undrain.Name}}})
	}
	return errNoCommand
}

// moveCommand operates the moves of targets, which are models or services, from one version
// to another.
type moveCommand struct {
	Start    *moveStartCommand    `arg:"subcommand:start" help:"start a move"`
	Wait     *moveWaitCommand     `arg:"subcommand:wait" help:"wait until a move is done or taken back"`
	TakeBack *moveTakeBackCommand `arg:"subcommand:takeback" help:"take a move back"`
}

type moveStartCommand struct {
	Target  string        `arg:"positional,required" help:"model or service"`
	Version string        `arg:"positional,required" help:"version that takes over"`
	Within  time.Duration `default:"10m" help:"time by which the move must be done, from now"`
	changeOptions
}

type moveTakeBackCommand struct {
	Target  string `arg:"positional,required" help:"model or service"`
	Version string `arg:"positional,required" help:"version to take back"`
	Reason  string `default:"ordered by an operator" help:"reason to keep with the move"`
	changeOptions
}

type moveWaitCommand struct {
	Target  string        `arg:"positional,required" help:"model or service"`
	Timeout time.Duration `default:"10m" help:"how long to wait"`
	connectionOptions
}

func (m *moveCommand) run() error {
	switch {
	case m.Start != nil:
		return m.Start.submit(&pb.Command{Body: &pb.Command_StartMove{StartMove: &pb.StartMove{
			Target: m.Start.Target, ToVersion: m.Start.Version, FinishBy: time.Now().Add(m.Start.Within).UnixNano(),
		}}})
	case m.TakeBack != nil:
		return m.TakeBack.submit(&pb.Command{Body: &pb.Command_StepMove{StepMove: &pb.StepMove{
			Target: m.TakeBack.Target, ToVersion: m.TakeBack.Version, Phase: pb.Phase_TakenBack, Reason: m.TakeBack.Reason,
		}}})
	case m.Wait != nil:
		return m.Wait.run()
	}
	return errNoCommand
}

// lastError describes err, the error of the last status request during a wait.
func lastError(err error) string {
	if err == nil {
		return "; no call failed"
	}
	return fmt.Sprintf("; last error: %v", err)
}

// run polls the status until the move of the target is done or taken back.
func (m *moveWaitCommand) run() error {
	client, err := m.client()
	if err != nil {
		return err
	}
	deadline := time.Now().Add(m.Timeout)
	for {
		s, err := client.Status()
		if err == nil {
			for _, move := range s.Moves {
				if move.Target == m.Target && (move.Phase == pb.Phase_Done || move.Phase == pb.Phase_TakenBack) {
					return m.print(move, moveText(move))
				}
			}
		}
		if time.Now().After(deadline) {
			return exitWith(exitNotInForce, "the move of %s has not ended within %v%s", m.Target, m.Timeout, lastError(err))
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func moveText(m *pb.Move) string {
	elapsed := time.Duration(m.PhaseSince - m.StartedAt).Round(10 * time.Millisecond)
	remaining := time.Duration(m.FinishBy - m.PhaseSince).Round(10 * time.Millisecond)
	return fmt.Sprintf("%s: version %s %v after %v, %v before the time set; %s\n", m.Target, m.ToVersion, m.Phase, elapsed, remaining, m.Reason)
}

// whyCommand prints the routing records of a request: which endpoint each entry chose for it,
// and why.
type whyCommand struct {
	RequestID string `arg:"positional,required" help:"X-Request-Id of an answer"`
	connectionOptions
}

func (w *whyCommand) run() error {
	client, err := w.client()
	if err != nil {
		return err
	}
	records, err := client.RoutingRecords(w.RequestID)
	var b strings.Builder
	for _, r := range records {
		fmt.Fprintf(&b, "%s at VM %s: endpoint %s, version %s, by owner %s, because %s; home %s, %d of %d blocks believed cached, %d candidates, expected %v: %s\n",
			time.Unix(0, r.UnixNanos).UTC().Format(time.RFC3339Nano), r.VM, r.Endpoint, r.Version, r.Owner, r.Reason, r.Home,
			r.CachedBlocks, r.Blocks, r.Candidates, r.Expected.AsDuration(), r.Outcome)
	}
	if len(records) == 0 {
		return errors.Join(err, fmt.Errorf("no entry remembers request %s", w.RequestID))
	}
	return errors.Join(w.print(&pb.RoutingRecords{Records: records}, b.String()), err)
}

// membersCommand replaces the voters and learners of the replicated log.
type membersCommand struct {
	Voters   []string `arg:"--voter,separate,required" help:"identity of a voter; give all of them"`
	Learners []string `arg:"--learner,separate" help:"identity of a learner, which follows without a vote"`
	connectionOptions
}

func (m *membersCommand) run() error {
	client, err := m.client()
	if err != nil {
		return err
	}
	return client.ChangeMembers(&pb.Members{Voters: m.Voters, Learners: m.Learners})
}
