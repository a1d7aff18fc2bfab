package zone

// Member is an entry VM of a zone.
type Member struct {
	Name string
	Zone ID
	Boot int64 // start of its process in Unix nanoseconds
}

// Before reports whether a member goes before another one in the order in which the VMs of a zone become its relay: the
// one that has run longer, or the first by name.
func (m Member) Before(other Member) bool {
	return m.Boot < other.Boot || m.Boot == other.Boot && m.Name < other.Name
}

// Relays holds the relay of each zone. The relay passes reports between the VMs of its zone and the relays of the other
// zones, so that what a VM sends and receives grows with the number of VMs in a zone and that of zones instead of with
// the number of all VMs.
type Relays map[ID]Member

// Offer makes a member the relay of its zone if it goes before the present one.
func (r Relays) Offer(m Member) {
	if present, ok := r[m.Zone]; !ok || m.Before(present) {
		r[m.Zone] = m
	}
}
