// Package bluebellscenario_test runs scripted scenarios against whole
// deployments.
//
// The scripts are in testdata. Besides the commands of testscript they have:
//
//	up [-process]                 start a deployment and wait until it is in use
//	apply, out D, in D            changes by an operator, awaited at all that run
//	declare CUSTOMER              apply a configuration with one more customer
//	race D1 D2                    two operators act on the same base
//	resend                        send the latest change again
//	order VM CUSTOMER KEY [BODY]  a call that may not be repeated
//	orders VM N                   many such calls, each sent again elsewhere
//	storm N                       N calls and changes by way of all VMs, in the background
//	calm                          wait for the storm's end
//	prompt VM CUSTOMER TEXT N     a streamed prompt of N blocks
//	cut D, heal D                 cut a failure domain off, heal it
//	halt VM, kill9 VM, start VM   planned stop, signal 9, start
//	losedisk VM                   start a stopped VM with an empty disk
//	fault ENDPOINT KIND [TEXT]    order a fault
//	move VERSION, moved PHASE     start a move, wait for its end
//	await VM REVISION             wait for a revision in force
//	leader [VARIABLE]             find the leader
//	ready VM                      wait until a VM says that it is ready
//	usable VM                     wait until all endpoints are usable
//	repair VM                     make a VM with a new disk a voter again
//	crashing CUSTOMER BODY LIMIT  send a call that crashes its endpoints until it is refused
//	ranonce                       no call ran twice, no cold endpoint broke down
package bluebellscenario_test

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebellentry/bluebellmain"
	"bluebellhaven.org/bluebellfake/bluebellengine"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"bluebellentry": bluebellmain.Main})
}

// clusterBox holds the cluster of one script once it is up.
type clusterBox struct{ cluster *cluster }

type boxKey struct{}

func TestScenarios(t *testing.T) {
	commands := map[string]func(c *cluster, arguments []string) (string, error){
		"apply": apply, "out": outCommand, "in": inCommand, "race": race, "declare": declare, "resend": resend,
		"storm": storm, "calm": calm, "order": orderCommand, "orders": orders, "prompt": promptCommand, "cut": cutCommand, "heal": healCommand,
		"kill9": killCommand, "start": startCommand, "losedisk": loseDisk, "fault": faultCommand,
		"move": move, "moved": moved, "await": awaitCommand, "leader": leaderCommand, "usable": usable, "ready": ready,
		"repair": repair, "ranonce": ranOnce, "halt": haltCommand, "members": members, "crashing": crashing,
	}
	cmds := map[string]func(ts *testscript.TestScript, neg bool, arguments []string){"up": up}
	for name, run := range commands {
		cmds[name] = func(ts *testscript.TestScript, neg bool, arguments []string) {
			c := ts.Value(boxKey{}).(*clusterBox).cluster
			if c == nil {
				ts.Fatalf("%s before up", name)
			}
			text, err := run(c, arguments)
			_, _ = fmt.Fprintln(ts.Stdout(), text)
			if err != nil && !neg {
				ts.Fatalf("%s: %v", name, err)
			}
			if err == nil && neg {
				ts.Fatalf("%s succeeded: %s", name, text)
			}
		}
	}
	testscript.Run(t, testscript.Params{Dir: "testdata", Cmds: cmds, Setup: func(env *testscript.Env) error {
		env.Values[boxKey{}] = &clusterBox{}
		return nil
	}})
}

func up(ts *testscript.TestScript, _ bool, arguments []string) {
	logs, err := os.Create(filepath.Join(ts.Getenv("WORK"), "log"))
	ts.Check(err)
	c, err := newCluster(ts.Getenv("WORK"), slices.Contains(arguments, "-process"), logs)
	ts.Check(err)
	ts.Value(boxKey{}).(*clusterBox).cluster = c
	ts.Defer(func() {
		c.close()
		_ = logs.Close()
		keepLog(logs.Name())
	})
	for _, v := range c.questionnaire.VMs {
		ts.Check(c.start(v.Name, true))
	}
	_, err = apply(c, nil)
	ts.Check(err)
	for _, vm := range c.running() {
		ts.Check(c.awaitUsable(vm))
	}
}

// keepLog copies the log of a scenario where SCENARIO_LOGS says.
func keepLog(name string) {
	if dir := os.Getenv("SCENARIO_LOGS"); dir != "" {
		data, err := os.ReadFile(name)
		if err == nil {
			_ = os.WriteFile(filepath.Join(dir, filepath.Base(filepath.Dir(name))+".log"), data, 0o600)
		}
	}
}

