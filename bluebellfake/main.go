// Command bluebellfake simulates what surrounds a deployment: endpoints, into which faults
// can be injected, and callers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"bluebellhaven.org/bluebell/bluebellconfig"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebellfake/bluebellengine"
	"bluebellhaven.org/bluebellfake/bluebellload"
)

type serveCommand struct {
	Answers     string        `arg:"positional,required" help:"questionnaire whose endpoints to stand in for"`
	BlockTime   time.Duration `arg:"--block-time" default:"10ms" help:"time to compute one block"`
	TokenTime   time.Duration `arg:"--token-time" default:"2ms" help:"time to generate one token"`
	WarmAfter   time.Duration `arg:"--warm-after" default:"3s" help:"time for which a fresh endpoint is cold"`
	LoadTime    time.Duration `arg:"--load-time" default:"1s" help:"time to load a version while two or fewer load"`
	CacheBlocks int           `arg:"--cache-blocks" default:"2000" help:"blocks that an endpoint holds"`
}

type loadCommand struct {
	Answers    string        `arg:"positional,required" help:"questionnaire whose entries to send to"`
	Model      string        `arg:"required" help:"model to ask"`
	Callers    int           `default:"24" help:"callers at the same time"`
	Blocks     int           `default:"6" help:"length of a first prompt in blocks"`
	Pause      time.Duration `default:"300ms" help:"mean pause between two visits"`
	Duration   time.Duration `default:"5s" help:"length of the load"`
	OrderPath  string        `arg:"--order-path" help:"path of a call that may not be repeated"`
	OrderEvery time.Duration `arg:"--order-every" default:"100ms" help:"time between two orders"`
	Seed       uint64        `default:"1" help:"seed of all that is random"`
}

type countsCommand struct {
	Answers string `arg:"positional,required" help:"questionnaire whose endpoints to ask"`
}

type faultCommand struct {
	Answers   string        `arg:"positional,required" help:"questionnaire whose endpoints to order"`
	Kind      string        `arg:"positional,required" help:"Die, TurnCold, Silence, Slow, Fail, Cross, CrashOn, Leave, IgnoreFencing, LoseAnswer, Garbage or Heal"`
	Endpoint  string        `help:"endpoint; all of them if not set"`
	Version   string        `help:"version that the fault is bound to"`
	Route     string        `help:"route that the fault is bound to"`
	Text      string        `help:"text in a prompt, for CrashOn"`
	Factor    float64       `default:"1" help:"for Slow"`
	UnderLoad int           `arg:"--under-load" help:"only with more requests running than this"`
	Duration  time.Duration `default:"1s" help:"for Die"`
}

type arguments struct {
	Serve  *serveCommand  `arg:"subcommand:serve" help:"stand in for all endpoints of a questionnaire"`
	Load   *loadCommand   `arg:"subcommand:load" help:"send a bounded load of returning callers and job orders"`
	Counts *countsCommand `arg:"subcommand:counts" help:"check what the endpoints have counted"`
	Fault  *faultCommand  `arg:"subcommand:fault" help:"order a fault"`
}

