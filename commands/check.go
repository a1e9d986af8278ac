package commands

import (
	"encoding/json"
	"fmt"
	"io"

	"rhubarbrelay/checks"
	"rhubarbrelay/config"
)

// checkMessage is the JSON form of the result of a check. It contains no API keys.
type checkMessage struct {
	File     string           `json:"file"`
	Findings []findingMessage `json:"findings"`
	// ComparedTo is the version in force, 0 if the file was not compared with it.
	ComparedTo  int64               `json:"compared_to"`
	Differences []differenceMessage `json:"differences"`
}

type findingMessage struct {
	Line    int    `json:"line"`
	Kind    string `json:"kind"`
	Section string `json:"section"`
	Text    string `json:"text"`
}

type differenceMessage struct {
	Section string `json:"section"`
	Text    string `json:"text"`
}

// CheckOptions selects what Check compares and how it prints the result.
type CheckOptions struct {
	File string
	// Text is the text of the file, in which the lines of findings are looked up.
	Text []byte
	// InForce is the published configuration, nil to compare with none.
	InForce *config.Document
	JSON    bool
}

// Check prints the findings in a valid configuration, and its differences from the one in
// force. It returns the number of findings.
func Check(d *config.Document, opts CheckOptions, out io.Writer) (findings int, err error) {
	message := checkMessage{File: opts.File, Findings: []findingMessage{}, Differences: []differenceMessage{}}
	for _, f := range checks.Check(d) {
		message.Findings = append(message.Findings, findingMessage{
			Line: config.SectionLine(opts.Text, f.Section), Kind: string(f.Kind), Section: f.Section, Text: f.Text,
		})
	}
	if opts.InForce != nil {
		message.ComparedTo = opts.InForce.Version
		for _, c := range checks.Compare(opts.InForce, d) {
			message.Differences = append(message.Differences, differenceMessage(c))
		}
	}
	if opts.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return len(message.Findings), encoder.Encode(message)
	}
	return len(message.Findings), printCheck(message, out)
}

func printCheck(m checkMessage, out io.Writer) error {
	for _, f := range m.Findings {
		if _, err := fmt.Fprintf(out, "%s:%d: %s: [%s] %s\n", m.File, f.Line, f.Kind, f.Section, f.Text); err != nil {
			return err
		}
	}
	if m.ComparedTo > 0 {
		if _, err := fmt.Fprintf(out, "%d differences from version %d\n", len(m.Differences), m.ComparedTo); err != nil {
			return err
		}
	}
	for _, c := range m.Differences {
		if _, err := fmt.Fprintf(out, "  [%s] %s\n", c.Section, c.Text); err != nil {
			return err
		}
	}
	return nil
}