func apply(c *cluster, _ []string) (string, error) {
	var revision uint64
	err := await("the configuration", func() (bool, string) {
		r, err := c.change(c.running()[0], operatorKey, &pb.Command{ChangeID: "apply", Body: &pb.Command_Apply{Apply: c.configuration}})
		if err != nil {
			return false, err.Error()
		}
		revision = r.Revision
		return r.Verdict == pb.Verdict_Accepted, r.String()
	})
	if err != nil {
		return "", err
	}
	return fmt.Sprint(revision), c.awaitInForce(revision, c.running())
}

// latest returns the declared revision that a VM has in force.
func latest(c *cluster, vm string) (uint64, error) {
	s, err := c.status(vm)
	return s.GetDeclaredRevision(), err
}

func setDomain(c *cluster, vm, domain string, out bool, key string, base uint64) (*pb.Result, error) {
	return c.change(vm, key, &pb.Command{BaseRevision: base, Body: &pb.Command_SetFailureDomain{
		SetFailureDomain: &pb.SetFailureDomain{Name: domain, Out: out},
	}})
}

func orderDomain(c *cluster, domain string, out bool) (string, error) {
	vm := c.running()[0]
	base, err := latest(c, vm)
	if err != nil {
		return "", err
	}
	c.lastChange = &pb.Command{ChangeID: uuid.NewString(), BaseRevision: base, Body: &pb.Command_SetFailureDomain{
		SetFailureDomain: &pb.SetFailureDomain{Name: domain, Out: out},
	}}
	r, err := c.change(vm, operatorKey, c.lastChange)
	if err != nil {
		return "", err
	}
	if r.Verdict != pb.Verdict_Accepted {
		return r.Verdict.String(), fmt.Errorf("%s", r.Text)
	}
	return fmt.Sprint(r.Verdict), c.awaitInForce(r.Revision, c.running())
}

func outCommand(c *cluster, arguments []string) (string, error) {
	return orderDomain(c, arguments[0], true)
}

func inCommand(c *cluster, arguments []string) (string, error) {
	return orderDomain(c, arguments[0], false)
}

// declare applies a configuration with one more customer.
func declare(c *cluster, arguments []string) (string, error) {
	vm := c.running()[0]
	base, err := latest(c, vm)
	if err != nil {
		return "", err
	}
	next := proto.CloneOf(c.configuration)
	next.Customers = append(next.Customers, &pb.Customer{Name: arguments[0], KeyHash: hash(arguments[0] + "-key"), Share: 1})
	slices.SortFunc(next.Customers, func(a, b *pb.Customer) int { return strings.Compare(a.Name, b.Name) })
	r, err := c.change(vm, operatorKey, &pb.Command{BaseRevision: base, Body: &pb.Command_Apply{Apply: next}})
	if err != nil {
		return "", err
	}
	c.configuration = next
	return fmt.Sprint(r.Verdict), c.awaitInForce(r.Revision, c.running())
}

// race lets two operators act on the same base, by way of two VMs.
func race(c *cluster, arguments []string) (string, error) {
	vms := c.running()
	base, err := latest(c, vms[0])
	if err != nil {
		return "", err
	}
	var group conc.WaitGroup
	results := make([]*pb.Result, 2)
	errs := make([]error, 2)
	for i := range 2 {
		group.Go(func() {
			key := operatorKey
			if i == 1 {
				key += "2"
			}
			results[i], errs[i] = setDomain(c, vms[i], arguments[i], true, key, base)
		})
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return "", err
		}
	}
	verdicts := []string{results[0].Verdict.String(), results[1].Verdict.String()}
	slices.Sort(verdicts)
	return strings.Join(verdicts, " ") + " " + results[0].Text + results[1].Text, nil
}

func resend(c *cluster, _ []string) (string, error) {
	r, err := c.change(c.running()[len(c.running())-1], operatorKey, c.lastChange)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%v as revision %d", r.Verdict, r.Revision), nil
}

func orderCommand(c *cluster, arguments []string) (string, error) {
	if len(arguments) < 3 {
		return "", errUsage
	}
	body := "{}"
	if len(arguments) > 3 {
		body = arguments[3]
	}
	key := arguments[2]
	if !strings.HasPrefix(key, "raw:") {
		key = c.key(key)
	}
	return c.order(arguments[0], arguments[1], strings.TrimPrefix(key, "raw:"), body), nil
}

