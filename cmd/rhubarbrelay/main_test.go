package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/golden"

	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
	"rhubarbrelay/platform"
	"rhubarbrelay/timeline"
)

// fasthttp's cleaners sleep up to 10 s before they see that their client or
// server is closed, and then end by themselves. Its clock for the Date header
// is one goroutine per process.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
}

const spoolkeep = "[service spoolkeep]\n[target spoolkeep sk-01]\naddress = 127.0.0.1:9000\nzone = mid-a\n[target spoolkeep sk-02]\naddress = 127.0.0.1:9001\nzone = mid-a\n"

const scope = "service/spoolkeep"

// outcome is what one run of the CLI left behind.
type outcome struct {
	code           int
	stdout, stderr string
}

func cli(admin string, argv ...string) outcome {
	var stdout, stderr bytes.Buffer
	getenv := func(name string) string {
		return map[string]string{envAdmin: admin, "USER": "joon"}[name]
	}
	code := run(argv, getenv, &stdout, &stderr)
	return outcome{code, stdout.String(), stderr.String()}
}

func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "services.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against wrong usage that changes something or exits with another code.
func TestUsage(t *testing.T) {
	l := newFakeLog()
	fleet := startFleet(t, l, "kt-a-1")
	valid, invalid := file(t, spoolkeep), file(t, "[service a]\nbogus = 1\n")
	empty := file(t, "# nothing\n")
	tests := []struct {
		name  string
		admin string
		argv  []string
		want  string
	}{
		{"no command", "", nil, "a command is needed"},
		{"unknown command", "", []string{"destroy"}, "destroy"},
		{"unknown option", "", []string{"status", "--loud"}, "--loud"},
		{"no address", "", []string{"status"}, "RHUBARBRELAY_ADMIN is needed"},
		{"bad address", "localhost:1", []string{"status"}, `"localhost:1": not an IP address`},
		{"bad output", addresses(fleet), []string{"--output", "xml", "status"}, `output "xml"`},
		{"missing file", addresses(fleet), []string{"publish", "absent.ini"}, "absent.ini"},
		{"invalid document", addresses(fleet), []string{"publish", invalid}, `key "bogus"`},
		{"invalid document in a check", "", []string{"check", invalid}, `key "bogus"`},
		{"empty document", addresses(fleet), []string{"publish", empty}, "defines no service"},
		{"check of an empty document", "", []string{"check", empty}, "defines no service"},
		{"diff of an empty document", addresses(fleet), []string{"diff", empty}, "defines no service"},
		{"bad base", addresses(fleet), []string{"publish", "--base", "spoolkeep", valid}, `base "spoolkeep"`},
		{"base of another service", addresses(fleet), []string{"publish", "--base", "x=1", valid}, `base of service "x"`},
		{"bad time", addresses(fleet), []string{"timeline", "--since", "noon"}, `"noon" is not a duration`},
		{"bad drain", addresses(fleet), []string{"drain", "spoolkeep/"}, "neither SERVICE/TARGET nor an instance"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := cli(tt.admin, tt.argv...)
			assert.Equal(t, got.code, exitUsage, got.stderr)
			assert.Assert(t, cmp.Contains(got.stderr, tt.want))
			assert.Equal(t, len(l.versions), 0)
		})
	}
}

// Guards against a command without an example in its help.
func TestHelp(t *testing.T) {
	for _, name := range []string{"publish", "delete", "drain", "undrain", "check", "diff", "show", "status", "timeline"} {
		got := cli("", name, "--help")
		assert.Equal(t, got.code, exitOK)
		assert.Assert(t, cmp.Contains(got.stdout, "Example:\n  rhubarbrelay "))
	}
	assert.Assert(t, cmp.Contains(cli("", "--help").stdout, "Exit codes:"))
}

