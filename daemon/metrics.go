package daemon

import (
	"rhubarbrelay/health"
	"rhubarbrelay/idempotency"
	"rhubarbrelay/peer"
	"rhubarbrelay/relay"
	"rhubarbrelay/routing"
	"rhubarbrelay/upstream"
)

// MetricsName is the name under which expvar shows the metrics.
const MetricsName = "rhubarbrelay"

// metricsMessage is what expvar shows of an instance.
type metricsMessage struct {
	ConfigVersion  int64                     `json:"config_version"`
	Ready          bool                      `json:"ready"`
	Fresh          bool                      `json:"fresh"`
	ConfigProblems int                       `json:"config_problems"`
	LiveInstances  int                       `json:"live_instances"`
	MaxInstances   int                       `json:"max_instances"`
	Requests       int                       `json:"requests"`
	Callers        callerMetrics             `json:"callers"`
	Services       map[string]serviceMetrics `json:"services"`
	Upstream       upstreamMetrics           `json:"upstream"`
	Probes         probeMetrics              `json:"probes"`
	Peers          peerMetrics               `json:"peers"`
	Keys           keyMetrics                `json:"keys"`
	Platform       platformMetrics           `json:"platform"`
}

// callerMetrics counts the answers to callers.
type callerMetrics struct {
	Requests  uint64         `json:"requests"`
	Run       uint64         `json:"run"`
	NotRun    uint64         `json:"not_run"`
	Unknown   uint64         `json:"unknown"`
	Retries   uint64         `json:"retries"`
	Forwarded uint64         `json:"forwarded"`
	Panics    uint64         `json:"panics"`
	Refused   refusalMetrics `json:"refused"`
}

// refusalMetrics counts the answers with the outcome not_run by their cause.
type refusalMetrics struct {
	Input        uint64 `json:"input"`
	QueueFull    uint64 `json:"queue_full"`
	TooLate      uint64 `json:"too_late"`
	NoTarget     uint64 `json:"no_target"`
	Stale        uint64 `json:"stale"`
	Connections  uint64 `json:"connections"`
	NoConnection uint64 `json:"no_connection"`
	Unreachable  uint64 `json:"unreachable"`
	Shed         uint64 `json:"shed"`
	Deadline     uint64 `json:"deadline"`
	CallerClosed uint64 `json:"caller_closed"`
	Keys         uint64 `json:"keys"`
	Internal     uint64 `json:"internal"`
}

// serviceMetrics counts the decisions on one service.
type serviceMetrics struct {
	Acquired       uint64 `json:"acquired"`
	Queued         uint64 `json:"queued"`
	RefusedFull    uint64 `json:"refused_full"`
	RefusedUnfair  uint64 `json:"refused_unfair"`
	RefusedEarly   uint64 `json:"refused_early"`
	RefusedWaited  uint64 `json:"refused_waited"`
	RefusedNone    uint64 `json:"refused_no_target"`
	Canceled       uint64 `json:"canceled"`
	RetriesAllowed uint64 `json:"retries_allowed"`
	RetriesDenied  uint64 `json:"retries_denied"`
	Ejections      uint64 `json:"ejections"`
	Returns        uint64 `json:"returns"`
	Failures       uint64 `json:"failures"`
	Sheds          uint64 `json:"sheds"`
	Waiting        int    `json:"waiting"`
	InFlight       int    `json:"in_flight"`
	LongHeld       int    `json:"long_held"`
}

// upstreamMetrics sums the connections to all targets.
type upstreamMetrics struct {
	Open         int    `json:"open"`
	Idle         int    `json:"idle"`
	Waiting      int    `json:"waiting"`
	Exchanges    uint64 `json:"exchanges"`
	Dials        uint64 `json:"dials"`
	DialFailures uint64 `json:"dial_failures"`
	Stale        uint64 `json:"stale"`
	Refused      uint64 `json:"refused"`
	NotSent      uint64 `json:"not_sent"`
	NotRun       uint64 `json:"not_run"`
	Unknown      uint64 `json:"unknown"`
	Foreign      uint64 `json:"foreign"`
	Oversized    uint64 `json:"oversized"`
}

