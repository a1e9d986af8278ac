package standin_test

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/platform"
	"rhubarbrelay/standin"
)

func startPlatform(t *testing.T) (*standin.Platform, *platform.Client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := standin.NewPlatform()
	served := make(chan error, 1)
	go func() { served <- p.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, p.Close())
		assert.NilError(t, <-served)
	})
	address := netip.MustParseAddrPort(l.Addr().String())
	return p, platform.NewClient(address, platform.WithTimeout(200*time.Millisecond))
}

// Guards against a stand-in whose failures differ from those of the fault
// model, so that tests would prove nothing.
func TestPlatformFaults(t *testing.T) {
	p, c := startPlatform(t)
	ctx := t.Context()
	for want := range 3 {
		offset, err := c.Append(ctx, "config", []byte{byte(want)})
		assert.NilError(t, err)
		assert.Equal(t, offset, platform.Offset(want))
	}

	newest, err := c.Read(ctx, "config", -1, 0)
	assert.NilError(t, err)
	assert.Equal(t, newest.Records[0].Offset, platform.Offset(2))

	p.SetFaults(standin.Faults{LoseAnswers: true})
	_, err = c.Append(ctx, "config", nil)
	assert.ErrorIs(t, err, platform.ErrUncertain)

	p.SetFaults(standin.Faults{DropAppends: true})
	_, err = c.Append(ctx, "config", nil)
	assert.ErrorIs(t, err, platform.ErrUnavailable)

	p.SetFaults(standin.Faults{StaleRecords: 2})
	page, err := c.Read(ctx, "config", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, page.Next, platform.Offset(2))

	p.SetFaults(standin.Faults{Silent: true})
	_, err = c.Append(ctx, "config", nil)
	assert.ErrorIs(t, err, platform.ErrUncertain)
	_, err = c.Read(ctx, "config", 0, 0)
	assert.ErrorIs(t, err, platform.ErrUnavailable)

	p.SetFaults(standin.Faults{})
	p.Truncate("config", 3)
	p.Expire("config", 1)
	page, err = c.Read(ctx, "config", 0, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, page.First, platform.Offset(1))
	assert.Equal(t, page.Next, platform.Offset(3))
}

// Guards against an unchanged instance list that is sent again at every read,
// which would cost more than the budget for control, and against a change that
// is not seen.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	p, c := startPlatform(t)
	for i := range 1000 {
		p.SetInstance(platform.Instance{ID: fmt.Sprintf("target-%04d", i), Role: platform.RoleTarget, State: platform.StateLive})
	}
	first, err := c.Instances(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(first), 1000)
	before := c.Traffic()
	again, err := c.Instances(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(again), 1000)
	after := c.Traffic()
	spent := after.BytesIn + after.BytesOut - before.BytesIn - before.BytesOut
	assert.Assert(t, spent < 1000, "%d bytes for an unchanged list", spent)

	p.RemoveInstance("target-0007")
	changed, err := c.Instances(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(changed), 999)
}