// Guards against publications whose exit code, output or effect is wrong.
func TestPublish(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(l *fakeLog, fleet []*fakeInstance)
		argv    []string
		code    int
		stdout  []string
		stderr  string
		text    string
	}{
		{
			name: "new service", code: exitOK,
			stdout: []string{"service spoolkeep published at version 0\n"}, text: "joon",
		},
		{
			name: "in force everywhere", argv: []string{"--wait"}, code: exitOK,
			stdout: []string{"published at version 0\nin force on every live instance\n"}, text: "joon",
		},
		{
			name:    "lost answer repeated through another instance",
			prepare: func(_ *fakeLog, fleet []*fakeInstance) { fleet[0].loseAnswer = true },
			code:    exitOK, stdout: []string{"published at version 0\n"}, text: "joon",
		},
		{
			name: "lost answers everywhere",
			prepare: func(_ *fakeLog, fleet []*fakeInstance) {
				fleet[0].refuse, fleet[1].refuse = configlog.ErrUncertain, configlog.ErrUncertain
			},
			argv: []string{"--id", "fix-1"}, code: exitUnknown, stdout: []string{"uncertain: repeat with --id fix-1"},
			stderr: "cannot tell whether",
		},
		{
			name:    "platform unavailable through the first instance",
			prepare: func(_ *fakeLog, fleet []*fakeInstance) { fleet[0].refuse = platform.ErrUnavailable },
			code:    exitOK, stdout: []string{"published at version 0\n"}, text: "joon",
		},
		{
			name: "platform unavailable",
			prepare: func(_ *fakeLog, fleet []*fakeInstance) {
				fleet[0].refuse, fleet[1].refuse = platform.ErrUnavailable, platform.ErrUnavailable
			},
			code: exitFailed, stdout: []string{"service spoolkeep failed"}, stderr: "platform unavailable",
		},
		{
			name: "race lost",
			prepare: func(l *fakeLog, fleet []*fakeInstance) {
				fleet[0].before = func(configlog.Change) {
					l.change(configlog.PutService, scope, "[service spoolkeep]\ndeadline = 3s\n")
				}
			},
			code: exitConflict, stderr: "service/spoolkeep", text: "mina",
			stdout: []string{
				"service spoolkeep conflict: now at version 0 by mina\n", "--- version 0 by mina\n",
				"+++ yours, based on version none\n", "-deadline = 3s\n", "+deadline = 1s\n", "+[target spoolkeep sk-01]\n",
			},
		},
		{
			name: "stale base given",
			prepare: func(l *fakeLog, _ []*fakeInstance) {
				l.change(configlog.PutService, scope, "[service spoolkeep]\ndeadline = 3s\n")
				l.change(configlog.PutService, scope, "[service spoolkeep]\ndeadline = 4s\n")
			},
			argv: []string{"--base", "spoolkeep=0"}, code: exitConflict, stdout: []string{"now at version 1 by mina"},
			stderr: "changed since the base version", text: "mina",
		},
		{
			name: "unchanged",
			prepare: func(l *fakeLog, _ []*fakeInstance) {
				l.change(configlog.PutService, scope, "# same, but written in another way\n"+spoolkeep)
			},
			code: exitOK, stdout: []string{"service spoolkeep unchanged at version 0\n"}, text: "mina",
		},
		{
			name:    "not in force in time",
			prepare: func(_ *fakeLog, fleet []*fakeInstance) { fleet[1].lagging = true },
			argv:    []string{"--wait", "--timeout", "300ms"}, code: exitUnreachable,
			stdout: []string{"published at version 0\n"}, stderr: "kt-b-1: service spoolkeep is at version none", text: "joon",
		},
		{
			name: "live instance without a known administration address",
			prepare: func(_ *fakeLog, fleet []*fakeInstance) {
				hidden := &fakeInstance{id: "kt-c-1", state: "live"}
				fleet[0].peers = append([]*fakeInstance{hidden}, fleet[0].peers...)
			},
			argv: []string{"--wait", "--timeout", "300ms"}, code: exitUnreachable,
			stdout: []string{"published at version 0\n"}, stderr: "kt-c-1: instance unreachable", text: "joon",
		},
		{
			name: "leaving instances do not count",
			prepare: func(_ *fakeLog, fleet []*fakeInstance) {
				fleet[1].lagging, fleet[1].state = true, "leaving"
			},
			argv: []string{"--wait"}, code: exitOK, stdout: []string{"in force on every live instance"}, text: "joon",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newFakeLog()
			fleet := startFleet(t, l, "kt-a-1", "kt-b-1")
			if tt.prepare != nil {
				tt.prepare(l, fleet)
			}
			got := cli(addresses(fleet), append(append([]string{"publish"}, tt.argv...), file(t, spoolkeep))...)
			assert.Equal(t, got.code, tt.code, "%s%s", got.stdout, got.stderr)
			for _, want := range tt.stdout {
				assert.Check(t, cmp.Contains(got.stdout, want))
			}
			assert.Check(t, cmp.Contains(got.stderr, tt.stderr))
			assert.Check(t, strings.Contains(got.stdout, "in force") == (tt.code == exitOK && len(tt.argv) > 0 && tt.argv[0] == "--wait"))
			assert.Equal(t, l.documents["spoolkeep"].Author, tt.text)
		})
	}
}

