package link

import (
	"github.com/cespare/xxhash/v2"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
)

// maxCachedPrefixes is the number of prompt prefixes that are kept for each runner.
const maxCachedPrefixes = 512

// prefixCache holds the hashes of the prompt prefixes that were sent to a runner, which can reuse its work on them.
// When it is full, a new hash replaces the one that was added first.
type prefixCache struct {
	known  map[uint64]bool
	hashes []uint64 // in the order in which they were added; a circular buffer once full
	oldest int      // index in hashes of the next one to replace, once full
}

func newPrefixCache() *prefixCache { return &prefixCache{known: make(map[uint64]bool)} }

func (c *prefixCache) add(hash uint64) {
	if c.known[hash] {
		return
	}
	if len(c.hashes) < maxCachedPrefixes {
		c.hashes = append(c.hashes, hash)
	} else {
		delete(c.known, c.hashes[c.oldest])
		c.hashes[c.oldest] = hash
		c.oldest = (c.oldest + 1) % maxCachedPrefixes
	}
	c.known[hash] = true
}

// prefixHashes returns one hash for each prefix of a prompt, the first over the first part and the last over all parts.
// Equal prefixes for the same model and adapter have equal hashes.
func prefixHashes(a machine.Artifact, prompt []contract.PromptPart) []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(a.Model) + "/" + string(a.Adapter))
	hashes := make([]uint64, len(prompt))
	for i, part := range prompt {
		var id [8]byte
		for b := range id {
			id[b] = byte(part.ID >> (8 * b))
		}
		_, _ = d.Write(id[:])
		hashes[i] = d.Sum64()
	}
	return hashes
}

// cachedTokens returns the number of tokens in the longest cached prefix of the prompt; hashes are its prefixHashes.
func (c *prefixCache) cachedTokens(hashes []uint64, prompt []contract.PromptPart) int {
	tokens := 0
	for i, hash := range hashes {
		if !c.known[hash] {
			break
		}
		tokens += prompt[i].Tokens
	}
	return tokens
}
