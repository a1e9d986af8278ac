package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"rhubarbrelay/settings"
	"rhubarbrelay/standin"
)

// envRunMain is the environment variable that makes the test binary run the
// daemon instead of the tests.
const envRunMain = "RHUBARBRELAYD_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(envRunMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func daemonCommand(argv ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], argv...)
	cmd.Env = append(os.Environ(), envRunMain+"=1")
	return cmd
}

const testConfig = `{"version":1,"limits":{},"listeners":[{"host":"a.example","rules":[{"name":"r","kind":"safe","slo-ms":400,` +
	`"priority":1,"match":{"path-prefix":"/"},"action":{"service":"s","timeout-ms":1000,"attempts":2}}]}],` +
	`"clusters":[{"name":"s","health-path":"/h","max-conns":10,"protocol":"h1"}]}`

// startStore starts a stand-in for the store with a published configuration, which
// the daemon needs to become ready.
func startStore(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := standin.NewStore()
	s.Put("keyed.op", "config", []byte(testConfig))
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Close())
		assert.NilError(t, <-served)
	})
	return l.Addr().String()
}

// writeSettings writes a settings file with a grace period longer than a test
// runs.
func writeSettings(t *testing.T, store, extra string) string {
	t.Helper()
	text := fmt.Sprintf("[instance]\nid = kt-a-1\nzone = mid-a\nregion = midlands\n[stop]\ngrace = 60s\n"+
		"[callers]\nlisten = %s\nentry = %s\nready = %s\n[peers]\nlisten = %s\n[admin]\nlisten = %s\n[store]\naddress = %s\n%s",
		unusedAddress(t), unusedAddress(t), unusedAddress(t), unusedAddress(t), unusedAddress(t), store, extra)
	path := filepath.Join(t.TempDir(), "rhubarbrelayd.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	return l.Addr().String()
}

// Guards against a second SIGTERM that ends the process during the graceful shutdown, and
// costs the requests in progress, and against SIGINT that is ignored then: the operator
// would have to wait until the shutdown ends. Also guards against
// settings that are found only through the flag and not through the environment
// variable RHUBARBRELAY_BOOT.
func TestSecondSignalEndsTheProcess(t *testing.T) {
	cmd := daemonCommand()
	cmd.Env = append(cmd.Env, "RHUBARBRELAY_BOOT="+writeSettings(t, startStore(t), ""))
	stdout, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	// Ends the process if the test fails.
	defer func() { _ = cmd.Process.Kill() }()
	lines := bufio.NewScanner(stdout)
	waitForLine(t, lines, "instance is ready")
	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	waitForLine(t, lines, "instance leaving")
	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	waitForLine(t, lines, "the signal is ignored")
	assert.NilError(t, cmd.Process.Signal(syscall.SIGINT))
	_, err = io.Copy(io.Discard, stdout)
	assert.NilError(t, err)
	err = cmd.Wait()
	var exit *exec.ExitError
	assert.Assert(t, errors.As(err, &exit), "%v", err)
	assert.Equal(t, exit.ExitCode(), exitInterrupted)
}

func waitForLine(t *testing.T, lines *bufio.Scanner, text string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return
		}
	}
	t.Fatalf("daemon exited before logging %q: %v", text, lines.Err())
}

// Guards against --check starting the daemon, accepting invalid settings or
// reporting only some of them.
func TestCheck(t *testing.T) {
	out, err := daemonCommand("--check", "--settings", writeSettings(t, unusedAddress(t), "")).CombinedOutput()
	assert.NilError(t, err)
	assert.Equal(t, string(out), "settings are valid\n")

	out, err = daemonCommand("--check", "--settings", writeSettings(t, unusedAddress(t), "[log]\nlevel = loud\nformat = xml\n")).CombinedOutput()
	var exit *exec.ExitError
	assert.Assert(t, errors.As(err, &exit))
	assert.Equal(t, exit.ExitCode(), exitUsage)
	assert.Assert(t, cmp.Contains(string(out), `section "log", key "level", value "loud"`))
	assert.Assert(t, cmp.Contains(string(out), `section "log", key "format", value "xml"`))
}

// Guards against log lines without time, level or instance ID, such as those of
// apex's text handler, which writes no timestamp. Also guards against lines
// below the configured level being written.
func TestLogger(t *testing.T) {
	s := &settings.Settings{Instance: settings.Instance{ID: "kt-a-1"}}
	for _, format := range []string{settings.FormatText, settings.FormatJSON} {
		var out bytes.Buffer
		s.Log = settings.Log{Level: "warn", Format: format}
		logger := newLogger(s, &out)
		logger.Info("hidden")
		logger.WithField("target", "sk-01").Warn("target ejected")
		assert.Equal(t, strings.Count(out.String(), "\n"), 1, out.String())
		for _, want := range []string{"timestamp", "warn", "target ejected", "kt-a-1", "sk-01"} {
			assert.Assert(t, cmp.Contains(out.String(), want))
		}
		assert.Equal(t, json.Valid(out.Bytes()), format == settings.FormatJSON)
	}
}
