package quota

import "time"

const (
	// sliceDuration is the resolution of a grantCounter.
	sliceDuration = 250 * time.Millisecond
	// sliceCount is the number of slices that cover a window from any point in the
	// first slice on.
	sliceCount = int(window/sliceDuration) + 1
)

// grantCounter is a sliding count of grants. It covers at least one window.
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

// limit returns the highest count that a bucket with a rate and burst allows.
func (grantCounter) limit(rate, burst float64) int64 {
	return int64(rate*(sliceDuration*time.Duration(sliceCount)).Seconds()+burst) + 1
}
