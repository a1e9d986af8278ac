package loadtest

import (
	"encoding/json"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// reportMessage is a report in a file. Histograms are in the compressed form
// of the HDR histogram log.
type reportMessage struct {
	Label      string          `json:"label"`
	DurationMS int64           `json:"duration_ms"`
	Short      []byte          `json:"short"`
	Long       []byte          `json:"long"`
	Refused    []byte          `json:"refused"`
	Seconds    []secondMessage `json:"seconds"`
	Outcomes   map[string]int  `json:"outcomes"`
	Repeats    int             `json:"repeats"`
	Wrong      int             `json:"wrong"`
}

// secondMessage is one second of a run in a file.
type secondMessage struct {
	Answered int    `json:"answered"`
	Short    []byte `json:"short"`
}

// Save writes the report to a file.
func (r *Report) Save(path string) error {
	m := reportMessage{
		Label: r.Label, DurationMS: r.Duration.Milliseconds(),
		Outcomes: r.Outcomes, Repeats: r.Repeats, Wrong: r.Wrong,
	}
	var err error
	encode := func(h *hdrhistogram.Histogram) []byte {
		data, encodeErr := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if encodeErr != nil {
			err = encodeErr
		}
		return data
	}
	m.Short, m.Long, m.Refused = encode(r.Short), encode(r.Long), encode(r.Refused)
	for _, s := range r.Seconds {
		m.Seconds = append(m.Seconds, secondMessage{Answered: s.Answered, Short: encode(s.Short)})
	}
	if err != nil {
		return err
	}
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// LoadReport reads a report from a file.
func LoadReport(path string) (*Report, error) {
	text, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, err
	}
	var m reportMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, err
	}
	r := NewReport(m.Label, time.Duration(m.DurationMS)*time.Millisecond)
	r.Outcomes, r.Repeats, r.Wrong = m.Outcomes, m.Repeats, m.Wrong
	decode := func(data []byte) *hdrhistogram.Histogram {
		h, decodeErr := hdrhistogram.Decode(data)
		if decodeErr != nil {
			err = decodeErr
			return newHistogram()
		}
		return h
	}
	r.Short, r.Long, r.Refused = decode(m.Short), decode(m.Long), decode(m.Refused)
	r.Seconds = nil
	for _, s := range m.Seconds {
		r.Seconds = append(r.Seconds, &Second{Answered: s.Answered, Short: decode(s.Short)})
	}
	return r, err
}
