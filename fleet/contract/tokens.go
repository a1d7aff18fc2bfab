package contract

// maxTokens is the largest number of tokens that a request can have. No model reads nearly as many; callers that state more,
// by mistake or for "without limit", must not make the times overflow that are calculated from them.
const maxTokens = 1 << 24

// BoundTokens returns the number of tokens that a caller states, within the possible range.
func BoundTokens(stated int) int { return max(0, min(maxTokens, stated)) }
