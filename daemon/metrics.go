package daemon

import (
	"rhubarbrelay/limits"
	"rhubarbrelay/logwriter"
	"rhubarbrelay/peer"
	"rhubarbrelay/relay"
	"rhubarbrelay/routing"
)

// MetricsName is the expvar variable that holds the metrics.
const MetricsName = "rhubarbrelay"

// instanceMetrics is the value of the expvar variable.
type instanceMetrics struct {
	ConfigVersion  int64 `json:"config_version"`
	Ready          bool  `json:"ready"`
	ReadyInstances int   `json:"ready_instances"`
	KnownInstances int   `json:"known_instances"`
	Targets        int   `json:"targets"`
	TargetAgeMS    int64 `json:"target_age_ms"`
	StoreFailing   bool  `json:"store_failing"`
	StoreEra       int64 `json:"store_era"`
	// SchedulingDelayUS is how long goroutines wait for a processor.
	SchedulingDelayUS int64 `json:"scheduling_delay_us"`
	// BlockedRequests is the number of different requests.
	BlockedRequests int `json:"blocked_requests"`
	// EvacuatedZonesMS is the time for which each evacuated zone has been evacuated.
	EvacuatedZonesMS map[string]int64          `json:"evacuated_zones_ms"`
	Callers          callerMetrics             `json:"callers"`
	Services         map[string]serviceMetrics `json:"services"`
	Peers            peerMetrics               `json:"peers"`
	Log              logMetrics                `json:"log"`
	// Tenants are empty unless the configuration has tenants.
	Tenants map[string]tenantMetrics `json:"tenants,omitempty"`
}

// callerMetrics describes the requests of callers and their outcomes.
type callerMetrics struct {
	InProgress     int64             `json:"in_progress"`
	Forwarded      uint64            `json:"run"`
	UnknownOutcome uint64            `json:"unknown"`
	Retries        uint64            `json:"retries"`
	Hedges         uint64            `json:"hedges"`
	Panics         uint64            `json:"panics"`
	Blocked        uint64            `json:"blocked"`
	PassedOn       uint64            `json:"passed_on"`
	TakenOver      uint64            `json:"taken_over"`
	Refused        map[string]uint64 `json:"refused"`
	LatencyUS      map[string]int64  `json:"latency_us"`
}

// serviceMetrics counts routing decisions for one service.
type serviceMetrics struct {
	Acquired        uint64 `json:"acquired"`
	Waited          uint64 `json:"waited"`
	RefusedEarly    uint64 `json:"refused_early"`
	RefusedLate     uint64 `json:"refused_late"`
	RefusedNoTarget uint64 `json:"refused_no_target"`
	RetriesDenied   uint64 `json:"retries_denied"`
	Probes          uint64 `json:"probes"`
	ProbeFailures   uint64 `json:"probe_failures"`
	Failures        uint64 `json:"failures"`
	Sheds           uint64 `json:"sheds"`
	Waiting         int    `json:"waiting"`
	InFlight        int    `json:"in_flight"`
	Targets         int    `json:"targets"`
	Limited         int    `json:"limited"`
	Leaving         int    `json:"leaving"`
	Quiet           int    `json:"quiet"`
	Cold            int    `json:"cold"`
	Evacuated       int    `json:"evacuated"`
	Unreached       int    `json:"unreached"`
	Reach           string `json:"reach"`
}

// peerMetrics counts datagrams exchanged with other instances.
type peerMetrics struct {
	PacketsIn  uint64 `json:"packets_in"`
	PacketsOut uint64 `json:"packets_out"`
	BytesIn    uint64 `json:"bytes_in"`
	BytesOut   uint64 `json:"bytes_out"`
	Malformed  uint64 `json:"malformed"`
	SendErrors uint64 `json:"send_errors"`
}

// tenantMetrics describes the requests of a tenant at this instance. The share and the
// demand are in requests per second.
type tenantMetrics struct {
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
	Share         float64 `json:"share"`
	Demand        float64 `json:"demand"`
	Admitted      uint64  `json:"admitted"`
	Refused       uint64  `json:"refused"`
}

// logMetrics counts log lines by outcome.
type logMetrics struct {
	Written uint64 `json:"written"`
	Dropped uint64 `json:"dropped"`
	Failed  uint64 `json:"failed"`
}

// Metrics returns the metrics of the instance for expvar.
func (d *Daemon) Metrics(logStats logwriter.Stats) any {
	status := d.Status()
	m := instanceMetrics{
		ConfigVersion: status.ConfigVersion, Ready: status.Ready, ReadyInstances: len(status.Instances),
		KnownInstances: d.members.Count(), Targets: status.Targets, TargetAgeMS: status.TargetAge.Milliseconds(),
		StoreFailing: status.StoreFailing, StoreEra: d.targetFollower.Era(), BlockedRequests: d.crashes.BlockedCount(),
		SchedulingDelayUS: d.scheduling.Delay().Microseconds(),
		EvacuatedZonesMS:  newEvacuationMetrics(status.Evacuated), Callers: newCallerMetrics(d.relay.Stats(), status.InProgress),
		Services: map[string]serviceMetrics{}, Peers: newPeerMetrics(d.mesh.Stats()), Log: logMetrics(logStats),
	}
	m.Tenants = newTenantMetrics(d.quotas.Stats())
	for name, s := range d.table.Stats() {
		m.Services[name] = newServiceMetrics(s)
	}
	return m
}

func newCallerMetrics(s relay.Stats, inProgress int64) callerMetrics {
	m := callerMetrics{
		InProgress: inProgress, Forwarded: s.Forwarded, UnknownOutcome: s.UnknownOutcome, Retries: s.Retries, Hedges: s.Hedges, Panics: s.Panics, Blocked: s.Blocked,
		PassedOn: s.PassedOn, TakenOver: s.TakenOver,
		Refused: s.Refused, LatencyUS: map[string]int64{},
	}
	for name, latency := range s.Latencies {
		m.LatencyUS[name] = latency.Microseconds()
	}
	return m
}

func newTenantMetrics(stats map[string]limits.QuotaStats) map[string]tenantMetrics {
	metrics := make(map[string]tenantMetrics, len(stats))
	for name, s := range stats {
		metrics[name] = tenantMetrics{
			RatePerSecond: s.PerSecond, Burst: s.Burst, Share: s.Share, Demand: s.Demand, Admitted: s.Admitted, Refused: s.Refused,
		}
	}
	return metrics
}

func newServiceMetrics(s routing.Stats) serviceMetrics { return serviceMetrics(s) }

func newPeerMetrics(s peer.Stats) peerMetrics { return peerMetrics(s) }
