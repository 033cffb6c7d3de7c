package spill

import "rosemarylb"

// Distance is how far an endpoint is from an instance.
type Distance uint8

// The distances, nearest first.
const (
	// DistanceDomain is an endpoint in the failure domain of the instance.
	DistanceDomain Distance = iota
	// DistanceRegion is an endpoint in another domain of its region.
	DistanceRegion
	// DistanceRemote is an endpoint in another region.
	DistanceRemote
	// DistanceCount is the number of distances.
	DistanceCount = 3
)

var distanceNames = [DistanceCount]string{"domain", "region", "remote"}

// String returns the name of the distance.
func (d Distance) String() string {
	if int(d) >= DistanceCount {
		return "invalid"
	}
	return distanceNames[d]
}

// DistanceOf returns the distance of an endpoint from an instance.
func DistanceOf(domain rosemarylb.DomainName, region rosemarylb.RegionName, e rosemarylb.EndpointSpec) Distance {
	switch {
	case e.Domain == domain:
		return DistanceDomain
	case e.Region == region:
		return DistanceRegion
	default:
		return DistanceRemote
	}
}