// orders sends many calls, and each again by way of all other VMs at once.
func orders(c *cluster, arguments []string) (string, error) {
	n, err := strconv.Atoi(arguments[1])
	if err != nil {
		return "", err
	}
	var group conc.WaitGroup
	for i := range n {
		group.Go(func() {
			key := uuid.Must(uuid.NewV7()).String()
			c.order(arguments[0], "north", key, fmt.Sprint(i))
			for _, vm := range c.settings {
				c.order(vm.VM.Name, "north", key, fmt.Sprint(i))
			}
		})
	}
	group.Wait()
	return "", nil
}

// storm sends calls, each twice at once by way of two VMs, and changes, while the
// script goes on.
func storm(c *cluster, arguments []string) (string, error) {
	n, err := strconv.Atoi(arguments[0])
	if err != nil {
		return "", err
	}
	vms := slices.Sorted(maps.Keys(c.settings))
	c.storm = &conc.WaitGroup{}
	for worker := range 4 {
		c.storm.Go(func() {
			for i := worker; i < n; i += 4 {
				key := uuid.Must(uuid.NewV7()).String()
				var both conc.WaitGroup
				for j := range 2 {
					both.Go(func() { c.order(vms[(i+j)%len(vms)], "north", key, fmt.Sprint(i)) })
				}
				both.Go(func() { c.prompt(vms[(i+4)%len(vms)], "south", fmt.Sprint("storm", i%20), 3) })
				both.Wait()
				c.order(vms[(i+3)%len(vms)], "north", key, fmt.Sprint(i))
			}
		})
	}
	c.storm.Go(func() {
		for i := range n / 2 {
			// Whether a change is accepted in a storm is not looked at here.
			_, _ = c.change(vms[i%len(vms)], operatorKey, &pb.Command{BaseRevision: 1 << 40, Body: &pb.Command_SetEndpoint{
				SetEndpoint: &pb.SetEndpoint{Name: "notes-gyor-1", Drained: i%2 == 0},
			}})
		}
	})
	return "", nil
}

func calm(c *cluster, _ []string) (string, error) {
	c.storm.Wait()
	return "", nil
}

func promptCommand(c *cluster, arguments []string) (string, error) {
	if len(arguments) != 4 {
		return "", errUsage
	}
	blocks, err := strconv.Atoi(arguments[3])
	if err != nil {
		return "", err
	}
	return c.prompt(arguments[0], arguments[1], arguments[2], blocks), nil
}

func cutCommand(c *cluster, arguments []string) (string, error) {
	c.network.setCut(arguments[0], true)
	return "", nil
}

func healCommand(c *cluster, arguments []string) (string, error) {
	c.network.setCut(arguments[0], false)
	return "", nil
}

// haltCommand is a planned stop; testscript has a stop of its own.
func haltCommand(c *cluster, arguments []string) (string, error) {
	return "", c.end(arguments[0], false)
}

func killCommand(c *cluster, arguments []string) (string, error) {
	return "", c.end(arguments[0], true)
}

func startCommand(c *cluster, arguments []string) (string, error) {
	return "", c.start(arguments[0], false)
}

// loseDisk starts a stopped VM with an empty disk.
func loseDisk(c *cluster, arguments []string) (string, error) {
	if err := os.RemoveAll(c.settings[arguments[0]].VM.DataFolder); err != nil {
		return "", err
	}
	return "", c.start(arguments[0], false)
}

func faultCommand(c *cluster, arguments []string) (string, error) {
	f := bluebellengine.Fault{Kind: bluebellengine.FaultKind(arguments[1]), Factor: 5, Duration: 300 * time.Millisecond}
	if f.Kind == bluebellengine.CrashOn {
		// Long enough that the next call meets another endpoint.
		f.Duration = 20 * time.Second
	}
	if len(arguments) > 2 {
		f.Text, f.Version = arguments[2], ""
		if f.Kind == bluebellengine.Fail {
			f.Version = arguments[2]
		}
	}
	for name, e := range c.engines {
		if arguments[0] == "all" || strings.HasPrefix(name, arguments[0]) {
			e.Inject(f)
		}
	}
	return "", nil
}

func move(c *cluster, arguments []string) (string, error) {
	vm := c.running()[0]
	base, err := latest(c, vm)
	if err != nil {
		return "", err
	}
	r, err := c.change(vm, operatorKey, &pb.Command{BaseRevision: base, Body: &pb.Command_StartMove{StartMove: &pb.StartMove{
		Target: "notes", ToVersion: arguments[0], FinishBy: time.Now().Add(20 * time.Second).UnixNano(),
	}}})
	if err != nil {
		return "", err
	}
	return r.Verdict.String() + " " + r.Text, c.awaitInForce(r.Revision, c.running())
}

