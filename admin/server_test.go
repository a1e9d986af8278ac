package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

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

const spoolkeep = "[service spoolkeep]\n\n[target spoolkeep sk-01]\naddress = 127.0.0.1:9000\nzone = mid-a\n"

// fakeFleet is a configuration that tests replace.
type fakeFleet struct {
	mu    sync.Mutex
	fleet *config.Fleet
}

func newFakeFleet(t *testing.T) *fakeFleet {
	t.Helper()
	f := &fakeFleet{fleet: config.NewFleet()}
	services, err := config.ParseDocument([]byte(spoolkeep))
	assert.NilError(t, err)
	for i, s := range services {
		f.fleet.Services[s.Name] = s
		f.fleet.ScopeVersions[config.ServiceScope(s.Name)] = config.Version(i)
		f.fleet.Version = config.Version(i)
	}
	return f
}

func (f *fakeFleet) Fleet() *config.Fleet {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet
}

// fakePublisher answers every change with the function.
type fakePublisher func(configlog.Change) (configlog.Result, error)

func (p fakePublisher) Publish(_ context.Context, c configlog.Change) (configlog.Result, error) {
	return p(c)
}

func accept(configlog.Change) (configlog.Result, error) { return configlog.Result{Version: 7}, nil }

func refuse(err error) fakePublisher {
	return func(configlog.Change) (configlog.Result, error) { return configlog.Result{}, err }
}

// serve runs a server until the test ends.
func serve(t *testing.T, s *Server) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		assert.Check(t, s.Shutdown(context.Background()))
		assert.Check(t, <-done)
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// send sends a request and returns the status, the body and the answer's kind.
func send(t *testing.T, method, url, body string, header ...string) (int, string, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	var m errorMessage
	_ = json.Unmarshal(data, &m)
	return resp.StatusCode, string(data), m.Kind
}

// Guards against requests that are refused in another form than JSON with a
// kind, or not refused at all.
func TestServerRefusals(t *testing.T) {
	address := serve(t, NewServer(fakePublisher(accept), newFakeFleet(t)))
	change := func(fields string) string {
		return `{"id":"i","scope":"service/spoolkeep","base":0,"kind":"delete_service","author":"a"` + fields + `}`
	}
	tests := []struct {
		name, method, path, body string
		status                   int
		kind                     string
	}{
		{"unknown path", "GET", "/v2/status", "", 404, "not_found"},
		{"path below a service", "GET", "/v1/services/a/b", "", 404, "not_found"},
		{"unknown service", "GET", "/v1/services/absent", "", 404, "not_found"},
		{"wrong method", "GET", "/v1/changes", "", 405, "method_not_allowed"},
		{"write method on a query", "POST", "/v1/status", "", 405, "method_not_allowed"},
		{"not JSON", "POST", "/v1/changes", "put", 400, "invalid"},
		{"two objects", "POST", "/v1/changes", change("") + change(""), 400, "invalid"},
		{"unknown field", "POST", "/v1/changes", change(`,"bas":1`), 400, "invalid"},
		{"unknown kind", "POST", "/v1/changes", `{"id":"i","scope":"service/a","base":0,"kind":"x"}`, 400, "invalid"},
		{"missing base", "POST", "/v1/changes", `{"id":"i","scope":"service/a","kind":"delete_service"}`, 400, "invalid"},
		{"negative base", "POST", "/v1/changes", `{"id":"i","scope":"service/a","base":-2,"kind":"delete_service"}`, 400, "invalid"},
		{"missing id", "POST", "/v1/changes", `{"scope":"service/a","base":0,"kind":"delete_service"}`, 400, "invalid"},
		{"long id", "POST", "/v1/changes", `{"id":"` + strings.Repeat("x", 129) + `","scope":"service/a","base":0,"kind":"delete_service"}`, 400, "invalid"},
		{"line break in the author", "POST", "/v1/changes", `{"id":"i","scope":"service/a","base":0,"kind":"delete_service","author":"a\nb"}`, 400, "invalid"},
		{"scope of another kind", "POST", "/v1/changes", `{"id":"i","scope":"instance/a","base":0,"kind":"delete_service"}`, 400, "invalid"},
		{"scope without a name", "POST", "/v1/changes", `{"id":"i","scope":"service/","base":0,"kind":"delete_service"}`, 400, "invalid"},
		{"invalid document", "POST", "/v1/changes", `{"id":"i","scope":"service/a","base":0,"kind":"put_service","body":"[x]"}`, 400, "invalid"},
		{"document of another service", "POST", "/v1/changes", `{"id":"i","scope":"service/a","base":0,"kind":"put_service","body":"[service b]"}`, 400, "invalid"},
		{"drain without a target", "POST", "/v1/changes", `{"id":"i","scope":"service/spoolkeep","base":0,"kind":"drain_target"}`, 400, "invalid"},
		{"drain of an unknown target", "POST", "/v1/changes", `{"id":"i","scope":"service/spoolkeep","base":0,"kind":"drain_target","body":"sk-99"}`, 400, "invalid"},
		{"unknown filter", "GET", "/v1/timeline?servce=a", "", 400, "invalid"},
		{"bad time", "GET", "/v1/timeline?since=yesterday", "", 400, "invalid"},
		{"negative limit", "GET", "/v1/timeline?limit=-1", "", 400, "invalid"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, body, kind := send(t, tt.method, "http://"+address.String()+tt.path, tt.body)
			assert.Equal(t, status, tt.status, body)
			assert.Equal(t, kind, tt.kind, body)
		})
	}
}

