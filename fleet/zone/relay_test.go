package zone

import "testing"

// TestRelayIsTheLongestRunning guards against VMs that choose different relays for a zone, which then pass each other's
// reports on to nobody: the choice must depend on the members alone, not on the order in which they become known.
func TestRelayIsTheLongestRunning(t *testing.T) {
	members := []Member{{"b", "x", 5}, {"c", "x", 5}, {"a", "x", 9}, {"d", "y", 1}}
	for first := range members {
		relays := make(Relays)
		for i := range members {
			relays.Offer(members[(first+i)%len(members)])
		}
		if relays["x"].Name != "b" || relays["y"].Name != "d" || len(relays) != 2 {
			t.Errorf("relays %v, want b for x and d for y", relays)
		}
	}
}
