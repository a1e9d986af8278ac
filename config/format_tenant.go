package config

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

const (
	// tenantSection is the first word in the name of a tenant's section.
	tenantSection = "tenant"
	// tenantsSection is the name of the section on all tenants, which a file without any
	// has if requests need API keys.
	tenantsSection  = "tenants"
	keysRequiredKey = "keys_required"
)

// readTenants reads the section on all tenants.
func (r *sectionReader) readTenants(d *Document) {
	if d.KeysRequired = r.boolean(keysRequiredKey); !d.KeysRequired {
		r.addProblem(keysRequiredKey, "", "must be true; without the section, requests need API keys if there are tenants")
	}
}

// readTenant reads a tenant's section. A file that is written by hand has the keys
// themselves, one that Format wrote has their digests; it may have both.
func (r *sectionReader) readTenant(d *Document, name string, keys Keys) {
	t := &Tenant{
		Name: name, Priority: r.integer("priority", 0), RatePerSecond: r.figure("rate_per_second"), Burst: r.figure("burst"),
	}
	if !r.section.HasKey("api_keys") && !r.section.HasKey("api_key_digests") {
		r.addProblem("api_keys", "", "tenant has no list of API keys; an empty one admits nobody")
	}
	for i, key := range r.list("api_keys") {
		if key == "" {
			r.addProblem("api_keys", "", fmt.Sprintf("key %d is empty", i+1))
			continue
		}
		t.Keys = append(t.Keys, keys.Add(key))
	}
	for i, text := range r.list("api_key_digests") {
		digest, err := ParseKeyDigest(text)
		if err != nil {
			r.addProblem("api_key_digests", "", fmt.Sprintf("digest %d: %s", i+1, err))
			continue
		}
		t.Keys = append(t.Keys, digest)
	}
	d.Tenants = append(d.Tenants, t)
}

// showsValues reports whether problems may state the values of the section. Those of a
// tenant may be keys, also if the name of the section is misspelt.
func (r *sectionReader) showsValues() bool {
	word, _, _ := strings.Cut(r.section.Name(), " ")
	return slices.Contains([]string{"limits", "service", "route"}, word)
}

// list parses a list such as "a, b", which is empty without the key or without a value.
func (r *sectionReader) list(name string) []string {
	if !r.section.HasKey(name) {
		return nil
	}
	text := r.text(name, "")
	if text == "" {
		return nil
	}
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		items = append(items, strings.TrimSpace(item))
	}
	return items
}

func (r *sectionReader) figure(name string) float64 {
	text := r.text(name, "0")
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !isFigure(x) {
		r.addProblem(name, text, "not a finite number of at least 0")
	}
	return x
}

// formatTenants formats the tenants without their keys.
func formatTenants(b *bytes.Buffer, d *Document) {
	if d.RequiresKeys() && len(d.Tenants) == 0 {
		fmt.Fprintf(b, "\n[%s]\n%s = true\n", tenantsSection, keysRequiredKey)
	}
	tenants := slices.SortedFunc(slices.Values(d.Tenants), func(a, b *Tenant) int { return cmp.Compare(a.Name, b.Name) })
	for _, t := range tenants {
		digests := make([]string, 0, len(t.Keys))
		for _, key := range t.Keys {
			digests = append(digests, key.String())
		}
		fmt.Fprintf(b, "\n[%s %s]\napi_key_digests = %s\npriority = %d\nrate_per_second = %s\nburst = %s\n", tenantSection, t.Name,
			strings.Join(digests, ", "), t.Priority, formatFigure(t.RatePerSecond), formatFigure(t.Burst))
	}
}

func formatFigure(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

// lineProblem returns the error of a file that is not in INI format. That of the library
// quotes the line, which may hold a key: it is replaced by the number of the line.
func lineProblem(text []byte, err error) error {
	problem, line, _ := strings.Cut(err.Error(), ": ")
	problem, _, _ = strings.Cut(problem, `"`)
	before, _, found := bytes.Cut(text, []byte(strings.TrimSpace(line)))
	if line == "" || !found {
		return fmt.Errorf("%w: %s", ErrInvalid, problem)
	}
	return fmt.Errorf("%w: line %d: %s", ErrInvalid, bytes.Count(before, []byte("\n"))+1, problem)
}