// Guards against memory taken by oversized bodies. Only the header is sent, so
// that the answer cannot be lost to a reset of a connection with unread data.
func TestServerRefusesOversizedBody(t *testing.T) {
	address := serve(t, NewServer(fakePublisher(accept), newFakeFleet(t)))
	conn, err := net.Dial("tcp", address.String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/changes HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", maxRequestBody+1)
	assert.NilError(t, err)
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(string(answer), "HTTP/1.1 413 "))
	assert.Assert(t, cmp.Contains(string(answer), `"kind":"too_large"`))

	client := NewClient(address)
	defer client.Close()
	_, err = client.Publish(context.Background(), configlog.Change{
		ID: "i", Scope: "service/a", Kind: configlog.PutService, Body: make([]byte, maxRequestBody),
	})
	assert.ErrorIs(t, err, ErrRefused)
}

// Guards against requests without the right token being served, on any path.
func TestServerToken(t *testing.T) {
	const token = "0123456789abcdef"
	address := serve(t, NewServer(fakePublisher(accept), newFakeFleet(t), WithToken(token)))
	tests := []struct {
		name, header string
		status       int
	}{
		{"none", "", 401},
		{"wrong", "Bearer 0123456789abcdeX", 401},
		{"prefix", "Bearer 0123456789", 401},
		{"without scheme", token, 401},
		{"right", "Bearer " + token, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, path := range []string{"/v1/status", "/debug/vars"} {
				status, _, kind := send(t, "GET", "http://"+address.String()+path, "", "Authorization", tt.header)
				assert.Equal(t, status, tt.status)
				assert.Equal(t, kind == "unauthorized", tt.status == 401)
			}
		})
	}
	client := NewClient(address)
	defer client.Close()
	_, err := client.Publish(context.Background(), configlog.Change{ID: "i", Scope: "service/spoolkeep", Kind: configlog.DeleteService})
	assert.ErrorIs(t, err, ErrUnauthorized)
}

// Guards against a publication whose error lets the caller believe the wrong
// outcome.
func TestClientPublishErrors(t *testing.T) {
	tests := []struct {
		name      string
		publisher fakePublisher
		want      error
	}{
		{"accepted", accept, nil},
		{"conflict", refuse(configlog.ErrConflict), configlog.ErrConflict},
		{"unavailable", refuse(platform.ErrUnavailable), platform.ErrUnavailable},
		{"uncertain", refuse(configlog.ErrUncertain), configlog.ErrUncertain},
		{"any other error is uncertain", refuse(errors.New("broken")), configlog.ErrUncertain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fleet := newFakeFleet(t)
			fleet.fleet.ScopeVersions["service/spoolkeep"] = 3
			client := NewClient(serve(t, NewServer(tt.publisher, fleet)))
			defer client.Close()
			result, err := client.Publish(context.Background(), configlog.Change{
				ID: "i", Scope: "service/spoolkeep", Base: 1, Kind: configlog.DeleteService,
			})
			if tt.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, result.Version, config.Version(7))
				return
			}
			assert.ErrorIs(t, err, tt.want)
		})
	}
}

// Guards against answers that do not come from the API being taken as proof
// that nothing was changed.
func TestChangeErrorOfForeignAnswer(t *testing.T) {
	err := changeError("service/a", http.StatusServiceUnavailable, []byte("<html>"))
	assert.ErrorIs(t, err, configlog.ErrUncertain)
	assert.Assert(t, !errors.Is(err, platform.ErrUnavailable))
}

