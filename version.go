package rosemarylb

// Version is a version of an object or of a list in the platform's store. A store that
// is restored from an older copy begins a new era, in which it issues again the
// revisions that followed the copy.
type Version struct {
	// Era is the number of times that the store was restored, 0 if it does not say so.
	Era uint64
	// Revision increases with each write within an era. It is 0 for an object that does
	// not exist.
	Revision uint64
}

// Less reports whether v is earlier than other.
func (v Version) Less(other Version) bool {
	if v.Era != other.Era {
		return v.Era < other.Era
	}
	return v.Revision < other.Revision
}

// Exists reports whether there is an object of the version.
func (v Version) Exists() bool {
	return v.Revision != 0
}