// Description returns the text at the head of the command's help.
func (arguments) Description() string {
	return "bluebellfake simulates endpoints and callers. The API key of a customer is its name followed by -key."
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	var err error
	switch {
	case args.Serve != nil:
		err = runServe(args.Serve)
	case args.Load != nil:
		err = runLoad(args.Load)
	case args.Counts != nil:
		err = checkCounts(args.Counts)
	case args.Fault != nil:
		err = injectFault(args.Fault)
	default:
		parser.Fail("a subcommand is required")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runServe(args *serveCommand) error {
	q, err := bluebellconfig.LoadQuestionnaire(args.Answers)
	if err != nil {
		return err
	}
	secret, err := os.ReadFile(q.SecretFile)
	if err != nil {
		return err
	}
	targets := map[string]*pb.Target{}
	for _, t := range q.Targets {
		targets[t.Name] = t
	}
	weights := bluebellengine.NewWeightStore(2, args.LoadTime)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	servers := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, e := range q.Endpoints {
		listener, err := net.Listen("tcp", e.Address)
		if err != nil {
			return err
		}
		target := targets[e.Target]
		cfg := bluebellengine.Config{
			Name: e.Name, PlainService: target.Kind == pb.Kind_Service, Versions: []string{target.Version},
			ColdSlots: int(e.ColdSlots), WarmAfter: args.WarmAfter, BlockTime: args.BlockTime, TokenTime: args.TokenTime,
			CacheBlocks: args.CacheBlocks, Weights: weights, HonoursFencing: e.HonoursFencing,
		}
		if e.ChecksOrders {
			cfg.OrderSecret = []byte(strings.TrimSpace(string(secret)))
		}
		servers.Go(func(ctx context.Context) error {
			stopWatching := context.AfterFunc(ctx, func() { _ = listener.Close() })
			defer stopWatching()
			err := bluebellengine.New(cfg).Serve(listener)
			if ctx.Err() != nil {
				return nil
			}
			return err
		})
	}
	return servers.Wait()
}

func runLoad(args *loadCommand) error {
	q, err := bluebellconfig.LoadQuestionnaire(args.Answers)
	if err != nil {
		return err
	}
	cfg := bluebellload.Config{
		Model: args.Model, Callers: args.Callers, FirstPromptBlocks: args.Blocks, MeanPause: args.Pause, Duration: args.Duration,
		OrderPath: args.OrderPath, OrderInterval: args.OrderEvery, Seed: args.Seed,
	}
	for _, v := range q.VMs {
		cfg.Entries = append(cfg.Entries, net.JoinHostPort(v.Address, fmt.Sprint(v.CallerPort)))
	}
	for _, c := range q.Customers {
		cfg.Keys = append(cfg.Keys, c.Name+"-key")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	fmt.Print(bluebellload.Run(ctx, cfg).Text())
	return nil
}

// checkCounts reads the counters of all endpoints. It returns an error if a non-idempotent
// call ran more than once or a cold endpoint was overloaded.
func checkCounts(args *countsCommand) error {
	q, err := bluebellconfig.LoadQuestionnaire(args.Answers)
	if err != nil {
		return err
	}
	runs, repeated, overloads, requests := map[string]int{}, 0, 0, 0
	for _, e := range q.Endpoints {
		_, body, err := fasthttp.Get(nil, "http://"+e.Address+"/counts")
		if err != nil {
			return fmt.Errorf("endpoint %s: %w", e.Name, err)
		}
		var c bluebellengine.Counts
		if err := json.Unmarshal(body, &c); err != nil {
			return fmt.Errorf("endpoint %s: %w", e.Name, err)
		}
		overloads += c.ColdOverloads
		requests += c.Requests
		for key, n := range c.Runs {
			runs[key] += n
		}
	}
	for _, n := range runs {
		if n > 1 {
			repeated++
		}
	}
	fmt.Printf("  endpoints saw     %d requests; %d calls that may not be repeated, %d of them ran twice; %d overloads of cold endpoints\n",
		requests, len(runs), repeated, overloads)
	if repeated > 0 || overloads > 0 {
		return fmt.Errorf("a non-idempotent call ran more than once or a cold endpoint was overloaded")
	}
	return nil
}

func injectFault(args *faultCommand) error {
	q, err := bluebellconfig.LoadQuestionnaire(args.Answers)
	if err != nil {
		return err
	}
	body, err := json.Marshal(bluebellengine.Fault{
		Kind: bluebellengine.FaultKind(args.Kind), Version: args.Version, Route: args.Route, Text: args.Text,
		Factor: args.Factor, UnderLoad: args.UnderLoad, Duration: args.Duration,
	})
	if err != nil {
		return err
	}
	for _, e := range q.Endpoints {
		if args.Endpoint != "" && args.Endpoint != e.Name {
			continue
		}
		if err := postFault("http://"+e.Address+"/fault", body); err != nil {
			return fmt.Errorf("endpoint %s: %w", e.Name, err)
		}
	}
	return nil
}

func postFault(url string, body []byte) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(url)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, time.Second); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return nil
}
