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
	Seeds     int           `arg:"--seeds" default:"1" help:"number of seeds to play"`
	Seed      uint64        `arg:"--seed" help:"play this seed; 0 draws fresh ones"`
	Duration  time.Duration `arg:"--duration" default:"8s" help:"time with faults, for each seed"`
	Instances int           `arg:"--instances" default:"5" help:"instances of the system"`
	Targets   int           `arg:"--targets" default:"9" help:"targets"`
	Callers   int           `arg:"--callers" default:"24" help:"callers"`
	Calm      bool          `arg:"--calm" help:"leave all faults out"`
	Verbose   bool          `arg:"--verbose" help:"print the faults"`
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
		if !play(&a, seed) {
			failed++
		}
	}
	if failed > 0 {
		fmt.Printf("%d of %d seeds failed\n", failed, a.Seeds)
		os.Exit(1)
	}
}

// play runs one seed and returns whether all guarantees held.
func play(a *args, seed uint64) bool {
	dir, err := os.MkdirTemp("", "rhubarbrelay-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	result, err := soak.Run(soak.Options{
		DaemonPath: filepath.Join(filepath.Dir(self), "rhubarbrelayd"), Dir: dir, Instances: a.Instances, Targets: a.Targets,
		Callers: a.Callers, Duration: a.Duration, Seed: seed, NoFaults: a.Calm,
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
			fmt.Println("  and more")
			break
		}
		fmt.Println("  violated:", v)
	}
	if len(result.Violations) > 0 {
		fmt.Println("  logs:", dir)
		return false
	}
	_ = os.RemoveAll(dir) // what is left of a run that passed is of no use
	return true
}
