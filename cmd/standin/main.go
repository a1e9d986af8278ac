// Command standin runs the stand-ins of the platform and of targets as separate
// processes, for the demo, the scenarios and the soak.
package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"rhubarbrelay/platform"
	"rhubarbrelay/standin"
)

type storeArgs struct {
	Listen string `arg:"--listen,required" help:"address to serve on"`
}

type targetArgs struct {
	Listen  netip.AddrPort `arg:"--listen,required" help:"address to serve on"`
	Store   netip.AddrPort `arg:"--store,required" help:"store to register in"`
	ID      string         `arg:"--id,required" help:"name of the target"`
	Service string         `arg:"--service,required" help:"service of the target"`
	Zone    string         `arg:"--zone" default:"zone-a" help:"zone of the target"`
	Slots   int            `arg:"--slots" default:"4" help:"requests that it runs at once"`
}

type proxyArgs struct {
	Listen  string `arg:"--listen,required" help:"address to serve on"`
	To      string `arg:"--to,required" help:"address to pass connections on to"`
	Control string `arg:"--control,required" help:"address for control requests"`
}

type args struct {
	Store  *storeArgs  `arg:"subcommand:store" help:"serve the log store of the platform"`
	Target *targetArgs `arg:"subcommand:target" help:"serve a target"`
	Proxy  *proxyArgs  `arg:"subcommand:proxy" help:"pass connections on and fail on demand"`
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	if err := run(&a); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	if a.Store == nil && a.Target == nil && a.Proxy == nil {
		parser.Fail("a subcommand is missing")
	}
}

func run(a *args) error {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	switch {
	case a.Store != nil:
		store := standin.NewStore()
		return serve(stop, a.Store.Listen, store.Serve, store.Close)
	case a.Target != nil:
		return runTarget(stop, a.Target)
	case a.Proxy != nil:
		l, err := net.Listen("tcp", a.Proxy.Control) //nolint:noctx // It lives as long as the process.
		if err != nil {
			return err
		}
		go func() {
			<-stop.Done()
			_ = l.Close()
		}()
		return standin.NewProxy(a.Proxy.Listen, a.Proxy.To).Serve(l)
	}
	return nil
}

func runTarget(stop context.Context, a *targetArgs) error {
	target := standin.NewTarget(standin.TargetInfo(a.ID, a.Service, a.Zone, a.Slots, a.Listen))
	registered := make(chan error, 1)
	go func() {
		registered <- target.Register(stop, platform.NewStore(a.Store), standin.DefaultHeartbeat)
	}()
	err := serve(stop, a.Listen.String(), target.Serve, func() error {
		if err := <-registered; err != nil {
			fmt.Fprintln(os.Stderr, "standin: entry not removed:", err)
		}
		time.Sleep(standin.DefaultHeartbeat) // requests that are on their way
		return target.Close()
	})
	return err
}

// serve serves on the address until the context ends.
func serve(stop context.Context, address string, accept func(net.Listener) error, shutdown func() error) error {
	l, err := net.Listen("tcp", address) //nolint:noctx // It lives as long as the process.
	if err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- accept(l) }()
	select {
	case err := <-served:
		return err
	case <-stop.Done():
	}
	if err := shutdown(); err != nil {
		return err
	}
	return <-served
}
