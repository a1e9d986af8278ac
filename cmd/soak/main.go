// Command soak runs the system as separate processes on loopback addresses
// under random faults and checks its guarantees.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/alexflint/go-arg"

	"rhubarbrelay/soak"
)

type args struct {
	Seeds     int           `arg:"--seeds" default:"1" help:"number of runs"`
	Seed      uint64        `arg:"--seed" help:"seed of every run; 0 selects a random seed for each run"`
	Duration  time.Duration `arg:"--duration" default:"8s" help:"duration of fault injection per run"`
	Instances int           `arg:"--instances" default:"5" help:"number of instances"`
	Targets   int           `arg:"--targets" default:"9" help:"number of targets"`
	Callers   int           `arg:"--callers" default:"24" help:"number of callers"`
	NoFaults  bool          `arg:"--calm" help:"inject no faults"`
	Fault     string        `arg:"--fault" help:"inject only the faults whose names contain this"`
	Tenants   bool          `arg:"--tenants" help:"make callers send API keys"`
	Verbose   bool          `arg:"--verbose" help:"print the injected faults"`
}

func main() {
	var a args
	arg.MustParse(&a)
	failed := 0
	for range a.Seeds {
		seed := a.Seed
		if seed == 0 {
			seed = rand.Uint64N(1 << 32)
		}
		if !runSeed(&a, seed) {
			failed++
		}
	}
	if failed > 0 {
		fmt.Printf("%d of %d runs failed\n", failed, a.Seeds)
		os.Exit(1)
	}
}

// runSeed runs the system with the seed and reports whether all guarantees
// held.
func runSeed(a *args, seed uint64) bool {
	dir, err := os.MkdirTemp("", "rhubarbrelay-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak: cannot create the run directory:", err)
		return false
	}
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak: cannot determine the path of the executable:", err)
		return false
	}
	result, err := soak.Run(soak.Options{
		DaemonPath: filepath.Join(filepath.Dir(self), "rhubarbrelayd"), Dir: dir, Instances: a.Instances, Targets: a.Targets,
		Callers: a.Callers, Duration: a.Duration, Seed: seed, NoFaults: a.NoFaults, OnlyFault: a.Fault, Tenants: a.Tenants,
	})
	if err != nil {
		fmt.Fprintf(os.Stderr, "soak: seed %d: %v; logs in %s\n", seed, err, dir)
		return false
	}
	fmt.Printf("seed %d: %d requests, %d served, %d refused, %d faults, %d violations\n",
		seed, result.Requests, result.Served, result.Refused, len(result.Faults), len(result.Violations))
	if a.Verbose {
		for _, f := range result.Faults {
			fmt.Println("  fault:", f)
		}
	}
	for i, v := range result.Violations {
		if i == 20 {
			fmt.Println("  further violations are not shown")
			break
		}
		fmt.Println("  violation:", v)
	}
	if len(result.Violations) > 0 {
		fmt.Println("  logs:", dir)
		return false
	}
	_ = os.RemoveAll(dir) // the logs of a successful run are not needed
	return true
}
