package link

import (
	"github.com/cespare/xxhash/v2"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
)

// cachedPrefixes bounds the prompt prefixes that are remembered for a runner.
const cachedPrefixes = 512

// prefixCache remembers which prompt prefixes a runner has read. The oldest are forgotten first.
type prefixCache struct {
	known map[uint64]bool
	order []uint64 // circular once full
	next  int
}

func newPrefixCache() *prefixCache { return &prefixCache{known: make(map[uint64]bool)} }

func (p *prefixCache) add(chain uint64) {
	if p.known[chain] {
		return
	}
	if len(p.order) < cachedPrefixes {
		p.order = append(p.order, chain)
	} else {
		delete(p.known, p.order[p.next])
		p.order[p.next] = chain
		p.next = (p.next + 1) % cachedPrefixes
	}
	p.known[chain] = true
}

// prefixHashes returns a name for each prefix of a prompt on an artifact: equal prefixes have equal names.
func prefixHashes(a machine.Artifact, prompt []contract.PromptPart) []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(a.Model) + "/" + string(a.Adapter))
	out := make([]uint64, len(prompt))
	for i, part := range prompt {
		var id [8]byte
		for b := range id {
			id[b] = byte(part.ID >> (8 * b))
		}
		_, _ = d.Write(id[:])
		out[i] = d.Sum64()
	}
	return out
}

// cachedTokens returns the tokens of the longest prefix of the prompt that is remembered.
func (p *prefixCache) cachedTokens(chain []uint64, prompt []contract.PromptPart) int {
	tokens := 0
	for i, c := range chain {
		if !p.known[c] {
			break
		}
		tokens += prompt[i].Tokens
	}
	return tokens
}
