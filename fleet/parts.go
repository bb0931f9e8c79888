package fleet

import "container/list"

// parts remembers the prompt parts last sent to a target, least recently sent first out.
type parts struct {
	limit int
	order *list.List
	index map[uint64]*list.Element
}

func newParts(limit int) *parts {
	return &parts{limit: limit, order: list.New(), index: map[uint64]*list.Element{}}
}

func (p *parts) has(hash uint64) bool {
	_, ok := p.index[hash]
	return ok
}

func (p *parts) add(hash uint64) {
	if element, ok := p.index[hash]; ok {
		p.order.MoveToFront(element)
		return
	}
	p.index[hash] = p.order.PushFront(hash)
	if p.order.Len() > p.limit {
		oldest := p.order.Back()
		p.order.Remove(oldest)
		delete(p.index, oldest.Value.(uint64))
	}
}