// probeMetrics counts the probes by what they found.
type probeMetrics struct {
	Ready    uint64 `json:"ready"`
	Draining uint64 `json:"draining"`
	Dead     uint64 `json:"dead"`
}

// peerMetrics counts the traffic with other instances, in bytes and frames.
type peerMetrics struct {
	Sessions     int    `json:"sessions"`
	BytesIn      uint64 `json:"bytes_in"`
	BytesOut     uint64 `json:"bytes_out"`
	ControlBytes uint64 `json:"control_bytes"`
	FramesIn     uint64 `json:"frames_in"`
	FramesOut    uint64 `json:"frames_out"`
	Drops        uint64 `json:"drops"`
	Snapshots    uint64 `json:"snapshots"`
}

// platformMetrics counts the bytes exchanged with the platform.
type platformMetrics struct {
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

// keyMetrics shows what the deduplication table holds.
type keyMetrics struct {
	Keys        int   `json:"keys"`
	Answers     int   `json:"answers"`
	AnswerBytes int   `json:"answer_bytes"`
	LowWaterMS  int64 `json:"low_water_ms"`
}

// Metrics returns the metrics of the instance for expvar.
func (d *Daemon) Metrics() any {
	fleet := d.follower.Fleet()
	m := metricsMessage{
		ConfigVersion:  int64(fleet.Version),
		Ready:          d.follower.Ready(),
		Fresh:          d.guard.Fresh(),
		ConfigProblems: len(d.follower.Problems()),
		LiveInstances:  d.directory.LiveCount(),
		MaxInstances:   d.settings.Peers.MaxInstances,
		Requests:       d.fairness.Total(),
		Callers:        callersFrom(d.relay.Stats()),
		Services:       map[string]serviceMetrics{},
		Upstream:       sumUpstream(d.pools),
		Probes:         probesFrom(d.prober.Counts()),
		Peers:          peersFrom(d.mesh.Stats()),
		Keys:           keysFrom(d.memory.Stats()),
		Platform:       platformMetrics(d.platform.Traffic()),
	}
	for name := range fleet.Services {
		if dispatcher := d.table.Dispatcher(name); dispatcher != nil {
			m.Services[name] = serviceFrom(dispatcher.Stats())
		}
	}
	return m
}

func callersFrom(s relay.Stats) callerMetrics {
	return callerMetrics{
		Requests: s.Requests, Run: s.Run, NotRun: s.NotRun, Unknown: s.Unknown,
		Retries: s.Retries, Forwarded: s.Forwarded, Panics: s.Panics, Refused: refusalMetrics(s.Refused),
	}
}

func serviceFrom(s routing.Stats) serviceMetrics { return serviceMetrics(s) }

func probesFrom(c health.Counts) probeMetrics { return probeMetrics(c) }

func sumUpstream(pools *upstream.Pools) upstreamMetrics {
	var m upstreamMetrics
	for _, s := range pools.Stats() {
		m.Open += s.Open
		m.Idle += s.Idle
		m.Waiting += s.Waiting
		m.Exchanges += s.Exchanges
		m.Dials += s.Dials
		m.DialFailures += s.DialFailures
		m.Stale += s.Stale
		m.Refused += s.Refused
		m.NotSent += s.NotSent
		m.NotRun += s.NotRun
		m.Unknown += s.Unknown
		m.Foreign += s.Foreign
		m.Oversized += s.Oversized
	}
	return m
}

func peersFrom(s peer.Stats) peerMetrics {
	return peerMetrics{
		Sessions: s.Sessions, BytesIn: s.BytesIn, BytesOut: s.BytesOut, ControlBytes: s.ControlBytes(),
		FramesIn: s.FramesIn, FramesOut: s.FramesOut, Drops: s.Drops, Snapshots: s.Snapshots,
	}
}

func keysFrom(s idempotency.Stats) keyMetrics {
	m := keyMetrics{Keys: s.Keys, Answers: s.Answers, AnswerBytes: s.AnswerBytes}
	if !s.LowWater.IsZero() {
		m.LowWaterMS = s.LowWater.UnixMilli()
	}
	return m
}
