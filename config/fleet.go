package config

import "maps"

// Version is the offset of a configuration record in the log. Versions only
// grow.
type Version int64

// NoVersion is the version of a scope that has never been published.
const NoVersion Version = -1

// Fleet is the whole configuration in force at one version. A Fleet is
// immutable; a change makes a new one.
type Fleet struct {
	Version Version
	// Services holds the services by name.
	Services map[string]*Service
	// ScopeVersions holds the version of the last accepted record per scope.
	ScopeVersions map[string]Version
	// DrainedInstances holds the ids of the instances that operators drain.
	DrainedInstances map[string]bool
}

// NewFleet returns the empty configuration that precedes the first record.
func NewFleet() *Fleet {
	return &Fleet{
		Version:          NoVersion,
		Services:         map[string]*Service{},
		ScopeVersions:    map[string]Version{},
		DrainedInstances: map[string]bool{},
	}
}

// Clone returns a copy whose maps can be changed. The services themselves are
// shared, since they are immutable.
func (f *Fleet) Clone() *Fleet {
	return &Fleet{
		Version:          f.Version,
		Services:         maps.Clone(f.Services),
		ScopeVersions:    maps.Clone(f.ScopeVersions),
		DrainedInstances: maps.Clone(f.DrainedInstances),
	}
}

// ServiceScope returns the scope of a service's records.
func ServiceScope(name string) string { return "service/" + name }

// InstanceScope returns the scope of the drain records of an instance.
func InstanceScope(id string) string { return "instance/" + id }
