package registry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/platform"
)

// configBound is the time after its acknowledgement within which a version must be
// active.
const configBound = 2 * time.Second

// putVersions appends one record for each version.
func putVersions(store *fakeStore, versions ...int) {
	for _, v := range versions {
		store.put(platform.ConfigTopic, platform.ConfigKey, documentJSON(v))
	}
}

// Guards against a version that is missed after an outage because the restored store
// appended it before the position of the last read.
func TestVersionAtOffsetsReadBeforeOutage(t *testing.T) {
	for _, rank := range []int{reader, watcher} {
		t.Run(fmt.Sprint("rank ", rank), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				putVersions(store, 5, 6, 7)
				_, versions := startConfigFollower(t, store, rank, noPeer)
				time.Sleep(time.Second)
				store.fail(platform.ErrUnavailable)
				time.Sleep(time.Second)
				store.restore(platform.ConfigTopic, 1)
				putVersions(store, 7, 9)
				store.fail(nil)
				time.Sleep(configBound)
				assert.DeepEqual(t, versions(), []int64{7, 9})
			})
		})
	}
}