// Guards against services after a failed one being published, or not reported.
func TestPublishStopsAtFailure(t *testing.T) {
	l := newFakeLog()
	fleet := startFleet(t, l, "kt-a-1")
	fleet[0].before = func(c configlog.Change) {
		if c.Scope == "service/b" {
			l.change(configlog.PutService, "service/b", "[service b]\n")
		}
	}
	got := cli(addresses(fleet), "publish", file(t, "[service a]\n[service b]\ndeadline = 2s\n[service c]\n"))
	assert.Equal(t, got.code, exitConflict)
	assert.Assert(t, cmp.Contains(got.stdout, "service a published at version 0\n"))
	assert.Assert(t, cmp.Contains(got.stdout, "service b conflict"))
	assert.Assert(t, cmp.Contains(got.stdout, "service c not tried\n"))
	assert.Equal(t, len(l.versions), 2)
}

// Guards against JSON whose fields or order change under scripts.
func TestJSONOutputIsStable(t *testing.T) {
	l := newFakeLog()
	fleet := startFleet(t, l, "kt-a-1")
	fleet[0].events.Record(timeline.Event{Kind: timeline.ConfigInForce, Version: 3})
	path := file(t, spoolkeep)
	tests := []struct {
		golden string
		argv   []string
	}{
		{"publish.json", []string{"publish", "--id", "fix-1", "--wait", path}},
		{"unchanged.json", []string{"publish", path}},
		{"check.json", []string{"check", path}},
		{"diff.json", []string{"diff", path}},
		{"drain.json", []string{"drain", "--id", "fix-2", "spoolkeep/sk-01"}},
		{"services.json", []string{"show"}},
		{"show.json", []string{"show", "spoolkeep"}},
		{"status.json", []string{"status"}},
		{"timeline.json", []string{"timeline"}},
	}
	for _, tt := range tests {
		t.Run(tt.golden, func(t *testing.T) {
			got := cli(addresses(fleet), append([]string{"--output", "json"}, tt.argv...)...)
			assert.Equal(t, got.code, exitOK, got.stderr)
			assert.Equal(t, got.stderr, "")
			text := strings.ReplaceAll(got.stdout, fleet[0].address.String(), "ADDRESS")
			golden.Assert(t, text, tt.golden)
		})
	}
}

