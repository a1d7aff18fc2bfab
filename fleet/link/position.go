package link

// Position is a point in the history of the platform's store. The era rises each time the store returns from an older
// copy of its state: its revisions then go back and are given out again, so that those of two eras can't be compared.
type Position struct {
	Era      int64
	Revision int64 // zero: nothing has been read in the era
}

// FirstEra is the store's era until it returns from an older copy for the first time. A store that states no era is in
// era zero for good.
const FirstEra = 1

// Before reports whether p is earlier than q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}

// fenceEraBits is the number of bits of a fence that hold the revision. Readers of JSON that use floating-point numbers
// read fences exactly after as many as 8,000 restores.
const fenceEraBits = 40

// Fence returns the fence of a term that was taken at the position. Fences rise over all eras, as revisions don't.
func (p Position) Fence() int64 { return max(0, p.Era-FirstEra)<<fenceEraBits | p.Revision }
