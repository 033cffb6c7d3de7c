package quota

import "time"

const (
	// sliceDuration is the resolution of a grantCounter.
	sliceDuration = 100 * time.Millisecond
	// sliceCount is the number of slices that cover a window and the lifetime of a token
	// from any point in the first slice on.
	sliceCount = int((window+tokenLifetime)/sliceDuration) + 1
)

// grantCounter is a sliding count of grants. It covers at least a window and the lifetime
// of a token.
type grantCounter struct {
	slices [sliceCount]uint32
	latest int64
	sum    int64
}

// withGrants counts grants made now.
func (c grantCounter) withGrants(n int, now time.Time) grantCounter {
	slice := now.UnixNano() / int64(sliceDuration)
	if slice-c.latest >= int64(sliceCount) {
		c = grantCounter{
			latest: slice,
		}
	}
	for c.latest < slice {
		c.latest++
		expired := &c.slices[c.latest%int64(sliceCount)]
		c.sum -= int64(*expired)
		*expired = 0
	}
	c.slices[c.latest%int64(sliceCount)] += uint32(n)
	c.sum += int64(n)
	return c
}
