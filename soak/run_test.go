package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// seeds are the seeds that CI runs. A seed that has found a bug stays here,
// with its cause.
var seeds = []uint64{
	1,
	// A zone that could not reach the store received no update about a draining
	// target: while the first reader was dead, the readers that replaced it
	// broadcast only to their local zone.
	251823199, 3601858960,
	// An instance that could not reach the store missed changes made before the
	// history of the store expired, because the changes found by reading all
	// registrations were not broadcast.
	2479946651,
}

// Guards against faults of processes, the store and targets that overlap and
// lead to a non-idempotent request that runs twice, a wrong response, a request
// to a draining target, or an instance that does not recover.
func TestSeeds(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "rhubarbrelayd")
	out, err := exec.Command("go", "build", "-o", daemon, "rhubarbrelay/cmd/rhubarbrelayd").CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, seed := range seeds {
		result, err := Run(Options{
			DaemonPath: daemon, Dir: t.TempDir(), Instances: 4, Targets: 6, Callers: 12, Duration: 4 * time.Second, Seed: seed,
		})
		assert.NilError(t, err)
		assert.Equal(t, len(result.Violations), 0, "seed %d: violations %q after the faults %q", seed, result.Violations, result.Faults)
	}
}