// Guards against a conflict that does not show who changed what.
func TestConflictShowsCurrentDocument(t *testing.T) {
	documents := fakeDocuments{Document{
		Service: "spoolkeep", Text: "[service spoolkeep]\n", Version: 5, Author: "mina", ChangeID: "c5",
		Changed: time.Unix(100, 0).UTC(), DrainedTargets: []string{"sk-01"},
	}}
	fleet := newFakeFleet(t)
	fleet.fleet.ScopeVersions["service/spoolkeep"] = 5
	client := NewClient(serve(t, NewServer(refuse(configlog.ErrConflict), fleet, WithDocuments(documents))))
	defer client.Close()
	_, err := client.Publish(context.Background(), configlog.Change{
		ID: "i", Scope: "service/spoolkeep", Base: 1, Kind: configlog.DeleteService,
	})
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.DeepEqual(t, conflict.Current, documents.document)
	assert.ErrorContains(t, err, "version 5 by mina")
}

type fakeDocuments struct{ document Document }

func (d fakeDocuments) Document(string) (Document, bool) { return d.document, true }

// Guards against fields that one side of the API writes and the other loses.
func TestStatusRoundTrip(t *testing.T) {
	own := Status{
		ID: "kt-a-1", Zone: "mid-a", State: InstanceLive, Incarnation: 42, Reason: "no peer", InFlight: 3,
		Instances: []InstanceStatus{{
			ID: "kt-b-1", Zone: "mid-b", State: InstanceSuspect, Incarnation: 41,
			CallerAddress: netip.MustParseAddrPort("127.0.0.2:8080"), AdminAddress: netip.MustParseAddrPort("127.0.0.2:8082"),
		}},
		Services: []ServiceStatus{{
			Name: "spoolkeep", Version: 0, InFlight: 3, Waiting: 2, MaxQueue: 512,
			Targets: []TargetStatus{{
				Name: "sk-01", Address: netip.MustParseAddrPort("127.0.0.1:9000"), Zone: "mid-a", State: TargetEjected,
				Reason: "fails fast", InFlight: 1, Limit: 2, Slots: 4,
			}},
		}},
	}
	fleet := newFakeFleet(t)
	fleet.fleet.DrainedInstances["kt-c-1"] = true
	client := NewClient(serve(t, NewServer(fakePublisher(accept), fleet, WithInstance(fakeInstance{own}))))
	defer client.Close()
	got, err := client.Status(context.Background())
	assert.NilError(t, err)
	own.Version, own.Scopes = 0, map[string]config.Version{"service/spoolkeep": 0}
	own.DrainedInstances = []string{"kt-c-1"}
	assert.Check(t, cmp.DeepEqual(statusToMessage(got), statusToMessage(own)))
	instances, err := client.Instances(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, instances[0], own.Instances[0])
}

type fakeInstance struct{ status Status }

func (i fakeInstance) Status() Status { return i.status }

// Guards against a server without options that cannot answer.
func TestServerDefaults(t *testing.T) {
	client := NewClient(serve(t, NewServer(fakePublisher(accept), newFakeFleet(t))))
	defer client.Close()
	ctx := context.Background()
	status, err := client.Status(ctx)
	assert.NilError(t, err)
	assert.Equal(t, status.Services[0].Targets[0].Name, "sk-01")
	document, err := client.Document(ctx, "spoolkeep")
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(document.Text, "[target spoolkeep sk-01]"))
	services, err := client.Services(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, services, []ServiceSummary{{Name: "spoolkeep", Targets: 1}})
	events, err := client.Timeline(ctx, timeline.Filter{})
	assert.NilError(t, err)
	assert.Equal(t, len(events.Events), 0)
	_, err = client.Document(ctx, "absent")
	assert.ErrorIs(t, err, ErrNotFound)
}