// Guards against drains that overwrite the decision of another operator, and
// against drains that fail although nobody touched them.
func TestDrain(t *testing.T) {
	race := func(kind configlog.Kind, body string) func(*fakeLog, *fakeInstance) {
		return func(l *fakeLog, f *fakeInstance) {
			f.before = func(configlog.Change) {
				f.before = nil
				l.change(kind, scope, body)
			}
		}
	}
	tests := []struct {
		name    string
		prepare func(l *fakeLog, f *fakeInstance)
		argv    []string
		code    int
		stdout  string
		drained []string
	}{
		{"target", nil, []string{"drain", "spoolkeep/sk-01"}, exitOK, "published at version 1 (target sk-01 drained)", []string{"sk-01"}},
		{
			"already drained", func(l *fakeLog, _ *fakeInstance) { l.change(configlog.DrainTarget, scope, "sk-01") },
			[]string{"drain", "spoolkeep/sk-01"},
			exitOK, "unchanged at version 1 (target sk-01 already drained)",
			[]string{"sk-01"},
		},
		{
			"undrain", func(l *fakeLog, _ *fakeInstance) { l.change(configlog.DrainTarget, scope, "sk-01") },
			[]string{"undrain", "spoolkeep/sk-01"},
			exitOK, "published at version 2 (target sk-01 not drained)", nil,
		},
		{"unknown target", nil, []string{"drain", "spoolkeep/sk-99"}, exitFailed, "failed", nil},
		{"unknown service", nil, []string{"drain", "absent/sk-01"}, exitFailed, "failed", nil},
		{
			"race with the drain of another target", race(configlog.DrainTarget, "sk-02"),
			[]string{"drain", "spoolkeep/sk-01"},
			exitOK, "published at version 2",
			[]string{"sk-02", "sk-01"},
		},
		{
			"race with the same drain", race(configlog.DrainTarget, "sk-01"),
			[]string{"drain", "spoolkeep/sk-01"},
			exitOK, "already drained",
			[]string{"sk-01"},
		},
		{
			"race with the removal of the target", race(configlog.PutService, "[service spoolkeep]\n"),
			[]string{"drain", "spoolkeep/sk-01"},
			exitConflict, "conflict: now at version 1 by mina", nil,
		},
		{
			"race with a move of the target",
			race(configlog.PutService, strings.ReplaceAll(spoolkeep, ":9000", ":9005")),
			[]string{"drain", "spoolkeep/sk-01"},
			exitConflict, "conflict: now at version 1 by mina", nil,
		},
		{"instance", nil, []string{"drain", "kt-a-1"}, exitOK, "instance kt-a-1 published at version 1\n", nil},
		{"unknown instance", nil, []string{"drain", "kt-z-1"}, exitOK, "no such instance is known now", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newFakeLog()
			l.change(configlog.PutService, scope, spoolkeep)
			fleet := startFleet(t, l, "kt-a-1")
			if tt.prepare != nil {
				tt.prepare(l, fleet[0])
			}
			got := cli(addresses(fleet), tt.argv...)
			assert.Equal(t, got.code, tt.code, "%s%s", got.stdout, got.stderr)
			assert.Assert(t, cmp.Contains(got.stdout, tt.stdout))
			assert.Assert(t, tt.code == exitOK || !strings.Contains(got.stdout, "drained"), got.stdout)
			assert.Equal(t, fmt.Sprint(l.documents["spoolkeep"].DrainedTargets), fmt.Sprint(tt.drained))
		})
	}
}

// Guards against a race for the drain of an instance being hidden.
func TestDrainInstanceRace(t *testing.T) {
	l := newFakeLog()
	fleet := startFleet(t, l, "kt-a-1")
	const instance = "instance/kt-a-1"
	fleet[0].before = func(configlog.Change) {
		fleet[0].before = nil
		l.change(configlog.DrainInstance, instance, "")
		l.change(configlog.UndrainInstance, instance, "")
	}
	got := cli(addresses(fleet), "drain", "kt-a-1")
	assert.Equal(t, got.code, exitConflict, got.stdout)
	assert.Assert(t, !l.drained["kt-a-1"])
	assert.Equal(t, cli(addresses(fleet), "drain", "kt-a-1").code, exitOK)
	assert.Assert(t, l.drained["kt-a-1"])
	assert.Equal(t, cli(addresses(fleet), "undrain", "kt-a-1").code, exitOK)
	assert.Assert(t, !l.drained["kt-a-1"])
}

// Guards against deletions that remove what the operator has not seen.
func TestDelete(t *testing.T) {
	l := newFakeLog()
	l.change(configlog.PutService, scope, spoolkeep)
	fleet := startFleet(t, l, "kt-a-1")
	fleet[0].before = func(configlog.Change) {
		fleet[0].before = nil
		l.change(configlog.PutService, scope, "[service spoolkeep]\n")
	}
	assert.Equal(t, cli(addresses(fleet), "delete", "spoolkeep").code, exitConflict)
	assert.Equal(t, l.documents["spoolkeep"].Text, "[service spoolkeep]\n")
	assert.Equal(t, cli(addresses(fleet), "delete", "spoolkeep").code, exitOK)
	assert.Equal(t, l.documents["spoolkeep"].Text, "")
	assert.Assert(t, cmp.Contains(cli(addresses(fleet), "delete", "spoolkeep").stdout, "already deleted"))
	assert.Equal(t, cli(addresses(fleet), "delete", "absent").code, exitFailed)
	assert.Equal(t, cli(addresses(fleet), "publish", file(t, spoolkeep)).code, exitOK)
}

