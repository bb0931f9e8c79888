package fleet

import "container/list"

// PromptPart is a prompt part with all parts before it, for certain weights.
type PromptPart struct {
	Hash   uint64
	Tokens int
}

// parts remembers the prompt parts last sent to a target, least recently sent first out.
type parts struct {
	limit  int // tokens
	tokens int
	order  *list.List
	index  map[uint64]*list.Element
}

func newParts(limit int) *parts {
	return &parts{limit: limit, order: list.New(), index: map[uint64]*list.Element{}}
}

func (p *parts) has(hash uint64) bool {
	_, ok := p.index[hash]
	return ok
}

func (p *parts) add(part PromptPart) {
	if element, ok := p.index[part.Hash]; ok {
		p.order.MoveToFront(element)
		return
	}
	p.index[part.Hash] = p.order.PushFront(part)
	p.tokens += part.Tokens
	for p.tokens > p.limit && p.order.Len() > 1 {
		oldest := p.order.Back()
		p.order.Remove(oldest)
		gone := oldest.Value.(PromptPart)
		p.tokens -= gone.Tokens
		delete(p.index, gone.Hash)
	}
}
