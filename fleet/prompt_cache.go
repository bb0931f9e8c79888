package fleet

import "container/list"

// PromptPart identifies a prompt part together with the parts before it and the weights that the prompt is for.
type PromptPart struct {
	Hash   uint64 // of the prompt prefix that ends with the part, from request.Request.PrefixHashes; agents may tell its low 32 bits alone
	Tokens int    // of the part alone
}

// size returns the tokens as which the part counts towards the limit of a cache, at least 1, so that a cache has a bounded number of parts.
func (p PromptPart) size() int { return max(1, p.Tokens) }

// promptCache estimates which prompt parts a target has in its KV cache: the parts last sent there, up to a number of
// tokens, with eviction of the least recently sent.
type promptCache struct {
	limitTokens int
	tokens      int
	recency     *list.List                // of PromptPart, last sent first
	index       map[partKey]*list.Element // elements of recency
}

// partKey identifies a prompt part in a cache by the low 32 bits of its hash, which are all that some messages of agents have of it.
type partKey uint32

func (p PromptPart) key() partKey { return partKey(p.Hash) }

func newPromptCache(limitTokens int) *promptCache {
	return &promptCache{limitTokens: limitTokens, recency: list.New(), index: map[partKey]*list.Element{}}
}

func (p *promptCache) has(hash uint64) bool {
	_, ok := p.index[partKey(hash)]
	return ok
}

// add records that a part was sent, and evicts parts beyond the limit.
func (p *promptCache) add(part PromptPart) {
	if element, ok := p.index[part.key()]; ok {
		p.recency.MoveToFront(element)
		return
	}
	p.index[part.key()] = p.recency.PushFront(part)
	p.tokens += part.size()
	for p.tokens > p.limitTokens && p.recency.Len() > 1 {
		oldest := p.recency.Back()
		p.recency.Remove(oldest)
		evicted := oldest.Value.(PromptPart)
		p.tokens -= evicted.size()
		delete(p.index, evicted.key())
	}
}