// Guards against filters and events that change on their way.
func TestTimelineRoundTrip(t *testing.T) {
	recorder := timeline.NewRecorder("kt-a-1", timeline.NewClock(time.Now))
	recorder.Record(timeline.Event{Kind: timeline.RequestRefused, Service: "spoolkeep", Request: "r 1&x", Target: "sk-01", Peer: "p", Version: 3, Detail: "queue full"})
	recorder.Record(timeline.Event{Kind: timeline.RequestRefused, Service: "spoolkeep", Request: "r2"})
	client := NewClient(serve(t, NewServer(fakePublisher(accept), newFakeFleet(t), WithEvents(recorder))))
	defer client.Close()
	got, err := client.Timeline(context.Background(), timeline.Filter{
		After: 1, Before: recorder.Clock().Now(), Request: "r 1&x", Service: "spoolkeep", Target: "sk-01", Limit: 5,
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Events, recorder.Since(0)[:1])
}

// Guards against changes that the timeline and the log do not show, or show as
// something else than they were.
func TestChangesAreRecorded(t *testing.T) {
	tests := []struct {
		name string
		err  error
		kind timeline.Kind
		log  string
	}{
		{"accepted", nil, timeline.ConfigPublished, "change published"},
		{"conflict", configlog.ErrConflict, timeline.ConfigConflict, "change conflicts"},
		{"uncertain", configlog.ErrUncertain, timeline.ConfigUncertain, "change uncertain"},
		{"unavailable", platform.ErrUnavailable, "", "change not published"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			recorder := timeline.NewRecorder("kt-a-1", timeline.NewClock(time.Now))
			lines := memory.New()
			s := NewServer(refuse(tt.err), newFakeFleet(t), WithEvents(recorder), WithLogger(&log.Logger{Handler: lines}))
			client := NewClient(serve(t, s))
			defer client.Close()
			_, err := client.Publish(context.Background(), configlog.Change{
				ID: "i", Scope: "service/spoolkeep", Base: -1, Kind: configlog.DeleteService, Author: "mina",
			})
			assert.Equal(t, err == nil, tt.err == nil)
			assert.Equal(t, lines.Entries[0].Message, tt.log)
			events := recorder.Since(0)
			if tt.kind == "" {
				assert.Equal(t, len(events), 0)
				return
			}
			assert.Equal(t, events[0].Kind, tt.kind)
			assert.Equal(t, events[0].Service, "spoolkeep")
			assert.Equal(t, events[0].Detail, "delete_service of service/spoolkeep by mina")
		})
	}
}

// Guards against a lost answer that is reported as a failure, or published
// twice, when another instance can tell.
func TestGroupRepeatsUncertainChange(t *testing.T) {
	change := configlog.Change{ID: "c1", Scope: "service/spoolkeep", Base: 0, Kind: configlog.PutService, Body: []byte(spoolkeep)}
	tests := []struct {
		name          string
		first, second error
		current       Document
		want          error
	}{
		{"second accepts", configlog.ErrUncertain, nil, Document{}, nil},
		{"first landed by id", configlog.ErrUncertain, configlog.ErrConflict, Document{Version: 4, ChangeID: "c1"}, nil},
		{"first landed by text", configlog.ErrUncertain, configlog.ErrConflict, Document{Version: 4, Text: spoolkeep}, nil},
		{"replaced since", configlog.ErrUncertain, configlog.ErrConflict, Document{Version: 4, ChangeID: "c9"}, configlog.ErrUncertain},
		{"conflict at once", configlog.ErrConflict, nil, Document{Version: 4, ChangeID: "c9"}, configlog.ErrConflict},
		{"first unavailable", platform.ErrUnavailable, nil, Document{}, nil},
		{"both unavailable", platform.ErrUnavailable, platform.ErrUnavailable, Document{}, platform.ErrUnavailable},
		{"never told", configlog.ErrUncertain, platform.ErrUnavailable, Document{}, configlog.ErrUncertain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var mu sync.Mutex
			var ids []string
			server := func(err error) netip.AddrPort {
				fleet := newFakeFleet(t)
				fleet.fleet.ScopeVersions["service/spoolkeep"] = 4
				return serve(t, NewServer(fakePublisher(func(c configlog.Change) (configlog.Result, error) {
					mu.Lock()
					defer mu.Unlock()
					ids = append(ids, c.ID)
					return configlog.Result{Version: 4}, err
				}), fleet, WithDocuments(fakeDocuments{tt.current})))
			}
			group := NewGroup([]netip.AddrPort{server(tt.first), server(tt.second)})
			defer group.Close()
			result, err := group.Publish(context.Background(), change)
			for _, id := range ids {
				assert.Equal(t, id, "c1")
			}
			if tt.want != nil {
				assert.ErrorIs(t, err, tt.want)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, result.Version, config.Version(4))
		})
	}
}

// Guards against an answer lost after the change was sent being reported as
// nothing changed, and a refused connection as uncertain.
func TestClientLostAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err == nil {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	}()
	client := NewClient(netip.MustParseAddrPort(l.Addr().String()))
	defer client.Close()
	change := configlog.Change{ID: "i", Scope: "service/a", Kind: configlog.DeleteService}
	_, err = client.Publish(context.Background(), change)
	assert.ErrorIs(t, err, configlog.ErrUncertain)
	<-done
	assert.NilError(t, l.Close())
	_, err = client.Publish(context.Background(), change)
	assert.ErrorIs(t, err, ErrUnreachable)
	assert.Assert(t, !errors.Is(err, configlog.ErrUncertain))
}
