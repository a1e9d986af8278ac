// Command standin runs a stand-in for the store or a target, or a proxy with
// fault injection, as a separate process for the demo, the scenarios and the
// soak test.
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
	Listen string `arg:"--listen,required" help:"address to listen on"`
}

type targetArgs struct {
	Listen  netip.AddrPort `arg:"--listen,required" help:"address to listen on"`
	Store   netip.AddrPort `arg:"--store,required" help:"address of the store to register in"`
	ID      string         `arg:"--id,required" help:"ID of the target"`
	Service string         `arg:"--service,required" help:"service of the target"`
	Zone    string         `arg:"--zone" default:"zone-a" help:"zone of the target"`
	Slots   int            `arg:"--slots" default:"4" help:"number of requests that it runs concurrently"`

	Cold     time.Duration `arg:"--cold" help:"time after its start for which it is cold"`
	Interval time.Duration `arg:"--interval" default:"300ms" help:"time between two registrations without a change of state"`
}

type proxyArgs struct {
	Listen  string `arg:"--listen,required" help:"address to listen on"`
	To      string `arg:"--to,required" help:"address to forward connections to"`
	Control string `arg:"--control,required" help:"address for control requests"`
}

type args struct {
	Store  *storeArgs  `arg:"subcommand:store" help:"run a stand-in for the platform's log store"`
	Target *targetArgs `arg:"subcommand:target" help:"run a stand-in for a target"`
	Proxy  *proxyArgs  `arg:"subcommand:proxy" help:"run a TCP proxy with fault injection"`
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
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	switch {
	case a.Store != nil:
		store := standin.NewStore()
		return serve(ctx, a.Store.Listen, store.Serve, store.Close)
	case a.Target != nil:
		return runTarget(ctx, a.Target)
	case a.Proxy != nil:
		l, err := net.Listen("tcp", a.Proxy.Control) //nolint:noctx // The listener stays open as long as the process runs.
		if err != nil {
			return err
		}
		go func() {
			<-ctx.Done()
			_ = l.Close()
		}()
		return standin.NewProxy(a.Proxy.Listen, a.Proxy.To).Serve(l)
	}
	return nil
}

func runTarget(ctx context.Context, a *targetArgs) error {
	target := standin.NewTarget(standin.NewRegistration(a.ID, a.Service, a.Zone, a.Slots, a.Listen))
	if a.Cold > 0 {
		target.SetCold(a.Cold, 0)
	}
	registered := make(chan error, 1)
	go func() {
		registered <- target.Register(ctx, platform.NewStore(a.Store), a.Interval)
	}()
	err := serve(ctx, a.Listen.String(), target.Serve, func() error {
		if err := <-registered; err != nil {
			fmt.Fprintln(os.Stderr, "standin: cannot remove the registration:", err)
		}
		time.Sleep(standin.DefaultRegistrationInterval) // serve requests that were sent before instances read the removal
		return target.Close()
	})
	return err
}

// serve listens on the address and serves until the context is canceled.
func serve(ctx context.Context, address string, serveListener func(net.Listener) error, shutdown func() error) error {
	l, err := net.Listen("tcp", address) //nolint:noctx // The listener stays open as long as the process runs.
	if err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- serveListener(l) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	if err := shutdown(); err != nil {
		return err
	}
	return <-served
}
