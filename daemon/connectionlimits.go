package daemon

import (
	"net"
	"syscall"

	"rhubarbrelay/callers"
)

// The parts of the file descriptors, in thousandths, that connections at each port may use.
// The rest, more than a quarter, is for connections to targets, to other instances and to
// the store. A refused connection counts in addition for a moment, an eighth of the limit at
// most. Callers may keep a connection for entry queries beside those for requests, and a
// start of all instances brings many connections to the administration API.
const (
	callerFiles = 400
	peerFiles   = 60
	entryFiles  = 120
	readyFiles  = 15
	adminFiles  = 40
	// maxFiles limits what the ports without a setting may use where files are not scarce.
	maxFiles = 32_000
)

// connectionLimits are the largest numbers of connections at the ports of an instance.
type connectionLimits struct{ callers, peers, entry, ready, admin int }

// newConnectionLimits divides the file descriptors of the process. configured limits the
// connections of callers and those of other instances. files is 0 if it is not known.
func newConnectionLimits(files uint64, configured int) connectionLimits {
	if files == 0 {
		files = maxFiles
	}
	part := func(files, thousandths uint64) int {
		return int(max(1, min(files, maxMaxConnections*1000/callerFiles)*thousandths/1000))
	}
	rest := min(files, maxFiles)
	return connectionLimits{
		callers: min(configured, part(files, callerFiles)), peers: min(configured, part(files, peerFiles)),
		entry: part(rest, entryFiles), ready: part(rest, readyFiles), admin: part(rest, adminFiles),
	}
}

// maxMaxConnections is the largest number of connections that can be configured.
const maxMaxConnections = 1_000_000

// fileLimit returns the number of file descriptors that the process may open, 0 if it is
// not known.
func fileLimit() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return limit.Cur
}

func (d *Daemon) serveEntry(l net.Listener) error { return d.entryServer.Serve(l, d.limits.entry) }

func (d *Daemon) serveReadiness(l net.Listener) error { return d.entryServer.Serve(l, d.limits.ready) }

func (d *Daemon) serveAdmin(l net.Listener) error {
	return d.admin.Serve(callers.NewListener(callers.NewSet(), l, d.limits.admin, callers.WithLogger(d.logger)))
}
