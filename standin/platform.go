// Package standin implements small stand-ins of the platform and of targets
// for tests, the demo and measurements. They can be told to fail.
package standin

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"rhubarbrelay/platform"
)

// defaultRetention is how long the log keeps a record.
const defaultRetention = 24 * time.Hour

const (
	// maxPageRecords bounds the records of one page.
	maxPageRecords = 500
	// maxPageBytes bounds the data of one page, which has at least one record.
	maxPageBytes = 1 << 20
)

// Faults are the failures that the platform shows until they are changed.
type Faults struct {
	// Down refuses every call.
	Down bool
	// LoseAnswers closes the connection after an append took effect.
	LoseAnswers bool
	// Delay passes before every answer.
	Delay time.Duration
	// FreezeList keeps the instance list as it is.
	FreezeList bool
	// DropAppends refuses appends without effect, while reads work.
	DropAppends bool
	// Silent reads calls and never answers them, as a connection does whose
	// path has lost its state. Appends have no effect.
	Silent bool
	// StaleRecords hides this many of the newest records of each stream from
	// reads.
	StaleRecords int
}

// Platform is the stand-in of the platform: the log and the instance list.
type Platform struct {
	retention time.Duration

	mu        sync.Mutex
	streams   map[string]*stream
	instances map[string]platform.Instance
	frozen    []platform.Instance
	faults    Faults
	// changed is closed when the faults change, which ends silent calls.
	changed chan struct{}
	http    *fasthttp.Server
}

// stream is one stream of the log.
type stream struct {
	first    platform.Offset
	records  []platform.Record
	appended chan struct{}
}

// PlatformOption changes a Platform under construction.
type PlatformOption func(*Platform)

// WithRetention sets how long the log keeps a record.
func WithRetention(d time.Duration) PlatformOption {
	return func(p *Platform) { p.retention = d }
}

// NewPlatform returns a platform with an empty log and list.
func NewPlatform(opts ...PlatformOption) *Platform {
	p := &Platform{
		retention: defaultRetention,
		streams:   map[string]*stream{},
		instances: map[string]platform.Instance{},
		changed:   make(chan struct{}),
	}
	for _, opt := range opts {
		opt(p)
	}
	p.http = &fasthttp.Server{Handler: p.handle, MaxRequestBodySize: 16 << 20}
	return p
}

// Serve answers calls until the listener closes.
func (p *Platform) Serve(l net.Listener) error { return p.http.Serve(l) }

// Close ends all failures and stops serving.
func (p *Platform) Close() error {
	p.SetFaults(Faults{})
	return p.http.Shutdown()
}

// SetFaults replaces the failures that the platform shows.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.FreezeList && !p.faults.FreezeList {
		p.frozen = p.listLocked()
	}
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetInstance adds or replaces a line of the instance list.
func (p *Platform) SetInstance(in platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[in.ID] = in
}

// RemoveInstance removes a line of the instance list.
func (p *Platform) RemoveInstance(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, id)
}

// Append appends a record as a caller of the log would.
func (p *Platform) Append(name string, data []byte) platform.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.streamLocked(name)
	offset := s.first + platform.Offset(len(s.records))
	s.records = append(s.records, platform.Record{Offset: offset, Time: time.Now(), Data: slices.Clone(data)})
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// Expire drops the records below the offset, as the end of their retention
// would.
func (p *Platform) Expire(name string, below platform.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.streamLocked(name)
	for len(s.records) > 0 && s.records[0].Offset < below {
		s.records = s.records[1:]
		s.first++
	}
}

// Truncate drops the records from the offset on, as a log that lost its tail.
func (p *Platform) Truncate(name string, next platform.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.streamLocked(name)
	if keep := max(next-s.first, 0); keep < platform.Offset(len(s.records)) {
		s.records = s.records[:keep:keep]
	}
}

func (p *Platform) streamLocked(name string) *stream {
	s, ok := p.streams[name]
	if !ok {
		s = &stream{appended: make(chan struct{})}
		p.streams[name] = s
	}
	for len(s.records) > 0 && time.Since(s.records[0].Time) > p.retention {
		s.records = s.records[1:]
		s.first++
	}
	return s
}

