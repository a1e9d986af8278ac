package configlog

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"google.golang.org/protobuf/proto"

	"rhubarbrelay/config"
	pb "rhubarbrelay/configlog/configlogpb"
	"rhubarbrelay/platform"
)

// fakeLog is a log in memory whose failures the tests set.
type fakeLog struct {
	mu       sync.Mutex
	streams  map[string]*fakeStream
	reads    int
	appends  int
	readErr  error
	hidden   platform.Offset // newest records that reads do not show
	onAppend func(l *fakeLog, stream string, data []byte) (platform.Offset, error)
}

type fakeStream struct {
	first    platform.Offset
	records  []platform.Record
	appended chan struct{}
}

const fakeRetention = 24 * time.Hour

func newFakeLog() *fakeLog { return &fakeLog{streams: map[string]*fakeStream{}} }

func (l *fakeLog) stream(name string) *fakeStream {
	s, ok := l.streams[name]
	if !ok {
		s = &fakeStream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *fakeLog) Append(_ context.Context, stream string, data []byte) (platform.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.onAppend != nil {
		return l.onAppend(l, stream, data)
	}
	return l.putLocked(stream, data), nil
}

// put appends a record.
func (l *fakeLog) put(stream string, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.putLocked(stream, data)
}

func (l *fakeLog) putLocked(stream string, data []byte) platform.Offset {
	s := l.stream(stream)
	offset := s.first + platform.Offset(len(s.records))
	s.records = append(s.records, platform.Record{Offset: offset, Time: time.Now(), Data: data})
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// expire drops configuration records at the end of their retention.
func (l *fakeLog) expire(below platform.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(Stream)
	for len(s.records) > 0 && s.first < below {
		s.records = s.records[1:]
		s.first++
	}
}

// truncate drops the tail of the configuration stream.
func (l *fakeLog) truncate(next platform.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(Stream)
	s.records = s.records[:next-s.first]
}

func (l *fakeLog) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readErr = err
}

func (l *fakeLog) Read(ctx context.Context, stream string, from platform.Offset, wait time.Duration) (platform.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, appended, err := l.page(stream, from)
		if err != nil || len(page.Records) > 0 || wait == 0 || from < page.First {
			return page, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return platform.Page{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
		}
	}
}

func (l *fakeLog) page(stream string, from platform.Offset) (platform.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	s := l.stream(stream)
	if l.readErr != nil {
		return platform.Page{}, nil, l.readErr
	}
	records := s.records[:max(0, len(s.records)-int(l.hidden))]
	page := platform.Page{First: s.first, Next: s.first + platform.Offset(len(records)), Retention: fakeRetention}
	if from < 0 {
		from = max(page.First, page.Next-1)
	}
	if from >= page.First && from < page.Next {
		page.Records = append(page.Records, records[from-page.First:]...)
	}
	return page, s.appended, nil
}

// records returns the records that the stream holds.
func (l *fakeLog) records(stream string) []platform.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.stream(stream).records)
}

// quietFollower returns a follower whose log lines the test can read.
func quietFollower(l Log, opts ...FollowerOption) (*Follower, *memory.Handler) {
	handler := memory.New()
	all := append([]FollowerOption{WithFollowerLogger(&log.Logger{Handler: handler, Level: log.DebugLevel})}, opts...)
	return NewFollower(l, all...), handler
}

func alarms(h *memory.Handler) int {
	count := 0
	for _, e := range h.Entries {
		if e.Level == log.ErrorLevel {
			count++
		}
	}
	return count
}

// document returns the body of a service with one target.
func document(name string, maxQueue int) []byte {
	s := config.NewService(name)
	s.MaxQueue = maxQueue
	s.Targets = []config.Target{{
		Name: "t1", Address: netip.MustParseAddrPort("127.0.0.1:9000"), Zone: "z", Slots: 4, MaxConnections: 200,
	}}
	return config.FormatService(s)
}

// change returns a put of the service "a".
func change(id string, base config.Version, maxQueue int) Change {
	return Change{ID: id, Scope: "service/a", Base: base, Author: "author of " + id, Body: document("a", maxQueue)}
}

func encode(c Change) []byte { return encodeRecord(recordOf(c)) }

func encodeRecord(m *pb.ConfigRecord) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

func record(offset platform.Offset, data []byte) platform.Record {
	return platform.Record{Offset: offset, Time: time.UnixMilli(1000 + int64(offset)), Data: data}
}
