package keeper

import "rosemarylb"

// version returns a version of a store that sends no era.
func version(revision uint64) rosemarylb.Version {
	return rosemarylb.Version{
		Revision: revision,
	}
}