// moved sends prompts until the move of the model has ended.
func moved(c *cluster, arguments []string) (string, error) {
	i := 0
	var last *pb.Move
	err := await("the move", func() (bool, string) {
		vms := c.running()
		for range 10 {
			i++
			c.prompt(vms[i%len(vms)], "north", fmt.Sprint("text", i%40), 2)
		}
		s, err := c.status(vms[0])
		if err != nil || len(s.Moves) == 0 {
			return false, "unknown"
		}
		last = s.Moves[0]
		return last.Phase == pb.Phase_Done || last.Phase == pb.Phase_TakenBack, last.String()
	})
	if err != nil {
		return "", err
	}
	if last.Phase.String() != arguments[0] {
		return last.String(), fmt.Errorf("the move ended in %v: %s", last.Phase, last.Reason)
	}
	return last.Phase.String(), nil
}

func awaitCommand(c *cluster, arguments []string) (string, error) {
	revision, err := strconv.ParseUint(arguments[1], 10, 64)
	if err != nil {
		return "", err
	}
	return "", c.awaitInForce(revision, arguments[:1])
}

func leaderCommand(c *cluster, _ []string) (string, error) { return c.leader() }

// ready waits until a VM says that it is ready.
func ready(c *cluster, arguments []string) (string, error) {
	return "", await("readiness of "+arguments[0], func() (bool, string) {
		resp, err := c.request(arguments[0], fasthttp.MethodGet, "/healthz/ready", "", nil, nil, time.Second)
		if err != nil {
			return false, err.Error()
		}
		return resp.StatusCode() == fasthttp.StatusOK, string(resp.Body())
	})
}

func usable(c *cluster, arguments []string) (string, error) { return "", c.awaitUsable(arguments[0]) }

// members shows the voters as the leader has them.
func members(c *cluster, _ []string) (string, error) {
	v, err := leaderStatus(c)
	if err != nil {
		return "", err
	}
	return fmt.Sprint(len(v.Members.Voters), " voters, ", len(v.Members.Learners), " learners"), nil
}

func leaderStatus(c *cluster) (*pb.StatusReply, error) {
	leader, err := c.leader()
	if err != nil {
		return nil, err
	}
	s, err := c.status(leader)
	if err != nil {
		return nil, err
	}
	for _, v := range s.Voters {
		if v.VM == leader {
			return v, nil
		}
	}
	return nil, fmt.Errorf("the leader is gone")
}

// repair makes a VM with a new disk a voter and lets its old identity go, step by
// step as the operators' page says.
func repair(c *cluster, arguments []string) (string, error) {
	vm := arguments[0]
	identity, err := os.ReadFile(filepath.Join(c.settings[vm].VM.DataFolder, "identity"))
	if err != nil {
		return "", err
	}
	id := strings.TrimSpace(string(identity))
	v, err := leaderStatus(c)
	if err != nil {
		return "", err
	}
	others := slices.DeleteFunc(slices.Clone(v.Members.Voters), func(m string) bool { return m == vm })
	steps := []*pb.Members{
		{Voters: v.Members.Voters, Learners: []string{id}},
		{Voters: append(slices.Clone(v.Members.Voters), id)},
		{Voters: append(others, id)},
	}
	for _, m := range steps {
		err := await("change of members", func() (bool, string) {
			leader, err := c.leader()
			if err != nil {
				return false, err.Error()
			}
			var done pb.Members
			if err := c.operate(leader, fasthttp.MethodPost, "members", operatorKey, m, &done); err != nil {
				return false, err.Error()
			}
			return true, ""
		})
		if err != nil {
			return "", err
		}
	}
	return "", nil
}

// ranOnce checks what must hold of the endpoints after every scenario.
func ranOnce(c *cluster, _ []string) (string, error) {
	most, calls := c.mostRuns()
	if most > 1 {
		return "", fmt.Errorf("a call that may not be repeated ran %d times", most)
	}
	for name, e := range c.engines {
		if n := e.Counts().ColdOverloads; n > 0 {
			return "", fmt.Errorf("endpoint %s broke down %d times under too much load while cold", name, n)
		}
	}
	return fmt.Sprint(calls, " calls ran"), nil
}
