package peer

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"rhubarbrelay/targets"
)

// Guards against a cold time that others receive altered, and against further bytes in
// statements that are about something else.
func TestStatementOfColdTarget(t *testing.T) {
	cold := targets.Statement{Incarnation: targets.Incarnation{ID: "t", StartedMS: 5}, Limited: true, Limit: 2.5, ColdLeft: 1500 * time.Millisecond}
	other := cold
	other.ColdLeft = 0
	messages := statementsToWire([]targets.Statement{cold, other})
	got, err := statementsFromWire(messages)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []targets.Statement{cold, other})
	assert.Equal(t, proto.Size(messages[0])-proto.Size(messages[1]), 2+3) // fields 6 and 7
}
