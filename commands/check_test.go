package commands

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
)

const checkedFile = "[service s]\nhealth_path = /h\n\n[service  spare]\nhealth_path = /h\n[route a.example /x/]\ntimeout = 1s\nobjective = 2s\nservices = s\n" +
	"[tenant t]\napi_keys = mgjqnirth5mgjy5rcpih\nrate_per_second = 10\nburst = 0.5\n"

// Guards against findings without the line of their section, differences that are not
// listed, and an API key in the output.
func TestCheckOutput(t *testing.T) {
	d, err := config.Parse([]byte(checkedFile))
	assert.NilError(t, err)
	published, err := config.Parse([]byte(strings.Replace(checkedFile, "rate_per_second = 10", "rate_per_second = 20", 1)))
	assert.NilError(t, err)
	published.Version = 7
	opts := CheckOptions{File: "a.ini", Text: []byte(checkedFile), InForce: published}
	var out bytes.Buffer
	n, err := Check(d, opts, &out)
	assert.NilError(t, err)
	assert.Equal(t, n, 3)
	assert.Equal(t, out.String(), "a.ini:6: contradiction: [route a.example /x/] objective 2s is longer than timeout 1s\n"+
		"a.ini:4: unused: [service spare] no route leads to the service\n"+
		"a.ini:10: contradiction: [tenant t] burst 0.5 is less than one request\n"+
		"1 differences from version 7\n  [tenant t] requests per second changed from 20 to 10\n")

	out.Reset()
	opts.JSON = true
	_, err = Check(d, opts, &out)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(out.String(), "mgjqnirth5mgjy5rcpih"))
	var m checkMessage
	assert.NilError(t, json.Unmarshal(out.Bytes(), &m))
	assert.Equal(t, len(m.Findings), 3)
	assert.Equal(t, m.Findings[1].Line, 4)
	assert.DeepEqual(t, m.Differences, []differenceMessage{{"tenant t", "requests per second changed from 20 to 10"}})
}
