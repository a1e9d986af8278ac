// Command standin runs a stand-in of the platform, of a target or of a network
// path, for tests, the demo and measurements.
package main

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"rhubarbrelay/standin"
)

// controlTimeout bounds a control request to a stand-in.
const controlTimeout = 5 * time.Second

// platformArgs are the arguments of the platform stand-in.
type platformArgs struct {
	Listen    string        `arg:"--listen,required" help:"address to listen on"`
	Retention time.Duration `arg:"--retention" default:"24h" help:"how long the log keeps a record"`
}

// targetArgs are the arguments of a target stand-in.
type targetArgs struct {
	Listen      string        `arg:"--listen,required" help:"address to listen on"`
	Count       int           `arg:"--count" default:"1" help:"number of targets, each on the next IP address"`
	Slots       int           `arg:"--slots" default:"4" help:"requests that run at once"`
	NoiseFactor int           `arg:"--noise-factor" default:"1" help:"how many times slower the target gets at random moments"`
	NoiseLength time.Duration `arg:"--noise-length" default:"100ms" help:"about how long a slow moment lasts"`
	NoiseShare  float64       `arg:"--noise-share" default:"0.2" help:"share of the time that is slow, between 0 and 1"`
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of the random moments"`
	Delay       time.Duration `arg:"--delay" help:"time added to every answer without holding a slot"`
	ReportAge   time.Duration `arg:"--report-age" help:"time between samples of the reported load; 0 reports the present load"`
	ColdFactor  int           `arg:"--cold-factor" default:"1" help:"how many times slower the target is after its start"`
	ColdLength  time.Duration `arg:"--cold-length" default:"3s" help:"how long the target is slow after its start"`
	Runs        string        `arg:"--runs" help:"file that keeps the runs over restarts"`
}

// proxyArgs are the arguments of a proxy.
type proxyArgs struct {
	Listen  string `arg:"--listen,required" help:"address to listen on"`
	To      string `arg:"--to,required" help:"address to pass connections on to"`
	Control string `arg:"--control,required" help:"address of the control requests"`
}

// putArgs are the arguments of a request that controls a stand-in.
type putArgs struct {
	URL  string `arg:"positional,required" help:"address and path of the control request"`
	Body string `arg:"--body" help:"body of the request"`
}

// getArgs are the arguments of a request that reads from a process.
type getArgs struct {
	URL string `arg:"positional,required" help:"address and path to read"`
}

type args struct {
	Platform *platformArgs `arg:"subcommand:platform" help:"log and instance list"`
	Target   *targetArgs   `arg:"subcommand:target" help:"a target of a service"`
	Proxy    *proxyArgs    `arg:"subcommand:proxy" help:"a network path that can fail"`
	Put      *putArgs      `arg:"subcommand:put" help:"send a control request to a stand-in"`
	Get      *getArgs      `arg:"subcommand:get" help:"print what a process answers"`
}

func main() {
	var a args
	p := arg.MustParse(&a)
	var err error
	switch {
	case a.Platform != nil:
		err = serve(a.Platform.Listen, standin.NewPlatform(standin.WithRetention(a.Platform.Retention)))
	case a.Target != nil:
		err = serveTargets(a.Target)
	case a.Proxy != nil:
		err = serve(a.Proxy.Control, standin.NewProxy(a.Proxy.Listen, a.Proxy.To))
	case a.Put != nil:
		err = send(fasthttp.MethodPut, a.Put.URL, a.Put.Body, io.Discard)
	case a.Get != nil:
		err = send(fasthttp.MethodGet, a.Get.URL, "", os.Stdout)
	default:
		p.Fail("a subcommand is needed")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// serveTargets serves the targets on consecutive IP addresses.
func serveTargets(a *targetArgs) error {
	address, err := netip.ParseAddrPort(a.Listen)
	if err != nil {
		return err
	}
	var group errgroup.Group
	for range a.Count {
		listen := address.String()
		group.Go(func() error { return serveTarget(listen, a) })
		address = netip.AddrPortFrom(address.Addr().Next(), address.Port())
	}
	return group.Wait()
}

func serveTarget(listen string, a *targetArgs) error {
	target := newTarget(a)
	if err := target.LoadRuns(); err != nil {
		return err
	}
	return serve(listen, target)
}

func newTarget(a *targetArgs) *standin.Target {
	options := []standin.TargetOption{standin.WithDelay(a.Delay), standin.WithRunsFile(a.Runs)}
	if a.NoiseFactor > 1 {
		options = append(options, standin.WithNoise(a.NoiseFactor, a.NoiseLength, a.NoiseShare, a.Seed))
	}
	if a.ReportAge > 0 {
		options = append(options, standin.WithStaleReports(a.ReportAge))
	}
	if a.ColdFactor > 1 {
		options = append(options, standin.WithColdStart(a.ColdFactor, a.ColdLength))
	}
	return standin.NewTarget(a.Slots, options...)
}

// send sends one request and writes the body of a successful answer.
func send(method, url, body string, out io.Writer) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(req, resp, controlTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode())
	}
	return resp.BodyWriteTo(out)
}

// server serves on a listener.
type server interface {
	Serve(net.Listener) error
}

func serve(address string, s server) error {
	l, err := net.Listen("tcp", address) //nolint:noctx // The listener lives as long as the process.
	if err != nil {
		return err
	}
	return s.Serve(l)
}