// Guards against queries that print nothing useful, or fail because one
// instance does not answer.
func TestQueries(t *testing.T) {
	l := newFakeLog()
	l.change(configlog.PutService, scope, spoolkeep)
	fleet := startFleet(t, l, "kt-a-1", "kt-b-1")
	closed := unusedAddress(t)
	dead := &fakeInstance{id: "kt-c-1", state: "suspect", address: closed}
	for _, f := range fleet {
		f.peers = append([]*fakeInstance{dead}, f.peers...)
	}
	admin := closed.String() + "," + addresses(fleet)
	changed := file(t, strings.Replace(spoolkeep, "[service spoolkeep]", "[service spoolkeep]\ndeadline = 2s", 1))
	tests := []struct {
		name string
		argv []string
		want []string
	}{
		{"check", []string{"check", changed}, []string{"spoolkeep  2        0       2s"}},
		{"diff", []string{"diff", changed}, []string{"--- published version 0", "-deadline = 1s", "+deadline = 2s"}},
		{"diff of an unchanged service", []string{"diff", file(t, spoolkeep)}, []string{"service spoolkeep unchanged at version 0"}},
		{"diff of a new service", []string{"diff", file(t, "[service b]\n")}, []string{"--- not published", "+[service b]"}},
		{"list", []string{"show"}, []string{"spoolkeep  0        2        0"}},
		{"show", []string{"show", "spoolkeep"}, []string{"# version 0 by mina at 1970-01-01T00:00:00Z\n[service spoolkeep]"}},
		{"status", []string{"status"}, []string{"kt-a-1", "kt-b-1", "kt-c-1", "unreachable", "spoolkeep/sk-02", "fails fast", "1/2"}},
		{"status with targets", []string{"status", "--targets"}, []string{"spoolkeep/sk-01"}},
		{"timeline", []string{"timeline"}, []string{"# no answer from kt-c-1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := cli(admin, tt.argv...)
			assert.Equal(t, got.code, exitOK, got.stderr)
			for _, want := range tt.want {
				assert.Check(t, cmp.Contains(got.stdout, want))
			}
		})
	}
	assert.Equal(t, cli(admin, "show", "absent").code, exitFailed)
	assert.Equal(t, cli(closed.String(), "status").code, exitUnreachable)
	assert.Equal(t, cli(closed.String(), "publish", changed).code, exitUnreachable)
}

// Guards against a merged timeline that contradicts cause and effect when the
// clocks of the instances differ, and against a lost filter.
func TestTimelineOrder(t *testing.T) {
	fleet := startFleet(t, newFakeLog(), "kt-a-1", "kt-b-1")
	first, second := fleet[0].events, fleet[1].events
	first.Record(timeline.Event{Kind: timeline.ConfigPublished, Service: "spoolkeep"})
	second.Clock().Observe(first.Since(0)[0].Time)
	second.Record(timeline.Event{Kind: timeline.ConfigInForce, Service: "spoolkeep"})
	first.Clock().Observe(second.Since(0)[0].Time)
	first.Record(timeline.Event{Kind: timeline.TargetLeaving, Service: "ordering"})
	got := cli(fleet[1].address.String(), "timeline")
	assert.Equal(t, got.stdout, `1970-01-01T00:16:40.000Z/0 kt-a-1 config_published service=spoolkeep version=0
1970-01-01T00:16:40.000Z/1 kt-b-1 config_in_force service=spoolkeep version=0
1970-01-01T00:16:40.000Z/2 kt-a-1 target_leaving service=ordering
`)
	got = cli(fleet[1].address.String(), "timeline", "--service", "spoolkeep", "--limit", "1")
	assert.Equal(t, got.stdout, "1970-01-01T00:16:40.000Z/1 kt-b-1 config_in_force service=spoolkeep version=0\n")
	got = cli(fleet[1].address.String(), "timeline", "--since", "1m")
	assert.Equal(t, got.stdout, "")
}

// Guards against an error that promises more than is known.
func TestExitCodeOfSeveralErrors(t *testing.T) {
	joined := func(errs ...error) error { return fmt.Errorf("service a: %w", errors.Join(errs...)) }
	tests := []struct {
		name string
		err  error
		want int
	}{
		{"uncertain, then unavailable", joined(configlog.ErrUncertain, platform.ErrUnavailable), exitUnknown},
		{"uncertain, then conflict", joined(configlog.ErrUncertain, configlog.ErrConflict), exitUnknown},
		{"invalid", joined(config.ErrInvalid), exitUsage},
		{"other", errBroken, exitFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, exitCode(tt.err), tt.want) })
	}
}
