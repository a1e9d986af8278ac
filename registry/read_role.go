package registry

// ReadRole describes the role of this instance in reading the store.
type ReadRole struct {
	// IsReader reports whether this instance has read changes from the target
	// registry within readerTimeout, StoreFailing whether its last read of the
	// target registry failed.
	IsReader, StoreFailing func() bool
	// Rank returns the number of instances presumed alive with a lower ID, ReadOrder
	// the position of this one among those that read the store when they receive no
	// updates.
	Rank, ReadOrder func() int
}

// FetchFunc fetches a configuration newer than version from another instance. It
// returns the document as published and the instance that it came from, or a nil
// document if none is available.
type FetchFunc func(version int64) (raw []byte, source string)
