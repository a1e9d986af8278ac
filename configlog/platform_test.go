package configlog_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
	"rhubarbrelay/platform"
	"rhubarbrelay/standin"
)

// Guards against a client and a publisher that do not agree on what an
// unanswered append means.
func TestPublishThroughPlatform(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	log := standin.NewPlatform()
	served := make(chan error, 1)
	go func() { served <- log.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, log.Close())
		assert.NilError(t, <-served)
	})
	client := platform.NewClient(netip.MustParseAddrPort(l.Addr().String()), platform.WithTimeout(time.Second))
	publisher := configlog.NewPublisher(client)
	change := configlog.Change{
		ID: "1", Scope: config.ServiceScope("a"), Base: config.NoVersion, Author: "clerk",
		Body: config.FormatService(config.NewService("a")),
	}

	log.SetFaults(standin.Faults{DropAppends: true})
	_, err = publisher.Publish(t.Context(), change)
	assert.ErrorIs(t, err, platform.ErrUnavailable)

	log.SetFaults(standin.Faults{LoseAnswers: true})
	result, err := publisher.Publish(t.Context(), change)
	assert.NilError(t, err)
	assert.Equal(t, result.Version, config.Version(0))

	page, err := client.Read(t.Context(), configlog.Stream, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, page.Next, platform.Offset(1))
}
