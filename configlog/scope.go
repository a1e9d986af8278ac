package configlog

import (
	"slices"
	"time"

	"rhubarbrelay/config"
)

// ScopeDetails is what operators see of a scope.
type ScopeDetails struct {
	Name    string
	Version config.Version
	// RecordID is the id of the last accepted record, Author its author and
	// Time the platform's time of its append.
	RecordID string
	Author   string
	Time     time.Time
	Format   uint32
	// Body is the service's document, empty for a deleted service or an
	// instance.
	Body           string
	DrainedTargets []string
	// Drained tells whether operators drain the instance.
	Drained bool
	Deleted bool
}

// scopeDetails returns the details of a scope that has an accepted record.
func (s *State) scopeDetails(name string) (ScopeDetails, bool) {
	scope, ok := s.scopes[name]
	if !ok || scope.GetVersion() < 0 {
		return ScopeDetails{}, false
	}
	return ScopeDetails{
		Name: name, Version: config.Version(scope.GetVersion()), RecordID: scope.GetRecordId(),
		Author: scope.GetAuthor(), Time: time.UnixMilli(scope.GetChangedMs()), Format: scope.GetFormat(),
		Body: string(scope.GetBody()), DrainedTargets: slices.Clone(scope.GetDrainedTargets()),
		Drained: scope.GetDrained(), Deleted: scope.GetDeleted(),
	}, true
}