func (p *Platform) listLocked() []platform.Instance {
	list := make([]platform.Instance, 0, len(p.instances))
	for _, in := range p.instances {
		list = append(list, in)
	}
	slices.SortFunc(list, func(a, b platform.Instance) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/standin/") {
		p.handleControl(ctx, path)
		return
	}
	p.mu.Lock()
	faults, changed := p.faults, p.changed
	p.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Silent {
		<-changed
		_ = ctx.Conn().Close()
		return
	}
	name, isStream := strings.CutPrefix(path, "/v1/streams/")
	switch {
	case faults.Down:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case isStream && ctx.IsPost():
		p.handleAppend(ctx, name, faults)
	case isStream && ctx.IsGet():
		p.handleRead(ctx, name)
	case path == "/v1/instances" && ctx.IsGet():
		p.handleList(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *Platform) handleAppend(ctx *fasthttp.RequestCtx, name string, faults Faults) {
	if faults.DropAppends {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	offset := p.Append(name, ctx.PostBody())
	if faults.LoseAnswers {
		_ = ctx.Conn().Close()
		return
	}
	answer(ctx)(platform.EncodeAppended(offset))
}

// handleRead answers with the records from an offset on. A negative offset
// asks for the newest record.
func (p *Platform) handleRead(ctx *fasthttp.RequestCtx, name string) {
	from, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(string(ctx.QueryArgs().Peek("wait")))
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	page, appended := p.page(name, platform.Offset(from))
	if len(page.Records) == 0 && wait > 0 && from >= int64(page.First) {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-appended:
		case <-timer.C:
		}
		page, _ = p.page(name, platform.Offset(from))
	}
	answer(ctx)(platform.EncodePage(page))
}

func (p *Platform) page(name string, from platform.Offset) (platform.Page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.streamLocked(name)
	records := s.records[:max(0, len(s.records)-p.faults.StaleRecords)]
	next := s.first + platform.Offset(len(records))
	page := platform.Page{First: s.first, Next: next, Retention: p.retention}
	if from < 0 {
		from = max(next-1, s.first)
	}
	if from >= s.first && from < next {
		page.Records = slices.Clone(firstPage(records[from-s.first:]))
	}
	return page, s.appended
}

// firstPage returns the records that fit into one page.
func firstPage(records []platform.Record) []platform.Record {
	size := 0
	for i, rec := range records {
		size += len(rec.Data)
		if i == maxPageRecords || i > 0 && size > maxPageBytes {
			return records[:i]
		}
	}
	return records
}

func (p *Platform) handleList(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	list := p.frozen
	if !p.faults.FreezeList {
		list = p.listLocked()
	}
	p.mu.Unlock()
	body, err := platform.EncodeInstances(list)
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	ctx.Response.Header.Set(fasthttp.HeaderETag, tag)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == tag {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	answer(ctx)(body, err)
}

// handleControl serves the tests: PUT /standin/instances, DELETE
// /standin/instances?id=, PUT /standin/faults?down=&lose_answers=&delay=&
// freeze_list=&drop_appends=&silent=&stale_records=, POST
// /standin/expire?stream=&below=, POST /standin/truncate?stream=&next=.
func (p *Platform) handleControl(ctx *fasthttp.RequestCtx, path string) {
	args := ctx.QueryArgs()
	switch path {
	case "/standin/instances":
		if ctx.IsDelete() {
			p.RemoveInstance(string(args.Peek("id")))
			return
		}
		in, err := platform.DecodeInstance(ctx.PostBody())
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		p.SetInstance(in)
	case "/standin/faults":
		delay, _ := time.ParseDuration(string(args.Peek("delay")))
		p.SetFaults(Faults{
			Down: args.GetBool("down"), LoseAnswers: args.GetBool("lose_answers"), Delay: delay,
			FreezeList: args.GetBool("freeze_list"), DropAppends: args.GetBool("drop_appends"),
			Silent: args.GetBool("silent"), StaleRecords: args.GetUintOrZero("stale_records"),
		})
	case "/standin/expire":
		p.Expire(string(args.Peek("stream")), platform.Offset(args.GetUintOrZero("below")))
	case "/standin/truncate":
		p.Truncate(string(args.Peek("stream")), platform.Offset(args.GetUintOrZero("next")))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// answer writes an encoded JSON answer, or the error of encoding it.
func answer(ctx *fasthttp.RequestCtx) func([]byte, error) {
	return func(body []byte, err error) {
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
	}
}
